#ifndef AUBURNYARD_SRC_RELAY_TARGET_POOL_H_
#define AUBURNYARD_SRC_RELAY_TARGET_POOL_H_

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "auburnyard/target_state.h"
#include "src/relay/relay_context.h"
#include "src/relay/target_connection.h"
#include "src/relay/target_exchange.h"

namespace auburnyard {

/// Connections of this host to one target, and the queue of exchanges that wait
/// for a connection. Runs on the thread of the context.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  struct Hooks {
    /// Called when another target answered at the address. May be empty.
    std::function<void(const TargetPtr&)> on_wrong_target;
    /// Called when a reply shows that the target has become cold. May be empty.
    std::function<void(const TargetPtr&)> on_cold;
    /// Called with the shares that another entry host can answer. May be empty.
    std::function<void(const TargetPtr&, std::span<const AdmissionShare>)>
        on_admission;
    /// Called when an answer to the request announces that the target leaves,
    /// before the answer is passed on. May be empty.
    std::function<void(const TargetPtr&, std::string_view request_id)>
        on_leaving;
    /// Called with the targets that another entry host names as leaving. May be
    /// empty.
    std::function<void(std::span<const TargetIncarnation>)> on_leaving_report;
    /// Called when the bytes that came in reply to a request are no reply. May
    /// be empty.
    std::function<void(const TargetPtr&,
                       std::string_view request_id,
                       std::string_view fault)>
        on_unreadable;
    /// Called when a request is sent. May be empty.
    std::function<void(const TargetPtr&)> on_sent;
    /// Called when a request that was sent ends after `latency`, except if the
    /// target refused it. May be empty.
    std::function<void(const TargetPtr&,
                       std::string_view kind,
                       bool success,
                       Duration latency)>
        on_answer;
  };

  TargetPool(const RelayContext& context, TargetPtr target, Hooks hooks);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  /// Sends the exchange as soon as a connection is free. No callback is called
  /// during this call.
  void Submit(TargetExchangePtr exchange);
  /// Ends an exchange whose result is no longer needed. If it was already sent,
  /// its connection stays occupied until the reply arrives or the linger time
  /// has passed.
  void Abandon(const TargetExchangePtr& exchange);
  /// Opens connections in advance until `idle` are not busy.
  void Preconnect(std::size_t idle);
  /// Closes connections that exceed their time limits. Called every few tens of
  /// milliseconds.
  void Sweep();
  /// Fails queued exchanges and closes connections as they become idle.
  void Retire();
  /// Sets whether the target may receive exchanges. If not, those that wait for
  /// a connection and new ones fail, and those in progress go on.
  void SetAdmitting(bool admits);
  /// Fails the exchanges that wait for a connection, so that their requests are
  /// placed again.
  void ReturnWaiting();

  /// Sets how long the reply to an abandoned exchange may still take. Zero: the
  /// connection is closed at the next sweep, which cancels the request at the
  /// remote host.
  void SetLinger(Duration time) { this->linger = time; }
  /// Enables TCP keep-alive on new connections, to detect a remote machine that
  /// no longer answers.
  void EnableProbes(std::chrono::seconds interval) {
    this->probe_interval = interval;
  }
  /// True if a connection is established, which shows that the remote machine
  /// answered recently.
  bool established() const;
  void SetConnectionLimit(std::size_t limit) { this->connection_limit = limit; }
  const TargetPtr& target() const { return this->state; }
  std::size_t connections() const { return this->all.size(); }
  bool retired() const { return this->is_retired; }

 private:
  void DispatchWaiting();
  /// Fails waiting exchanges that cannot be sent before this host shuts down.
  void FailStopped(TimePoint now);
  void Open();
  void Dispatch(const TargetConnectionPtr& connection, TargetExchangePtr work);
  /// Whether the reply can be expected before the deadline and the shutdown of
  /// this host.
  bool MaySend(const TargetExchange& exchange, TimePoint now) const;
  TargetConnectionPtr TakeIdle();
  void OnConnected(const TargetConnectionPtr& connection, bool success);
  void OnEnd(const TargetConnectionPtr& connection, ExchangeEnd end);
  void Remove(const TargetConnectionPtr& connection);
  void ReportAnswer(const TargetExchange& exchange,
                    bool success,
                    Duration latency) const;
  void ReportLeaving(const TargetExchange& exchange,
                     const ReplyHead& head) const;
  void CountLateExchange(const TargetConnection& connection,
                         bool lingered,
                         TimePoint now);
  /// Reports the number of waiting exchanges to the target's state.
  void UpdateWaiting();
  void FailWaiting(PartFailure failure);

  const RelayContext& context;
  TargetPtr state;
  Hooks hooks;
  boost::asio::ip::tcp::endpoint endpoint;
  std::size_t connection_limit = 1;
  Duration linger;  // limit of the linger time
  std::vector<TargetConnectionPtr> all;
  std::deque<TargetExchangePtr> waiting;  // by priority, then by arrival
  TimePoint next_preconnect{};
  Duration preconnect_delay{};             // doubles until a reply arrives
  std::chrono::seconds probe_interval{0};  // 0: none
  bool is_retired = false;
  bool admitting = true;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_POOL_H_
