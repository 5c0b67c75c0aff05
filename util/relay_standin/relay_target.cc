#include "util/relay_standin/relay_target.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/record_merger.h"
#include "platform/wire_names.h"

namespace auburnyard::util {

namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
constexpr int kSlots = 2;

}  // namespace

RelayTarget::RelayTarget(boost::asio::io_context& io,
                         std::string target_id,
                         std::string target_service,
                         std::string target_domain)
    : context(io),
      name(std::move(target_id)),
      service_name(std::move(target_service)),
      domain(std::move(target_domain)) {
  this->server = std::make_shared<HttpServer>(
      io, HttpServerLimits(),
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
}

void RelayTarget::Listen(std::uint16_t port) {
  this->server->Listen("127.0.0.1", port);
  this->advertised_port = this->server->port();
}

std::string RelayTarget::address() const {
  return "127.0.0.1:" + std::to_string(this->server->port());
}

void RelayTarget::Crash() {
  this->server->StopAccepting();
  this->server->AbortConnections();
}

void RelayTarget::Restart(std::int64_t clock_step_ms) {
  const std::lock_guard lock(this->mutex);
  this->started_at_ms += clock_step_ms;
  this->reports = 0;
  this->announced_connections.clear();
  if (this->faults.leaving.exchange(false)) {
    this->server->AbortConnections();
  }
}

std::string RelayTarget::Registration(bool draining) {
  const std::lock_guard lock(this->mutex);
  return boost::json::serialize(boost::json::object{
      {"service", this->service_name},
      {"address", "127.0.0.1:" + std::to_string(this->advertised_port)},
      {"zone", this->domain},
      {"version", "v1"},
      {"slots", kSlots},
      {"state", draining ? "draining" : "ready"},
      {"warmup_left_ms", 0},
      {"born", this->started_at_ms},
      {"seq_num", ++this->reports}});
}

std::string RelayTarget::Record() const {
  std::string record = this->service_name;
  record.resize(RecordMerger::kRecordBytes, '.');
  return record;
}

std::map<std::string, int> RelayTarget::executions() const {
  const std::lock_guard lock(this->mutex);
  return this->executed;
}

std::vector<std::chrono::steady_clock::time_point> RelayTarget::AccountRuns(
    const std::string& account) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->account_runs.find(account);
  return found == this->account_runs.end()
             ? std::vector<std::chrono::steady_clock::time_point>()
             : found->second;
}

void RelayTarget::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  ++this->arrival_count;
  const std::string request_id(request.Header(platform::kRequestId));
  if (request.Header(platform::kTarget) != this->name) {
    respond({.status = kMisdirected,
             .headers = {{std::string(platform::kRequestId), request_id}}});
    return;
  }
  const HttpHeaders identity = this->AnswerHeaders(request);
  if (this->faults.rejects_requests) {
    HttpResponse refusal{.status = kUnavailable, .headers = identity};
    refusal.headers.emplace_back(platform::kNotRun, "1");
    respond(std::move(refusal));
    return;
  }
  if (!request.Header(platform::kApiKey).empty()) {
    this->key_received = true;
  }
  HttpResponse response =
      this->Run(request_id, std::string(request.Header(platform::kAccount)));
  response.headers.insert(response.headers.end(), identity.begin(),
                          identity.end());
  const int delay = this->faults.delay_ms;
  if (delay == 0) {
    respond(std::move(response));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      this->context, std::chrono::milliseconds(delay));
  timer->async_wait(
      [timer, respond, response](boost::system::error_code) mutable {
        respond(std::move(response));
      });
}

HttpHeaders RelayTarget::AnswerHeaders(const HttpRequest& request) {
  HttpHeaders headers = {{std::string(platform::kRequestId),
                          std::string(request.Header(platform::kRequestId))}};
  const std::lock_guard lock(this->mutex);
  if (this->announced_connections.contains(request.connection)) {
    ++this->ignored_announcement_count;
  }
  if (this->faults.leaving) {
    this->announced_connections.insert(request.connection);
    headers.emplace_back(platform::kLeaving, "1");
  }
  return headers;
}

HttpResponse RelayTarget::Run(const std::string& request_id,
                              const std::string& account) {
  const std::lock_guard lock(this->mutex);
  ++this->executed[request_id];
  if (!account.empty()) {
    this->account_runs[account].push_back(std::chrono::steady_clock::now());
  }
  const int failure = this->faults.failure_status;
  HttpResponse response{.status = failure == 0 ? kOk : failure,
                        .body = this->Record(),
                        .content_type = "application/octet-stream"};
  response.headers.emplace_back(platform::kSignature,
                                this->name + "." + request_id);
  return response;
}

}  // namespace auburnyard::util
