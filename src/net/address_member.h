#ifndef AUBURNYARD_SRC_NET_ADDRESS_MEMBER_H_
#define AUBURNYARD_SRC_NET_ADDRESS_MEMBER_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/core/json_reader.h"

namespace auburnyard {

/// Reads a member of a settings object that holds IP:port. Throws
/// Error(kBadSettings) with the path of the member if it is malformed.
std::string ReadAddress(const detail::JsonReader& reader,
                        std::string_view name);

/// Reads a member that holds an array of IP:port.
std::vector<std::string> ReadAddresses(const detail::JsonReader& reader,
                                       std::string_view name);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_ADDRESS_MEMBER_H_
