#ifndef AUBURNYARD_SRC_NET_HTTP_CONNECTION_H_
#define AUBURNYARD_SRC_NET_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/memory_budget.h"
#include "src/net/http_message.h"
#include "src/net/message_parser.h"

namespace auburnyard {

/// A request that a client sends.
struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  HttpHeaders headers;
};

/// Stage in which an exchange failed. In stage kConnect nothing was sent.
enum class ExchangeStage { kConnect, kWrite, kRead, kDone };

struct ExchangeResult {
  ExchangeStage stage = ExchangeStage::kDone;
  std::string error;  ///< empty on success
  HttpResponse response;
  bool timed_out = false;  ///< the exchange exceeded its time-out
  bool reusable = false;   ///< the connection can be used again
};

/// Client side of one HTTP/1.1 connection; one exchange at a time. Runs on a
/// strand of its own.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  HttpConnection(boost::asio::io_context& context,
                 const std::string& host,
                 std::uint16_t port);

  /// Enables TCP keep-alive probes, so that an idle connection to a host that
  /// no longer responds is closed after about three intervals. Takes effect at
  /// the next connect.
  void EnableProbes(std::chrono::seconds interval) {
    this->probe_interval = interval;
  }
  /// Counts what a response buffers. An exchange that has to free memory ends
  /// with an error. `budget`: null if memory is not bounded.
  void ChargeTo(MemoryBudget* budget, std::string_view kind);
  /// Connects if necessary, sends the call and reads the response. Any failure
  /// closes the connection.
  void Exchange(const HttpCall& call, Duration timeout, Callback callback);
  /// Closes the connection; a running exchange ends with an error.
  void Close();

 private:
  void CloseIfBytesWait();
  void SetSocketOptions();
  void Write();
  void ReadResponse();
  void ReadSome();
  void UpdateCharge();
  void OnResponse(boost::beast::error_code error);
  void Finish(ExchangeStage stage, boost::beast::error_code error);

  static constexpr std::size_t kMaxBufferedBytes = 128 * 1024;

  boost::beast::tcp_stream stream;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string host_header;
  // Bounded, because the limits of the parser do not cover bytes that are
  // received but not parsed yet.
  boost::beast::flat_buffer buffer{kMaxBufferedBytes};
  BeastRequest request;
  std::optional<ResponseParser> parser;
  Callback callback;
  bool connected = false;
  int informational = 0;  // informational responses to the current call
  std::chrono::seconds probe_interval{0};  // 0: no probes
  std::optional<MemoryCharge> charge;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_CONNECTION_H_
