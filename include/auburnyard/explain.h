#ifndef AUBURNYARD_EXPLAIN_H_
#define AUBURNYARD_EXPLAIN_H_

#include <span>
#include <string>

#include <boost/json/object.hpp>

#include "auburnyard/decision.h"

namespace auburnyard {

/// Explains a decision from its records: which target each shard was sent to
/// and why, and what was retried, hedged, shed or refused. `records` must be
/// those of one decision, in order.
boost::json::object ExplainDecision(std::span<const DecisionRecord> records);

/// Formats the result of ExplainDecision as text. Throws Error(kProtocol) if
/// the object does not have the expected members.
std::string FormatExplanation(const boost::json::object& explanation);

}  // namespace auburnyard

#endif  // AUBURNYARD_EXPLAIN_H_
