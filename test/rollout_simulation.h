#ifndef AUBURNYARD_TEST_ROLLOUT_SIMULATION_H_
#define AUBURNYARD_TEST_ROLLOUT_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "auburnyard/rendezvous.h"
#include "auburnyard/rollout_table.h"

namespace auburnyard::test {

/// Hosts with one service, whose requests arrive at random, and a store with
/// conditional writes and delayed watches. Time is virtual.
class RolloutSimulation {
 public:
  using Milliseconds = std::chrono::milliseconds;

  struct Answer {
    bool success = true;
    double latency_ms = 20;
  };
  struct Options {
    std::size_t domains = 6;
    std::size_t hosts_per_domain = 12;
    double requests_per_second = 50;
    bool fetchers_only = true;  ///< only these send requests to targets
    Milliseconds max_watch_delay{600};
    Milliseconds write_time{30};
    /// Share of the writes whose response is lost; they are executed, and a
    /// third of them only seconds later.
    double lost_responses = 0;
    std::uint64_t seed = 1;
    /// `since_order` in ms.
    std::function<
        Answer(bool is_new, std::string_view kind, double since_order)>
        answer = [](bool, std::string_view, double) { return Answer(); };
    /// Called each step; may crash hosts or write orders.
    std::function<void(RolloutSimulation&)> step;
    RolloutLimits limits{.exposure_share = 0.1,
                         .exposure_margin = 50,
                         .rollback_time = Milliseconds(5'000)};
    Milliseconds period{12'000};
    RolloutTargets targets{.has_new = true, .has_old = true};
  };

  struct Result {
    std::optional<RolloutState> state;
    double decided_ms = -1;  ///< since the order
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    std::uint64_t bad_answers = 0;  ///< of the new version
    double fiftieth_bad_ms = -1;    ///< since the order
    double last_exposure_ms = -1;
    double last_old_ms = -1;
    std::map<RolloutWrite::Kind, int> writes;
    std::string reason;
  };

  explicit RolloutSimulation(Options simulated)
      : options(std::move(simulated)), random(this->options.seed) {
    for (std::size_t d = 0; d < this->options.domains; ++d) {
      for (std::size_t i = 0; i < this->options.hosts_per_domain; ++i) {
        HostEntry entry{
            .name = "h" + std::to_string(d) + "-" + std::to_string(i),
            .failure_domain = "d" + std::to_string(d)};
        this->registered.Upsert(entry);
        this->hosts.push_back({entry});
      }
    }
    for (Host& host : this->hosts) {
      this->StartHost(host);
    }
    this->FillHistories();
  }

  void Order(const std::string& version, Milliseconds period) {
    const std::uint64_t ordered = this->SetKey("order");
    this->Broadcast([this, version, period, ordered](RolloutTable& table) {
      table.OnOrder({"s", version, period, ordered}, this->now);
    });
  }
  void Withdraw() {
    this->keys.erase("order");
    ++this->revision;
    this->Broadcast(
        [this](RolloutTable& table) { table.OnWithdrawn("s", 0, this->now); });
  }

  Result Run(Milliseconds duration) {
    this->Order("v2", this->options.period);
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->Step();
    }
    return this->result;
  }

  /// Loses the state of a host; it starts again and reads the store.
  void Restart(std::size_t index) {
    Host& host = this->hosts[index];
    host.table = nullptr;
    host.inbox.clear();
    this->StartHost(host);
    for (const auto& change : this->history) {
      host.inbox.emplace_back(this->now, change);
    }
  }
  void Kill(std::size_t index) { this->hosts[index].alive = false; }
  /// Host that writes first.
  std::size_t Decider() const {
    std::size_t best = 0;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->hosts[i].alive &&
          (!this->hosts[best].alive ||
           RendezvousScore("s", this->hosts[i].entry.name) >
               RendezvousScore("s", this->hosts[best].entry.name))) {
        best = i;
      }
    }
    return best;
  }
  double since_order() const { return ToMilliseconds(this->now - this->start); }
  std::size_t size() const { return this->hosts.size(); }
  const Result& results() const { return this->result; }
  VersionPolicy PolicyAt(std::size_t index) const {
    return this->hosts[index].table->PolicyOf("s");
  }
  int stage_writes() const { return this->executed_stages; }

  bool store_available = true;

 private:
  using Change = std::function<void(RolloutTable&)>;
  struct Host {
    HostEntry entry;
    std::unique_ptr<RolloutTable> table;
    std::deque<std::pair<TimePoint, Change>> inbox;
    bool alive = true;
    bool sends = true;
  };

