#include "src/relay/target_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "auburnyard/hedging.h"
#include "auburnyard/shutdown_schedule.h"
#include "src/net/http_client.h"
#include "src/net/log.h"

namespace auburnyard {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// Connection attempts to a lost machine hang. The time-out covers a round trip
// between regions, a slow handshake and one pause of the target.
constexpr milliseconds kConnectTimeout{450};
// An exchange is given up this long after its deadline.
constexpr milliseconds kDeadlineGrace{350};
constexpr int kFirstServerError = 500;
constexpr int kFirstFinalStatus = 200;
// Time to read the request and to write the reply of a bundle, on both hosts.
constexpr milliseconds kBundleHandling{8};
// Minimum time given to another entry host for its answer.
constexpr milliseconds kMinAnswerTime{5};
// Another entry host whose answer is later than this is treated as unreachable.
constexpr milliseconds kLateAnswerMargin{50};
// Time that the reply to an exchange may still take after one without an
// identifier. If that one refused the exchange, no other follows.
constexpr milliseconds kUnnamedReplyWait{1'000};
// Maximum number of exchanges that wait for a connection to one target.
constexpr std::size_t kMaxWaiting = 64;
// Limit for idle connections of targets that do not report an idle time-out.
constexpr std::chrono::seconds kMaxIdleTime{60};
// A non-idempotent request is not sent on a connection that was idle for
// longer, because the target may be closing it.
constexpr std::chrono::seconds kMaxIdleForNonIdempotent{2};
// Bounds of the exponential delay between attempts to open connections in
// advance. A target at its connection limit resets new connections.
constexpr milliseconds kMinPreconnectDelay{500};
constexpr milliseconds kMaxPreconnectDelay{16'000};
// An entry host that was unreachable is used again within this time.
constexpr milliseconds kMaxPeerPreconnectDelay{2'000};

}  // namespace

TargetPool::TargetPool(const RelayContext& relay_context,
                       TargetPtr target_state,
                       Hooks pool_hooks)
    : context(relay_context),
      state(std::move(target_state)),
      hooks(std::move(pool_hooks)),
      linger(Duration::max()) {
  const HostPort address = ParseHostPort(this->state->entry().address);
  this->endpoint = {asio::ip::make_address(address.host), address.port};
}

TargetPool::~TargetPool() {
  for (const TargetConnectionPtr& connection : this->all) {
    connection->Close();
  }
}

bool TargetPool::MaySend(const TargetExchange& exchange, TimePoint now) const {
  const TargetExchange::SharedRequest& request = *exchange.request;
  return !this->is_retired && this->admitting && request.deadline > now &&
         RepliesBefore(request.stop, *this->state, request.work.get(), now);
}

void TargetPool::Submit(TargetExchangePtr exchange) {
  if (this->waiting.size() >= kMaxWaiting ||
      !this->MaySend(*exchange, this->context.clock.Now())) {
    asio::post(this->context.io, [exchange = std::move(exchange)] {
      exchange->Fail(PartFailure::kNotAdmitted);
    });
    return;
  }
  const auto position = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&exchange](const TargetExchangePtr& other) {
        return std::pair(other->request->priority, other->request->arrival) >
               std::pair(exchange->request->priority,
                         exchange->request->arrival);
      });
  this->waiting.insert(position, std::move(exchange));
  this->UpdateWaiting();
  asio::post(this->context.io,
             [self = this->shared_from_this()] { self->DispatchWaiting(); });
}

void TargetPool::Abandon(const TargetExchangePtr& exchange) {
  exchange->Abandon(this->context.clock.Now());
  const auto queued =
      std::find(this->waiting.begin(), this->waiting.end(), exchange);
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    this->UpdateWaiting();
  }
}

TargetConnectionPtr TargetPool::TakeIdle() {
  const TimePoint now = this->context.clock.Now();
  TargetConnectionPtr best;
  for (const TargetConnectionPtr& connection : this->all) {
    if (!connection->connecting() && !connection->busy() &&
        connection->idle_until() > now &&
        (best == nullptr || connection->since() > best->since())) {
      best = connection;
    }
  }
  return best;
}

