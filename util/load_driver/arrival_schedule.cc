#include "util/load_driver/arrival_schedule.h"

namespace auburnyard::util {

ArrivalSchedule::ArrivalSchedule(const LoadOptions& load_options)
    : options(load_options), random(load_options.seed) {}

const std::string& ArrivalSchedule::PickWeighted(const Weights& weights) {
  double total = 0;
  for (const auto& [name, weight] : weights) {
    total += weight;
  }
  double remaining =
      std::uniform_real_distribution<double>(0, total)(this->random);
  for (const auto& [name, weight] : weights) {
    remaining -= weight;
    if (remaining < 0) {
      return name;
    }
  }
  return weights.back().first;
}

PlannedRequest ArrivalSchedule::Next() {
  this->offset_s +=
      std::exponential_distribution<double>(this->options.rate)(this->random);
  const std::size_t host = std::uniform_int_distribution<std::size_t>(
      0, this->options.hosts.size() - 1)(this->random);
  PlannedRequest request;
  request.offset = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->offset_s));
  request.number = this->number++;
  request.host = this->options.hosts[host];
  request.service = this->PickWeighted(this->options.services);
  request.priority = this->PickWeighted(this->options.classes);
  return request;
}

}  // namespace auburnyard::util
