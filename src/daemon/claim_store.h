#ifndef AUBURNYARD_SRC_DAEMON_CLAIM_STORE_H_
#define AUBURNYARD_SRC_DAEMON_CLAIM_STORE_H_

#include <memory>

#include "src/daemon/claim_service.h"
#include "src/net/platform_client.h"

namespace auburnyard {

/// Claims in the platform's key-value service.
ClaimStore MakeClaimStore(std::shared_ptr<PlatformClient> client);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CLAIM_STORE_H_
