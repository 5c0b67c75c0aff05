#include "review/standin-2/server.h"

#include <algorithm>
#include <condition_variable>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace review {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;

}  // namespace

void Runs::Add(Run run) {
  const std::lock_guard lock(this->mutex);
  this->runs.push_back(std::move(run));
}

std::vector<Run> Runs::All() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

Server::Server(Options server_options,
               Store& platform_store,
               Runs& all_runs,
               Record& event_record)
    : options(std::move(server_options)),
      store(platform_store),
      runs(all_runs),
      record(event_record) {}

Server::~Server() {
  this->Crash();
}

void Server::Start(std::chrono::milliseconds clock_offset) {
  const auto time_of_day =
      std::chrono::system_clock::now().time_since_epoch() + clock_offset;
  this->born =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_of_day)
          .count();
  this->sequence = 0;
  this->draining = false;
  this->cold_until = Clock::now() + this->options.warm_up;
  this->acceptor = std::make_unique<Acceptor>(
      this->port, [this](Socket& socket) { this->Serve(socket); });
  this->port = this->acceptor->port();
  this->record.Write("server " + this->options.id + " starts, born " +
                     std::to_string(this->born));
  this->Register();
  this->heartbeat =
      std::jthread([this](const std::stop_token& stop) { this->Beat(stop); });
}

void Server::Crash() {
  if (this->acceptor == nullptr) {
    return;
  }
  this->heartbeat.request_stop();
  this->heartbeat.join();
  this->acceptor->Stop();
  this->acceptor.reset();
  this->record.Write("server " + this->options.id + " ends");
}

void Server::Drain() {
  {
    const std::lock_guard lock(this->mutex);
    this->draining = true;
  }
  this->Register();
  this->record.Write("server " + this->options.id +
                     " is draining; the store has accepted its report");
}

void Server::Leave() {
  this->Crash();
  this->store.Remove("servers/" + this->options.id);
}

void Server::Register() {
  const std::lock_guard lock(this->mutex);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->cold_until - Clock::now());
  this->store.Put("servers/" + this->options.id,
                  {{"service", this->options.service},
                   {"address", "127.0.0.1:" + std::to_string(this->port)},
                   {"zone", this->options.zone},
                   {"version", "v1"},
                   {"slots", this->options.slots},
                   {"state", this->draining ? "draining" : "ready"},
                   {"warmup_left_ms", std::max<std::int64_t>(0, left.count())},
                   {"seq_num", ++this->sequence},
                   {"born", this->born}});
}

void Server::Beat(const std::stop_token& stop) {
  std::mutex waiting_mutex;
  std::condition_variable_any wakeup;
  std::unique_lock lock(waiting_mutex);
  while (!wakeup.wait_for(lock, stop, this->options.heartbeat, [&stop] {
    return stop.stop_requested();
  }) && !stop.stop_requested()) {
    this->Register();
  }
}

void Server::Serve(Socket& socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    HttpRequest request;
    boost::system::error_code error;
    http::read(socket, buffer, request, error);
    if (error) {
      return;
    }
    const HttpResponse response = this->Answer(request);
    if (this->overwhelmed) {
      return;
    }
    http::write(socket, response, error);
    if (error) {
      return;
    }
  }
}

bool Server::IsTooMuch(TimePoint now) {
  if (now >= this->cold_until || this->options.cold_crash_rate == 0) {
    return false;
  }
  this->cold_arrivals.push_back(now);
  while (now - this->cold_arrivals.front() >= std::chrono::seconds(1)) {
    this->cold_arrivals.pop_front();
  }
  return this->cold_arrivals.size() > this->options.cold_crash_rate;
}

HttpResponse Server::Answer(const HttpRequest& request) {
  const std::string id(request["X-Auburnyard-Request-Id"]);
  HttpResponse response;
  response.version(11);
  response.set("X-Auburnyard-Request-Id", id);
  if (request["X-Auburnyard-Target-Instance"] != this->options.id) {
    response.result(kMisdirected);
    response.prepare_payload();
    return response;
  }
  const TimePoint arrived = Clock::now();
  std::unique_lock lock(this->mutex);
  const bool cold = arrived < this->cold_until;
  if (this->IsTooMuch(arrived) && !this->overwhelmed.exchange(true)) {
    this->record.Write("server " + this->options.id + " crashes while cold");
  }
  ++this->waiting;
  this->slot_freed.wait(lock,
                        [this] { return this->running < this->options.slots; });
  --this->waiting;
  ++this->running;
  const std::string load = std::to_string(this->running) + "," +
                           std::to_string(this->waiting) + "," +
                           std::to_string(this->options.slots);
  const std::string stamp =
      this->options.id + "." + id + "." + std::to_string(++this->stamps);
  lock.unlock();
  this->runs.Add({this->options.id, id, arrived, cold});
  this->record.Write("run " + id + " at " + this->options.id);
  std::this_thread::sleep_for(this->options.work);
  lock.lock();
  --this->running;
  this->slot_freed.notify_one();
  if (this->draining) {
    response.set("Server-Leaving", "1");
  }
  lock.unlock();
  response.result(kOk);
  response.set("X-Auburnyard-Server-Stamp", stamp);
  response.set("X-Auburnyard-Server-Load", load);
  response.body() = "result of " + stamp;
  response.prepare_payload();
  return response;
}

}  // namespace review
