#ifndef AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_SERVICE_H_
#define AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_SERVICE_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/net/http_server.h"
#include "util/platform_standin/key_value_store.h"

namespace auburnyard::util {

/// HTTP interface of the key-value service.
class PlatformService : public std::enable_shared_from_this<PlatformService> {
 public:
  PlatformService(boost::asio::io_context& context, const Clock& clock);

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  /// Writes the members of a JSON object as initial keys. A member that is not
  /// a string is stored in serialized form.
  void LoadInitialKeys(std::string_view json);
  /// Starts to expire leases.
  void Start();
  /// Saves a copy of the contents.
  void Checkpoint();
  /// Restores the saved contents, with their lower revisions.
  void Restore();
  /// Ends all waiting watches, with an error reply if `answer` is set and
  /// without a reply otherwise.
  void DropWatches(bool answer);
  std::uint64_t revision() const;
  std::size_t waiting_watches() const;

 private:
  struct Watcher {
    std::string prefix;
    std::uint64_t after;
    HttpResponder respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  HttpResponse HandleKey(const HttpRequest& request);
  HttpResponse HandlePut(const std::string& key, const std::string& body);
  HttpResponse HandleDelete(const std::string& key, const HttpRequest& request);
  HttpResponse HandleLease(const HttpRequest& request);
  void HandleWatch(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse WatchReply(const std::string& prefix, std::uint64_t after) const;
  void NotifyWatchers();
  void ArmExpiry();

  boost::asio::io_context& context;
  const Clock& clock;
  boost::asio::steady_timer expiry_timer;
  mutable std::mutex mutex;
  KeyValueStore store;
  KeyValueStore checkpoint;
  std::list<Watcher> watchers;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_SERVICE_H_
