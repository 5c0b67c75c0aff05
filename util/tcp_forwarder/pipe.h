#ifndef AUBURNYARD_UTIL_TCP_FORWARDER_PIPE_H_
#define AUBURNYARD_UTIL_TCP_FORWARDER_PIPE_H_

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Copies one direction of a connection and delays each chunk. Runs on the
/// strand of its sockets. Pending operations hold `owner`, which keeps the pipe
/// alive.
class Pipe {
 public:
  struct Hooks {
    std::function<Duration()> delay;
    std::function<bool()> is_dropping;
    /// Whether the first bytes of a chunk are sent again before the next one.
    std::function<bool()> is_repeating;
    std::function<void()> on_end;  ///< the end of stream was forwarded
    std::function<void()> on_error;
  };

  Pipe(boost::asio::ip::tcp::socket& source,
       boost::asio::ip::tcp::socket& sink,
       Hooks hooks);

  void Start(const std::shared_ptr<void>& owner);
  /// Continues delivery after the route has left the state kDrop.
  void Resume(const std::shared_ptr<void>& owner);
  void Cancel() { this->timer.cancel(); }

 private:
  struct Chunk {
    TimePoint due;
    std::vector<char> bytes;  ///< empty at the end of the stream
  };

  void Read(const std::shared_ptr<void>& owner);
  void OnRead(const std::shared_ptr<void>& owner,
              boost::system::error_code error,
              std::size_t bytes);
  /// Queues the first bytes of the last chunk again.
  void RepeatLastChunk(TimePoint due);
  void WaitForChunk(const std::shared_ptr<void>& owner);
  void WriteChunk(const std::shared_ptr<void>& owner);

  boost::asio::ip::tcp::socket& source;
  boost::asio::ip::tcp::socket& sink;
  Hooks hooks;
  boost::asio::steady_timer timer;
  std::vector<char> buffer;
  std::deque<Chunk> chunks;
  std::vector<char> last;  // chunk that was read last
  std::minstd_rand random;
  bool reading = false;
  bool delivering = false;
  bool end_read = false;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TCP_FORWARDER_PIPE_H_
