#include "auburnyard/route_table.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string normal(host);
  std::transform(
      normal.begin(), normal.end(), normal.begin(), [](unsigned char letter) {
        return letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : letter;
      });
  return normal;
}

RouteTable::RouteTable(
    std::uint64_t version,
    std::vector<Route> all_routes,
    std::map<std::string, ServiceLimits, std::less<>> all_services,
    CallerLimits limits,
    std::shared_ptr<const AccountTable> accounts)
    : table_version(version),
      services(std::move(all_services)),
      caller_limits(limits),
      account_table(std::move(accounts)) {
  for (Route& route : all_routes) {
    route.host = NormalizeHost(route.host);
    this->routes[route.host].push_back(std::move(route));
  }
  for (const auto& [host, list] : this->routes) {
    for (const Route& route : list) {
      for (const WeightedService& choice : route.services) {
        this->single_services.insert(choice.service);
      }
    }
  }
  for (const auto& [host, list] : this->routes) {
    for (const Route& route : list) {
      for (const std::string& shard : route.shards) {
        this->single_services.erase(shard);
      }
    }
  }
  // Longest prefix first, so that `Find` returns the first match.
  for (auto& [host, list] : this->routes) {
    std::stable_sort(list.begin(), list.end(),
                     [](const Route& left, const Route& right) {
                       return left.prefix.size() > right.prefix.size();
                     });
  }
}

const ServiceLimits* RouteTable::Service(std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

bool RouteTable::IsSingle(std::string_view service) const {
  return this->single_services.contains(service);
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = this->routes.find(NormalizeHost(host));
  if (found == this->routes.end()) {
    return nullptr;
  }
  for (const Route& route : found->second) {
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

}  // namespace auburnyard
