#include <map>
#include <set>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "auburnyard/claims.h"
#include "test/fixed_seed.h"

namespace auburnyard {

namespace {

constexpr std::size_t kHosts = 3;
constexpr WallTime kWall{1'800'000'000'000};
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::chrono::milliseconds kStep{5};

// Uniform in [low, high). inRange alone narrows the range while RapidCheck's
// size is small.
template <typename Number>
Number RandomInRange(Number low, Number high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

// Faults injected into hosts, to show that the property detects them.
enum class Fault {
  kNone,
  kLostReplyCountsAsWritten,
  kConflictCountsAsWritten,
  kUnreadStoreCountsAsNotRun,
};

// Key-value store with compare-and-swap. Requests may take effect late, and
// replies may be lost.
struct FakeStore {
  struct Value {
    std::uint64_t version = 0;
    std::string text;
  };

  StoreReply Read(const std::string& key) {
    const Value& value = this->values[key];
    return {StoreStatus::kOk, value.version, value.text};
  }
  StoreReply Write(const WriteClaims& write) {
    Value& value = this->values[write.key];
    if (value.version != write.expect_version) {
      return {.status = StoreStatus::kConflict};
    }
    value.text = write.value;
    return {StoreStatus::kOk, ++value.version, ""};
  }

  std::map<std::string, Value> values;
};

struct Submission {
  std::string id;
  TimePoint deadline;
};

struct Message {
  std::size_t host = 0;
  std::uint64_t incarnation = 0;
  ClaimAction action;
  TimePoint applies;
  bool reply_lost = false;
  bool request_lost = false;
  bool no_reply = false;  // the host gets no reply, not even an unknown result
};

struct Host {
  std::unique_ptr<ClaimTable> table;
  std::uint64_t incarnation = 0;
  TimePoint paused_until;
  std::map<std::uint64_t, Submission> submissions;  // by ticket
};

class History {
 public:
  explicit History(Fault injected) : fault(injected) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      this->Start(i);
    }
  }

  void Step() {
    this->now += kStep;
    this->DeliverDue();
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (this->IsRunning(i)) {
        this->HandleActions(i, this->hosts[i].table->OnTimer(this->now));
      }
    }
  }

  void Submit(std::size_t host, const std::string& id) {
    if (!this->IsRunning(host)) {
      return;
    }
    const std::uint64_t ticket = this->next_ticket++;
    const TimePoint deadline = this->now + std::chrono::milliseconds(600);
    this->hosts[host].submissions[ticket] = {id, deadline};
    this->HandleActions(
        host, this->hosts[host].table->Claim(ticket, id, deadline, this->Wall(),
                                             this->now));
  }

  // All identifiers of a period share one key, so that the hosts contend for
  // it.
  std::string NewIdentifier() {
    std::string id;
    do {
      id = std::to_string(this->Wall().count()) + "-" +
           std::to_string(this->next_id++);
    } while (!ClaimKeyOf(id).ends_with("/7"));
    return id;
  }

  void Pause(std::size_t host, Duration duration) {
    this->hosts[host].paused_until = this->now + duration;
  }

  void Start(std::size_t host) {
    Host& entry = this->hosts[host];
    ++entry.incarnation;
    entry.submissions.clear();
    const std::string name = "h" + std::to_string(host);
    entry.table = std::make_unique<ClaimTable>(ClaimOptions{
        .host = name,
        .start_nonce = name + "-" + std::to_string(entry.incarnation),
        .store_timeout = std::chrono::milliseconds(100),
        .writes_per_second = 1000,
        .write_burst = 100});
  }

  WallTime Wall() const {
    return kWall + std::chrono::duration_cast<WallTime>(this->now - kStart);
  }

  /// Empty if each identifier was dispatched at most once and no dispatched
  /// request was reported as "not run".
  std::string violation;
  std::size_t granted = 0;
  std::size_t resolved = 0;
  bool outage = false;
  int loss_percent = 0;
  int delay_steps = 0;

 private:
  bool IsRunning(std::size_t host) const {
    return this->hosts[host].paused_until <= this->now;
  }

