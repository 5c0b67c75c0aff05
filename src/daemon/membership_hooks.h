#ifndef AUBURNYARD_SRC_DAEMON_MEMBERSHIP_HOOKS_H_
#define AUBURNYARD_SRC_DAEMON_MEMBERSHIP_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnyard/membership_message.h"

namespace auburnyard {

/// Revision of a document and the time since it was confirmed to be the newest.
struct PeerDigest {
  std::string key;
  std::uint64_t revision = 0;
  std::chrono::milliseconds age{0};
};

struct PeerDocument {
  PeerDigest digest;
  std::string content;
};

/// Dependencies of MembershipService on other modules. All hooks may be empty;
/// they run on threads of the io_context, with no lock held.
struct MembershipHooks {
  /// Digests to send with gossip.
  std::function<std::vector<PeerDigest>()> digests;
  /// Handles the digests of a peer and replies with documents by
  /// MembershipService::SendDocument.
  std::function<void(const std::string& peer_address,
                     const std::vector<PeerDigest>& digests)>
      on_digests;
  std::function<void(const PeerIdentity& sender, PeerDocument document)>
      on_document;
  /// Work in flight on this host, by target.
  std::function<std::vector<InFlightWork>()> in_flight;
  /// Owners, shares or states of hosts may have changed.
  std::function<void()> on_change;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_MEMBERSHIP_HOOKS_H_
