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
#include "auburnyard/configuration_store.h"
#include "auburnyard/knowledge.h"
#include "src/daemon/host_status.h"
#include "src/daemon/watcher_hooks.h"

namespace auburnyard {

/// What the exchange of knowledge needs from the rest of the daemon.
struct ConfigurationGossipHooks {
  std::function<bool(const std::string& address, proto::Envelope envelope)>
      send;
  std::function<void(const std::string& address, const DocumentMessage&)>
      send_document;
  /// Documents that a peer with these digests lacks.
  std::function<std::vector<DocumentMessage>(std::span<const DocumentDigest>)>
      documents_for;
};

/// Exchanges revisions and ages of knowledge with peers, and sends documents to
/// peers that lack them. Thread safe.
class ConfigurationGossip {
 public:
  ConfigurationGossip(std::string domain,
                      const ConfigurationStore& store,
                      Knowledge& knowledge,
                      const Clock& clock,
                      ConfigurationGossipHooks hooks);

  /// Asks a peer what it knows.
  void Ask(const std::string& address);
  void OnMessage(const proto::Envelope& envelope);
  /// Last answer of each host.
  std::vector<HostStatus> Hosts() const;
  /// Drops hosts that are not in `ids`.
  void Retain(const std::vector<std::string>& ids);

 private:
  struct Report {
    HostStatus status;
    TimePoint received;
  };

  proto::Envelope MakeReport(bool with_digests) const;
  void Learn(const proto::Envelope& envelope, TimePoint asked);
  void SendMissing(const std::string& address, const proto::Knowledge& theirs);

  std::string domain;
  const ConfigurationStore& store;
  Knowledge& knowledge;
  const Clock& clock;
  ConfigurationGossipHooks hooks;
  mutable std::mutex mutex;
  std::map<std::string, Report, std::less<>> reports;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_GOSSIP_H_
