#include "util/relay_soak/soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <set>
#include <thread>
#include <utility>

#include "auburnyard/record_merger.h"
#include "auburnyard/status_promise.h"
#include "platform/relay_codec.h"
#include "platform/wire_names.h"
#include "util/relay_soak/answer_check.h"
#include "util/relay_soak/doubtful_request.h"

namespace auburnyard::util {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCallers = 4;
constexpr milliseconds kMinFaultInterval{50};
constexpr int kMaxFaultJitterMs = 500;
// Time after the end of all faults within which every host must serve with the
// newest configuration.
constexpr std::chrono::seconds kRecoveryTimeout{12};
constexpr milliseconds kPollInterval{100};
constexpr milliseconds kInjectedDelay{120};
// A host is judged by its configuration this long after the last trouble of its
// own, of its path to the store and of the store. The users' bound of the
// deployments with the shortest limits.
constexpr milliseconds kContactTime{4'000};
constexpr milliseconds kChangeLimit{3'000};
constexpr milliseconds kMinChangeInterval{300};
constexpr int kMaxChangeJitterMs = 3'400;
constexpr milliseconds kProbeInterval{20};
constexpr std::size_t kMaxSeries = 8;
// Time without faults in which the hosts that are in touch again are judged.
constexpr int kMaxCalmMs = 5'000;
// A short loss of answers, and the time until the next version after it.
constexpr milliseconds kMinLoss{200};
constexpr int kMaxLossJitterMs = 600;
constexpr milliseconds kChangeAfterLoss{600};
constexpr int kMaxStoreDelayMs = 400;
constexpr std::size_t kMaxClockStepMs = 2'000;
// Registrations that another writer left and that cannot be decoded.
constexpr std::size_t kOddEntries = 3;
constexpr std::size_t kOddDepth = 100'000;
// About five times the rate of the account.
constexpr milliseconds kAccountCallInterval{25};
constexpr milliseconds kDoubtfulCallInterval{100};
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotImplemented = 501;
constexpr int kStatusUnauthorized = 401;
// Statuses of targets that have run a request; 0: that of a success.
constexpr std::array<int, 6> kFailureStatuses = {0, 0, 500, 503, 429, 408};

}  // namespace

Soak::Soak(SoakOptions soak_options)
    : options(std::move(soak_options)),
      random(this->options.seed),
      fleet({.program_directory = this->options.program_directory,
             .base_port = this->options.base_port,
             .hosts_per_domain = this->options.hosts_per_domain,
             .extra_hosts = this->options.extra_hosts,
             .change_limit = kChangeLimit,
             .log_directory = this->options.log_directory}),
      configuration(this->fleet, kChangeLimit, kContactTime) {}

std::size_t Soak::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

void Soak::AddViolation(std::string text) {
  const std::lock_guard lock(this->mutex);
  this->violations.push_back(std::move(text));
}

std::vector<std::string> Soak::Run() {
  for (std::size_t i = 0; i < this->fleet.hosts(); ++i) {
    this->StartHost(i);
  }
  {
    std::vector<std::jthread> callers;
    callers.emplace_back([this] { this->ChangeContinuously(); });
    for (std::size_t i = 0; i < this->fleet.hosts(); ++i) {
      callers.emplace_back([this, i] { this->ProbeHost(i); });
    }
    callers.emplace_back([this] { this->CallAsAccount(); });
    callers.emplace_back([this] { this->CallInDoubt(); });
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { this->Call(i); });
    }
    this->InjectFaults();
    this->faults_ended = true;
    this->ClearFaults();
    this->CheckRecovery();
    this->CheckProcesses();
    this->stopping = true;
  }
  this->CheckExecutions();
  this->CheckAccount();
  this->CheckLeavingTargets();
  for (std::string& text : this->configuration.Summarize()) {
    this->AddViolation(std::move(text));
  }
  return this->violations;
}

void Soak::InjectFaults() {
  const auto end = std::chrono::steady_clock::now() + this->options.duration;
  while (std::chrono::steady_clock::now() < end) {
    this->InjectSeries();
    // Otherwise the next series overlaps with what this one has left.
    if (this->Pick(2) == 0) {
      this->ClearFaults();
      std::this_thread::sleep_for(kContactTime +
                                  milliseconds(this->Pick(kMaxCalmMs)));
    }
  }
}

