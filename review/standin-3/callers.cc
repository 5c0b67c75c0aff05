#include "callers.h"

#include <cstdio>
#include <utility>

namespace auburnyard::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReconnectPause{20};
// Waits for answers that come late.
constexpr std::uint32_t kReadSlackMs = 2'000;

}  // namespace

std::string RequestId(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

Callers::Callers(Options caller_options, Record& run_record)
    : options(std::move(caller_options)), record(run_record) {
  for (std::size_t i = 0; i < this->options.count; ++i) {
    const std::uint16_t port =
        this->options.ports[i % this->options.ports.size()];
    this->threads.emplace_back([this, port] { this->Run(port); });
  }
}

void Callers::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void Callers::Run(std::uint16_t port) {
  Channel channel;
  bool connected = false;
  while (!this->stopping) {
    if (!connected) {
      connected = channel.Connect(port);
      channel.SetReadTimeout(
          static_cast<std::uint32_t>(this->options.deadline.count()) +
          kReadSlackMs);
    }
    if (!connected) {
      std::this_thread::sleep_for(kReconnectPause);
      continue;
    }
    Outcome outcome = this->Send(channel, ++this->last_number);
    connected = outcome.status != 0;
    this->record.Add("client gets " + std::to_string(outcome.status) + " for " +
                     outcome.request_id);
    const milliseconds wait = outcome.retry_after;
    {
      const std::lock_guard lock(this->mutex);
      this->ended.push_back(std::move(outcome));
    }
    std::this_thread::sleep_for(wait);
  }
}

Outcome Callers::Send(Channel& channel, std::uint64_t number) {
  Outcome outcome;
  outcome.request_id = RequestId(number);
  const std::string path = this->options.path(number);
  this->record.Add("client sends " + outcome.request_id + " (" +
                   this->options.method + " " + path + ")");
  channel.Write(
      this->options.method + " " + path +
      " HTTP/1.1\r\nHost: review.example\r\nX-Auburnyard-Request-Id: " +
      outcome.request_id + "\r\nX-Auburnyard-Deadline-Ms: " +
      std::to_string(this->options.deadline.count()) +
      "\r\nContent-Length: 0\r\n\r\n");
  const auto answer = channel.Read();
  if (answer) {
    outcome.status = std::stoi(answer->Word(1));
    outcome.body = answer->body;
    const auto range = answer->fields.equal_range("x-auburnyard-server-stamp");
    for (auto field = range.first; field != range.second; ++field) {
      outcome.signatures.push_back(field->second);
    }
    const std::string retry_after = answer->Field("retry-after");
    if (!retry_after.empty()) {
      outcome.retry_after = milliseconds(
          static_cast<std::int64_t>(std::stod(retry_after) * 1'000));
    }
    if (answer->Field("connection") == "close") {
      channel.Close();
    }
  }
  return outcome;
}

}  // namespace auburnyard::review
