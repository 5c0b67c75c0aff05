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

/// First line of a trace: all inputs of the decision other than the events.
struct TraceHeader {
  std::string decision;
  std::uint64_t seed = 0;
  TraceOrder order = TraceOrder::kListed;
  QueryRequest request;
  QueryPolicy policy;
  std::uint32_t retry_budget = 0;  ///< tokens
  std::uint32_t hedge_budget = 0;  ///< tokens
  /// The query starts with the first map; a `map_published` event makes another
  /// one the newest.
  std::vector<std::shared_ptr<const ShardMap>> maps;
  /// Gates that replay simulates. If empty, the decisions of the gates are
  /// inputs.
  std::map<std::string, GateLimits, std::less<>> gates;
};

struct TraceLine {
  std::size_t number = 0;  ///< in the file, from 1
  DecisionRecord record;
};

/// A recorded decision: inputs with their time, each followed by its stated
/// outcomes.
struct Trace {
  TraceHeader header;
  std::vector<TraceLine> lines;
};

/// Parses JSON lines; empty lines are skipped. Throws Error(kBadRequest) with
/// the line number.
Trace ParseTrace(std::string_view text);
std::string SerializeTraceHeader(const TraceHeader& header);
std::string SerializeTrace(const Trace& trace);

/// Returns true if replay feeds this event to the core, and false if it
/// compares the event with the actions of the core.
bool IsTraceInput(DecisionEvent event, bool with_gates);

}  // namespace auburnyard

#endif  // AUBURNYARD_TRACE_H_
