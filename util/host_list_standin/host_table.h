#ifndef AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_TABLE_H_
#define AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_TABLE_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include "auburnyard/clock.h"
#include "src/core/json_reader.h"

namespace auburnyard::util {

struct HostEntry {
  std::string address;
  std::string domain;
  bool leaving = false;
};

/// Parses {"id", "address", "domain", "state"}; sets `id`. Throws Error.
HostEntry ParseHostEntry(const detail::JsonReader& reader, std::string& id);

/// Hosts as the platform lists them. A change is listed from the time given
/// with it. Not thread-safe.
class HostTable {
 public:
  void Put(const std::string& id, const HostEntry& entry, TimePoint visible_at);
  void Remove(const std::string& id, TimePoint visible_at);
  /// {"hosts": [...]} as listed at `now`.
  boost::json::object List(TimePoint now);

 private:
  struct Change {
    TimePoint visible_at;
    std::string id;
    std::optional<HostEntry> entry;  ///< absent: removed
  };

  std::deque<Change> changes;
  std::map<std::string, HostEntry, std::less<>> hosts;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_TABLE_H_
