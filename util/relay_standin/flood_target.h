#ifndef AUBURNYARD_UTIL_RELAY_STANDIN_FLOOD_TARGET_H_
#define AUBURNYARD_UTIL_RELAY_STANDIN_FLOOD_TARGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace auburnyard::util {

/// What a faulty server sends without end.
enum class FloodShape {
  kChunked,
  kUntilClose,     ///< a body without a length
  kInformational,  ///< 1xx replies
  kHead,           ///< header fields
  kContentLength,  ///< a body with a length beyond any limit
  kChunkExtension,
  kTrailer,
  kSurplus,  ///< bytes after a complete answer
};

std::string_view ToString(FloodShape shape);
std::span<const FloodShape> AllFloodShapes();

/// Stand-in for a faulty server: answers each request with bytes without end,
/// until the other side closes. Runs on a thread of its own.
class FloodTarget {
 public:
  /// Throws Error(kConnection) if it cannot listen.
  FloodTarget(std::string service, std::string domain, FloodShape shape);
  ~FloodTarget();
  FloodTarget(const FloodTarget&) = delete;
  FloodTarget& operator=(const FloodTarget&) = delete;

  /// Registration to write to the store.
  std::string Registration() const;
  std::uint64_t bytes_sent() const { return this->sent.load(); }

 private:
  class Connection;
  void Accept();

  std::string service;
  std::string domain;
  FloodShape shape;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor{this->io};
  std::atomic<std::uint64_t> sent{0};
  std::jthread thread;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_STANDIN_FLOOD_TARGET_H_