  void StartHost(Host& host) {
    host.table =
        std::make_unique<RolloutTable>(host.entry.name, this->registered);
    host.table->SetLimits(this->options.limits);
    RolloutTable::Hooks hooks;
    hooks.on_event = [this](const RolloutEvent& event) {
      if (event.name == "rollout_bad" && this->result.reason.empty()) {
        this->result.reason = event.verdict.reason;
      }
    };
    host.table->SetHooks(std::move(hooks));
    host.sends = !this->options.fetchers_only ||
                 this->registered.ConnectsToTargets(host.entry.name,
                                                    host.entry.failure_domain);
  }
  // Answers of the time before the order.
  void FillHistories() {
    constexpr int kAnswers = 12;
    for (Host& host : this->hosts) {
      for (int i = 0; host.sends && i < kAnswers; ++i) {
        const std::string_view kind = i % 3 == 0 ? "a" : "b";
        const Answer answer = this->options.answer(false, kind, 0);
        VersionEvidence& before = *host.table->HistoryOf("s", kind);
        answer.success ? before.AddReply(LatencyOf(answer))
                       : before.AddFailure();
      }
    }
  }
  static Duration LatencyOf(const Answer& answer) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(answer.latency_ms));
  }
  std::uint64_t SetKey(const std::string& key) {
    return this->keys[key] = ++this->revision;
  }
  void Broadcast(const Change& change) {
    this->history.push_back(change);
    std::uniform_int_distribution<std::int64_t> delay(
        20, this->options.max_watch_delay.count());
    for (Host& host : this->hosts) {
      TimePoint at = this->now + Milliseconds(delay(this->random));
      if (!host.inbox.empty()) {
        at = std::max(at, host.inbox.back().first);
      }
      host.inbox.emplace_back(at, change);
    }
  }
  std::uint64_t RevisionOf(const std::string& key) const {
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? 0 : found->second;
  }
  void Execute(const RolloutWrite& write) {
    if (!this->store_available ||
        this->RevisionOf("order") != write.order_revision ||
        this->RevisionOf("status") != write.status_revision) {
      return;
    }
    if (write.kind == RolloutWrite::Kind::kStatus) {
      const RolloutStatus status{"s", write.state, write.target_version,
                                 this->SetKey("status")};
      this->result.state = write.state;
      if (write.state != RolloutState::kRunning) {
        this->result.decided_ms = this->since_order();
      }
      this->Broadcast([this, status](RolloutTable& table) {
        table.OnStatus(status, this->now);
      });
    } else if (write.kind == RolloutWrite::Kind::kStage) {
      if (this->RevisionOf("stage") != write.stage_revision) {
        return;
      }
      ++this->executed_stages;
      const RolloutStageRecord record{"s", write.order_revision, write.stage,
                                      this->SetKey("stage")};
      this->Broadcast([this, record](RolloutTable& table) {
        table.OnStage(record, this->now);
      });
    } else {
      this->Broadcast([this, report = write.report](RolloutTable& table) {
        table.OnReport(report, this->now);
      });
    }
  }
  void At(TimePoint time, std::function<void()> run) {
    this->timers.emplace(time, std::move(run));
  }
  void Write(Host& host, const RolloutWrite& write) {
    ++this->result.writes[write.kind];
    const bool lost =
        std::bernoulli_distribution(this->options.lost_responses)(this->random);
    const bool late = lost && this->random() % 3 == 0;
    this->At(
        this->now + (late ? Milliseconds(3'000) : this->options.write_time),
        [this, write] { this->Execute(write); });
    if (lost || !this->store_available) {
      this->At(this->now + Milliseconds(1'000), [this, &host, write] {
        if (host.alive) {
          host.table->OnWriteLost(write, this->now);
        }
      });
    }
  }
  void Request() {
    std::vector<std::size_t> senders;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->hosts[i].alive && this->hosts[i].sends) {
        senders.push_back(i);
      }
    }
    const std::size_t index = senders[this->random() % senders.size()];
    Host& host = this->hosts[index];
    const VersionUse use = host.table->PolicyOf("s").use;
    const bool is_new =
        use == VersionUse::kNewOnly ||
        (use == VersionUse::kCanary &&
         host.table->TakeExposure("s", this->now, this->store_available,
                                  !this->options.fetchers_only));
    host.table->OnSent("s");
    ++this->result.requests;
    const std::string kind = this->random() % 3 == 0 ? "a" : "b";
    const Answer answer =
        this->options.answer(is_new, kind, this->since_order());
    const double since = this->since_order();
    (is_new ? this->result.last_exposure_ms : this->result.last_old_ms) = since;
    if (is_new) {
      ++this->result.exposed;
      if ((!answer.success || answer.latency_ms > 60) &&
          ++this->result.bad_answers == 50) {
        this->result.fiftieth_bad_ms = since;
      }
    }
    const Duration latency = LatencyOf(answer);
    this->At(this->now + latency, [this, index, is_new, kind, answer, latency] {
      Host& sender = this->hosts[index];
      KindEvidence* evidence =
          sender.alive ? sender.table->EvidenceOf("s", kind) : nullptr;
      if (evidence != nullptr) {
        VersionEvidence& version =
            is_new ? evidence->new_version : evidence->old_version;
        answer.success ? version.AddReply(latency) : version.AddFailure();
      }
    });
  }
  void Step() {
    constexpr Milliseconds kStep{10};
    this->now += kStep;
    if (this->options.step) {
      this->options.step(*this);
    }
    while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
      const auto timer = this->timers.extract(this->timers.begin());
      timer.mapped()();
    }
    this->backlog += this->options.requests_per_second * 0.01;
    std::poisson_distribution<int> arrivals(this->backlog);
    this->backlog = 0;
    for (int i = arrivals(this->random); i > 0; --i) {
      this->Request();
    }
    for (Host& host : this->hosts) {
      while (host.alive && !host.inbox.empty() &&
             host.inbox.front().first <= this->now) {
        const Change change = std::move(host.inbox.front().second);
        host.inbox.pop_front();
        change(*host.table);
      }
    }
    if (++this->steps % 5 == 0) {
      for (Host& host : this->hosts) {
        if (host.alive) {
          for (const RolloutWrite& write :
               host.table->Poll(this->now, [this](std::string_view) {
                 return this->options.targets;
               })) {
            this->Write(host, write);
          }
        }
      }
    }
  }

  Options options;
  std::mt19937_64 random;
  HostTable registered;
  std::vector<Host> hosts;
  TimePoint start{std::chrono::hours(1)};
  TimePoint now = this->start;
  std::multimap<TimePoint, std::function<void()>> timers;
  std::map<std::string, std::uint64_t> keys;
  std::uint64_t revision = 10;
  std::vector<Change> history;
  Result result;
  double backlog = 0;
  std::uint64_t steps = 0;
  int executed_stages = 0;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_ROLLOUT_SIMULATION_H_
