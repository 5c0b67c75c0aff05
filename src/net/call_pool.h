#ifndef AUBURNYARD_SRC_NET_CALL_POOL_H_
#define AUBURNYARD_SRC_NET_CALL_POOL_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/net/http_client.h"
#include "src/net/http_connection.h"

namespace auburnyard {

struct CallPoolLimits {
  std::size_t max_connections = 4;
  std::size_t max_waiting = 256;  ///< calls that wait for a connection
};

/// Sends calls to one server over a bounded number of persistent connections.
/// Calls beyond the limits fail in stage kConnect. Thread-safe.
class CallPool : public std::enable_shared_from_this<CallPool> {
 public:
  CallPool(boost::asio::io_context& context,
           HostPort server,
           CallPoolLimits limits);

  /// `timeout` includes the wait for a connection. The callback runs on a
  /// thread of the context.
  void Submit(HttpCall call, Duration timeout, HttpConnection::Callback done);
  /// Closes all connections. Running, waiting and later calls fail.
  void Close();

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  struct WaitingCall {
    HttpCall call;
    TimePoint deadline;
    HttpConnection::Callback done;
  };
  struct IdleConnection {
    ConnectionPtr connection;
    TimePoint idle_since;
  };

  ConnectionPtr TakeConnection();
  void Start(const ConnectionPtr& connection, WaitingCall work);
  void OnDone(const ConnectionPtr& connection, bool reusable);
  void Fail(HttpConnection::Callback done, const char* error);

  boost::asio::io_context& context;
  HostPort server;
  CallPoolLimits limits;
  std::mutex mutex;
  std::vector<IdleConnection> idle;
  std::vector<ConnectionPtr> busy;
  std::deque<WaitingCall> queue;
  bool closed = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_CALL_POOL_H_
