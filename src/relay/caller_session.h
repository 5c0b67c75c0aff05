#ifndef AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_
#define AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "auburnyard/route_table.h"
#include "src/net/message_parser.h"
#include "src/relay/caller_answer.h"
#include "src/relay/relay_context.h"

namespace auburnyard {

/// Server side of one caller connection. Requests are processed one at a time;
/// pipelined ones wait in the socket or in a bounded buffer.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  struct Hooks {
    /// Called with a complete request. The owner must call Respond() exactly
    /// once.
    std::function<void(const std::shared_ptr<CallerSession>&, CallerRequest)>
        on_request;
    std::function<void(const std::shared_ptr<CallerSession>&)> on_closed;
    std::function<bool()> draining;
  };

  CallerSession(const RelayContext& context,
                boost::asio::ip::tcp::socket socket,
                CallerLimits limits,
                const Hooks& hooks);

  void Start();
  void Respond(CallerAnswer answer);
  /// Closes the connection after the idle time-out, and answers 408 if a
  /// request is incomplete after its time-out.
  void Sweep();
  void Close();
  /// True if no request is in progress and none has been partly received.
  bool idle() const;
  /// Cancels the request in progress; set by its owner.
  std::function<void()> cancel;

 private:
  static constexpr std::size_t kReadBytes = 16 * 1024;

  void NewParser();
  void Read();
  void OnRead(boost::beast::error_code error, std::size_t size);
  void Parse();
  void OnMalformed(boost::beast::error_code error);
  void SendContinue();
  void Write(CallerAnswer answer, bool close);
  void OnWritten(bool close);
  /// Counts the bytes of the request as far as it was received.
  void ChargeRequest();
  /// Ends the request or the response to free memory.
  void Evict();

  const RelayContext& context;
  boost::asio::ip::tcp::socket socket;
  CallerLimits limits;
  const Hooks& hooks;
  std::array<char, kReadBytes> received;  // by the read in progress
  boost::beast::flat_buffer buffer;       // not parsed yet
  std::optional<RequestParser> parser;
  std::string response_head;
  std::string response_body;
  bool closed = false;
  bool reading = false;
  bool in_progress =
      false;  // from the complete request to the end of its response
  bool request_started = false;  // the request has been partly received
  bool continue_sent = false;
  bool keep_alive = true;
  bool head_method = false;
  bool writing = false;
  MemoryCharge charge;
  TimePoint waiting_since{};  // start of the idle time or of the request
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_
