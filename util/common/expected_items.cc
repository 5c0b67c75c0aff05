#include "util/common/expected_items.h"

#include <array>
#include <cstdio>
#include <set>

#include <boost/json/object.hpp>

namespace auburnyard::util {

std::string HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
  }
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return digits.data();
}

boost::json::array ExpectedItems(const ItemSource& source, KeyRange range) {
  boost::json::array items;
  if (range.empty()) {
    return items;
  }
  const std::string prefix = std::string(source.service) + '\n' +
                             std::string(source.shard) + '\n' +
                             std::string(source.snapshot) + '\n';
  const std::string query = HashText(source.query);
  const std::set<std::uint64_t> keys = {
      range.begin, range.begin + range.size() / 2, range.end - 1};
  for (const std::uint64_t key : keys) {
    items.push_back({{"key", key},
                     {"value", HashText(prefix + std::to_string(key))},
                     {"query", query}});
  }
  return items;
}

}  // namespace auburnyard::util