  void HandleActions(std::size_t host,
                     const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions) {
      if (const auto* resolve = std::get_if<ResolveClaim>(&action)) {
        this->OnResolved(host, *resolve);
        continue;
      }
      Message message{.host = host,
                      .incarnation = this->hosts[host].incarnation,
                      .action = action};
      const auto roll = [](int percent) {
        return RandomInRange(0, 100) < percent;
      };
      message.request_lost = this->outage || roll(this->loss_percent / 2);
      message.reply_lost = message.request_lost || roll(this->loss_percent);
      message.no_reply = message.reply_lost && roll(30);
      const int delay = RandomInRange(0, this->delay_steps + 1);
      message.applies = this->now + delay * kStep;
      this->messages.push_back(std::move(message));
    }
  }

  void DeliverDue() {
    std::vector<Message> due;
    std::erase_if(this->messages, [this, &due](Message& message) {
      if (message.applies > this->now) {
        return false;
      }
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      this->Deliver(message);
    }
  }

  void Deliver(const Message& message) {
    StoreReply reply;
    const auto* read = std::get_if<ReadClaims>(&message.action);
    const auto* write = std::get_if<WriteClaims>(&message.action);
    if (!message.request_lost) {
      reply = read != nullptr ? this->store.Read(read->key)
                              : this->store.Write(*write);
    }
    if (message.reply_lost) {
      reply = {};
    }
    Host& host = this->hosts[message.host];
    if (message.no_reply || host.incarnation != message.incarnation) {
      return;
    }
    if (!this->IsRunning(message.host)) {
      // The reply waits in the socket of the paused process.
      Message waiting = message;
      waiting.applies = host.paused_until;
      waiting.request_lost = true;
      this->messages.push_back(waiting);
      return;
    }
    if (read != nullptr) {
      this->HandleActions(
          message.host,
          host.table->OnRead(read->key, read->operation, reply, this->now));
    } else {
      this->HandleActions(
          message.host,
          host.table->OnWritten(write->key, write->operation,
                                this->InjectFault(*write, reply), this->now));
    }
  }

  StoreReply InjectFault(const WriteClaims& write, StoreReply reply) const {
    const bool wrong = (this->fault == Fault::kLostReplyCountsAsWritten &&
                        reply.status == StoreStatus::kUnknown) ||
                       (this->fault == Fault::kConflictCountsAsWritten &&
                        reply.status == StoreStatus::kConflict);
    if (wrong) {
      reply = {StoreStatus::kOk, write.expect_version + 1, ""};
    }
    return reply;
  }

  void OnResolved(std::size_t host, const ResolveClaim& resolve) {
    Host& entry = this->hosts[host];
    const auto found = entry.submissions.find(resolve.ticket);
    if (found == entry.submissions.end()) {
      this->violation = "a submission was resolved twice";
      return;
    }
    const Submission submission = found->second;
    entry.submissions.erase(found);
    ++this->resolved;
    if (const auto* grant = std::get_if<ClaimGranted>(&resolve.verdict)) {
      this->Dispatch(host, submission, *grant);
    } else if (const auto* refused =
                   std::get_if<ClaimRefused>(&resolve.verdict)) {
      this->CheckRefusal(submission, *refused);
    } else {
      this->CheckRepeat(submission,
                        std::get<ClaimRepeated>(resolve.verdict).entry);
    }
  }

  void Dispatch(std::size_t host,
                const Submission& submission,
                const ClaimGranted& grant) {
    ++this->granted;
    if (!MayDispatch(grant, this->now)) {
      this->violation = "a claim was granted after its deadline";
    }
    if (!this->dispatched.insert(submission.id).second) {
      this->violation = "two dispatches of " + submission.id;
    }
    if (*rc::gen::arbitrary<bool>()) {
      this->HandleActions(host, this->hosts[host].table->RecordOutcome(
                                    submission.id,
                                    {.nonce = grant.nonce,
                                     .state = ClaimState::kDone,
                                     .run = RunState::kRun,
                                     .summary = "complete"},
                                    this->now));
    }
  }

  void CheckRefusal(const Submission& submission, const ClaimRefused& refused) {
    RunState run = refused.run;
    if (this->fault == Fault::kUnreadStoreCountsAsNotRun) {
      run = RunState::kNotRun;
    }
    if (run == RunState::kNotRun && this->dispatched.contains(submission.id)) {
      this->violation =
          "\"not run\" reported for dispatched request " + submission.id;
    }
  }

  void CheckRepeat(const Submission& submission, const ClaimEntry& entry) {
    const bool ran = this->dispatched.contains(submission.id);
    if (entry.state == ClaimState::kRefused && entry.run == RunState::kNotRun &&
        ran) {
      this->violation = "\"not run\" recorded for a dispatched request";
    }
    if (entry.state == ClaimState::kDone && !ran) {
      this->violation = "outcome recorded for a request that never ran";
    }
  }

  Fault fault;
  std::array<Host, kHosts> hosts;
  FakeStore store;
  std::vector<Message> messages;
  std::set<std::string> dispatched;
  TimePoint now = kStart;
  std::uint64_t next_ticket = 1;
  std::uint64_t next_id = 0;
};