void Soak::InjectSeries() {
  const std::size_t faults = 1 + this->Pick(kMaxSeries);
  for (std::size_t i = 0; i < faults; ++i) {
    std::this_thread::sleep_for(kMinFaultInterval +
                                milliseconds(this->Pick(kMaxFaultJitterMs)));
    this->InjectRandomFault();
    this->CheckProcesses();
  }
}

void Soak::StartHost(std::size_t host) {
  this->fleet.StartHost(host);
  this->configuration.OnHostStarted(host);
}

void Soak::InjectRandomFault() {
  switch (this->Pick(5)) {
    case 0:
      this->InjectHostFault();
      break;
    case 1:
      this->InjectStoreFault();
      break;
    case 2:
      this->InjectTargetFault();
      break;
    case 3:
      this->InjectStoreEntry();
      break;
    default:
      this->ChangeConfiguration();
  }
}

void Soak::InjectHostFault() {
  const std::size_t host = this->Pick(this->fleet.hosts());
  if (this->stopping_hosts.contains(host)) {
    this->FinishStops();
    return;
  }
  if (!this->fleet.running(host)) {
    ++this->fault_counts["host started"];
    this->StartHost(host);
    return;
  }
  switch (this->Pick(5)) {
    case 0:
      ++this->fault_counts["host killed"];
      this->configuration.BeginTrouble(ConfigurationCheck::HostSubject(host));
      this->fleet.KillHost(host);
      break;
    case 1:
      ++this->fault_counts["host paused"];
      this->configuration.BeginTrouble(ConfigurationCheck::HostSubject(host));
      this->fleet.SignalHost(host, SIGSTOP);
      this->paused_hosts.push_back(host);
      break;
    case 2:
      ++this->fault_counts["host resumed"];
      for (const std::size_t paused : this->paused_hosts) {
        this->fleet.SignalHost(paused, SIGCONT);
        if (this->fleet.running(paused) &&
            !this->stopping_hosts.contains(paused)) {
          this->configuration.EndTrouble(
              ConfigurationCheck::HostSubject(paused));
        }
      }
      this->paused_hosts.clear();
      break;
    case 3:
      this->BeginStop(host);
      break;
    default:
      ++this->fault_counts["settings reloaded"];
      this->fleet.SignalHost(host, SIGHUP);
  }
}

// Callers keep their connections to the host while it stops, and further faults
// follow in the meantime.
void Soak::BeginStop(std::size_t host) {
  ++this->fault_counts["host terminated"];
  this->configuration.BeginTrouble(ConfigurationCheck::HostSubject(host));
  this->fleet.SignalHost(host, SIGCONT);
  this->fleet.SignalHost(host, SIGTERM);
  this->stopping_hosts.insert(host);
}

void Soak::FinishStops() {
  for (const std::size_t host : std::exchange(this->stopping_hosts, {})) {
    if (!this->fleet.WaitForExit(host)) {
      this->AddViolation("host " + std::to_string(host) +
                         " has not ended after SIGTERM");
    }
  }
}

void Soak::CheckProcesses() {
  for (std::size_t host = 0; host < this->fleet.hosts(); ++host) {
    if (this->fleet.running(host) && !this->stopping_hosts.contains(host) &&
        this->fleet.HasExited(host)) {
      this->AddViolation("host " + std::to_string(host) + " ended by itself");
    }
  }
}

void Soak::InjectStoreEntry() {
  switch (this->Pick(3)) {
    case 0:
      ++this->fault_counts["domain evacuated"];
      this->fleet.Evacuate(this->Pick(RelayFleet::kDomains), true);
      break;
    case 1:
      ++this->fault_counts["evacuations ended"];
      this->EndEvacuations();
      break;
    default:
      ++this->fault_counts["odd registration"];
      this->fleet.store().Put(
          "servers/odd\r\nX: " + std::to_string(this->Pick(kOddEntries)),
          std::string(kOddDepth, '['));
  }
}

void Soak::EndEvacuations() {
  for (std::size_t i = 0; i < RelayFleet::kDomains; ++i) {
    this->fleet.Evacuate(i, false);
  }
}

