#include "src/daemon/target_client.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

// An exchange is kept open after its deadline, because the target's slot stays
// in use until the target has answered.
constexpr std::chrono::milliseconds kLateReplyTimeout{1000};
constexpr std::chrono::milliseconds kCancelTimeout{500};
constexpr std::uint64_t kMaxKey = std::numeric_limits<std::uint64_t>::max();
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

HttpCall MakeCall(const SubRequest& request,
                  std::chrono::milliseconds remaining) {
  HttpCall call;
  call.method = "POST";
  call.path = "/v1/execute";
  call.headers = {{"X-Request-Id", request.request_id},
                  {"X-Attempt-Id", request.id},
                  {"X-Snapshot", request.snapshot},
                  {"X-Deadline-Ms", std::to_string(remaining.count())}};
  call.body =
      boost::json::serialize(boost::json::object{{"service", request.service},
                                                 {"shard", request.shard},
                                                 {"begin", request.range.begin},
                                                 {"end", request.range.end},
                                                 {"query", request.query}});
  return call;
}

TargetReport ReadReport(const HttpResponse& response) {
  TargetReport report;
  report.start_id = std::string(response.Header("X-Start-Id"));
  report.draining = response.Header("X-Drain") == "1";
  const std::string_view load = response.Header("X-Load");
  std::uint32_t value = 0;
  if (!load.empty() &&
      std::from_chars(load.data(), load.data() + load.size(), value).ec ==
          std::errc()) {
    report.load = value;
  }
  return report;
}

PartialResult ParseResult(const HttpResponse& response,
                          const SubRequest& request) {
  const boost::json::value document =
      detail::ParseJson(response.body, ErrorKind::kProtocol);
  const detail::JsonReader reader(document, "", ErrorKind::kProtocol);
  if (reader.String("attempt") != request.id ||
      response.Header("X-Attempt-Id") != request.id) {
    throw Error(ErrorKind::kProtocol, "the reply belongs to another attempt");
  }
  PartialResult result;
  result.snapshot = reader.String("snapshot");
  result.range = {reader.Integer("begin", 0, kMaxKey),
                  reader.Integer("end", 0, kMaxKey)};
  result.items = reader.Array("items");
  return result;
}

void InterpretResponse(const HttpResponse& response,
                       const SubRequest& request,
                       TargetReply& reply) {
  reply.report = ReadReport(response);
  if (response.status == kHttpConflict &&
      !response.Header("X-Snapshot").empty()) {
    reply.outcome = ReplyOutcome::kRefusedBeforeStart;
    reply.failure = {Reason::kRestartSnapshotChanged, RunState::kNotRun};
  } else if (response.Header("X-Not-Started") == "1") {
    reply.outcome = ReplyOutcome::kRefusedBeforeStart;
    reply.failure = {reply.report.draining ? Reason::kRetryTargetDraining
                                           : Reason::kRetryTargetRefused,
                     RunState::kNotRun};
  } else if (response.status == kHttpOk) {
    reply.result = ParseResult(response, request);
    reply.outcome = ReplyOutcome::kOk;
  } else {
    reply.failure = {Reason::kRetryBadReply, RunState::kUnknown};
  }
}

TargetReply Interpret(const ExchangeResult& exchange,
                      const SubRequest& request) {
  TargetReply reply;
  if (!exchange.error.empty()) {
    reply.timed_out = exchange.timed_out;
    reply.connection_lost = !exchange.timed_out;
    const bool sent = exchange.stage != ExchangeStage::kConnect;
    reply.failure = {Reason::kRetryConnectionFailed,
                     sent ? RunState::kUnknown : RunState::kNotRun, sent};
    return reply;
  }
  try {
    InterpretResponse(exchange.response, request, reply);
  } catch (const Error&) {
    reply.outcome = ReplyOutcome::kFailed;
    reply.failure = {Reason::kRetryBadReply, RunState::kUnknown};
  }
  return reply;
}

}  // namespace

TargetClient::TargetClient(boost::asio::io_context& io_context,
                           const TargetConfig& target,
                           const Clock& runtime_clock)
    : context(io_context),
      clock(runtime_clock),
      host(target.host),
      port(target.port),
      max_idle(target.connections) {}

void TargetClient::Execute(const SubRequest& request, Callback callback) {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      request.deadline - this->clock.Now());
  const auto deadline = std::max(remaining, std::chrono::milliseconds(1));
  std::shared_ptr<HttpConnection> connection = this->Acquire();
  connection->Exchange(
      MakeCall(request, deadline), deadline + kLateReplyTimeout,
      [self = this->shared_from_this(), connection, request,
       done = std::move(callback)](ExchangeResult exchange) {
        const TargetReply reply = Interpret(exchange, request);
        // A reply for another attempt means that requests and replies on the
        // connection are out of sync, so it is not reused.
        const bool out_of_sync = reply.outcome == ReplyOutcome::kFailed;
        self->Release(connection, exchange.reusable && !out_of_sync);
        done(reply);
      });
}

void TargetClient::Cancel(const AttemptId& id) {
  HttpCall call;
  call.method = "POST";
  call.path = "/v1/cancel";
  call.headers = {{"X-Attempt-Id", id}};
  std::shared_ptr<HttpConnection> connection = this->Acquire();
  connection->Exchange(
      call, kCancelTimeout,
      [self = this->shared_from_this(), connection](ExchangeResult exchange) {
        self->Release(connection, exchange.reusable);
      });
}

void TargetClient::Probe(std::function<void(TargetReport)> callback) {
  std::shared_ptr<HttpConnection> connection = this->Acquire();
  connection->Exchange(
      {.method = "POST",
       .path = "/v1/cancel",
       .headers = {{"X-Attempt-Id", "probe"}}},
      kCancelTimeout,
      [self = this->shared_from_this(), connection,
       done = std::move(callback)](const ExchangeResult& exchange) {
        self->Release(connection, exchange.reusable);
        if (exchange.error.empty()) {
          done(ReadReport(exchange.response));
        }
      });
}

std::size_t TargetClient::open_connections() const {
  const std::lock_guard lock(this->mutex);
  return this->in_use + this->idle.size();
}

std::shared_ptr<HttpConnection> TargetClient::Acquire() {
  const std::lock_guard lock(this->mutex);
  ++this->in_use;
  if (this->idle.empty()) {
    return std::make_shared<HttpConnection>(this->context, this->host,
                                            this->port);
  }
  std::shared_ptr<HttpConnection> connection = std::move(this->idle.back());
  this->idle.pop_back();
  return connection;
}

void TargetClient::Release(const std::shared_ptr<HttpConnection>& connection,
                           bool reusable) {
  const std::lock_guard lock(this->mutex);
  --this->in_use;
  if (reusable && this->idle.size() < this->max_idle) {
    this->idle.push_back(connection);
  } else {
    connection->Close();
  }
}

}  // namespace auburnyard
