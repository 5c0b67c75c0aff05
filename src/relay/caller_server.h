#ifndef AUBURNYARD_SRC_RELAY_CALLER_SERVER_H_
#define AUBURNYARD_SRC_RELAY_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>

#include "src/relay/caller_session.h"

namespace auburnyard {

/// Accepts the connections of callers.
class CallerServer {
 public:
  struct Hooks {
    /// Has the signature and semantics of RelayService::Handle.
    std::function<std::function<void()>(CallerRequest,
                                        std::function<void(CallerAnswer)>)>
        handle;
    /// Limits for a new connection.
    std::function<CallerLimits()> limits;
  };

  CallerServer(const RelayContext& context, Hooks hooks);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Throws Error(kConnection).
  void Listen(const boost::asio::ip::tcp::endpoint& endpoint);
  std::uint16_t port() const;
  /// Closes each connection after its next response.
  void CloseAfterResponses() { this->is_draining = true; }
  /// Stops accepting and closes connections without a request in progress.
  void CloseIdle();
  std::size_t sessions() const { return this->open.size(); }
  bool busy() const;
  void Sweep();

 private:
  using SessionPtr = std::shared_ptr<CallerSession>;

  void Accept();
  void OnRequest(const SessionPtr& session, CallerRequest request);

  const RelayContext& context;
  Hooks hooks;
  CallerSession::Hooks session_hooks;
  boost::asio::ip::tcp::acceptor acceptor;
  std::unordered_set<SessionPtr> open;
  bool is_draining = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_CALLER_SERVER_H_
