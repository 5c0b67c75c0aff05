#include "util/target_standin/target_service.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include <boost/asio/post.hpp>

#include "src/core/json_reader.h"
#include "util/common/expected_items.h"
#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

constexpr std::uint64_t kMaxDownMs = 3'600'000;
// Default of "down_ms": a crashed target stays down until the action "restart".
constexpr std::uint64_t kIndefiniteDownMs = kMaxDownMs;
constexpr std::uint64_t kMaxCount = 100'000;
constexpr std::uint64_t kMaxKey = std::numeric_limits<std::uint64_t>::max();

SubRequest ParseSubRequest(const HttpRequest& request, TimePoint now) {
  const boost::json::value document =
      detail::ParseJson(request.body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  SubRequest result;
  result.request_id = request.Header("X-Request-Id");
  result.attempt_id = request.Header("X-Attempt-Id");
  result.snapshot = request.Header("X-Snapshot");
  result.service = reader.String("service");
  result.shard = reader.String("shard");
  result.range = {reader.Integer("begin", 0, kMaxKey),
                  reader.Integer("end", 0, kMaxKey)};
  result.query = reader.String("query", "");
  const std::string_view deadline = request.Header("X-Deadline-Ms");
  std::uint32_t milliseconds = 0;
  const auto [end, error] = std::from_chars(
      deadline.data(), deadline.data() + deadline.size(), milliseconds);
  if (!deadline.empty() && error == std::errc()) {
    result.deadline = now + std::chrono::milliseconds(milliseconds);
  }
  return result;
}

}  // namespace

TargetService::TargetService(boost::asio::io_context& io_context,
                             const Clock& service_clock,
                             const TargetOptions& options,
                             std::uint64_t process_nonce)
    : context(io_context),
      clock(service_clock),
      model(options, process_nonce),
      reply_injector(io_context, options.seed) {}

void TargetService::Listen() {
  HttpServerLimits limits;
  limits.max_connections = this->model.options.connections;
  this->server = std::make_shared<RestartableServer>(
      this->context, limits,
      [weak = this->weak_from_this()](const HttpRequest& request,
                                      const HttpResponder& respond) {
        if (const auto self = weak.lock()) {
          self->Receive(request, respond);
        }
      });
  this->server->Listen(this->model.options.host, this->model.options.port);
  this->model.options.port = this->server->port();
}

void TargetService::Receive(const HttpRequest& request,
                            const HttpResponder& respond) {
  std::unique_lock lock(this->mutex);
  if (this->faults.frozen) {
    this->frozen_work.emplace_back(
        [self = this->shared_from_this(), request, respond] {
          self->Receive(request, respond);
        });
    return;
  }
  const Duration cost = this->model.options.connection_cost;
  if (request.number != 1 || cost == Duration::zero()) {
    lock.unlock();
    this->Handle(request, respond);
    return;
  }
  // Connections are set up one after the other.
  this->setup_ends_at = std::max(this->setup_ends_at, this->clock.Now()) + cost;
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      this->context, this->setup_ends_at);
  timer->async_wait([self = this->shared_from_this(), timer, request,
                     respond](boost::system::error_code) {
    self->HandleChecked(request, respond);
  });
}

void TargetService::HandleChecked(const HttpRequest& request,
                                  const HttpResponder& respond) {
  try {
    this->Handle(request, respond);
  } catch (const Error& error) {
    respond(ErrorReply(error.kind(), error.what()));
  }
}

void TargetService::Handle(const HttpRequest& request,
                           const HttpResponder& respond) {
  if (request.path == "/v1/execute" && request.method == "POST") {
    this->HandleExecute(request, respond);
  } else if (request.path == "/v1/cancel" && request.method == "POST") {
    respond(this->HandleCancel(request));
  } else {
    throw Error(ErrorKind::kNotFound, request.path + ": no such resource");
  }
}

void TargetService::HandleExecute(const HttpRequest& request,
                                  const HttpResponder& respond) {
  const TimePoint now = this->clock.Now();
  const SubRequest sub_request = ParseSubRequest(request, now);
  std::unique_lock lock(this->mutex);
  const Arrival arrival = this->model.Receive(sub_request, now);
  switch (arrival.outcome) {
    case AdmissionOutcome::kQueueFull:
      respond(this->RefusalReply("the queue is full"));
      return;
    case AdmissionOutcome::kLeaving:
      respond(this->RefusalReply("the target is leaving"));
      return;
    case AdmissionOutcome::kSnapshotAbsent:
      respond(this->AbsentSnapshotReply(sub_request));
      return;
    case AdmissionOutcome::kAccepted:
      break;
  }
  this->pending[arrival.execution] = {respond, nullptr};
  this->StartWork();
  // The lock is released first, because OnClosed() calls back at once if the
  // client has already closed the connection.
  lock.unlock();
  if (request.disconnect_notifier) {
    request.disconnect_notifier->OnClosed(
        [weak = this->weak_from_this(), id = arrival.execution] {
          if (const auto self = weak.lock()) {
            self->CancelAbandoned(id);
          }
        });
  }
}

