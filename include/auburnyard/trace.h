#ifndef AUBURNYARD_TRACE_H_
#define AUBURNYARD_TRACE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/decision.h"
#include "auburnyard/query.h"
#include "auburnyard/query_machine.h"
#include "auburnyard/shard_map.h"
#include "auburnyard/target_gate.h"

namespace auburnyard {

/// How replay orders the replicas of a shard.
enum class TraceOrder {
  kListed,  ///< as in the shard map
  kRandom,  ///< shuffled by the seed
};

/// First line of a trace: everything that the decisions depend on besides the
/// events.
struct TraceHeader {
  std::string decision;
  std::uint64_t seed = 0;
  TraceOrder order = TraceOrder::kListed;
  QueryRequest request;
  QueryPolicy policy;
  std::uint32_t retry_budget = 0;  ///< tokens
  std::uint32_t hedge_budget = 0;  ///< tokens
  /// The query starts on the first; `map_published` makes another the newest.
  std::vector<std::shared_ptr<const ShardMap>> maps;
  /// Gates that replay simulates. If empty, the gates' decisions are inputs.
  std::map<std::string, GateLimits, std::less<>> gates;
};

struct TraceLine {
  std::size_t number = 0;  ///< 1 for the first line of the file
  DecisionRecord record;
};

/// A recorded decision: inputs with their time, each followed by its stated
/// outcomes.
struct Trace {
  TraceHeader header;
  std::vector<TraceLine> lines;
};

/// Reads JSON lines; empty lines are skipped. Throws Error(kBadRequest) that
/// names the line.
Trace ParseTrace(std::string_view text);
std::string SerializeTraceHeader(const TraceHeader& header);
std::string SerializeTrace(const Trace& trace);

/// Whether replay feeds this event to the core (true) or compares it with the
/// core's actions (false).
bool IsTraceInput(DecisionEvent event, bool with_gates);

}  // namespace auburnyard

#endif  // AUBURNYARD_TRACE_H_
