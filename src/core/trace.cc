#include "auburnyard/trace.h"

#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kTraceVersion = 1;
constexpr std::uint64_t kMaxSeed = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::uint64_t kMaxMs = 600'000;
constexpr std::uint64_t kMaxLimit = 65'535;

Duration ParseMilliseconds(const detail::JsonReader& reader,
                           std::string_view name,
                           Duration fallback) {
  const auto fallback_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
  return std::chrono::milliseconds(
      reader.Integer(name, 0, kMaxMs, static_cast<std::uint64_t>(fallback_ms)));
}

std::uint32_t ParseCount(const detail::JsonReader& reader,
                         std::string_view name,
                         std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      reader.Integer(name, 0, kMaxTokens, fallback));
}

QueryPolicy ParsePolicy(const detail::JsonReader& reader) {
  reader.AllowOnly({"hedge_delay_ms", "early_answer", "deadline_margin_ms",
                    "max_restarts", "max_hedges", "max_retries",
                    "retry_delay_ms", "confirm_wait_ms", "min_coverage"});
  QueryPolicy policy;
  policy.hedge_delay =
      ParseMilliseconds(reader, "hedge_delay_ms", Duration::zero());
  policy.early_answer = reader.Boolean("early_answer", policy.early_answer);
  policy.deadline_margin =
      ParseMilliseconds(reader, "deadline_margin_ms", policy.deadline_margin);
  policy.max_restarts = ParseCount(reader, "max_restarts", policy.max_restarts);
  policy.max_hedges = ParseCount(reader, "max_hedges", policy.max_hedges);
  policy.max_retries = ParseCount(reader, "max_retries", policy.max_retries);
  policy.retry_delay =
      ParseMilliseconds(reader, "retry_delay_ms", policy.retry_delay);
  policy.confirm_wait =
      ParseMilliseconds(reader, "confirm_wait_ms", policy.confirm_wait);
  policy.min_coverage = reader.Number("min_coverage", 0, 1, 0);
  return policy;
}

ShedBounds ParseShedBounds(const detail::JsonReader& reader) {
  const boost::json::array& bounds = reader.Array("shed_ms");
  ShedBounds parsed{};
  if (bounds.size() != parsed.size()) {
    throw Error(ErrorKind::kBadRequest,
                reader.PathOf("shed_ms") + ": expected one number per class");
  }
  for (std::size_t i = 0; i < parsed.size(); ++i) {
    const boost::json::value item = boost::json::object{{"ms", bounds[i]}};
    const detail::JsonReader bound(item, reader.PathOf("shed_ms"),
                                   ErrorKind::kBadRequest);
    parsed.at(i) = std::chrono::milliseconds(bound.Integer("ms", 0, kMaxMs));
  }
  return parsed;
}

GateLimits ParseGate(const detail::JsonReader& reader) {
  reader.AllowOnly({"slots", "cold_limit", "queue_length",
                    "zero_window_wait_ms", "drain_hold_ms", "shed_ms"});
  GateLimits limits;
  limits.slots =
      static_cast<std::uint32_t>(reader.Integer("slots", 0, kMaxLimit));
  limits.cold_limit =
      static_cast<std::uint32_t>(reader.Integer("cold_limit", 0, kMaxLimit));
  limits.queue_length =
      reader.Integer("queue_length", 0, kMaxLimit, limits.queue_length);
  limits.zero_window_wait =
      ParseMilliseconds(reader, "zero_window_wait_ms", limits.zero_window_wait);
  limits.drain_hold =
      ParseMilliseconds(reader, "drain_hold_ms", limits.drain_hold);
  if (reader.Has("shed_ms")) {
    limits.shed_bounds = ParseShedBounds(reader);
  }
  return limits;
}

TraceOrder ParseOrder(const detail::JsonReader& reader) {
  const std::string order = reader.String("order", "listed");
  if (order != "listed" && order != "random") {
    throw Error(ErrorKind::kBadRequest,
                "order: expected \"listed\" or \"random\"");
  }
  return order == "listed" ? TraceOrder::kListed : TraceOrder::kRandom;
}

void ParseBudgets(const detail::JsonReader& reader, TraceHeader& header) {
  reader.AllowOnly({"retry", "hedge"});
  header.retry_budget =
      static_cast<std::uint32_t>(reader.Integer("retry", 0, kMaxTokens, 0));
  header.hedge_budget =
      static_cast<std::uint32_t>(reader.Integer("hedge", 0, kMaxTokens, 0));
}

TraceHeader ParseHeader(std::string_view line) {
  const boost::json::value document =
      detail::ParseJson(line, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"trace", "decision", "seed", "order", "request", "policy",
                    "budgets", "maps", "gates"});
  reader.Integer("trace", kTraceVersion, kTraceVersion);
  TraceHeader header;
  header.decision = reader.String("decision");
  header.seed = reader.Integer("seed", 0, kMaxSeed);
  header.order = ParseOrder(reader);
  header.request =
      ParseQueryRequest(boost::json::serialize(reader.Object("request")));
  header.policy = ParsePolicy(reader.Child("policy"));
  ParseBudgets(reader.Child("budgets"), header);
  for (const boost::json::value& map : reader.Array("maps")) {
    header.maps.push_back(std::make_shared<const ShardMap>(
        ParseShardMap(boost::json::serialize(map))));
  }
  if (header.maps.empty()) {
    throw Error(ErrorKind::kBadRequest, "maps: expected at least one map");
  }
  for (const auto& gate : reader.Object("gates")) {
    header.gates.emplace(
        gate.key(), ParseGate({gate.value(), "gates." + std::string(gate.key()),
                               ErrorKind::kBadRequest}));
  }
  return header;
}

