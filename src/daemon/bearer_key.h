#ifndef AUBURNYARD_SRC_DAEMON_BEARER_KEY_H_
#define AUBURNYARD_SRC_DAEMON_BEARER_KEY_H_

#include <string_view>

#include "src/net/http_message.h"

namespace auburnyard {

/// Whether the request has the header `Authorization: Bearer <key>`. The time
/// of the comparison does not depend on the key that was sent.
bool HasBearerKey(const HttpRequest& request, std::string_view key);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_BEARER_KEY_H_
