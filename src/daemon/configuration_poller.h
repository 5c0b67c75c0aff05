#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_POLLER_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_POLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "auburnyard/configuration.h"
#include "auburnyard/shard_map.h"
#include "src/daemon/periodic_task.h"

namespace auburnyard {

/// Reads the configuration and the catalogs from the platform's service once a
/// second. Thread safe.
class ConfigurationPoller
    : public std::enable_shared_from_this<ConfigurationPoller> {
 public:
  ConfigurationPoller(boost::asio::io_context& context, std::string platform);

  void Start(std::function<void(const Configuration&)> on_change);
  void Stop();
  std::shared_ptr<const Configuration> configuration() const;
  std::shared_ptr<const ShardMap> Catalog(const std::string& service) const;

 private:
  void Poll();
  void Fetch(const std::string& key,
             std::function<void(const std::string&)> callback);
  void TakeConfiguration(const std::string& text);
  void TakeCatalog(const std::string& text);

  boost::asio::io_context& context;
  std::string platform;
  std::function<void(const Configuration&)> changed;
  std::shared_ptr<PeriodicTask> task;
  mutable std::mutex mutex;
  std::shared_ptr<const Configuration> current;
  std::map<std::string, std::shared_ptr<const ShardMap>, std::less<>> catalogs;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_POLLER_H_