void Soak::InjectStoreFault() {
  constexpr std::array<std::pair<StoreFault, const char*>, 8> kFaults = {{
      {StoreFault::kNone, "store recovered"},
      {StoreFault::kNone, "store recovered"},
      {StoreFault::kSilent, "store unresponsive"},
      {StoreFault::kBusy, "store busy"},
      {StoreFault::kLostReplies, "store replies lost"},
      {StoreFault::kLostAnswers, "store answers lost"},
      {StoreFault::kLostAnswers, "store answers lost"},
      {StoreFault::kNone, "store recovered"},
  }};
  constexpr std::array<std::pair<RouteState, const char*>, 4> kRoutes = {{
      {RouteState::kPass, "route to the store restored"},
      {RouteState::kCut, "route to the store reset"},
      {RouteState::kDrop, "route to the store dropped"},
      {RouteState::kDropReplies, "replies of the store dropped"},
  }};
  switch (this->Pick(6)) {
    case 0: {
      const auto& [fault, name] = kFaults.at(this->Pick(kFaults.size()));
      ++this->fault_counts[name];
      this->SetStoreFault(fault);
      break;
    }
    case 1: {
      const auto& [state, name] = kRoutes.at(this->Pick(kRoutes.size()));
      ++this->fault_counts[name];
      this->SetStoreRoute(this->Pick(RelayFleet::kDomains), state);
      break;
    }
    case 2:
      ++this->fault_counts["store history compacted"];
      this->fleet.store().CompactHistory();
      this->configuration.Strike(ConfigurationCheck::kStore);
      break;
    case 3:
      ++this->fault_counts["store slow"];
      this->configuration.BeginTrouble(ConfigurationCheck::kStore);
      this->fleet.store().SetDelay(milliseconds(this->Pick(kMaxStoreDelayMs)));
      break;
    case 4:
      ++this->fault_counts["store answers lost for a moment"];
      this->LoseAnswersBriefly();
      break;
    default:
      ++this->fault_counts["leases revoked"];
      this->fleet.store().RevokeAllLeases();
  }
}

// A host notices such a loss by its own time-outs only, because no connection
// ends and all later calls are answered.
void Soak::LoseAnswersBriefly() {
  this->SetStoreFault(StoreFault::kLostAnswers);
  this->configuration.Change();
  std::this_thread::sleep_for(kMinLoss +
                              milliseconds(this->Pick(kMaxLossJitterMs)));
  this->SetStoreFault(StoreFault::kNone);
  std::this_thread::sleep_for(kChangeAfterLoss);
  this->configuration.Change();
}

void Soak::SetStoreFault(StoreFault fault) {
  if (fault != StoreFault::kNone) {
    this->configuration.BeginTrouble(ConfigurationCheck::kStore);
  }
  this->fleet.store().SetFault(fault);
}

void Soak::SetStoreRoute(std::size_t domain, RouteState state) {
  const std::string subject = ConfigurationCheck::DomainSubject(domain);
  if (state != RouteState::kPass) {
    this->configuration.BeginTrouble(subject);
  }
  this->fleet.SetStoreRoute(domain, state);
  if (state == RouteState::kPass) {
    this->configuration.EndTrouble(subject);
  }
}

void Soak::InjectTargetFault() {
  const std::size_t index = this->Pick(this->fleet.target_count());
  RelayTarget& target = this->fleet.target(index);
  switch (this->Pick(10)) {
    case 0:
      ++this->fault_counts["target rejects toggled"];
      target.faults.rejects_requests = !target.faults.rejects_requests;
      break;
    case 1:
      ++this->fault_counts["target answers with a failure"];
      target.faults.failure_status =
          kFailureStatuses.at(this->Pick(kFailureStatuses.size()));
      break;
    case 2:
      ++this->fault_counts["target slow"];
      target.faults.delay_ms = static_cast<int>(this->Pick(400));
      break;
    case 3:
      ++this->fault_counts["target drains"];
      this->fleet.Register(index, /*draining=*/true);
      break;
    case 4:
      ++this->fault_counts["target unregistered"];
      this->fleet.Unregister(index);
      break;
    case 5:
      ++this->fault_counts["route to a target reset"];
      this->fleet.SetTargetRoute(index, RouteState::kCut, kInjectedDelay);
      break;
    case 6:
      ++this->fault_counts["target leaves without a report"];
      target.faults.leaving = true;
      break;
    case 7:
      ++this->fault_counts["target leaves and drains"];
      target.faults.leaving = true;
      this->fleet.Register(index, /*draining=*/true);
      break;
    case 8:
      ++this->fault_counts["replies of a target repeated in part"];
      this->fleet.SetTargetRoute(index, RouteState::kRepeatReplies, {});
      break;
    default:
      ++this->fault_counts["route to a target dropped"];
      this->fleet.SetTargetRoute(index, RouteState::kDrop, kInjectedDelay);
  }
}