void TargetService::StartWork() {
  std::vector<ExecutionId> expired;
  for (const StartedExecution& started :
       this->model.StartQueued(this->clock.Now(), expired)) {
    this->ScheduleCompletion(started);
  }
  for (const ExecutionId id : expired) {
    this->Reply(id, this->RefusalReply("the deadline elapsed in the queue"));
  }
}

void TargetService::ScheduleCompletion(const StartedExecution& started) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      this->context, started.latency);
  this->pending[started.id].timer = timer;
  timer->async_wait([self = this->shared_from_this(), timer,
                     id = started.id](boost::system::error_code error) {
    if (!error) {
      self->Complete(id);
    }
  });
}

void TargetService::Complete(ExecutionId id) {
  const std::lock_guard lock(this->mutex);
  if (this->faults.frozen) {
    this->frozen_work.emplace_back(
        [self = this->shared_from_this(), id] { self->Complete(id); });
    return;
  }
  const auto found = this->pending.find(id);
  if (found == this->pending.end() ||
      !this->model.Finish(id, this->clock.Now())) {
    return;
  }
  const HttpResponder respond = std::move(found->second.respond);
  this->pending.erase(found);
  const SubRequest& request = this->model.RequestOf(id);
  this->reply_injector.Deliver(request, this->ResultReply(request), respond,
                               this->faults);
  this->StartWork();
}

// Closing the connection cancels a queued execution. A started one runs to
// completion, as in servers that detect a closed connection only when they
// write.
void TargetService::CancelAbandoned(ExecutionId id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->pending.find(id);
  if (found != this->pending.end() && !found->second.timer) {
    this->model.CancelExecution(id, "connection_closed", this->clock.Now());
    this->pending.erase(found);
  }
}

HttpResponse TargetService::HandleCancel(const HttpRequest& request) {
  const std::lock_guard lock(this->mutex);
  const Cancellation cancellation = this->model.Cancel(
      request.Header("X-Attempt-Id"), "cancelled", this->clock.Now());
  if (cancellation.outcome == CancelOutcome::kUnknown) {
    HttpResponse unknown = JsonReply({{"state", "unknown"}}, 404);
    this->AddStatusHeaders(unknown);
    return unknown;
  }
  const bool queued = cancellation.outcome == CancelOutcome::kNotStarted;
  HttpResponse reply = queued ? this->RefusalReply("cancelled before start")
                              : JsonReply({{"state", "cancelled"}}, 503);
  this->AddStatusHeaders(reply);
  this->Reply(cancellation.execution, std::move(reply));
  this->StartWork();
  return JsonReply({{"state", queued ? "not_started" : "running"}});
}

void TargetService::Reply(ExecutionId id, HttpResponse reply) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  if (found->second.timer) {
    found->second.timer->cancel();
  }
  const HttpResponder respond = std::move(found->second.respond);
  this->pending.erase(found);
  respond(std::move(reply));
}

HttpResponse TargetService::ResultReply(const SubRequest& request) {
  HttpResponse reply =
      JsonReply({{"attempt", request.attempt_id},
                 {"snapshot", request.snapshot},
                 {"begin", request.range.begin},
                 {"end", request.range.end},
                 {"items", ExpectedItems({.service = request.service,
                                          .shard = request.shard,
                                          .snapshot = request.snapshot,
                                          .query = request.query},
                                         request.range)}});
  reply.headers.emplace_back("X-Attempt-Id", request.attempt_id);
  reply.headers.emplace_back("X-Snapshot", request.snapshot);
  this->AddStatusHeaders(reply);
  return reply;
}

HttpResponse TargetService::RefusalReply(const std::string& detail) {
  HttpResponse reply = ErrorReply(ErrorKind::kOverloaded, detail);
  reply.headers.emplace_back("X-Not-Started", "1");
  this->AddStatusHeaders(reply);
  return reply;
}

