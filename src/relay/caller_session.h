#ifndef AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_
#define AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "auburnyard/route_table.h"
#include "src/relay/caller_answer.h"
#include "src/relay/relay_context.h"

namespace auburnyard {

/// Server side of one connection of a caller. Requests are answered one after
/// the other; the next ones wait in the socket or in a bounded buffer.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  struct Hooks {
    /// A whole request. It is answered by Respond(), once.
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
  /// Closes the connection if it has been idle or incomplete for too long.
  void Sweep();
  void Close();
  /// No request is in progress and none has begun to arrive.
  bool idle() const;
  /// Set by the owner of the running request.
  std::function<void()> cancel;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void NewParser();
  void Read();
  void OnRead(boost::beast::error_code error, std::size_t size);
  void Parse();
  void OnMalformed(boost::beast::error_code error);
  void SendContinue();
  void Write(CallerAnswer answer, bool close);
  void OnWritten(bool close);

  const RelayContext& context;
  boost::asio::ip::tcp::socket socket;
  CallerLimits limits;
  const Hooks& hooks;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::string response_head;
  std::string response_body;
  bool closed = false;
  bool reading = false;
  bool in_progress = false;      // from a whole request to its response
  bool request_started = false;  // bytes of a request have arrived
  bool continue_sent = false;
  bool keep_alive = true;
  bool head_method = false;
  TimePoint waiting_since{};  // idle, or since the request began to arrive
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_CALLER_SESSION_H_
