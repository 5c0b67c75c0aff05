#include "review/standin-2/acceptor.h"

#include <sys/socket.h>

#include <utility>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;

Acceptor::Acceptor(std::uint16_t port, Handler connection_handler)
    : listener(this->io), handler(std::move(connection_handler)) {
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  this->listener.open(endpoint.protocol());
  this->listener.set_option(asio::socket_base::reuse_address(true));
  this->listener.bind(endpoint);
  this->listener.listen();
  this->bound_port = this->listener.local_endpoint().port();
  this->accept_thread = std::jthread([this] { this->Accept(); });
}

Acceptor::~Acceptor() {
  this->Stop();
}

void Acceptor::Accept() {
  for (;;) {
    boost::system::error_code error;
    auto socket = std::make_shared<Socket>(this->io);
    this->listener.accept(*socket, error);
    const std::lock_guard lock(this->mutex);
    if (this->stopped) {
      return;
    }
    if (error) {
      continue;
    }
    this->connections.push_back(socket);
    this->threads.emplace_back([this, socket] {
      boost::system::error_code ignored;
      socket->set_option(tcp::no_delay(true), ignored);
      this->handler(*socket);
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    });
  }
}

// The sockets are shut down, not closed, because their threads use them.
void Acceptor::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->stopped, true)) {
      return;
    }
    ::shutdown(this->listener.native_handle(), SHUT_RDWR);
    for (const SocketPtr& socket : this->connections) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
  this->accept_thread.join();
  this->threads.clear();
  this->connections.clear();
  boost::system::error_code ignored;
  this->listener.close(ignored);
}

}  // namespace review
