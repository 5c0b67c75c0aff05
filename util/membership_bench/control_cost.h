#ifndef AUBURNYARD_UTIL_MEMBERSHIP_BENCH_CONTROL_COST_H_
#define AUBURNYARD_UTIL_MEMBERSHIP_BENCH_CONTROL_COST_H_

#include <cstdint>

namespace auburnyard {

/// Control cost of one host over the measured time.
struct ControlCost {
  double cpu_percent = 0.0;  ///< of one core
  double resident_mb = 0.0;
  double sent_bytes_per_s = 0.0;      ///< envelopes, without framing
  double received_bytes_per_s = 0.0;  ///< envelopes and host lists
  double messages_per_s = 0.0;        ///< sent
  std::uint64_t live_hosts = 0;  ///< in the view of the host, including itself
  bool admitted = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_UTIL_MEMBERSHIP_BENCH_CONTROL_COST_H_
