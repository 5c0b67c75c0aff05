#ifndef AUBURNYARD_UTIL_EXPERIMENT_CLUSTER_H_
#define AUBURNYARD_UTIL_EXPERIMENT_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "util/experiment/child_process.h"
#include "util/experiment/shape.h"

namespace auburnyard::util {

struct ClusterOptions {
  std::string program_directory;  ///< build directory
  std::string work_directory;
  std::string policy;
  std::uint16_t base_port = 21'000;
  double median_ms = 40;
  std::uint64_t seed = 1;
  std::uint32_t balancer_lag_ms = 0;
};

/// Runs the stand-ins and entry hosts of one shape as child processes.
class Cluster {
 public:
  /// Starts everything and waits until every entry host is ready. Throws
  /// Error.
  Cluster(const Shape& shape, const ClusterOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::vector<std::string> HostAddresses() const;
  void ControlTargets(const boost::json::object& change) const;
  void ControlPlatform(const boost::json::object& change) const;
  /// Writes the configuration with `domain` out of service; an empty name puts
  /// all domains in service.
  void SetDomainOut(const std::string& domain);
  boost::json::value TargetStatus() const;
  void ResetTargetRecords() const;
  /// Sends a signal to a process: "platform", "host-list", "targets" or the
  /// identifier of a host. Throws std::out_of_range.
  void Signal(const std::string& name, int number) const;
  /// Sends SIGTERM to a host and waits; returns false if it has not exited
  /// after 10 s.
  bool StopHost(const std::string& id);
  /// Starts a host again after its process has exited and waits until it is
  /// ready.
  void RestartHost(const std::string& id);
  /// Returns the execution starts that the targets recorded for a request, by
  /// request and shard.
  boost::json::value Audit(const std::string& request_id) const;
  std::string PlatformAddress() const;
  const Shape& shape() const { return this->cluster_shape; }

 private:
  std::string ControlAddress(int index) const;
  void Start(const std::string& program,
             std::vector<std::string> arguments,
             const std::string& name);
  void StartStandIns();
  void StartHost(const ShapeHost& host);
  void WaitUntilReady() const;

  Shape cluster_shape;
  ClusterOptions options;
  std::uint64_t revision = 1;
  std::map<std::string, std::unique_ptr<ChildProcess>> children;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_CLUSTER_H_
