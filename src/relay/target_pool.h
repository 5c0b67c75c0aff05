#ifndef AUBURNYARD_SRC_RELAY_TARGET_POOL_H_
#define AUBURNYARD_SRC_RELAY_TARGET_POOL_H_

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "auburnyard/target_state.h"
#include "src/relay/relay_context.h"
#include "src/relay/target_connection.h"
#include "src/relay/target_exchange.h"

namespace auburnyard {

/// Connections of this host to one target, and the exchanges that wait for
/// one. Runs on the thread of the context.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  struct Hooks {
    /// Another target answered at the address. May be empty.
    std::function<void(const TargetPtr&)> on_wrong_target;
  };

  TargetPool(const RelayContext& context, TargetPtr target, Hooks hooks);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  /// Sends the exchange as soon as a connection is free. All callbacks come
  /// later, none from within this call.
  void Submit(TargetExchangePtr exchange);
  /// The result is not needed any more. One that was sent keeps its connection
  /// until the reply arrives or the linger time has passed.
  void Abandon(const TargetExchangePtr& exchange);
  /// Opens connections until `idle` are ready for use.
  void Preconnect(std::size_t idle);
  /// Ends what has taken too long. Called every few tens of milliseconds.
  void Sweep();
  /// Refuses what waits and closes connections as they become idle.
  void Retire();

  /// How long a reply that nobody waits for may still take. Zero: its
  /// connection is closed, so that the other side learns of it.
  void SetLinger(Duration time) { this->linger = time; }
  /// Finds established connections whose other machine no longer answers.
  void EnableProbes(std::chrono::seconds interval) {
    this->probe_interval = interval;
  }
  /// Whether a connection is established, so that the other machine answered
  /// lately.
  bool established() const;
  void SetConnectionLimit(std::size_t limit) { this->connection_limit = limit; }
  const TargetPtr& target() const { return this->state; }
  std::size_t connections() const { return this->all.size(); }
  bool retired() const { return this->is_retired; }

 private:
  void DispatchWaiting();
  void Open();
  void Dispatch(const TargetConnectionPtr& connection, TargetExchangePtr work);
  TargetConnectionPtr TakeIdle();
  void OnConnected(const TargetConnectionPtr& connection, bool success);
  void OnEnd(const TargetConnectionPtr& connection, ExchangeEnd end);
  void Remove(const TargetConnectionPtr& connection);
  void CountLateExchange(const TargetConnection& connection,
                         bool lingered,
                         TimePoint now);
  void FailWaiting(PartFailure failure);

  const RelayContext& context;
  TargetPtr state;
  Hooks hooks;
  boost::asio::ip::tcp::endpoint endpoint;
  std::size_t connection_limit = 1;
  Duration linger;
  std::vector<TargetConnectionPtr> all;
  std::deque<TargetExchangePtr> waiting;  // by priority, then by arrival
  TimePoint next_preconnect{};
  Duration preconnect_delay{};  // doubles while connections do not last
  std::chrono::seconds probe_interval{0};  // 0: none
  bool is_retired = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_POOL_H_