void TargetPool::DispatchWaiting() {
  const TimePoint now = this->context.clock.Now();
  while (!this->waiting.empty()) {
    TargetConnectionPtr connection = this->TakeIdle();
    const bool non_idempotent = !this->waiting.front()->request->idempotent;
    if (connection != nullptr && non_idempotent &&
        now - connection->since() > kMaxIdleForNonIdempotent) {
      connection->Close();
      this->Remove(connection);
      continue;
    }
    if (connection == nullptr) {
      break;
    }
    TargetExchangePtr work = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (!this->MaySend(*work, now)) {
      work->Fail(PartFailure::kNotAdmitted);
      continue;
    }
    this->Dispatch(connection, std::move(work));
  }
  this->UpdateWaiting();
  const auto connecting = static_cast<std::size_t>(
      std::count_if(this->all.begin(), this->all.end(),
                    [](const TargetConnectionPtr& connection) {
                      return connection->connecting();
                    }));
  for (std::size_t i = connecting;
       i < this->waiting.size() && this->all.size() < this->connection_limit;
       ++i) {
    this->Open();
  }
}

void TargetPool::Preconnect(std::size_t idle) {
  const TimePoint now = this->context.clock.Now();
  const auto ready = static_cast<std::size_t>(
      std::count_if(this->all.begin(), this->all.end(),
                    [](const TargetConnectionPtr& connection) {
                      return !connection->busy();
                    }));
  if (ready >= idle || this->is_retired || now < this->next_preconnect) {
    return;
  }
  const Duration max_delay = this->probe_interval.count() > 0
                                 ? kMaxPeerPreconnectDelay
                                 : kMaxPreconnectDelay;
  this->preconnect_delay = std::clamp<Duration>(this->preconnect_delay * 2,
                                                kMinPreconnectDelay, max_delay);
  this->next_preconnect = now + this->preconnect_delay;
  for (std::size_t i = ready;
       i < idle && this->all.size() < this->connection_limit; ++i) {
    this->Open();
  }
}

bool TargetPool::established() const {
  return std::any_of(this->all.begin(), this->all.end(),
                     [](const TargetConnectionPtr& connection) {
                       return connection->open() && !connection->connecting();
                     });
}

void TargetPool::Open() {
  std::weak_ptr<TargetPool> weak = this->weak_from_this();
  TargetConnection::Hooks callbacks;
  callbacks.on_connected = [weak](const TargetConnectionPtr& connection,
                                  bool success) {
    if (const auto self = weak.lock()) {
      self->OnConnected(connection, success);
    }
  };
  callbacks.on_end = [weak](const TargetConnectionPtr& connection,
                            ExchangeEnd end) {
    if (const auto self = weak.lock()) {
      self->OnEnd(connection, std::move(end));
    }
  };
  callbacks.on_closed = [weak](const TargetConnectionPtr& connection) {
    if (const auto self = weak.lock()) {
      self->Remove(connection);
    }
  };
  auto connection =
      std::make_shared<TargetConnection>(this->context, std::move(callbacks));
  connection->EnableProbes(this->probe_interval);
  connection->ChargeTo(this,
                       this->probe_interval.count() > 0 ? "peer" : "target",
                       this->state->entry().id);
  this->all.push_back(connection);
  connection->Connect(this->endpoint);
}

void TargetPool::Dispatch(const TargetConnectionPtr& connection,
                          TargetExchangePtr work) {
  const bool bundle = work->request->answer_by != TimePoint::max();
  // Leaves time for the answer of another entry host to travel back and be
  // handled here.
  const Duration overhead =
      bundle ? this->state->RoundTrip() + kBundleHandling : Duration::zero();
  const auto left = std::chrono::duration_cast<milliseconds>(
      work->request->deadline - this->context.clock.Now() - overhead);
  std::string head = this->context.codec.encode_attempt(
      std::max(left, milliseconds(1)), this->state->entry().id);
  if (bundle) {
    const auto within = std::chrono::duration_cast<milliseconds>(
        work->request->answer_by - this->context.clock.Now() - overhead);
    head.insert(0, this->context.codec.encode_answer_within(
                       std::max(within, kMinAnswerTime)));
  }
  work->on_sent();
  const std::shared_ptr<WorkEstimate> estimate = work->request->work;
  connection->Send(std::move(work), std::move(head));
  this->state->OnSent(connection->sent_at(), estimate.get());
  if (this->hooks.on_sent) {
    this->hooks.on_sent(this->state);
  }
}

