#ifndef AUBURNYARD_ROUTE_H_
#define AUBURNYARD_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnyard {

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Configuration for requests with one host name and path prefix.
struct Route {
  std::string name;
  std::string host;    ///< lower case, without a port
  std::string prefix;  ///< begins and ends with a slash
  bool idempotent = false;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_objective{0};
  std::uint32_t max_attempts = 1;  ///< maximum number of targets per request
  std::uint32_t priority = 0;      ///< 0 is the highest
  std::vector<std::string> allowed_regions;  ///< empty: any
  /// Services among which requests are distributed; empty for a fan-out route.
  std::vector<WeightedService> services;
  /// Services that each answer a part of the request; empty for other routes.
  std::vector<std::string> shards;
  std::uint32_t top_records = 0;
  double min_coverage = 1;
  bool authentication_exempt = false;  ///< callers need no key

  bool fans_out() const { return !this->shards.empty(); }
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ROUTE_H_
