#ifndef AUBURNYARD_SRC_DAEMON_HOST_LIST_H_
#define AUBURNYARD_SRC_DAEMON_HOST_LIST_H_

#include <optional>
#include <string_view>
#include <vector>

#include "auburnyard/membership_message.h"

namespace auburnyard {

/// Parses the body of GET /v1/hosts. Empty if it is malformed.
std::optional<std::vector<ListedHost>> ParseHostList(std::string_view body);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_HOST_LIST_H_
