#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard.pb.h"
#include "auburnyard/clock.h"
#include "auburnyard/configuration_age.h"
#include "auburnyard/configuration_store.h"
#include "src/daemon/host_status.h"
#include "src/daemon/watcher_hooks.h"

namespace auburnyard {

/// Dependencies of ConfigurationGossip on the rest of the daemon.
struct ConfigurationGossipHooks {
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  std::function<void(const std::string& address, const DocumentMessage&)>
      send_document;
  /// Documents that are missing at a peer with these digests.
  std::function<std::vector<DocumentMessage>(std::span<const DocumentDigest>)>
      documents_for;
};

/// Exchanges the revision and age of the configuration with peers, and sends
/// them missing documents. Thread safe.
class ConfigurationGossip {
 public:
  ConfigurationGossip(std::string domain,
                      const ConfigurationStore& store,
                      ConfigurationAge& configuration_age,
                      const Clock& clock,
                      ConfigurationGossipHooks hooks);

  /// Requests the revision and age of a peer's configuration.
  void RequestReport(const std::string& address);
  void OnMessage(const proto::Envelope& envelope);
  /// Last report of each host, with its age as of now.
  std::vector<HostStatus> Hosts() const;
  /// Discards reports of hosts that are not in `ids`.
  void Retain(const std::vector<std::string>& ids);

 private:
  struct Report {
    HostStatus status;
    TimePoint received;
  };

  proto::Envelope MakeReport(bool with_digests) const;
  void ApplyAgeReport(const proto::Envelope& envelope, TimePoint requested_at);
  void SendMissing(const std::string& address,
                   const proto::Knowledge& peer_report);

  std::string domain;
  const ConfigurationStore& store;
  ConfigurationAge& configuration_age;
  const Clock& clock;
  ConfigurationGossipHooks hooks;
  mutable std::mutex mutex;
  std::map<std::string, Report, std::less<>> reports;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_
