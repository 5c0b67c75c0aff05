#ifndef AUBURNYARD_SRC_RELAY_RELAY_JOB_H_
#define AUBURNYARD_SRC_RELAY_RELAY_JOB_H_

#include <functional>
#include <memory>
#include <optional>

#include "auburnyard/route_table.h"
#include "src/relay/caller_answer.h"
#include "src/relay/relay_codec.h"

namespace auburnyard {

/// One request of a caller or of another entry host while it is in progress.
struct RelayJob {
  CallerRequest request;
  std::function<void(CallerAnswer)> respond;
  std::shared_ptr<const RouteTable> table;  ///< in force at the arrival
  const Route* route = nullptr;
  bool from_peer = false;
  /// Route of a bundle, as the requesting host described it.
  std::optional<Route> bundle_route;
  TimePoint arrival{};
  TimePoint answer_by{};
  TimePoint deadline{};
  /// Cancels the request; empty once it is answered.
  std::function<void()> cancel;
};

using RelayJobPtr = std::shared_ptr<RelayJob>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_JOB_H_
