#include "src/net/call_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace auburnyard {

namespace {

// Servers may close connections that have been idle for long. A write on such a
// connection would end with an unknown outcome although it had no effect, so
// connections are not reused after this time.
constexpr std::chrono::seconds kMaxIdleTime{10};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

CallPool::CallPool(boost::asio::io_context& io_context,
                   HostPort server_address,
                   CallPoolLimits pool_limits)
    : context(io_context),
      server(std::move(server_address)),
      limits(pool_limits) {}

void CallPool::Submit(HttpCall call,
                      Duration timeout,
                      HttpConnection::Callback done) {
  WaitingCall work{std::move(call), Now() + timeout, std::move(done)};
  ConnectionPtr connection;
  {
    const std::lock_guard lock(this->mutex);
    connection = this->closed ? nullptr : this->TakeConnection();
    if (!connection && !this->closed &&
        this->queue.size() < this->limits.max_waiting) {
      this->queue.push_back(std::move(work));
      return;
    }
  }
  if (connection) {
    this->Start(connection, std::move(work));
  } else {
    this->Fail(std::move(work.done), "too many calls wait for a connection");
  }
}

CallPool::ConnectionPtr CallPool::TakeConnection() {
  std::erase_if(this->idle,
                [oldest = Now() - kMaxIdleTime](const IdleConnection& entry) {
                  if (entry.idle_since >= oldest) {
                    return false;
                  }
                  entry.connection->Close();
                  return true;
                });
  ConnectionPtr connection;
  if (!this->idle.empty()) {
    connection = std::move(this->idle.back().connection);
    this->idle.pop_back();
  } else if (this->busy.size() < this->limits.max_connections) {
    connection = std::make_shared<HttpConnection>(
        this->context, this->server.host, this->server.port);
  }
  if (connection) {
    this->busy.push_back(connection);
  }
  return connection;
}

void CallPool::Start(const ConnectionPtr& connection, WaitingCall work) {
  const Duration left = work.deadline - Now();
  if (left <= Duration::zero()) {
    this->Fail(std::move(work.done), "timed out before it was sent");
    this->OnDone(connection, true);
    return;
  }
  connection->Exchange(work.call, left,
                       [self = this->shared_from_this(), connection,
                        done = std::move(work.done)](ExchangeResult result) {
                         self->OnDone(connection, result.reusable);
                         done(std::move(result));
                       });
}

void CallPool::OnDone(const ConnectionPtr& connection, bool reusable) {
  WaitingCall next;
  ConnectionPtr free;
  {
    const std::lock_guard lock(this->mutex);
    std::erase(this->busy, connection);
    if (this->closed) {
      return;
    }
    if (reusable) {
      this->idle.push_back({connection, Now()});
    }
    if (this->queue.empty()) {
      return;
    }
    next = std::move(this->queue.front());
    this->queue.pop_front();
    free = this->TakeConnection();
  }
  // Posted, because a series of expired calls would otherwise recurse through
  // Start and OnDone.
  boost::asio::post(this->context, [self = this->shared_from_this(), free,
                                    next = std::move(next)]() mutable {
    self->Start(free, std::move(next));
  });
}

void CallPool::Fail(HttpConnection::Callback done, const char* error) {
  boost::asio::post(this->context, [done = std::move(done), error] {
    ExchangeResult result;
    result.stage = ExchangeStage::kConnect;
    result.error = error;
    done(std::move(result));
  });
}

void CallPool::Close() {
  std::deque<WaitingCall> waiting;
  std::vector<ConnectionPtr> open;
  {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    waiting.swap(this->queue);
    open = this->busy;
    for (const IdleConnection& entry : this->idle) {
      open.push_back(entry.connection);
    }
    this->idle.clear();
  }
  for (WaitingCall& work : waiting) {
    this->Fail(std::move(work.done), "the client is closed");
  }
  for (const ConnectionPtr& connection : open) {
    connection->Close();
  }
}

}  // namespace auburnyard