void ParseLine(std::string_view line, std::size_t number, Trace& trace) {
  if (trace.header.maps.empty()) {
    trace.header = ParseHeader(line);
    return;
  }
  DecisionRecord record = ParseDecisionRecord(line);
  if (!trace.lines.empty() && record.time < trace.lines.back().record.time) {
    throw Error(ErrorKind::kBadRequest,
                "t_us: earlier than that of the previous event");
  }
  if (trace.lines.empty() && record.event != DecisionEvent::kQueryReceived) {
    throw Error(ErrorKind::kBadRequest,
                "event: the first event must be query_received");
  }
  trace.lines.push_back({number, std::move(record)});
}

boost::json::object ToJson(const QueryRequest& request) {
  return {{"service", request.service},
          {"query", request.query},
          {"deadline_ms", request.deadline.count()},
          {"class", ToString(request.priority)},
          {"min_coverage", request.min_coverage},
          {"idempotent", request.idempotent},
          {"request_id", request.request_id}};
}

boost::json::object ToJson(const GateLimits& limits) {
  boost::json::array shed;
  for (const Duration bound : limits.shed_bounds) {
    shed.emplace_back(ToMilliseconds(bound));
  }
  return {{"slots", limits.slots},
          {"cold_limit", limits.cold_limit},
          {"queue_length", limits.queue_length},
          {"zero_window_wait_ms", ToMilliseconds(limits.zero_window_wait)},
          {"drain_hold_ms", ToMilliseconds(limits.drain_hold)},
          {"shed_ms", std::move(shed)}};
}

boost::json::object ToJson(const QueryPolicy& policy) {
  return {{"hedge_delay_ms", ToMilliseconds(policy.hedge_delay)},
          {"early_answer", policy.early_answer},
          {"deadline_margin_ms", ToMilliseconds(policy.deadline_margin)},
          {"max_restarts", policy.max_restarts},
          {"max_hedges", policy.max_hedges},
          {"max_retries", policy.max_retries},
          {"retry_delay_ms", ToMilliseconds(policy.retry_delay)},
          {"confirm_wait_ms", ToMilliseconds(policy.confirm_wait)},
          {"min_coverage", policy.min_coverage}};
}

}  // namespace

Trace ParseTrace(std::string_view text) {
  Trace trace;
  std::size_t number = 0;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    ++number;
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    try {
      ParseLine(line, number, trace);
    } catch (const Error& error) {
      throw Error(ErrorKind::kBadRequest,
                  "trace line " + std::to_string(number) + ": " + error.what());
    }
  }
  if (trace.header.maps.empty()) {
    throw Error(ErrorKind::kBadRequest, "trace line 1: the header is missing");
  }
  return trace;
}

std::string SerializeTraceHeader(const TraceHeader& header) {
  boost::json::array maps;
  for (const auto& map : header.maps) {
    maps.push_back(boost::json::parse(SerializeShardMap(*map)));
  }
  boost::json::object gates;
  for (const auto& [target, limits] : header.gates) {
    gates[target] = ToJson(limits);
  }
  return boost::json::serialize(boost::json::object{
      {"trace", kTraceVersion},
      {"decision", header.decision},
      {"seed", header.seed},
      {"order", header.order == TraceOrder::kListed ? "listed" : "random"},
      {"request", ToJson(header.request)},
      {"policy", ToJson(header.policy)},
      {"budgets",
       {{"retry", header.retry_budget}, {"hedge", header.hedge_budget}}},
      {"maps", std::move(maps)},
      {"gates", std::move(gates)}});
}

std::string SerializeTrace(const Trace& trace) {
  std::string text = SerializeTraceHeader(trace.header) + "\n";
  for (const TraceLine& line : trace.lines) {
    text += SerializeDecisionRecord(line.record) + "\n";
  }
  return text;
}

bool IsTraceInput(DecisionEvent event, bool with_gates) {
  switch (event) {
    case DecisionEvent::kQueryReceived:
    case DecisionEvent::kResult:
    case DecisionEvent::kFailure:
    case DecisionEvent::kTimer:
    case DecisionEvent::kCallerGone:
    case DecisionEvent::kMapPublished:
    case DecisionEvent::kLimitsSet:
    case DecisionEvent::kAdmissionSet:
      return true;
    case DecisionEvent::kDispatched:
    case DecisionEvent::kGateRejected:
    case DecisionEvent::kGateEnqueued:
    case DecisionEvent::kGateAborted:
      return !with_gates;
    default:
      return false;
  }
}

}  // namespace auburnyard