void TargetPool::OnConnected(const TargetConnectionPtr& connection,
                             bool success) {
  if (!success) {
    this->Remove(connection);
    this->state->OnUnreachable(this->context.clock.Now());
    if (this->all.empty()) {
      this->FailWaiting(PartFailure::kUnreachable);
    }
    return;
  }
  this->state->OnConnected(connection->connect_time());
  if (this->is_retired) {
    connection->Close();
    this->Remove(connection);
    return;
  }
  this->DispatchWaiting();
}

void TargetPool::UpdateWaiting() {
  this->state->SetWaiting(this->waiting.size(), this->connection_limit);
}

void TargetPool::FailWaiting(PartFailure failure) {
  const std::deque<TargetExchangePtr> failed = std::move(this->waiting);
  this->waiting.clear();
  this->UpdateWaiting();
  for (const TargetExchangePtr& exchange : failed) {
    exchange->Fail(failure);
  }
}

void TargetPool::OnEnd(const TargetConnectionPtr& connection, ExchangeEnd end) {
  const TimePoint now = this->context.clock.Now();
  const TargetExchangePtr exchange = connection->exchange();
  const TimePoint sent_at = connection->sent_at();
  if (end.head.load) {
    this->state->OnLoad(*end.head.load, now);
  }
  const bool was_cold = this->state->Cold(now);
  if (end.head.remaining_warm_up) {
    this->state->SetColdUntil(now + *end.head.remaining_warm_up);
  }
  if (!was_cold && this->state->Cold(now) && this->hooks.on_cold) {
    this->hooks.on_cold(this->state);
  }
  if (!end.fault.empty() && this->hooks.on_unreadable) {
    this->hooks.on_unreadable(this->state, exchange->request->request_id,
                              end.fault);
  }
  this->ReportLeaving(*exchange, end.head);
  if (!end.head.admission.empty() && this->hooks.on_admission) {
    this->hooks.on_admission(this->state, end.head.admission);
  }
  if (end.complete && end.head.overloaded) {
    this->state->OnAbandoned(sent_at);  // says nothing about its health
  } else if (end.complete && end.head.refused) {
    this->state->OnRefused(sent_at, now);
  } else if (!end.complete || end.head.status >= kFirstServerError) {
    this->state->OnFailed(sent_at, now);
  } else {
    this->state->OnReply(sent_at, now, exchange->request->work.get());
    this->preconnect_delay = {};
  }
  if (!(end.complete && end.head.refused)) {
    const bool success = end.complete && !end.head.encoded_body &&
                         end.head.status >= kFirstFinalStatus &&
                         end.head.status < kFirstServerError;
    this->ReportAnswer(*exchange, success, now - sent_at);
  }
  if (!connection->open() || this->is_retired) {
    connection->Close();
    this->Remove(connection);
  }
  if (end.head.wrong_target && this->hooks.on_wrong_target) {
    this->hooks.on_wrong_target(this->state);
  }
  if (!end.complete || end.head.encoded_body) {
    exchange->Fail(PartFailure::kLost);
  } else if (end.head.refused) {
    exchange->Fail(PartFailure::kRefused);
  } else {
    exchange->Reply(std::move(end.reply));
  }
  this->DispatchWaiting();
}

void TargetPool::ReportAnswer(const TargetExchange& exchange,
                              bool success,
                              Duration latency) const {
  if (this->hooks.on_answer) {
    this->hooks.on_answer(this->state, exchange.request->kind, success,
                          latency);
  }
}

// A reply that names no request, or that of another target at this address,
// says nothing about the target.
void TargetPool::ReportLeaving(const TargetExchange& exchange,
                               const ReplyHead& head) const {
  if (head.leaving && !head.request_id.empty() && !head.wrong_target &&
      this->hooks.on_leaving) {
    this->hooks.on_leaving(this->state, exchange.request->request_id);
  }
  if (!head.leaving_targets.empty() && this->hooks.on_leaving_report) {
    this->hooks.on_leaving_report(head.leaving_targets);
  }
}

