#include "util/host_list_standin/host_table.h"

#include <boost/json/array.hpp>

namespace auburnyard::util {

HostEntry ParseHostEntry(const detail::JsonReader& reader, std::string& id) {
  reader.AllowOnly({"id", "address", "domain", "state"});
  id = reader.String("id");
  const std::string state = reader.String("state", "live");
  if (state != "live" && state != "leaving") {
    throw Error(ErrorKind::kBadRequest,
                reader.PathOf("state") + ": expected \"live\" or \"leaving\"");
  }
  return {.address = reader.String("address"),
          .domain = reader.String("domain"),
          .leaving = state == "leaving"};
}

void HostTable::Put(const std::string& id,
                    const HostEntry& entry,
                    TimePoint visible_at) {
  this->changes.push_back({visible_at, id, entry});
}

void HostTable::Remove(const std::string& id, TimePoint visible_at) {
  this->changes.push_back({visible_at, id, std::nullopt});
}

boost::json::object HostTable::List(TimePoint now) {
  while (!this->changes.empty() && this->changes.front().visible_at <= now) {
    const Change& change = this->changes.front();
    if (change.entry) {
      this->hosts[change.id] = *change.entry;
    } else {
      this->hosts.erase(change.id);
    }
    this->changes.pop_front();
  }
  boost::json::array list;
  for (const auto& [id, entry] : this->hosts) {
    list.push_back({{"id", id},
                    {"address", entry.address},
                    {"domain", entry.domain},
                    {"state", entry.leaving ? "leaving" : "live"}});
  }
  return {{"hosts", std::move(list)}};
}

}  // namespace auburnyard::util