void Soak::ChangeConfiguration() {
  ++this->fault_counts["configuration changed"];
  this->configuration.Change();
}

void Soak::ChangeContinuously() {
  std::mt19937_64 choices(this->options.seed);
  std::uniform_int_distribution<int> jitter(0, kMaxChangeJitterMs);
  while (!this->faults_ended) {
    this->configuration.Change();
    std::this_thread::sleep_for(kMinChangeInterval +
                                milliseconds(jitter(choices)));
  }
}

void Soak::ClearFaults() {
  this->FinishStops();
  this->EndEvacuations();
  this->fleet.store().SetDelay(milliseconds(0));
  this->SetStoreFault(StoreFault::kNone);
  this->configuration.EndTrouble(ConfigurationCheck::kStore);
  for (std::size_t i = 0; i < RelayFleet::kDomains; ++i) {
    this->SetStoreRoute(i, RouteState::kPass);
  }
  for (std::size_t i = 0; i < this->fleet.target_count(); ++i) {
    RelayTarget& target = this->fleet.target(i);
    target.faults.rejects_requests = false;
    target.faults.failure_status = 0;
    target.faults.delay_ms = 0;
    this->fleet.SetTargetRoute(i, RouteState::kPass, {});
    // The target starts again: its new registration supersedes the old one,
    // whether that has lapsed or not, and whatever its clock shows.
    if (this->Pick(2) == 0) {
      this->fleet.Unregister(i);
    }
    const int step = 1 + static_cast<int>(this->Pick(kMaxClockStepMs));
    target.Restart(this->Pick(2) == 0 ? step : -step);
    this->fleet.Register(i);
  }
  for (std::size_t i = 0; i < this->fleet.hosts(); ++i) {
    if (this->fleet.running(i)) {
      this->fleet.SignalHost(i, SIGCONT);
      this->configuration.EndTrouble(ConfigurationCheck::HostSubject(i));
    } else {
      this->StartHost(i);
    }
  }
  this->configuration.Change();
}

