#include "channel.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <sstream>
#include <utility>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <boost/asio/write.hpp>

namespace auburnyard::review {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kHexBase = 16;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return std::string(text);
}

Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  message.start_line = Trimmed(line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.fields.emplace(LowerCase(line.substr(0, colon)),
                             Trimmed(line.substr(colon + 1)));
    }
  }
  return message;
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string() : found->second;
}

std::string Message::Word(std::size_t index) const {
  std::istringstream words(this->start_line);
  std::string word;
  for (std::size_t i = 0; i <= index; ++i) {
    word.clear();
    words >> word;
  }
  return word;
}

Channel::Channel() : stream(this->io) {}

bool Channel::Connect(std::uint16_t port) {
  this->Close();
  this->buffer.clear();
  this->stream = tcp::socket(this->io);
  boost::system::error_code error;
  this->stream.connect({asio::ip::address_v4::loopback(), port}, error);
  if (!error) {
    this->stream.set_option(tcp::no_delay(true), error);
  }
  return !error;
}

bool Channel::Write(std::string_view bytes) {
  boost::system::error_code error;
  asio::write(this->stream, asio::buffer(bytes), error);
  return !error;
}

bool Channel::Fill() {
  std::array<char, kReadBytes> bytes{};
  // Not a read of Asio, which would wait on after the time-out of the socket.
  const ssize_t size =
      ::recv(this->stream.native_handle(), bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

bool Channel::ReadChunks(std::string& body) {
  for (;;) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill()) {
        return false;
      }
    }
    const std::size_t size =
        std::stoul(this->buffer.substr(0, end), nullptr, kHexBase);
    while (this->buffer.size() < end + size + kHeadEnd.size()) {
      if (!this->Fill()) {
        return false;
      }
    }
    body += this->buffer.substr(end + 2, size);
    this->buffer.erase(0, end + size + kHeadEnd.size());
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Channel::Read(bool has_body) {
  std::size_t end = 0;
  while ((end = this->buffer.find(kHeadEnd)) == std::string::npos) {
    if (!this->Fill()) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(this->buffer.substr(0, end));
  this->buffer.erase(0, end + kHeadEnd.size());
  if (!has_body) {
    return message;
  }
  if (message.Field("transfer-encoding") == "chunked") {
    return this->ReadChunks(message.body) ? std::optional(message)
                                          : std::nullopt;
  }
  const std::string length = message.Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (this->buffer.size() < size) {
    if (!this->Fill()) {
      return std::nullopt;
    }
  }
  message.body = this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return message;
}

void Channel::SetReadTimeout(std::uint32_t milliseconds) {
  constexpr std::uint32_t kMillisecondsPerSecond = 1'000;
  const suseconds_t rest = milliseconds % kMillisecondsPerSecond;
  timeval limit{};
  limit.tv_sec = milliseconds / kMillisecondsPerSecond;
  limit.tv_usec = rest * kMillisecondsPerSecond;
  ::setsockopt(this->stream.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
}

void Channel::Close() {
  boost::system::error_code ignored;
  this->stream.close(ignored);
}

Acceptor::Acceptor(Handler connection_handler) {
  auto io = std::make_shared<asio::io_context>();
  auto acceptor = std::make_shared<tcp::acceptor>(
      *io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  this->bound_port = acceptor->local_endpoint().port();
  std::thread([io, acceptor, handler = std::move(connection_handler)] {
    for (;;) {
      auto channel = std::make_shared<Channel>();
      boost::system::error_code error;
      acceptor->accept(channel->socket(), error);
      if (error) {
        return;
      }
      channel->socket().set_option(tcp::no_delay(true), error);
      std::thread([channel, handler] {
        handler(*channel);
        channel->Close();
      }).detach();
    }
  }).detach();
}

// Below the ports that the system gives to outgoing connections, and different
// in each run.
std::uint16_t FreePort() {
  constexpr int kFirstPort = 12'000;
  constexpr int kPorts = 18'000;
  constexpr int kStep = 41;
  static std::atomic<int> next{::getpid() * kStep};
  asio::io_context io;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error) {
      return port;
    }
  }
}

}  // namespace auburnyard::review
