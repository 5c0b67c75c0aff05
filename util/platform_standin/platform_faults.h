#ifndef AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FAULTS_H_
#define AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FAULTS_H_

#include <chrono>
#include <cstdint>

#include "src/core/json_reader.h"

namespace auburnyard::util {

/// Simulated outage of the key-value service.
enum class Outage {
  kNone,
  kRefuse,  ///< answers 503
  kSilent,  ///< accepts requests and never answers
  kDown,    ///< resets its connections and does not listen
};

/// Faults of the key-value service that can be switched at run time.
struct PlatformFaults {
  Outage outage = Outage::kNone;
  std::chrono::milliseconds delay{0};  ///< before a request is handled
  double lost_reply_share = 0.0;       ///< of writes, which are still applied
  std::uint32_t reads_per_second = 0;  ///< 0: no limit
  std::uint32_t writes_per_second = 0;
};

/// Members that are absent keep their value. Throws Error(kBadRequest).
PlatformFaults ParsePlatformFaults(const detail::JsonReader& reader,
                                   PlatformFaults faults);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FAULTS_H_
