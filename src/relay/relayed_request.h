#ifndef AUBURNYARD_SRC_RELAY_RELAYED_REQUEST_H_
#define AUBURNYARD_SRC_RELAY_RELAYED_REQUEST_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/fan_out.h"
#include "auburnyard/route_table.h"
#include "src/relay/relay_context.h"
#include "src/relay/target_pool.h"

namespace auburnyard {

/// Executes one caller's request: carries out the decisions of its FanOut state
/// machine with connections and timers. Keeps the route table in force at its
/// start alive.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  struct Hooks {
    std::function<TargetPtr(std::string_view service,
                            std::span<const TargetPtr> tried)>
        choose_target;
    std::function<std::shared_ptr<TargetPool>(const TargetPtr&)> pool_of;
    std::function<std::shared_ptr<TargetPool>(const TargetPtr&)> pool_of_host;
    std::function<std::size_t(std::string_view service)> count_replicas;
    std::function<bool(std::string_view service, AttemptPurpose purpose)>
        take_repeat;
    std::function<void(RelayedRequest&, FanOutResult)> finish;
  };

  RelayedRequest(const RelayContext& context,
                 std::shared_ptr<const RouteTable> table,
                 FanOutPlan plan,
                 CallerRequest caller,
                 Hooks hooks);

  void Start();
  /// Allows other hosts to refuse bundles for lack of capacity.
  void AllowRefusal() { this->may_be_refused = true; }
  void Cancel();
  /// Ends the request by `stop`, because the host shuts down.
  void StopBy(TimePoint stop);
  const std::string& request_id() const { return this->shared->request_id; }
  const FanOut& fan_out() const { return *this->state_machine; }

 private:
  struct Attempt {
    std::shared_ptr<TargetPool> pool;
    TargetExchangePtr exchange;
  };

  FanOutHooks MakeFanOutHooks();
  void SendBundle(std::uint32_t index, const TargetPtr& host);

  void Send(PartAttempt id, const TargetPtr& target);
  void Abandon(PartAttempt id);
  void Finish(FanOutResult result);
  void ArmTimer();

  const RelayContext& context;
  std::shared_ptr<const RouteTable> table;
  std::shared_ptr<TargetExchange::SharedRequest> shared;
  std::string account;  // of the caller; may be empty
  bool may_be_refused = false;
  Hooks hooks;
  std::unique_ptr<FanOut> state_machine;
  std::vector<std::vector<Attempt>> attempts;  // by part
  std::vector<Attempt> bundles;
  std::vector<std::shared_ptr<TargetExchange::SharedRequest>> bundle_requests;
  boost::asio::steady_timer timer;
  TimePoint timer_expiry = TimePoint::max();
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAYED_REQUEST_H_
