#include "server.h"

#include <optional>
#include <thread>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace auburnyard::review {

namespace {

constexpr std::chrono::milliseconds kSlotPoll{1};
// The bytes of the copy arrive before those of the next answer.
constexpr std::chrono::milliseconds kCopyLead{2};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

std::string Reason(int status) {
  switch (status) {
    case kStatusOk:
      return "OK";
    case kStatusNotFound:
      return "Not Found";
    case kStatusUnavailable:
      return "Service Unavailable";
    default:
      return "Misdirected Request";
  }
}

std::string Encode(int status,
                   const std::string& extra,
                   const std::string& request_id,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n" +
         extra +
         "Date: Mon, 07 Dec 2026 20:00:00 GMT\r\n"
         "Content-Type: application/octet-stream\r\n"
         "X-Auburnyard-Request-Id: " +
         request_id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

std::string Ledger::Add(const std::string& server, const Execution& execution) {
  const std::lock_guard lock(this->mutex);
  const std::size_t number = ++this->runs[execution.request_id];
  std::string signature =
      server + "." + execution.request_id + "." + std::to_string(number);
  this->executions[signature] = execution;
  return signature;
}

std::size_t Ledger::Runs(const std::string& request_id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->runs.find(request_id);
  return found == this->runs.end() ? 0 : found->second;
}

Execution Ledger::Find(const std::string& signature) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->executions.find(signature);
  return found == this->executions.end() ? Execution() : found->second;
}

std::vector<std::string> Ledger::RequestIds() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> ids;
  for (const auto& [id, count] : this->runs) {
    ids.push_back(id);
  }
  return ids;
}

Server::Server(Options server_options, Ledger& run_ledger, Record& run_record)
    : options(std::move(server_options)),
      ledger(run_ledger),
      record(run_record),
      random(this->options.seed),
      acceptor(std::make_unique<Acceptor>(
          [this](Channel& channel) { this->Serve(channel); })) {}

std::string Server::Registration() const {
  return boost::json::serialize(boost::json::object{
      {"service", this->options.service},
      {"address", "127.0.0.1:" + std::to_string(this->acceptor->port())},
      {"zone", this->options.zone},
      {"version", "v1"},
      {"slots", this->options.slots},
      {"state", "ready"},
      {"warmup_left_ms", 0},
      {"seq_num", 1},
      {"born", 1'796'673'600'000}});
}

double Server::Draw() {
  const std::lock_guard lock(this->mutex);
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void Server::Serve(Channel& channel) {
  std::string previous;
  while (const std::optional<Message> request = channel.Read()) {
    if (!previous.empty() && this->Draw() < this->faults.cut_copies.load() &&
        !this->SendCutCopy(channel, previous)) {
      return;
    }
    std::string answer = this->Answer(*request);
    ++this->answers;
    if (!channel.Write(answer)) {
      return;
    }
    previous = std::move(answer);
  }
}

// The copy is cut at any of its bytes.
bool Server::SendCutCopy(Channel& channel, const std::string& previous) {
  const auto size =
      1 + static_cast<std::size_t>(this->Draw() *
                                   static_cast<double>(previous.size() - 1));
  ++this->cut_copies;
  this->record.Add(this->options.id + " sends the first " +
                   std::to_string(size) + " of " +
                   std::to_string(previous.size()) +
                   " bytes of a second copy of its last answer (" +
                   previous.substr(0, previous.find('\r')) + ")");
  const bool sent = channel.Write(previous.substr(0, size));
  std::this_thread::sleep_for(kCopyLead);
  return sent;
}

std::string Server::Answer(const Message& request) {
  const std::string request_id = request.Field("x-auburnyard-request-id");
  const std::string target = request.Field("x-auburnyard-target-instance");
  if (!target.empty() && target != this->options.id) {
    return Encode(421, "X-Auburnyard-Instance-Id: " + this->options.id + "\r\n",
                  request_id, "");
  }
  if (++this->present > this->options.slots + this->options.queue) {
    --this->present;
    this->record.Add(this->options.id + " turns away " + request_id);
    return Encode(kStatusUnavailable, "X-Auburnyard-Not-Executed: 1\r\n",
                  request_id, "");
  }
  while (++this->running > this->options.slots) {
    --this->running;
    std::this_thread::sleep_for(kSlotPoll);
  }
  std::string answer = this->Run(request);
  --this->running;
  --this->present;
  return answer;
}

std::string Server::Run(const Message& request) {
  Execution execution;
  execution.request_id = request.Field("x-auburnyard-request-id");
  if (request.Word(1).ends_with("/absent")) {
    execution.status = kStatusNotFound;
    execution.body = "there is no such entry";
  } else if (this->Draw() < this->faults.failures.load()) {
    ++this->failures;
    execution.status = kStatusUnavailable;
    execution.body = "the ledger behind this server did not answer";
  } else {
    execution.status = kStatusOk;
    execution.body = "entry for " + execution.request_id;
  }
  const std::string signature = this->ledger.Add(this->options.id, execution);
  this->record.Add(this->options.id + " runs " + execution.request_id + " (" +
                   request.start_line + "), answers " +
                   std::to_string(execution.status));
  std::this_thread::sleep_for(this->options.work);
  return Encode(execution.status,
                "X-Auburnyard-Server-Stamp: " + signature + "\r\n",
                execution.request_id, execution.body);
}

}  // namespace auburnyard::review
