#ifndef AUBURNYARD_SERVICE_STATE_H_
#define AUBURNYARD_SERVICE_STATE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "auburnyard/budget.h"
#include "auburnyard/latency_tracker.h"

namespace auburnyard {

/// Budgets and observed latency of one service at one entry host.
struct ServiceState {
  explicit ServiceState(const ServiceConfig& service)
      : retries(service.retry_budget), hedges(service.hedge_budget) {}

  TokenBudget retries;
  TokenBudget hedges;
  LatencyTracker latency;
};

/// State of every service in use. Thread-safe.
class ServiceStates {
 public:
  /// Returns the state of the service and applies the configured budgets.
  std::shared_ptr<ServiceState> Get(std::string_view name,
                                    const ServiceConfig& service);

 private:
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> states;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SERVICE_STATE_H_
