#include "util/relay_soak/configuration_check.h"

#include <algorithm>

namespace auburnyard::util {

namespace {

using std::chrono::milliseconds;

// Bounds of the users' rule CONFIG.
constexpr milliseconds kAnswerSlack{500};  // after the time-out of a route
constexpr std::uint64_t kMaxOverdue = 7;
constexpr double kMaxOverdueShare = 0.25;  // of those past the time-out
constexpr std::uint64_t kMinAddedRequests = 20;
constexpr double kMinAddedShare = 0.25;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

ConfigurationCheck::ConfigurationCheck(RelayFleet& soak_fleet,
                                       Duration change_limit,
                                       Duration contact)
    : fleet(soak_fleet), history(change_limit), contact_log(contact) {
  this->history.Add(this->newest, Now(), Now());
}

void ConfigurationCheck::Change() {
  const std::lock_guard lock(this->mutex);
  const TimePoint sent = Now();
  this->fleet.PutRoutes(++this->newest);
  this->history.Add(this->newest, sent, Now());
}

void ConfigurationCheck::BeginTrouble(const std::string& subject) {
  const std::lock_guard lock(this->mutex);
  this->contact_log.Begin(subject);
}

void ConfigurationCheck::EndTrouble(const std::string& subject) {
  const std::lock_guard lock(this->mutex);
  this->contact_log.End(subject, Now());
}

void ConfigurationCheck::Strike(const std::string& subject) {
  const std::lock_guard lock(this->mutex);
  this->contact_log.Strike(subject, Now());
}

void ConfigurationCheck::OnHostStarted(std::size_t host) {
  const std::lock_guard lock(this->mutex);
  this->contact_log.Begin(HostSubject(host));
  this->contact_log.End(HostSubject(host), Now());
  this->seen_marks.erase(host);
}

std::string ConfigurationCheck::HostSubject(std::size_t host) {
  return "host " + std::to_string(host);
}

std::string ConfigurationCheck::DomainSubject(std::size_t domain) {
  return "domain " + std::to_string(domain);
}

std::uint64_t ConfigurationCheck::version() const {
  const std::lock_guard lock(this->mutex);
  return this->newest;
}

std::uint64_t ConfigurationCheck::judged() const {
  const std::lock_guard lock(this->mutex);
  return this->judged_count;
}

std::string ConfigurationCheck::Probe(SoakCaller& caller,
                                      std::size_t host,
                                      std::mt19937_64& choices) {
  Request request{.host = host};
  std::string id;
  {
    const std::lock_guard lock(this->mutex);
    id = "probe-" + std::to_string(++this->request_number);
    const std::uint64_t age = choices() % (2 * RelayFleet::kMarkVersions);
    // The routes that were dropped last and those in force; else /moved/.
    if (age <= RelayFleet::kMarkVersions && age < this->newest) {
      request.mark = this->newest - age;
    }
  }
  const std::string path = request.mark == 0
                               ? "/moved/x"
                               : "/v" + std::to_string(request.mark) + "/x";
  request.sent = Now();
  const auto answer = caller.Get(this->fleet.Address(host), path, id);
  request.answered = Now();
  const std::lock_guard lock(this->mutex);
  const std::string violation = this->Judge(request, answer);
  return violation.empty() ? violation : id + " " + path + ": " + violation;
}

bool ConfigurationCheck::InTouch(const Request& request) const {
  const std::string domain =
      DomainSubject(this->fleet.DomainIndex(request.host));
  return this->contact_log.InTouch(HostSubject(request.host), request.sent) &&
         this->contact_log.InTouch(domain, request.sent) &&
         this->contact_log.InTouch(kStore, request.sent);
}

std::string ConfigurationCheck::Judge(
    const Request& request,
    const std::optional<BeastResponse>& answer) {
  const bool in_touch = this->InTouch(request);
  const Duration waited = request.answered - request.sent;
  if (in_touch && waited > RelayFleet::kProbeTimeout) {
    ++this->late_count;
    this->overdue_count +=
        waited > RelayFleet::kProbeTimeout + kAnswerSlack ? 1 : 0;
  }
  if (!answer) {
    return "";
  }
  std::string violation = this->JudgeRegress(request, *answer);
  if (violation.empty() && in_touch) {
    ++this->judged_count;
    this->CountShare(request, answer->result_int() == kStatusOk);
    violation = this->JudgeVersion(request, *answer);
  }
  return violation;
}

std::string ConfigurationCheck::JudgeVersion(const Request& request,
                                             const BeastResponse& answer) {
  const bool is_served = answer.result_int() == kStatusOk;
  if (!is_served && answer.result_int() != kStatusNotFound) {
    return "";
  }
  const auto allows = [&](std::uint64_t version) {
    if (request.mark != 0) {
      return RelayFleet::HasMark(version, request.mark) == is_served;
    }
    return is_served &&
           answer.body() ==
               this->fleet.target(this->fleet.MovedTarget(version)).Record();
  };
  if (this->history.Allowed(request.sent, request.answered, allows)) {
    return "";
  }
  return "host " + std::to_string(request.host) + " answered " +
         std::to_string(answer.result_int()) +
         " as only an older version allows; newest " +
         std::to_string(this->newest);
}

std::string ConfigurationCheck::JudgeRegress(const Request& request,
                                             const BeastResponse& answer) {
  if (request.mark == 0) {
    return "";
  }
  std::uint64_t& seen = this->seen_marks[request.host];
  if (answer.result_int() == kStatusOk) {
    seen = std::max(seen, request.mark);
    return "";
  }
  const bool dropped = !RelayFleet::HasMark(this->newest, request.mark);
  if (answer.result_int() == kStatusNotFound && seen >= request.mark &&
      !dropped) {
    return "host " + std::to_string(request.host) +
           " went back to an older version";
  }
  return "";
}

void ConfigurationCheck::CountShare(const Request& request, bool is_served) {
  const bool in_all = this->history.AllowedByAll(
      request.sent, request.answered, [&](std::uint64_t version) {
        return request.mark == 0 || RelayFleet::HasMark(version, request.mark);
      });
  if (in_all) {
    Share& share = request.mark == 0 ? this->first : this->added;
    ++share.sent;
    share.served += is_served ? 1 : 0;
  }
}

std::vector<std::string> ConfigurationCheck::Summarize() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> found;
  if (this->added.sent >= kMinAddedRequests &&
      this->added.ratio() < kMinAddedShare * this->first.ratio()) {
    found.push_back("added routes: " + std::to_string(this->added.served) +
                    " of " + std::to_string(this->added.sent) + " served");
  }
  if (this->overdue_count > kMaxOverdue &&
      static_cast<double>(this->overdue_count) >
          kMaxOverdueShare * static_cast<double>(this->late_count)) {
    found.push_back(std::to_string(this->overdue_count) + " of " +
                    std::to_string(this->late_count) +
                    " requests past the time-out of their route had no answer "
                    "half a second after it");
  }
  return found;
}

}  // namespace auburnyard::util
