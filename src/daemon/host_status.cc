#include "src/daemon/host_status.h"

#include <boost/json/array.hpp>

#include "auburnyard/configuration_age.h"

namespace auburnyard {

namespace {

boost::json::value AgeJson(const std::optional<Duration>& age) {
  if (!age) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

bool Stale(const std::optional<Duration>& age) {
  return !age || *age > kStaleAfter;
}

}  // namespace

boost::json::object ToJson(const StatusReport& report) {
  boost::json::array hosts;
  boost::json::array not_confirmed;
  boost::json::array stale;
  for (const HostStatus& host : report.hosts) {
    hosts.push_back({{"id", host.id},
                     {"domain", host.domain},
                     {"revision", host.revision},
                     {"knowledge_age_ms", AgeJson(host.age)}});
    if (host.revision < report.newest_revision || host.revision == 0) {
      not_confirmed.emplace_back(host.id);
    }
    if (Stale(host.age)) {
      stale.emplace_back(host.id);
    }
  }
  boost::json::array faults;
  for (const StoreFault& fault : report.faults) {
    faults.push_back({{"key", fault.key},
                      {"fault", ToString(fault.kind)},
                      {"detail", fault.detail}});
  }
  return {{"revision", report.revision},
          {"newest_revision", report.newest_revision},
          {"knowledge_age_ms", AgeJson(report.age)},
          {"stale", Stale(report.age)},
          {"hosts", std::move(hosts)},
          {"not_confirmed", std::move(not_confirmed)},
          {"stale_hosts", std::move(stale)},
          {"store_faults", std::move(faults)}};
}

}  // namespace auburnyard