// Asks the hosts in turn, so that one that recovers late leaves time for the
// others.
void Soak::CheckRecovery() {
  const auto end = std::chrono::steady_clock::now() + kRecoveryTimeout;
  std::set<std::size_t> behind;
  for (std::size_t host = 0; host < this->fleet.hosts(); ++host) {
    behind.insert(host);
  }
  SoakCaller caller;
  for (int round = 0; !behind.empty(); ++round) {
    std::erase_if(behind, [&](std::size_t host) {
      return this->HasRecovered(caller, host, round);
    });
    if (std::chrono::steady_clock::now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const std::size_t host : behind) {
    this->AddViolation("host " + std::to_string(host) +
                       " does not serve with the newest configuration");
  }
}

bool Soak::HasRecovered(SoakCaller& caller, std::size_t host, int round) {
  const std::string suffix = std::to_string(host) + "-" + std::to_string(round);
  const std::string address = this->fleet.Address(host);
  const auto mark = caller.Get(
      address, "/v" + std::to_string(this->configuration.version()) + "/x",
      "mark-" + suffix);
  const auto all = caller.Get(address, "/all/x", "recovered-" + suffix);
  return mark && mark->result_int() == kStatusOk && all &&
         all->result_int() == kStatusOk &&
         all->body() == this->fleet.MergedRecords();
}

void Soak::Call(std::size_t caller) {
  std::mt19937_64 choices(this->options.seed * kCallers + caller);
  SoakCaller connection;
  std::size_t host = 0;
  for (std::uint64_t number = 0; !this->stopping; ++number) {
    if (!connection.connected()) {
      host = choices() % this->fleet.hosts();
    }
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(number);
    const bool single = choices() % 4 == 0;
    const bool nested = !single && choices() % 2 == 0;
    const char* path = single ? "/one/x" : nested ? "/all/short/x" : "/all/x";
    ++this->request_count;
    const auto answer = connection.Get(this->fleet.Address(host), path, id);
    if (!answer) {
      continue;
    }
    const std::string wrong =
        single ? CheckSingleAnswer(this->fleet, *answer)
               : CheckMergedAnswer(this->fleet, *answer, id, nested);
    if (!wrong.empty()) {
      this->AddViolation(id + ": " + wrong);
    }
    if (single) {
      const std::lock_guard lock(this->mutex);
      this->statuses[id] = static_cast<int>(answer->result_int());
    }
  }
}

// Sends several times what the account may send, to all hosts.
void Soak::CallAsAccount() {
  std::mt19937_64 choices(this->options.seed);
  for (std::uint64_t number = 0; !this->stopping; ++number) {
    SoakCaller caller;
    const auto answer = caller.Get(
        this->fleet.Address(choices() % this->fleet.hosts()), "/account/x",
        "account-" + std::to_string(number), RelayFleet::kKey);
    if (answer && answer->result_int() == kStatusUnauthorized) {
      this->AddViolation("a valid key was refused");
    }
    std::this_thread::sleep_for(kAccountCallInterval);
  }
}

void Soak::CallInDoubt() {
  std::mt19937_64 choices(this->options.seed);
  for (std::uint64_t number = 0; !this->stopping; ++number) {
    const int status = SendDoubtfulRequest(
        this->fleet.Address(choices() % this->fleet.hosts()), number);
    if (status != 0 && status != kStatusBadRequest &&
        status != kStatusNotImplemented) {
      this->AddViolation("a request whose end is in doubt was answered " +
                         std::to_string(status));
    }
    std::this_thread::sleep_for(kDoubtfulCallInterval);
  }
}

// A host sends the next request on a connection only after the whole answer to
// the one before, so that no time has to be allowed.
void Soak::CheckLeavingTargets() {
  for (std::size_t i = 0; i < this->fleet.target_count(); ++i) {
    const RelayTarget& target = this->fleet.target(i);
    if (target.ignored_announcements() > 0) {
      this->AddViolation(std::to_string(target.ignored_announcements()) +
                         " requests reached " + target.id() +
                         " after it had announced that it leaves");
    }
  }
}

void Soak::CheckAccount() {
  std::vector<std::chrono::steady_clock::time_point> runs;
  for (std::size_t i = 0; i < this->fleet.target_count(); ++i) {
    const auto found =
        this->fleet.target(i).AccountRuns(std::string(RelayFleet::kAccount));
    runs.insert(runs.end(), found.begin(), found.end());
    if (this->fleet.target(i).received_key()) {
      this->AddViolation("a target received the key of a caller");
    }
  }
  std::sort(runs.begin(), runs.end());
  const std::size_t allowed = this->fleet.MaxAccountRuns();
  for (std::size_t i = allowed; i < runs.size(); ++i) {
    if (runs[i] - runs[i - allowed] < RelayFleet::kLimitWindow) {
      this->AddViolation("more than " + std::to_string(allowed) +
                         " requests of an account ran within its window");
      return;
    }
  }
}

void Soak::ProbeHost(std::size_t host) {
  std::mt19937_64 choices(this->options.seed + host);
  SoakCaller caller;
  while (!this->stopping) {
    const std::string violation =
        this->configuration.Probe(caller, host, choices);
    if (!violation.empty()) {
      this->AddViolation(violation);
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
}

void Soak::CheckExecutions() {
  std::map<std::string, int> runs;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& [id, count] : this->fleet.target(i).executions()) {
      runs[id] += count;
    }
  }
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, count] : runs) {
    if (id.starts_with(kInnerRequestPrefix)) {
      this->violations.push_back(id + " was executed, but stood in a body");
    }
  }
  for (const auto& [id, status] : this->statuses) {
    const auto found = runs.find(id);
    const int count = found == runs.end() ? 0 : found->second;
    if (count > 1) {
      this->violations.push_back(id + " was executed " + std::to_string(count) +
                                 " times");
    }
    if (PromisesNotRun(status) && count > 0) {
      this->violations.push_back(
          id + " was executed although it was refused as not executed");
    }
  }
}

}  // namespace auburnyard::util