HttpResponse TargetService::AbsentSnapshotReply(const SubRequest& request) {
  HttpResponse reply = ErrorReply(
      ErrorKind::kConflict, request.snapshot + ": not held for the range");
  reply.headers.emplace_back(
      "X-Snapshot", this->model.snapshots.CurrentSnapshot(request.service));
  reply.headers.emplace_back("X-Not-Started", "1");
  this->AddStatusHeaders(reply);
  return reply;
}

void TargetService::AddStatusHeaders(HttpResponse& reply) {
  reply.headers.emplace_back("X-Start-Id", this->model.start_id());
  if (const auto load = this->reporter.Report(this->model.load(), this->faults,
                                              this->clock.Now())) {
    reply.headers.emplace_back("X-Load", std::to_string(*load));
  }
  reply.headers.emplace_back(
      "X-Drain", this->model.draining || this->model.leaving ? "1" : "0");
}

void TargetService::Control(const detail::JsonReader& reader) {
  const auto down = std::chrono::milliseconds(
      reader.Integer("down_ms", 0, kMaxDownMs, kIndefiniteDownMs));
  bool resume = false;
  {
    const std::lock_guard lock(this->mutex);
    const bool was_frozen = this->faults.frozen;
    this->faults = ParseTargetFaults(reader, this->faults);
    resume = was_frozen && !this->faults.frozen;
    this->model.latency.SetOptions(
        ParseLatency(reader, this->model.latency.current()));
    this->model.draining = reader.Boolean("draining", this->model.draining);
    this->model.leaving = reader.Boolean("leaving", this->model.leaving);
    this->ChangeLimits(reader);
    if (reader.Has("snapshot")) {
      this->ChangeSnapshot(reader.Child("snapshot"));
    }
    this->StartWork();
  }
  if (resume) {
    this->ResumeFrozenWork();
  }
  if (reader.Has("action")) {
    this->RunAction(reader.String("action"), down);
  }
}

void TargetService::ChangeLimits(const detail::JsonReader& reader) {
  TargetOptions& options = this->model.options;
  options.slots = static_cast<std::uint32_t>(
      reader.Integer("slots", 0, kMaxCount, options.slots));
  options.queue_length = static_cast<std::uint32_t>(
      reader.Integer("queue_length", 0, kMaxCount, options.queue_length));
}

void TargetService::ChangeSnapshot(const detail::JsonReader& reader) {
  reader.AllowOnly({"service", "id", "ranges", "keep_older"});
  std::vector<KeyRange> ranges;
  if (reader.Has("ranges")) {
    for (const boost::json::value& range : reader.Array("ranges")) {
      const detail::JsonReader part(range, reader.PathOf("ranges"),
                                    ErrorKind::kBadRequest);
      ranges.push_back(
          {part.Integer("begin", 0, kMaxKey), part.Integer("end", 0, kMaxKey)});
    }
  }
  this->model.snapshots.Set(reader.String("service", ""), reader.String("id"),
                            std::move(ranges),
                            reader.Boolean("keep_older", true));
}

void TargetService::RunAction(const std::string& action, Duration down) {
  if (action == "crash") {
    this->Crash();
    if (down < std::chrono::milliseconds(kIndefiniteDownMs)) {
      this->server->RestartAfter(down);
    }
  } else if (action == "restart") {
    this->Crash();
    this->server->RestartAfter(Duration::zero());
  } else if (action == "chill") {
    const std::lock_guard lock(this->mutex);
    this->model.BecomeCold();
  } else {
    throw Error(ErrorKind::kBadRequest,
                "action: expected \"crash\", \"restart\" or \"chill\"");
  }
}

void TargetService::Crash() {
  this->server->Stop();
  const std::lock_guard lock(this->mutex);
  for (auto& [id, entry] : this->pending) {
    if (entry.timer) {
      entry.timer->cancel();
    }
  }
  this->pending.clear();
  this->frozen_work.clear();
  this->reply_injector.Clear();
  this->faults.frozen = false;
  this->model.Restart(this->clock.Now());
}

void TargetService::ResumeFrozenWork() {
  std::vector<std::function<void()>> work;
  {
    const std::lock_guard lock(this->mutex);
    work.swap(this->frozen_work);
  }
  for (std::function<void()>& item : work) {
    boost::asio::post(this->context, std::move(item));
  }
}

boost::json::object TargetService::Status() const {
  const std::lock_guard lock(this->mutex);
  return this->model.ToJson();
}

std::vector<ExecutionRecord> TargetService::Records() const {
  const std::lock_guard lock(this->mutex);
  return {this->model.all_records().begin(), this->model.all_records().end()};
}

void TargetService::ResetRecords() {
  const std::lock_guard lock(this->mutex);
  this->model.ResetRecords();
}

}  // namespace auburnyard::util
