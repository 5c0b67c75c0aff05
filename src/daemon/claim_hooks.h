#ifndef AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_
#define AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_

#include <memory>

#include "src/daemon/claim_service.h"
#include "src/net/platform_client.h"

namespace auburnyard {

/// Stores claims in the platform's key-value service.
ClaimStore MakeClaimStore(std::shared_ptr<PlatformClient> client);

/// Converts the result of a platform call to the reply that ClaimTable expects.
StoreReply ToStoreReply(GetResult result);
StoreReply ToStoreReply(const WriteResult& result);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CLAIM_HOOKS_H_
