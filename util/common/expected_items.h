#ifndef AUBURNYARD_UTIL_COMMON_EXPECTED_ITEMS_H_
#define AUBURNYARD_UTIL_COMMON_EXPECTED_ITEMS_H_

#include <string>
#include <string_view>

#include <boost/json/array.hpp>

#include "auburnyard/key_range.h"

namespace auburnyard::util {

/// Inputs that determine the result of one sub-request.
struct ItemSource {
  std::string_view service;
  std::string_view shard;
  std::string_view snapshot;
  std::string_view query;
};

/// FNV-1a hash of the text, in hexadecimal.
std::string HashText(std::string_view text);

/// Items of a key range: {"key", "value", "query"} for its first, middle and
/// last key. `value` is the hash of service, shard, snapshot and key; `query`
/// is the hash of the query text, so that a reply to another request is
/// detected.
boost::json::array ExpectedItems(const ItemSource& source, KeyRange range);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_EXPECTED_ITEMS_H_
