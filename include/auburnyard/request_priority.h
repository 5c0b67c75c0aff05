#ifndef AUBURNYARD_REQUEST_PRIORITY_H_
#define AUBURNYARD_REQUEST_PRIORITY_H_

#include <cstdint>

#include "auburnyard/client_account.h"
#include "auburnyard/route.h"

namespace auburnyard {

/// Priority of a request where callers have accounts, 0 is the highest. Orders
/// by the priority of the account, then by that of the route. `account` is null
/// for routes on which callers need no key.
std::uint32_t RequestPriority(const Route& route, const ClientAccount* account);

}  // namespace auburnyard

#endif  // AUBURNYARD_REQUEST_PRIORITY_H_
