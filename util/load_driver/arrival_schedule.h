#ifndef AUBURNYARD_UTIL_LOAD_DRIVER_ARRIVAL_SCHEDULE_H_
#define AUBURNYARD_UTIL_LOAD_DRIVER_ARRIVAL_SCHEDULE_H_

#include <random>
#include <string>

#include "auburnyard/clock.h"
#include "util/load_driver/load_options.h"

namespace auburnyard::util {

/// One request of a load run, at `offset` from its beginning.
struct PlannedRequest {
  Duration offset{};
  std::size_t number = 0;
  std::string host;
  std::string service;
  std::string priority;
};

/// Seeded Poisson arrivals with a random host, service and class each.
class ArrivalSchedule {
 public:
  explicit ArrivalSchedule(const LoadOptions& options);

  PlannedRequest Next();

 private:
  const std::string& PickWeighted(const Weights& weights);

  LoadOptions options;
  std::mt19937_64 random;
  double offset_s = 0;
  std::size_t number = 0;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_LOAD_DRIVER_ARRIVAL_SCHEDULE_H_
