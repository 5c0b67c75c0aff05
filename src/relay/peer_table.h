#ifndef AUBURNYARD_SRC_RELAY_PEER_TABLE_H_
#define AUBURNYARD_SRC_RELAY_PEER_TABLE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/host_table.h"
#include "src/relay/target_pool.h"

namespace auburnyard {

/// Connections to the entry hosts that fetch parts for this host.
class PeerTable {
 public:
  PeerTable(const RelayContext& context,
            const HostTable& hosts,
            std::string own_name,
            std::string own_domain);

  /// Returns a responsive host of the domain with a low expected latency, or
  /// null.
  TargetPtr Choose(std::string_view domain);
  /// True if this host also reaches the targets of its own domain through other
  /// hosts.
  bool delegates() const;
  /// Sets a function that receives the shares that another host can answer.
  void SetAdmissionHook(
      std::function<void(const TargetPtr&, std::span<const AdmissionShare>)>
          hook) {
    this->on_admission = std::move(hook);
  }
  /// Sets a function that receives the targets which other hosts name as
  /// leaving.
  void SetLeavingHook(
      std::function<void(std::span<const TargetIncarnation>)> hook) {
    this->on_leaving_report = std::move(hook);
  }
  /// Called when the bytes that came in reply to a bundle are no reply.
  void SetUnreadableHook(std::function<void(const TargetPtr& host,
                                            std::string_view request_id,
                                            std::string_view fault)> hook) {
    this->on_unreadable = std::move(hook);
  }
  std::shared_ptr<TargetPool> PoolOf(const TargetPtr& peer) const;
  void Sweep();

 private:
  std::vector<TargetPtr> Candidates(std::string_view domain);
  TargetPtr PeerOf(const HostEntry& entry);

  const RelayContext& context;
  const HostTable& hosts;
  std::string own_name;
  std::string own_domain;
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> pools;
  std::mt19937_64 random;
  TimePoint next_preconnect{};
  std::function<void(const TargetPtr&, std::span<const AdmissionShare>)>
      on_admission;
  std::function<void(std::span<const TargetIncarnation>)> on_leaving_report;
  std::function<void(const TargetPtr&, std::string_view, std::string_view)>
      on_unreadable;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_PEER_TABLE_H_
