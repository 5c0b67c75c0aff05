#include "util/target_standin/target_model.h"

#include <algorithm>

namespace auburnyard::util {

namespace {

// Bounds the memory of long runs; the oldest records are evicted first.
constexpr std::size_t kMaxRecords = 200'000;

std::string_view ToString(AdmissionOutcome outcome) {
  switch (outcome) {
    case AdmissionOutcome::kQueueFull:
      return "queue_full";
    case AdmissionOutcome::kLeaving:
      return "leaving";
    case AdmissionOutcome::kSnapshotAbsent:
      return "snapshot_absent";
    case AdmissionOutcome::kAccepted:
      break;
  }
  return "accepted";
}

}  // namespace

TargetModel::TargetModel(const TargetOptions& target_options,
                         std::uint64_t process_nonce)
    : options(target_options),
      snapshots(target_options.snapshots),
      latency(target_options.latency, target_options.seed),
      cold(target_options.cold_limit,
           target_options.warm_after,
           target_options.start_cold),
      nonce(process_nonce) {}

std::string TargetModel::start_id() const {
  return this->options.id + "-" + std::to_string(this->nonce) + "-" +
         std::to_string(this->starts);
}

ExecutionId TargetModel::AddRecord(const SubRequest& request, TimePoint now) {
  if (this->records.size() >= kMaxRecords && this->load() < kMaxRecords / 2 &&
      (this->records.front().finished || this->records.front().cancelled ||
       this->records.front().refused)) {
    this->records.pop_front();
    ++this->first_record;
  }
  this->records.push_back(
      {.request = request, .start_id = this->start_id(), .received = now});
  ++this->counts["received"];
  return this->first_record + this->records.size() - 1;
}

void TargetModel::Refuse(ExecutionId id,
                         std::string_view detail,
                         TimePoint now) {
  ExecutionRecord& record = this->Record(id);
  record.refused = now;
  record.detail = detail;
  ++this->counts["refused"];
  ++this->counts["refused_" + std::string(detail)];
}

AdmissionOutcome TargetModel::CheckAdmission(const SubRequest& request) const {
  if (this->leaving) {
    return AdmissionOutcome::kLeaving;
  }
  if (!this->snapshots.Holds(request.service, request.snapshot,
                             request.range)) {
    return AdmissionOutcome::kSnapshotAbsent;
  }
  // An execution that takes a free slot does not occupy the queue.
  const std::size_t capacity = this->options.queue_length +
                               (this->running.size() < this->options.slots
                                    ? this->options.slots - this->running.size()
                                    : 0);
  return this->waiting.size() >= capacity ? AdmissionOutcome::kQueueFull
                                          : AdmissionOutcome::kAccepted;
}

Arrival TargetModel::Receive(const SubRequest& request, TimePoint now) {
  const ExecutionId id = this->AddRecord(request, now);
  if (this->draining || this->leaving) {
    ++this->counts["received_while_draining"];
  }
  const AdmissionOutcome outcome = this->CheckAdmission(request);
  if (outcome != AdmissionOutcome::kAccepted) {
    this->Refuse(id, ToString(outcome), now);
    return {outcome, id};
  }
  this->waiting.push_back(id);
  this->cold.OnArrival(this->ColdConcurrency());
  return {outcome, id};
}

std::uint32_t TargetModel::ColdConcurrency() const {
  const auto recent = [this](ExecutionId id) { return id >= this->cold_since; };
  return static_cast<std::uint32_t>(
      std::count_if(this->waiting.begin(), this->waiting.end(), recent) +
      std::count_if(this->running.begin(), this->running.end(), recent));
}

std::vector<StartedExecution> TargetModel::StartQueued(
    TimePoint now,
    std::vector<ExecutionId>& expired) {
  std::vector<StartedExecution> started;
  const auto limit = [this] {
    return this->cold.cold() ? std::min(this->options.slots, this->cold.limit())
                             : this->options.slots;
  };
  while (!this->waiting.empty() && this->running.size() < limit()) {
    const ExecutionId id = this->waiting.front();
    this->waiting.pop_front();
    ExecutionRecord& record = this->Record(id);
    if (record.request.deadline && *record.request.deadline <= now) {
      this->Refuse(id, "deadline", now);
      expired.push_back(id);
      continue;
    }
    record.started = now;
    this->running.push_back(id);
    ++this->counts["started"];
    Duration time = this->latency.Next();
    if (this->cold.limit_exceeded()) {
      time = std::chrono::duration_cast<Duration>(time *
                                                  this->options.cold_penalty);
    }
    started.push_back({id, time});
  }
  return started;
}

bool TargetModel::Finish(ExecutionId id, TimePoint now) {
  const auto found = std::find(this->running.begin(), this->running.end(), id);
  if (found == this->running.end()) {
    return false;
  }
  this->running.erase(found);
  this->Record(id).finished = now;
  ++this->counts["finished"];
  if (id >= this->cold_since) {
    this->cold.OnCompletion();
  }
  return true;
}

Cancellation TargetModel::Cancel(std::string_view attempt_id,
                                 std::string_view reason,
                                 TimePoint now) {
  const auto matches = [this, attempt_id](ExecutionId id) {
    return this->Record(id).request.attempt_id == attempt_id;
  };
  auto queued =
      std::find_if(this->waiting.begin(), this->waiting.end(), matches);
  if (queued != this->waiting.end()) {
    const ExecutionId id = *queued;
    return {this->CancelExecution(id, reason, now), id};
  }
  auto active =
      std::find_if(this->running.begin(), this->running.end(), matches);
  if (active != this->running.end()) {
    const ExecutionId id = *active;
    return {this->CancelExecution(id, reason, now), id};
  }
  return {};
}

CancelOutcome TargetModel::CancelExecution(ExecutionId id,
                                           std::string_view reason,
                                           TimePoint now) {
  const bool queued = std::erase(this->waiting, id) > 0;
  const bool active = std::erase(this->running, id) > 0;
  if (!queued && !active) {
    return CancelOutcome::kUnknown;
  }
  ExecutionRecord& record = this->Record(id);
  record.cancelled = now;
  record.detail = reason;
  ++this->counts[queued ? "cancelled_before_start" : "cancelled_running"];
  return queued ? CancelOutcome::kNotStarted : CancelOutcome::kRunning;
}

void TargetModel::Restart(TimePoint now) {
  while (!this->waiting.empty()) {
    this->CancelExecution(this->waiting.front(), "crash", now);
  }
  while (!this->running.empty()) {
    this->CancelExecution(this->running.front(), "crash", now);
  }
  this->BecomeCold();
}

void TargetModel::BecomeCold() {
  ++this->starts;
  this->cold.BecomeCold();
  this->cold_since = this->first_record + this->records.size();
}

void TargetModel::ResetRecords() {
  if (this->load() == 0) {
    this->first_record += this->records.size();
    this->records.clear();
  }
  this->counts.clear();
  this->cold.ResetRecords();
}

boost::json::object TargetModel::ToJson() const {
  boost::json::object json = this->cold.ToJson();
  json["id"] = this->options.id;
  json["address"] =
      this->options.host + ":" + std::to_string(this->options.port);
  json["domain"] = this->options.domain;
  json["start_id"] = this->start_id();
  json["running"] = this->running.size();
  json["queued"] = this->waiting.size();
  json["slots"] = this->options.slots;
  json["draining"] = this->draining;
  json["leaving"] = this->leaving;
  boost::json::object totals;
  for (const auto& [name, count] : this->counts) {
    totals[name] = count;
  }
  json["counts"] = std::move(totals);
  return json;
}

}  // namespace auburnyard::util
