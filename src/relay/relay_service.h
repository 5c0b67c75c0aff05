#ifndef AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_
#define AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "auburnyard/bundle_grouping.h"
#include "auburnyard/burst_division.h"
#include "auburnyard/placement.h"
#include "auburnyard/repeat_budget.h"
#include "src/relay/account_admission.h"
#include "src/relay/caller_answer.h"
#include "src/relay/log_limiter.h"
#include "src/relay/peer_table.h"
#include "src/relay/relay_job.h"
#include "src/relay/relay_metrics.h"
#include "src/relay/relayed_request.h"
#include "src/relay/request_admission.h"
#include "src/relay/target_table.h"

namespace auburnyard {

/// Forwards a caller's request to its targets and builds the response. Holds
/// the routes in force and the budgets for repeats (retries and hedges).
class RelayService {
 public:
  using Responder = std::function<void(CallerAnswer)>;

  RelayService(const RelayContext& context,
               TargetTable& targets,
               PeerTable& peers,
               RelayMetrics& metrics,
               RepeatBudgetLimits budget_limits);

  /// Puts a newer version in force; ignores an older one. Returns whether the
  /// version was newer.
  bool SetRoutes(std::shared_ptr<const RouteTable> newer);
  const std::shared_ptr<const RouteTable>& routes() const {
    return this->table;
  }
  void SetBudgetLimits(RepeatBudgetLimits limits);
  /// Sets how the hosts divide the burst of repeats.
  void SetBurstDivision(BurstDivision changed);
  /// Holds requests that arrive before `until` and before the first
  /// configuration, which is being read, until one of the two is reached.
  void HoldUntilConfigured(TimePoint until) { this->hold_until = until; }
  /// Refuses held requests whose time has passed.
  void Sweep();
  /// Answers all requests by `stop`, also those that arrive later, and refuses
  /// those whose replies usually take longer.
  void StopBy(TimePoint stop);
  /// Sets a function that returns whether routes may exist that this host has
  /// not received yet.
  void SetOutdatedCheck(std::function<bool()> check) {
    this->is_outdated = std::move(check);
  }
  /// Sets a function that returns whether keys may have been revoked that this
  /// host still accepts, so that it must not accept any.
  void SetRevocationCheck(std::function<bool()> check) {
    this->is_revocation_unknown = std::move(check);
  }
  /// Sets whether requests that cannot be answered in time are refused.
  void SetAdmissionMode(AdmissionMode mode) {
    this->request_admission.SetMode(mode);
  }
  /// Sets how limits of accounts are enforced. Without it they are not.
  void SetAccountAdmission(AccountAdmission admission) {
    this->account_admission = std::move(admission);
  }
  /// Calls `respond` exactly once. Returns a function that cancels the request
  /// when the caller disconnects. `from_peer`: the request is from another
  /// entry host, which chose this one for its location.
  std::function<void()> Handle(CallerRequest request,
                               Responder respond,
                               bool from_peer);

 private:
  /// A request that waits for the first configuration.
  struct HeldRequest {
    CallerRequest request;
    Responder respond;
    bool from_peer = false;
    bool cancelled = false;
    std::function<void()> cancel;  // once it is handled
  };

  /// Handles a request of another entry host.
  std::function<void()> HandleBundle(CallerRequest request, Responder respond);
  /// Finds the account of a request by its key. Refuses the request and returns
  /// false if it needs a key and has no valid one.
  bool Authenticate(const CallerRequest& request,
                    const Route& route,
                    const Responder& respond,
                    const ClientAccount*& account);
  /// Refuses a job that cannot be answered in time, starts it once its account
  /// has room, and refuses it otherwise.
  void Admit(const RelayJobPtr& job);
  void OnAccountDecision(const RelayJobPtr& job,
                         const AccountDecision& decision);
  RelayJobPtr MakeJob(CallerRequest request,
                      Responder respond,
                      const Route& route) const;
  RelayJobPtr MakeBundleJob(CallerRequest request, Responder respond) const;
  void Start(const RelayJobPtr& job);
  std::function<void()> Hold(CallerRequest request,
                             Responder respond,
                             bool from_peer);
  /// Handles the held requests.
  void ReleaseHeld();
  FanOutPlan MakePlan(const RelayJob& job);
  /// Parts whose cheapest target this host reaches through another one.
  std::vector<FarPart> FindFarParts(const RelayJob& job);
  /// Bundles the far parts and assigns each bundle to an entry host near their
  /// targets.
  std::vector<PartBundle> MakeBundles(const RelayJob& job);
  void CountRequests(const RelayJob& job, const FanOutPlan& plan);
  void Finish(const RelayJobPtr& job,
              RelayedRequest& request,
              FanOutResult result);
  void Respond(RelayJob& job, std::string_view request_id, CallerAnswer answer);
  void Refuse(const CallerRequest& request,
              int status,
              std::string_view kind,
              std::string_view title,
              const Responder& respond);
  /// The same with a stated time after which the caller may repeat it.
  void Refuse(const CallerRequest& request,
              int status,
              std::string_view kind,
              std::string_view title,
              std::chrono::milliseconds retry_after,
              const Responder& respond);
  CallerAnswer MakeAnswer(const RelayJob& job, const FanOutResult& result);
  CallerAnswer MakeFailure(const RelayJob& job, const FanOutResult& result);
  /// Counts and logs bytes that are no reply.
  void OnReplyUnreadable(const TargetState& target,
                         std::string_view request_id,
                         std::string_view fault);
  /// Counts and logs a target's reply that was not returned to the caller.
  void OnReplyWithheld(const RelayJob& job,
                       const RelayedRequest& request,
                       const FanOutResult& result);
  void LogOutcome(const RelayJob& job,
                  const RelayedRequest& request,
                  const FanOutResult& result,
                  Duration latency);
  std::string_view PickService(const Route& route);
  /// Estimate for requests of the route's kind. Routes with the same objective
  /// and number of records are of one kind.
  const std::shared_ptr<WorkEstimate>& WorkOf(const Route& route);
  PlacementNeeds NeedsOf(const Route& route);
  RepeatBudgetLimits LimitsOf(std::string_view service) const;
  RepeatBudget& BudgetOf(std::string_view service);
  bool TakeRepeat(std::string_view service, AttemptPurpose purpose);
  std::chrono::milliseconds RetryAfter();

  const RelayContext& context;
  TargetTable& targets;
  PeerTable& peers;
  RelayMetrics& metrics;
  RepeatBudgetLimits budget_limits;  // the burst is that of all hosts
  BurstDivision division;
  std::shared_ptr<const RouteTable> table;
  std::vector<std::shared_ptr<HeldRequest>> held;
  std::unordered_set<std::shared_ptr<RelayedRequest>> running;
  TimePoint stop_time = TimePoint::max();
  TimePoint hold_until{};
  std::map<std::string, RepeatBudget, std::less<>> budgets;  // by service
  std::map<std::pair<std::chrono::milliseconds, std::uint32_t>,
           std::shared_ptr<WorkEstimate>>
      work_estimates;  // by objective and number of records
  std::mt19937_64 random;
  LogLimiter outcome_lines;
  LogLimiter withheld_lines;
  LogLimiter unreadable_lines;
  std::function<bool()> is_outdated = [] { return false; };
  std::function<bool()> is_revocation_unknown = [] { return false; };
  AccountAdmission account_admission;
  RequestAdmission request_admission;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_
