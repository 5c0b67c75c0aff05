#ifndef AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_
#define AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_

#include <memory>

#include "src/daemon/claim_service.h"
#include "src/net/platform_client.h"

namespace auburnyard {

/// Keeps claims in the platform's key-value service.
ClaimStore MakeClaimStore(std::shared_ptr<PlatformClient> client);

/// How the outcome of a call is seen by the claims.
StoreReply ToStoreReply(GetResult result);
StoreReply ToStoreReply(const WriteResult& result);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_
