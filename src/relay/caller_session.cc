#include "src/relay/caller_session.h"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

#include "src/relay/feed_parser.h"

namespace auburnyard {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Limit of the pipelined bytes buffered while a request is in progress. Beyond
// it the socket is not read until the response is sent.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
constexpr int kStatusUnavailable = 503;
// Time in which the exchanges that hold the memory end.
constexpr std::chrono::milliseconds kMemoryRetryAfter{500};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerSession::CallerSession(const RelayContext& relay_context,
                             asio::ip::tcp::socket accepted,
                             CallerLimits caller_limits,
                             const Hooks& session_hooks)
    : context(relay_context),
      socket(std::move(accepted)),
      limits(caller_limits),
      hooks(session_hooks),
      charge(relay_context.memory, this, "caller", "", [this] {
        const auto self = this->shared_from_this();
        self->Evict();
      }) {}

void CallerSession::Start() {
  boost::beast::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->waiting_since = this->context.clock.Now();
  this->NewParser();
  this->Read();
}

void CallerSession::NewParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(this->limits.header_bytes);
  this->parser->body_limit(this->limits.body_bytes);
  this->request_started = false;
  this->continue_sent = false;
}

bool CallerSession::idle() const {
  return !this->in_progress && !this->request_started &&
         this->buffer.size() == 0;
}

// Does not read into the buffer: the previous requests may be parsed, and their
// bytes removed from it, before the read completes.
void CallerSession::Read() {
  if (this->reading || this->closed ||
      (this->in_progress && this->buffer.size() >= kMaxPipelinedBytes)) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(
      asio::buffer(this->received),
      [self = this->shared_from_this()](boost::beast::error_code error,
                                        std::size_t size) {
        self->reading = false;
        self->OnRead(error, size);
      });
}

void CallerSession::OnRead(boost::beast::error_code error, std::size_t size) {
  if (this->closed) {
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  this->buffer.commit(asio::buffer_copy(this->buffer.prepare(size),
                                        asio::buffer(this->received, size)));
  if (!this->in_progress) {
    this->Parse();
  }
  this->Read();
}

void CallerSession::Parse() {
  if (this->buffer.size() == 0) {
    return;
  }
  if (!this->request_started) {
    this->request_started = true;
    this->waiting_since = this->context.clock.Now();
  }
  boost::beast::error_code error;
  const bool complete =
      detail::FeedParser(*this->parser, this->buffer,
                         this->limits.header_bytes + kMaxPipelinedBytes, error);
  if (error) {
    this->OnMalformed(error);
    return;
  }
  this->ChargeRequest();
  if (!complete) {
    if (this->parser->is_header_done() && !this->continue_sent) {
      this->SendContinue();
    }
    return;
  }
  this->in_progress = true;
  this->charge.SetEvictable(false);
  this->keep_alive = this->parser->keep_alive();
  CallerRequest request =
      this->context.codec.decode_request(this->parser->release());
  this->head_method = request.head_method;
  this->hooks.on_request(this->shared_from_this(), std::move(request));
}

// The first read buffer is part of the session itself.
void CallerSession::ChargeRequest() {
  this->charge.Set(this->parser->get().body().capacity() +
                   this->buffer.capacity());
}

// A request that is being received has not run. A response that the caller does
// not read fast enough cannot be completed, and an idle connection may be
// closed at any time. Other requests are with their targets and hold only their
// bodies, which the limits of callers bound.
void CallerSession::Evict() {
  const bool idle = !this->in_progress && !this->request_started;
  if (this->writing || idle) {
    this->Close();
  } else if (!this->in_progress && !this->closed) {
    this->in_progress = true;
    this->NewParser();
    this->buffer = {};
    this->Write(
        MakeRefusal(kStatusUnavailable,
                    "the host has no memory for the request", "memory_limit",
                    RunState::kNotRun, kMemoryRetryAfter),
        /*close=*/true);
  }
}

// A caller that sent "Expect: 100-continue" waits for this line before it sends
// the body.
void CallerSession::SendContinue() {
  this->continue_sent = true;
  if (this->parser->get()[http::field::expect] != "100-continue") {
    return;
  }
  asio::async_write(this->socket, asio::buffer(kContinue),
                    [self = this->shared_from_this()](boost::beast::error_code,
                                                      std::size_t) {});
}

void CallerSession::OnMalformed(boost::beast::error_code error) {
  int status = 400;
  std::string_view kind = "bad_request";
  if (error == http::error::header_limit) {
    status = 431;
    kind = "header_too_large";
  } else if (error == http::error::body_limit) {
    status = 413;
    kind = "payload_too_large";
  } else if (error == HeadFault::kUnknownCoding) {
    status = 501;
    kind = "unsupported_coding";
  }
  this->in_progress = true;
  this->Write(MakeRefusal(status, "the request cannot be read", kind,
                          RunState::kNotRun, std::chrono::milliseconds(0)),
              /*close=*/true);
}

void CallerSession::Respond(CallerAnswer answer) {
  this->cancel = nullptr;
  if (!this->closed) {
    this->Write(std::move(answer), !this->keep_alive || this->hooks.draining());
  }
}

void CallerSession::Write(CallerAnswer answer, bool close) {
  this->response_head = std::move(answer.head);
  this->response_body = std::move(answer.body);
  if (this->response_head.find("\r\nContent-Length:") == std::string::npos) {
    this->response_head +=
        "Content-Length: " + std::to_string(this->response_body.size()) +
        "\r\n";
  }
  this->response_head += close ? "Connection: close\r\n\r\n" : "\r\n";
  if (this->head_method) {
    this->response_body.clear();
  }
  this->writing = true;
  this->charge.SetEvictable(true);
  this->charge.Set(this->response_body.capacity() + this->buffer.capacity());
  const std::array<asio::const_buffer, 2> message = {
      asio::buffer(this->response_head), asio::buffer(this->response_body)};
  asio::async_write(this->socket, message,
                    [self = this->shared_from_this(), close](
                        boost::beast::error_code error, std::size_t) {
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->OnWritten(close);
                    });
}

void CallerSession::OnWritten(bool close) {
  this->writing = false;
  if (this->closed) {
    return;
  }
  this->response_body = {};
  this->charge.Set(this->buffer.capacity());
  this->in_progress = false;
  this->waiting_since = this->context.clock.Now();
  if (close) {
    this->Close();
    return;
  }
  this->NewParser();
  this->Parse();
  this->Read();
}

void CallerSession::Sweep() {
  if (this->closed || this->in_progress) {
    return;
  }
  const Duration waited = this->context.clock.Now() - this->waiting_since;
  if (!this->request_started) {
    if (waited > this->limits.idle_timeout) {
      this->Close();
    }
    return;
  }
  const std::chrono::milliseconds limit = this->parser->is_header_done()
                                              ? this->limits.idle_timeout
                                              : this->limits.header_timeout;
  if (waited > limit) {
    this->in_progress = true;
    this->Write(MakeRefusal(408, "the request did not arrive in time",
                            "request_timeout", RunState::kNotRun,
                            std::chrono::milliseconds(0)),
                /*close=*/true);
  }
}

void CallerSession::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->charge.Set(0);
  const auto abandon = std::move(this->cancel);
  this->cancel = nullptr;
  boost::beast::error_code ignored;
  this->socket.close(ignored);
  if (abandon) {
    abandon();
  }
  this->hooks.on_closed(this->shared_from_this());
}

}  // namespace auburnyard
