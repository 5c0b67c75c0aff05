#ifndef AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_
#define AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "auburnyard/repeat_budget.h"
#include "src/relay/caller_answer.h"
#include "src/relay/log_limiter.h"
#include "src/relay/relay_metrics.h"
#include "src/relay/relayed_request.h"

namespace auburnyard {

/// Takes a caller's request to its targets and turns the outcome into an
/// answer. Holds the routes in force and the repeat budgets.
class RelayService {
 public:
  using Responder = std::function<void(CallerAnswer)>;

  RelayService(const RelayContext& context,
               TargetTable& targets,
               RelayMetrics& metrics,
               RepeatBudgetLimits budget_limits);

  /// Puts a newer version in force; an older one is ignored.
  void SetRoutes(std::shared_ptr<const RouteTable> newer);
  const std::shared_ptr<const RouteTable>& routes() const {
    return this->table;
  }
  void SetBudgetLimits(RepeatBudgetLimits limits);
  /// Answers through `respond`, once. Returns a function that ends the request
  /// if the caller leaves; empty if the request was answered at once.
  std::function<void()> Handle(CallerRequest request, Responder respond);

 private:
  void Refuse(const CallerRequest& request,
              int status,
              std::string_view kind,
              std::string_view title,
              const Responder& respond);
  void Finish(RelayedRequest& request,
              FanOutResult result,
              const Responder& respond);
  CallerAnswer MakeAnswer(const FanOutResult& result);
  CallerAnswer MakeFailure(const FanOutResult& result);
  void LogOutcome(const RelayedRequest& request,
                  const FanOutResult& result,
                  int status,
                  Duration latency);
  std::string_view PickService(const Route& route);
  RepeatBudget& BudgetOf(std::string_view service);
  bool TakeRepeat(std::string_view service, AttemptPurpose purpose);
  std::chrono::milliseconds RetryAfter();

  const RelayContext& context;
  TargetTable& targets;
  RelayMetrics& metrics;
  RepeatBudgetLimits budget_limits;
  std::shared_ptr<const RouteTable> table;
  std::map<std::string, RepeatBudget, std::less<>> budgets;  // by service
  std::mt19937_64 random;
  LogLimiter outcome_lines;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_SERVICE_H_
