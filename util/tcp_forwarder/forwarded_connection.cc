#include "util/tcp_forwarder/forwarded_connection.h"

#include <utility>

#include <boost/asio/dispatch.hpp>

namespace auburnyard::util {

namespace asio = boost::asio;
using asio::ip::tcp;

ForwardedConnection::ForwardedConnection(tcp::socket accepted,
                                         tcp::endpoint server_endpoint,
                                         Hooks connection_hooks)
    : client(std::move(accepted)),
      server(client.get_executor()),
      endpoint(std::move(server_endpoint)),
      hooks(std::move(connection_hooks)),
      timer(client.get_executor()),
      forward(client,
              server,
              {.delay = [this] { return this->hooks.delays().forward; },
               .is_dropping = [this] { return this->hooks.is_dropping(); },
               .is_repeating = [] { return false; },
               .on_end = [this] { this->OnEnd(this->server); },
               .on_error = [this] { this->Close(); }}),
      reverse(
          server,
          client,
          {.delay = [this] { return this->hooks.delays().reverse; },
           .is_dropping = [this] { return this->hooks.is_dropping_replies(); },
           .is_repeating =
               [this] { return this->hooks.is_repeating_replies(); },
           .on_end = [this] { this->OnEnd(this->client); },
           .on_error = [this] { this->Close(); }}) {}

// The kernel accepts the client's connection without the delays of the route.
// The round trip of the handshake is made up for before the connection to the
// server.
void ForwardedConnection::Start() {
  boost::system::error_code ignored;
  this->client.set_option(tcp::no_delay(true), ignored);
  const RouteDelays delays = this->hooks.delays();
  this->timer.expires_after(delays.forward + delays.reverse);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->Connect();
        }
      });
}

void ForwardedConnection::Connect() {
  if (this->connecting || this->hooks.is_dropping() ||
      !this->client.is_open()) {
    return;
  }
  this->connecting = true;
  this->server.async_connect(
      this->endpoint,
      [self = this->shared_from_this()](boost::system::error_code error) {
        self->OnConnected(error);
      });
}

void ForwardedConnection::OnConnected(boost::system::error_code error) {
  if (error || !this->client.is_open()) {
    this->Close();
    return;
  }
  boost::system::error_code ignored;
  this->server.set_option(tcp::no_delay(true), ignored);
  this->connected = true;
  this->forward.Start(this->shared_from_this());
  this->reverse.Start(this->shared_from_this());
}

void ForwardedConnection::Resume() {
  asio::dispatch(this->client.get_executor(),
                 [self = this->shared_from_this()] {
                   if (!self->connected) {
                     self->Connect();
                     return;
                   }
                   self->forward.Resume(self);
                   self->reverse.Resume(self);
                 });
}

void ForwardedConnection::Reset() {
  asio::dispatch(this->client.get_executor(),
                 [self = this->shared_from_this()] { self->Close(); });
}

void ForwardedConnection::OnEnd(tcp::socket& sink) {
  boost::system::error_code ignored;
  sink.shutdown(tcp::socket::shutdown_send, ignored);
  if (++this->ended_directions == 2) {
    this->is_closed = true;
    this->client.close(ignored);
    this->server.close(ignored);
  }
}

// Zero linger makes both ends receive a TCP reset, as after a connection loss.
void ForwardedConnection::Close() {
  boost::system::error_code ignored;
  this->is_closed = true;
  this->timer.cancel();
  this->forward.Cancel();
  this->reverse.Cancel();
  for (tcp::socket* socket : {&this->client, &this->server}) {
    if (socket->is_open()) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
}

}  // namespace auburnyard::util
