#ifndef AUBURNYARD_UTIL_COMMON_NAMED_VALUES_H_
#define AUBURNYARD_UTIL_COMMON_NAMED_VALUES_H_

#include <initializer_list>
#include <string_view>

#include <boost/json/object.hpp>

namespace auburnyard::util {

/// Parses "NAME=VALUE,NAME=VALUE". Values are JSON scalars; those of
/// `string_names` are always strings. Throws Error(kBadSettings).
boost::json::object ParseNamedValues(
    std::string_view text,
    std::initializer_list<std::string_view> string_names);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_NAMED_VALUES_H_