void TargetPool::Remove(const TargetConnectionPtr& connection) {
  std::erase(this->all, connection);
}

// An entry host answers with the parts it has by the requested time. One that
// does not is unreachable or overloaded, and is avoided for a while.
void TargetPool::CountLateExchange(const TargetConnection& connection,
                                   bool lingered,
                                   TimePoint now) {
  // After an abandoned exchange it is not known how much later the reply would
  // have come. It was later than usual, because it was repeated or not awaited.
  const TimePoint replied =
      std::max(now, connection.exchange()->request->deadline);
  this->ReportAnswer(*connection.exchange(), lingered,
                     replied - connection.sent_at());
  const TimePoint due = connection.exchange()->request->answer_by;
  if (due != TimePoint::max() && now > due + kLateAnswerMargin) {
    this->state->OnAbandoned(connection.sent_at());
    this->state->OnUnreachable(now);
  } else if (lingered && (this->linger == Duration::zero() ||
                          !this->state->IsOldest(connection.sent_at()))) {
    this->state->OnAbandoned(connection.sent_at(), now,
                             connection.exchange()->request->work.get());
  } else {
    this->state->OnFailed(connection.sent_at(), now);
  }
}

void TargetPool::Sweep() {
  const TimePoint now = this->context.clock.Now();
  const std::vector<TargetConnectionPtr> present = this->all;
  for (const TargetConnectionPtr& connection : present) {
    const Duration age = now - connection->since();
    if (connection->connecting()) {
      if (age > kConnectTimeout) {
        connection->Close();
        this->OnConnected(connection, false);
      }
    } else if (connection->busy()) {
      const TargetExchangePtr& exchange = connection->exchange();
      const Duration allowed = std::min(
          this->linger, LingerTime(*this->state, connection->sent_at()));
      const bool lingered = exchange->ended && exchange->request->idempotent &&
                            now - exchange->abandoned_at >= allowed;
      const auto unnamed = connection->unnamed_reply_at();
      if (unnamed && now >= *unnamed + kUnnamedReplyWait) {
        connection->Close();
        this->OnEnd(connection, {});
      } else if (now > exchange->request->deadline + kDeadlineGrace ||
                 lingered) {
        this->CountLateExchange(*connection, lingered, now);
        connection->Close();
        this->Remove(connection);
      }
    } else if (connection->idle_until() <= now || age > kMaxIdleTime) {
      connection->Close();
      this->Remove(connection);
    }
  }
  this->FailStopped(now);
  if (!this->waiting.empty()) {
    this->DispatchWaiting();
  }
}

void TargetPool::FailStopped(TimePoint now) {
  std::vector<TargetExchangePtr> stopped;
  std::copy_if(this->waiting.begin(), this->waiting.end(),
               std::back_inserter(stopped),
               [this, now](const TargetExchangePtr& exchange) {
                 return exchange->request->stop != TimePoint::max() &&
                        !this->MaySend(*exchange, now);
               });
  for (const TargetExchangePtr& exchange : stopped) {
    std::erase(this->waiting, exchange);
  }
  this->UpdateWaiting();
  for (const TargetExchangePtr& exchange : stopped) {
    exchange->Fail(PartFailure::kNotAdmitted);
  }
}

void TargetPool::SetAdmitting(bool admits) {
  this->admitting = admits;
  if (!admits) {
    this->ReturnWaiting();
  }
}

void TargetPool::ReturnWaiting() {
  if (this->waiting.empty()) {
    return;
  }
  LogEvent(
      spdlog::level::info, "waiting_requests_returned",
      {{"target", this->state->entry().id}, {"count", this->waiting.size()}});
  this->FailWaiting(PartFailure::kNotAdmitted);
}

void TargetPool::Retire() {
  this->is_retired = true;
  this->FailWaiting(PartFailure::kNotAdmitted);
  const std::vector<TargetConnectionPtr> present = this->all;
  for (const TargetConnectionPtr& connection : present) {
    if (!connection->busy()) {
      connection->Close();
      this->Remove(connection);
    }
  }
}

}  // namespace auburnyard
