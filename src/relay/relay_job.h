#ifndef AUBURNYARD_SRC_RELAY_RELAY_JOB_H_
#define AUBURNYARD_SRC_RELAY_RELAY_JOB_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
  const ClientAccount* account = nullptr;  ///< owned by `table`; may be null
  std::uint32_t priority = 0;
  std::vector<std::string> allowed_regions;  ///< empty: any
  bool from_peer = false;
  /// The request was counted for the limit of its account.
  bool counts_for_limit = false;
  /// The load of targets was considered for this request.
  bool counts_for_admission = false;
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
