#ifndef AUBURNYARD_REVIEW_STANDIN_3_CHANNEL_H_
#define AUBURNYARD_REVIEW_STANDIN_3_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace auburnyard::review {

/// A message of HTTP/1.1. Names of fields are in lower case.
struct Message {
  std::string start_line;
  std::multimap<std::string, std::string> fields;
  std::string body;

  /// Value of the first field of that name; empty if there is none.
  std::string Field(const std::string& name) const;
  /// Second word of the start line.
  std::string Word(std::size_t index) const;
};

/// A blocking connection on loopback.
class Channel {
 public:
  Channel();
  bool Connect(std::uint16_t port);
  boost::asio::ip::tcp::socket& socket() { return this->stream; }
  bool Write(std::string_view bytes);
  /// Reads a message with a length or in chunks. Empty at the end of the
  /// connection. `has_body`: false for an answer without a body.
  std::optional<Message> Read(bool has_body = true);
  /// Ends a read that takes longer.
  void SetReadTimeout(std::uint32_t milliseconds);
  void Close();

 private:
  bool Fill();
  bool ReadChunks(std::string& body);

  boost::asio::io_context io;
  boost::asio::ip::tcp::socket stream;
  std::string buffer;
};

/// Accepts connections on loopback, each served by a thread of its own until
/// the process ends.
class Acceptor {
 public:
  using Handler = std::function<void(Channel& channel)>;
  explicit Acceptor(Handler connection_handler);
  std::uint16_t port() const { return this->bound_port; }

 private:
  std::uint16_t bound_port = 0;
};

/// A port that is free at this moment.
std::uint16_t FreePort();

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_CHANNEL_H_
