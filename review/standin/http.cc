#include "review/standin/http.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kPollMs = 50;
constexpr int kBacklog = 512;
constexpr std::uint32_t kFirstPort = 15'000;
constexpr std::uint32_t kPortCount = 16'000;
constexpr std::uint32_t kPortsPerProcess = 64;

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int BoundSocket(std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  port = ntohs(address.sin_port);
  return fd;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Parses a head without its empty line.
Message ParseHead(std::string_view head) {
  Message message;
  std::size_t end = head.find("\r\n");
  message.first_line = std::string(head.substr(0, end));
  while (end != std::string_view::npos) {
    head.remove_prefix(end + 2);
    end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  return message;
}

}  // namespace

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : this->headers) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return {};
}

std::string Message::JoinedHeader(std::string_view name) const {
  std::string joined;
  for (const auto& [key, value] : this->headers) {
    if (SameName(key, name)) {
      joined += joined.empty() ? value : "," + value;
    }
  }
  return joined;
}

std::string Message::SecondWord() const {
  const std::size_t begin = this->first_line.find(' ');
  if (begin == std::string::npos) {
    return {};
  }
  return this->first_line.substr(
      begin + 1, this->first_line.find(' ', begin + 1) - begin - 1);
}

int Message::Status() const {
  return std::atoi(this->SecondWord().c_str());
}

Connection::~Connection() {
  close(this->fd);
}

std::unique_ptr<Connection> Connection::Open(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  auto connection = std::make_unique<Connection>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  SetNoDelay(fd);
  return connection;
}

bool Connection::Read(Message& message, SteadyTime until) {
  this->expired = false;
  while (true) {
    const std::size_t end = this->buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      message = ParseHead(std::string_view(this->buffer).substr(0, end));
      const std::size_t length =
          std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
      if (this->buffer.size() >= end + 4 + length) {
        message.body = this->buffer.substr(end + 4, length);
        this->buffer.erase(0, end + 4 + length);
        return true;
      }
    }
    if (Now() >= until) {
      this->expired = true;
      return false;
    }
    pollfd waiting{this->fd, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    char bytes[kReadBytes];
    const ssize_t size = recv(this->fd, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(size));
  }
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size =
        send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const ssize_t size = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Reset() {
  const linger abort{1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
}

std::string EncodeResponse(int status,
                           const Headers& headers,
                           std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

Server::Server(Handler request_handler) : handler(std::move(request_handler)) {
  this->listener = BoundSocket(this->bound_port);
  listen(this->listener, kBacklog);
  this->acceptor = std::thread([this] { this->Accept(); });
}

void Server::Accept() {
  while (!this->stopping) {
    pollfd waiting{this->listener, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    SetNoDelay(fd);
    const std::lock_guard lock(this->mutex);
    this->open.insert(fd);
    this->threads.emplace_back([this, fd] { this->Serve(fd); });
  }
}

void Server::Serve(int socket) {
  {
    Connection connection(socket);
    Message request;
    while (!this->stopping && connection.Read(request, SteadyTime::max())) {
      const auto response = this->handler(request, connection);
      if (!response || !connection.Write(*response)) {
        break;
      }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(socket);
  }
}

void Server::Stop() {
  if (this->stopping.exchange(true)) {
    return;
  }
  this->acceptor.join();
  close(this->listener);
  std::vector<std::thread> running;
  {
    const std::lock_guard lock(this->mutex);
    for (const int fd : this->open) {
      shutdown(fd, SHUT_RDWR);
    }
    running.swap(this->threads);
  }
  for (std::thread& thread : running) {
    thread.join();
  }
}

// Below the range from which the system takes the ports of outgoing
// connections, so that none of them takes the port before its owner listens.
std::uint16_t FreePort() {
  static std::atomic<std::uint32_t> next{static_cast<std::uint32_t>(getpid()) *
                                         kPortsPerProcess};
  while (true) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(fd);
    if (free) {
      return port;
    }
  }
}

}  // namespace review
