#include "review/standin/backend.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/json.hpp>

namespace review {

namespace {

constexpr Milliseconds kHeartbeat{1'200};
constexpr Milliseconds kTick{5};
constexpr Milliseconds kDefaultDeadline{60'000};

}  // namespace

std::size_t ArrivalLog::Add(Arrival arrival) {
  const std::lock_guard lock(this->mutex);
  this->arrivals.push_back(std::move(arrival));
  return this->arrivals.size() - 1;
}

void ArrivalLog::Update(std::size_t index,
                        const std::function<void(Arrival&)>& change) {
  const std::lock_guard lock(this->mutex);
  change(this->arrivals.at(index));
}

std::vector<Arrival> ArrivalLog::All() const {
  const std::lock_guard lock(this->mutex);
  return {this->arrivals.begin(), this->arrivals.end()};
}

Backend::Backend(Options backend_options,
                 Store& platform_store,
                 ArrivalLog& log)
    : settings(std::move(backend_options)),
      store(platform_store),
      arrivals(log),
      born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  this->server = std::make_unique<Server>(
      [this](const Message& request, Connection& peer) {
        return this->Handle(request, peer);
      });
  this->heart = std::thread([this] { this->Beat(); });
}

Backend::~Backend() {
  this->End();
}

void Backend::Beat() {
  std::unique_lock lock(this->mutex);
  while (!this->ended) {
    this->Register();
    this->changed.wait_for(lock, kHeartbeat, [this] { return this->ended; });
  }
}

void Backend::Register() {
  this->store.Put(
      "servers/" + this->settings.id,
      boost::json::serialize(boost::json::object{
          {"service", this->settings.service},
          {"address", "127.0.0.1:" + std::to_string(this->server->port())},
          {"zone", this->settings.zone},
          {"version", "v1"},
          {"slots", this->settings.slots},
          {"state", this->draining ? "draining" : "ready"},
          {"warmup_left_ms", 0},
          {"seq_num", ++this->beats},
          {"born", this->born}}));
}

SteadyTime Backend::Drain() {
  const std::lock_guard lock(this->mutex);
  this->draining = true;
  this->Register();
  return Now();
}

void Backend::End() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->ended) {
      return;
    }
    this->ended = true;
  }
  this->changed.notify_all();
  this->heart.join();
  this->server->Stop();
  this->store.Remove("servers/" + this->settings.id);
}

std::string Backend::Answer(const Message& request,
                            int status,
                            Headers headers,
                            std::string_view body) {
  headers.emplace_back("X-Auburnyard-Request-Id",
                       request.Header("X-Auburnyard-Request-Id"));
  headers.emplace_back("X-Auburnyard-Instance-Id", this->settings.id);
  headers.emplace_back("X-Auburnyard-Server-Load",
                       std::to_string(this->running) + "," +
                           std::to_string(this->waiting.size()) + "," +
                           std::to_string(this->settings.slots));
  return EncodeResponse(status, headers, body);
}

std::string Backend::Refuse(const Message& request, std::size_t arrival) {
  this->arrivals.Update(arrival, [](Arrival& entry) {
    entry.state = "refused";
    entry.finished = Now();
  });
  return this->Answer(request, 503, {{"X-Auburnyard-Not-Executed", "1"}}, "");
}

// Spreads the additional bytes evenly over the answers.
void Backend::CountAnswer(Connection& peer) {
  const auto number = static_cast<double>(++this->answers);
  if (std::floor(number * this->extra_share) >
      std::floor((number - 1) * this->extra_share)) {
    peer.late_bytes =
        EncodeResponse(503, {{"X-Auburnyard-Not-Executed", "1"}}, "");
  }
}

void Backend::SendExtraBytes(double share) {
  const std::lock_guard lock(this->mutex);
  this->extra_share = share;
}

std::optional<std::string> Backend::AwaitSlot(const Message& request,
                                              Connection& peer,
                                              std::size_t arrival,
                                              SteadyTime deadline) {
  std::unique_lock lock(this->mutex);
  if (this->running >= this->settings.slots &&
      this->waiting.size() >= this->settings.queue) {
    return this->Refuse(request, arrival);
  }
  const std::uint64_t ticket = this->next_ticket++;
  this->waiting.push_back(ticket);
  const auto leave = [&] { std::erase(this->waiting, ticket); };
  while (this->running >= this->settings.slots ||
         this->waiting.front() != ticket) {
    this->changed.wait_for(lock, kTick);
    if (this->ended || peer.PeerClosed()) {
      leave();
      this->arrivals.Update(arrival, [this](Arrival& entry) {
        entry.state = this->ended ? "ended" : "dropped";
        entry.finished = Now();
      });
      return std::nullopt;
    }
    if (Now() >= deadline) {
      leave();
      return this->Refuse(request, arrival);
    }
  }
  leave();
  ++this->running;
  return std::string();
}

std::optional<std::string> Backend::Handle(const Message& request,
                                           Connection& peer) {
  if (!peer.late_bytes.empty()) {
    peer.Write(std::exchange(peer.late_bytes, {}));
  }
  if (request.SecondWord() == "/health") {
    const std::lock_guard lock(this->mutex);
    return this->Answer(request, this->draining ? 503 : 200, {}, "");
  }
  const std::string target = request.Header("X-Auburnyard-Target-Instance");
  const std::string id = request.Header("X-Auburnyard-Request-Id");
  if (!target.empty() && target != this->settings.id) {
    const std::lock_guard lock(this->mutex);
    return this->Answer(request, 421, {}, "");
  }
  const std::string limit = request.Header("X-Auburnyard-Deadline-Ms");
  const SteadyTime deadline =
      Now() + (limit.empty() ? kDefaultDeadline
                             : Milliseconds(std::atoll(limit.c_str())));
  const std::size_t arrival = this->arrivals.Add(
      {.request = id, .backend = this->settings.id, .arrived = Now()});
  const auto slot = this->AwaitSlot(request, peer, arrival, deadline);
  if (!slot || !slot->empty()) {
    return slot;
  }
  this->arrivals.Update(arrival, [](Arrival& entry) {
    entry.state = "running";
    entry.started = Now();
  });
  const SteadyTime done = Now() + this->settings.work;
  std::string state = "answered";
  while (Now() < done && state == "answered") {
    std::this_thread::sleep_for(std::min<Milliseconds>(
        kTick, std::chrono::duration_cast<Milliseconds>(done - Now()) +
                   Milliseconds(1)));
    if (this->server->stopped()) {
      state = "ended";
    } else if (peer.PeerClosed()) {
      state = "dropped";
    } else if (Now() >= deadline) {
      state = "late";
    }
  }
  std::uint64_t execution = 0;
  {
    const std::lock_guard lock(this->mutex);
    --this->running;
    execution = ++this->executions;
  }
  this->changed.notify_all();
  this->arrivals.Update(arrival, [&](Arrival& entry) {
    entry.state = state;
    entry.finished = Now();
  });
  if (state == "ended" || state == "dropped") {
    return std::nullopt;
  }
  const Headers stamp = {{"X-Auburnyard-Server-Stamp",
                          this->settings.service + "." + this->settings.id +
                              "." + id + "." + std::to_string(execution)}};
  const std::lock_guard lock(this->mutex);
  if (state == "late") {
    return this->Answer(request, 504, stamp, "");
  }
  this->CountAnswer(peer);
  return this->Answer(request, 200, stamp, this->settings.body);
}

}  // namespace review
