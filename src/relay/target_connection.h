#ifndef AUBURNYARD_SRC_RELAY_TARGET_CONNECTION_H_
#define AUBURNYARD_SRC_RELAY_TARGET_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "auburnyard/status_promise.h"
#include "src/net/message_parser.h"
#include "src/relay/relay_context.h"
#include "src/relay/target_exchange.h"

namespace auburnyard {

/// How an exchange on a connection ended.
struct ExchangeEnd {
  bool complete = false;  ///< a complete reply to this request arrived
  /// Why the bytes that arrived are no reply; empty: none arrived.
  std::string fault;
  ReplyHead head;
  RelayReply reply;
};

/// One persistent connection to a target, used by one exchange at a time. A
/// read is always pending, so that a close by the target, or bytes that belong
/// to no request, are detected at once.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<TargetConnection>&, bool success)>
        on_connected;
    /// The connection can take another exchange if it is still open.
    std::function<void(const std::shared_ptr<TargetConnection>&, ExchangeEnd)>
        on_end;
    /// Closed while idle.
    std::function<void(const std::shared_ptr<TargetConnection>&)> on_closed;
  };

  TargetConnection(const RelayContext& context, Hooks hooks);

  /// Counts what the connection buffers together with that of other connections
  /// of the same source. Must be called before Connect.
  void ChargeTo(const void* source, std::string_view kind, std::string name);

  /// Enables TCP keep-alive, which closes an established connection when the
  /// remote machine no longer answers. Must be called before Connect.
  void EnableProbes(std::chrono::seconds interval) {
    this->probe_interval = interval;
  }
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Sends the request. `attempt_head` is appended to the shared head and
  /// terminates it.
  void Send(TargetExchangePtr work, std::string attempt_head);
  /// Closes the connection without a further callback.
  void Close();

  bool open() const { return this->state != State::kClosed; }
  bool connecting() const { return this->state == State::kConnecting; }
  bool busy() const { return this->state == State::kBusy; }
  /// Time at which the connection entered its current state.
  TimePoint since() const { return this->state_since; }
  /// Time from the connection's start until it was established.
  Duration connect_time() const { return this->connected_in; }
  TimePoint sent_at() const { return this->exchange_sent_at; }
  /// Time of the first reply in this exchange that named no request and was
  /// skipped; empty: none.
  std::optional<TimePoint> unnamed_reply_at() const { return this->unnamed_at; }
  const TargetExchangePtr& exchange() const { return this->current; }
  /// Time after which the idle connection must not be used, because the target
  /// may close it.
  TimePoint idle_until() const { return this->idle_limit; }

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  void Read();
  void OnRead(boost::beast::error_code error, std::size_t size);
  void OnBytes();
  void OnMessage();
  ReplyMeaning MeaningOfReply(const ReplyHead& head) const;
  /// Reads on after a reply that belongs to another request.
  void SkipReply(bool needs_eof);
  /// Skips an informational reply, and fails after any other one.
  void OnNonFinalReply(const ReplyHead& head);
  void NewParser();
  void UpdateCharge();
  void End(ExchangeEnd end, bool reusable);
  /// Ends the exchange, if there is one, without a reply.
  void Fail(std::string fault = {});

  const RelayContext& context;
  boost::asio::ip::tcp::socket socket;
  Hooks hooks;
  State state = State::kConnecting;
  TimePoint state_since{};
  Duration connected_in{};
  TimePoint exchange_sent_at{};
  TimePoint idle_limit = TimePoint::max();
  boost::beast::flat_buffer buffer;
  std::optional<ResponseParser> parser;
  TargetExchangePtr current;
  std::string attempt_head;
  std::chrono::seconds probe_interval{0};  // 0: none
  bool written = false;
  std::uint32_t discarded = 0;  // replies to other requests in this exchange
  // Informational replies to the current request.
  int informational = 0;
  std::optional<TimePoint> unnamed_at;
  bool used_before = false;  // for an earlier exchange
  std::optional<MemoryCharge> charge;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_TARGET_CONNECTION_H_
