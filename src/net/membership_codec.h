#ifndef AUBURNYARD_SRC_NET_MEMBERSHIP_CODEC_H_
#define AUBURNYARD_SRC_NET_MEMBERSHIP_CODEC_H_

#include <optional>

#include "auburnyard.pb.h"
#include "auburnyard/membership_message.h"

namespace auburnyard {

proto::Envelope ToEnvelope(const MembershipMessage& message);
/// Empty if the envelope carries no membership message, or one with too many
/// entries.
std::optional<MembershipMessage> ToMembershipMessage(
    const proto::Envelope& envelope);
PeerIdentity SenderOf(const proto::Envelope& envelope);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_MEMBERSHIP_CODEC_H_
