#include "src/relay/caller_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/net/log.h"

namespace auburnyard {

namespace asio = boost::asio;

CallerServer::CallerServer(const RelayContext& relay_context,
                           Hooks server_hooks)
    : context(relay_context),
      hooks(std::move(server_hooks)),
      acceptor(relay_context.io) {
  this->session_hooks.on_request = [this](const SessionPtr& session,
                                          CallerRequest request) {
    this->OnRequest(session, std::move(request));
  };
  this->session_hooks.on_closed = [this](const SessionPtr& session) {
    this->open.erase(session);
  };
  this->session_hooks.draining = [this] { return this->is_draining; };
}

void CallerServer::Listen(const asio::ip::tcp::endpoint& endpoint) {
  try {
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::kConnection,
                std::string("cannot listen for callers: ") + error.what());
  }
  this->Accept();
}

std::uint16_t CallerServer::port() const {
  return this->acceptor.local_endpoint().port();
}

void CallerServer::Accept() {
  this->acceptor.async_accept(
      [this](boost::beast::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          LogEvent(spdlog::level::warn, "accept_failed",
                   {{"error", error.message()}});
        } else {
          auto session = std::make_shared<CallerSession>(
              this->context, std::move(socket), this->hooks.limits(),
              this->session_hooks);
          this->open.insert(session);
          session->Start();
        }
        this->Accept();
      });
}

void CallerServer::OnRequest(const SessionPtr& session, CallerRequest request) {
  auto cancel = this->hooks.handle(
      std::move(request),
      [session](CallerAnswer answer) { session->Respond(std::move(answer)); });
  if (cancel) {
    session->cancel = std::move(cancel);
  }
}

bool CallerServer::busy() const {
  return std::any_of(
      this->open.begin(), this->open.end(),
      [](const SessionPtr& session) { return !session->idle(); });
}

void CallerServer::CloseIdle() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  const std::vector<SessionPtr> present(this->open.begin(), this->open.end());
  for (const SessionPtr& session : present) {
    if (session->idle()) {
      session->Close();
    }
  }
}

void CallerServer::Sweep() {
  const std::vector<SessionPtr> present(this->open.begin(), this->open.end());
  for (const SessionPtr& session : present) {
    session->Sweep();
  }
}

}  // namespace auburnyard
