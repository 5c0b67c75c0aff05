#ifndef AUBURNYARD_GATE_REQUEST_H_
#define AUBURNYARD_GATE_REQUEST_H_

#include <cstddef>
#include <string>

#include "auburnyard/clock.h"
#include "auburnyard/configuration.h"

namespace auburnyard {

using AttemptId = std::string;

/// A request that waits for a slot of one target.
struct GateRequest {
  AttemptId id;
  PriorityClass priority = PriorityClass::kNormal;
  TimePoint deadline;
  bool idempotent = true;
  std::size_t bytes = 0;  ///< memory that the caller of the gate holds for it
};

}  // namespace auburnyard

#endif  // AUBURNYARD_GATE_REQUEST_H_
