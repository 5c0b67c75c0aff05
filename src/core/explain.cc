#include "auburnyard/explain.h"

#include <algorithm>
#include <map>

#include "auburnyard/configuration.h"
#include "auburnyard/error.h"

namespace auburnyard {

namespace {

// Shard name by attempt number. Only the record that starts an attempt names
// its shard.
using ShardOfAttempt = std::map<std::uint32_t, std::string>;

constexpr std::uint64_t kFullCoveragePpm = 1'000'000;

ShardOfAttempt CollectShards(std::span<const DecisionRecord> records) {
  ShardOfAttempt shards;
  for (const DecisionRecord& record : records) {
    if (record.attempt != kNoAttempt && !record.shard.empty()) {
      shards.emplace(record.attempt, record.shard);
    }
  }
  return shards;
}

std::string_view NumberText(NumberName name, std::uint64_t value) {
  switch (name) {
    case NumberName::kRun:
      return value <= static_cast<std::uint64_t>(RunState::kRun)
                 ? ToString(static_cast<RunState>(value))
                 : "";
    case NumberName::kErrorKind:
      return value < AllErrors().size()
                 ? DescribeError(static_cast<ErrorKind>(value)).name
                 : "";
    case NumberName::kPriority:
      return value < kPriorityClassCount
                 ? ToString(static_cast<PriorityClass>(value))
                 : "";
    default:
      return "";
  }
}

boost::json::object DescribeRecord(const DecisionRecord& record,
                                   Duration origin) {
  boost::json::object step{{"ms", ToMilliseconds(record.time - origin)},
                           {"event", ToString(record.event)}};
  if (record.reason) {
    step["reason"] = ToString(*record.reason);
  }
  if (!record.target.empty()) {
    step["target"] = record.target;
  }
  if (record.attempt != kNoAttempt) {
    step["attempt"] = record.attempt;
  }
  if (!record.snapshot.empty()) {
    step["snapshot"] = record.snapshot;
  }
  for (const DecisionNumber& number : record.numbers.all()) {
    const std::string_view text = NumberText(number.name, number.value);
    if (text.empty()) {
      step[ToString(number.name)] = number.value;
    } else {
      step[ToString(number.name)] = text;
    }
  }
  return step;
}

// Events of one shard.
struct ShardHistory {
  std::string target;  // of the first result since the last restart
  boost::json::array steps;
};

class Explainer {
 public:
  explicit Explainer(std::span<const DecisionRecord> records)
      : shards(CollectShards(records)), origin(records.front().time) {
    for (const DecisionRecord& record : records) {
      this->Add(record);
    }
  }

  boost::json::object Result(std::string_view decision) {
    boost::json::array list;
    for (auto& [shard, history] : this->histories) {
      boost::json::object item{{"shard", shard}};
      if (!history.target.empty()) {
        item["answered_by"] = history.target;
      }
      item["steps"] = std::move(history.steps);
      list.push_back(std::move(item));
    }
    return {{"decision", decision},
            {"outcome", this->outcome},
            {"retries", this->retries},
            {"hedges", this->hedges},
            {"restarts", this->restarts},
            {"rejections", this->rejections},
            {"query", std::move(this->query)},
            {"parts", std::move(list)}};
  }

 private:
  void Add(const DecisionRecord& record) {
    this->Count(record);
    boost::json::object step = DescribeRecord(record, this->origin);
    const auto shard = this->shards.find(record.attempt);
    if (shard == this->shards.end()) {
      this->query.push_back(std::move(step));
      return;
    }
    ShardHistory& history = this->histories[shard->second];
    if (record.event == DecisionEvent::kRestart) {
      history.target.clear();
    }
    if (record.event == DecisionEvent::kResult && history.target.empty()) {
      history.target = record.target;
    }
    history.steps.push_back(std::move(step));
  }

  void Count(const DecisionRecord& record) {
    this->retries += record.event == DecisionEvent::kRetry ? 1 : 0;
    this->hedges += record.event == DecisionEvent::kHedge ? 1 : 0;
    if (record.event == DecisionEvent::kGateRejected) {
      ++this->rejections;
    } else if (record.event == DecisionEvent::kRestart) {
      // A restart of the query starts one attempt per shard, all with the same
      // snapshot.
      this->restarts += record.snapshot == this->restart_snapshot ? 0 : 1;
      this->restart_snapshot = record.snapshot;
    } else if (record.event == DecisionEvent::kFinished) {
      const bool complete =
          record.numbers.Find(NumberName::kCoveragePpm) == kFullCoveragePpm;
      this->outcome = complete ? "complete" : "partial";
    } else if (record.event == DecisionEvent::kRefused) {
      this->outcome = "refused";
    } else if (record.event == DecisionEvent::kCallerGone) {
      this->outcome = "abandoned by the caller";
    }
  }

  ShardOfAttempt shards;
  Duration origin;
  std::map<std::string, ShardHistory> histories;
  boost::json::array query;
  std::string outcome = "not finished in the log";
  std::string restart_snapshot;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t restarts = 0;
  std::uint64_t rejections = 0;
};

}  // namespace

boost::json::object ExplainDecision(std::span<const DecisionRecord> records) {
  if (records.empty()) {
    throw Error(ErrorKind::kNotFound,
                "the decision log has no records of this decision");
  }
  return Explainer(records).Result(records.front().decision);
}

}  // namespace auburnyard
