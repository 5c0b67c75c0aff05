#include <limits>

#include <boost/json/serialize.hpp>

#include "auburnyard/decision.h"
#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kMaxTimeUs = std::numeric_limits<std::int64_t>::max() /
                                     1000;  // Duration counts nanoseconds
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();

void AddText(boost::json::object& object,
             std::string_view name,
             const std::string& text) {
  if (!text.empty()) {
    object.emplace(name, text);
  }
}

DecisionNumbers ParseNumbers(const detail::JsonReader& reader) {
  DecisionNumbers numbers;
  for (const auto& member : reader.object()) {
    const std::optional<NumberName> name = ParseNumberName(member.key());
    if (!name) {
      throw Error(ErrorKind::kBadRequest,
                  reader.PathOf(member.key()) + ": unknown number");
    }
    if (numbers.all().size() == DecisionNumbers::kCapacity) {
      throw Error(ErrorKind::kBadRequest,
                  "numbers: expected at most " +
                      std::to_string(DecisionNumbers::kCapacity) + " members");
    }
    numbers.Add(*name, reader.Integer(member.key(), 0, kMaxNumber));
  }
  return numbers;
}

DecisionEvent ParseEvent(const detail::JsonReader& reader) {
  const std::string name = reader.String("event");
  const std::optional<DecisionEvent> event = ParseDecisionEvent(name);
  if (!event) {
    throw Error(ErrorKind::kBadRequest,
                "event: unknown event \"" + name + "\"");
  }
  return *event;
}

std::optional<Reason> ParseRecordReason(const detail::JsonReader& reader) {
  if (!reader.Has("reason")) {
    return std::nullopt;
  }
  const std::string name = reader.String("reason");
  const std::optional<Reason> reason = ParseReason(name);
  if (!reason) {
    throw Error(ErrorKind::kBadRequest,
                "reason: unknown reason \"" + name + "\"");
  }
  return reason;
}

}  // namespace

std::string SerializeDecisionRecord(const DecisionRecord& record) {
  boost::json::object object;
  object["t_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(record.time)
          .count();
  AddText(object, "decision", record.decision);
  object["event"] = ToString(record.event);
  if (record.reason) {
    object["reason"] = ToString(*record.reason);
  }
  AddText(object, "target", record.target);
  AddText(object, "shard", record.shard);
  if (record.attempt != kNoAttempt) {
    object["attempt"] = record.attempt;
  }
  AddText(object, "snapshot", record.snapshot);
  AddText(object, "start_id", record.start_id);
  boost::json::object numbers;
  for (const DecisionNumber& number : record.numbers.all()) {
    numbers[ToString(number.name)] = number.value;
  }
  if (!numbers.empty()) {
    object["numbers"] = std::move(numbers);
  }
  return boost::json::serialize(object);
}

DecisionRecord ParseDecisionRecord(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"t_us", "decision", "event", "reason", "target", "shard",
                    "attempt", "snapshot", "start_id", "numbers"});
  DecisionRecord record;
  record.time =
      std::chrono::microseconds(reader.Integer("t_us", 0, kMaxTimeUs));
  record.decision = reader.String("decision", "");
  record.event = ParseEvent(reader);
  record.reason = ParseRecordReason(reader);
  record.target = reader.String("target", "");
  record.shard = reader.String("shard", "");
  record.attempt = static_cast<std::uint32_t>(
      reader.Integer("attempt", 0, kNoAttempt - 1, kNoAttempt));
  record.snapshot = reader.String("snapshot", "");
  record.start_id = reader.String("start_id", "");
  if (reader.Has("numbers")) {
    record.numbers = ParseNumbers(reader.Child("numbers"));
  }
  return record;
}

}  // namespace auburnyard