// Repeats through other hosts come no sooner than ClaimOptions::fresh_age after
// the issue, as callers are required to wait.
constexpr int kStepsBeforeRepeat = 220;

struct SubmittedIdentifier {
  std::string id;
  int step = 0;
};

void ChangeFaults(History& history) {
  history.outage = RandomInRange(0, 4) == 0;
  history.loss_percent = *rc::gen::element(0, 20, 60);
  history.delay_steps = *rc::gen::element(0, 3, 40);
}

void RunFaultySteps(History& history, int steps) {
  std::vector<SubmittedIdentifier> submitted;
  for (int step = 0; step < steps && history.violation.empty(); ++step) {
    const auto host = RandomInRange<std::size_t>(0, kHosts);
    switch (RandomInRange(0, 40)) {
      case 0:
        ChangeFaults(history);
        break;
      case 1:
        history.Pause(host, RandomInRange(1, 200) * kStep);
        break;
      case 2:
        history.Start(host);  // crash and restart
        break;
      case 3:
      case 4:
        submitted.push_back({history.NewIdentifier(), step});
        history.Submit(host, submitted.back().id);
        break;
      case 5:
      case 6:
      case 7:
        if (!submitted.empty()) {
          const auto& repeat =
              submitted[RandomInRange<std::size_t>(0, submitted.size())];
          if (step - repeat.step >= kStepsBeforeRepeat) {
            history.Submit(host, repeat.id);
          }
        }
        break;
      default:
        break;
    }
    history.Step();
  }
}

constexpr int kFaultySteps = 1500;
constexpr int kFaultFreeSteps = 1300;  // longer than the maximum backoff of 5 s

History RunHistory(Fault fault) {
  History history(fault);
  RunFaultySteps(history, kFaultySteps);
  history.outage = false;
  history.loss_percent = 0;
  history.delay_steps = 0;
  for (int step = 0; step < kFaultFreeSteps; ++step) {
    history.Step();
  }
  return history;
}

bool Detects(Fault fault) {
  bool found = false;
  rc::detail::TestParams params;
  params.seed = 20260401;
  params.maxSuccess = 60;
  const rc::detail::TestMetadata metadata{"claims, broken", ""};
  rc::detail::checkTestable(
      [fault, &found] {
        found = found || !RunHistory(fault).violation.empty();
      },
      metadata, params);
  return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_history_test)

// Guards against a second dispatch of an identifier, against "not run" for one
// that was dispatched, and against hosts that stay blocked after lost replies,
// outages, delayed writes, pauses and crashes.
BOOST_AUTO_TEST_CASE(IdentifiersAreDispatchedAtMostOnce) {
  BOOST_TEST(rc::check("claims under faults", [] {
    History history = RunHistory(Fault::kNone);
    RC_ASSERT(history.violation == "");
    const std::size_t before = history.granted;
    for (std::size_t host = 0; host < kHosts; ++host) {
      history.Submit(host, history.NewIdentifier());
      for (int step = 0; step < 20; ++step) {
        history.Step();
      }
    }
    RC_ASSERT(history.granted == before + kHosts);
    RC_ASSERT(history.violation == "");
  }));
}

// Guards against a property that does not detect faults.
BOOST_AUTO_TEST_CASE(BrokenHostsAreDetected) {
  BOOST_TEST(Detects(Fault::kLostReplyCountsAsWritten));
  BOOST_TEST(Detects(Fault::kConflictCountsAsWritten));
  BOOST_TEST(Detects(Fault::kUnreadStoreCountsAsNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
