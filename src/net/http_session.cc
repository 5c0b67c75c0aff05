#include "src/net/http_session.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "auburnyard/query.h"

namespace auburnyard {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

HttpResponse ProblemResponse(ErrorKind kind, const std::string& detail) {
  HttpResponse response;
  response.status = DescribeError(kind).http_status;
  response.content_type = "application/problem+json";
  response.body = SerializeRefusal(
      {.kind = kind, .run = RunState::kNotRun, .detail = detail});
  response.close = true;
  return response;
}

HttpRequest Convert(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string_view target(message.target().data(),
                                message.target().size());
  const std::size_t question = target.find('?');
  request.path = std::string(target.substr(0, question));
  if (question != std::string_view::npos) {
    request.query = std::string(target.substr(question + 1));
  }
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer> owner,
                         asio::ip::tcp::socket accepted)
    : server(std::move(owner)),
      socket(std::move(accepted)),
      timer(this->socket.get_executor()),
      ordinal(++this->server->accepted_count),
      charge(this->server->limits.memory,
             this,
             "server",
             "port " + std::to_string(this->server->port()),
             [this] { this->Abort(); }) {
  ++this->server->connections;
}

HttpSession::~HttpSession() {
  this->server->Unregister(this);
  --this->server->connections;
}

void HttpSession::Start() {
  boost::beast::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  // The peek in WatchPeer must not block the strand when there is nothing to
  // read.
  this->socket.non_blocking(true, ignored);
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] { self->Read(); });
}

void HttpSession::Reject(ErrorKind kind, const std::string& detail) {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this(), kind, detail] {
                   self->keep_alive = false;
                   self->Send(ProblemResponse(kind, detail));
                 });
}

void HttpSession::Abort() {
  asio::dispatch(
      this->socket.get_executor(), [self = this->shared_from_this()] {
        boost::beast::error_code ignored;
        self->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        self->socket.close(ignored);
      });
}

void HttpSession::Read() {
  this->parser.emplace();
  this->parser->header_limit(this->server->limits.max_header_bytes);
  this->parser->body_limit(this->server->limits.max_body_bytes);
  this->responded = false;
  // The time-out covers the complete request, so that a client cannot extend it
  // by sending single bytes.
  const bool idle = this->buffer.size() == 0;
  this->StartTimer(idle ? this->server->limits.idle_timeout
                        : this->server->limits.read_timeout);
  if (!idle) {
    http::async_read_header(this->socket, this->buffer, *this->parser,
                            [self = this->shared_from_this()](
                                boost::beast::error_code error, std::size_t) {
                              self->OnHeader(error);
                            });
    return;
  }
  this->socket.async_read_some(
      this->buffer.prepare(4096),
      [self = this->shared_from_this()](boost::beast::error_code error,
                                        std::size_t bytes) {
        if (error || bytes == 0) {
          self->Close();
          return;
        }
        self->buffer.commit(bytes);
        self->Read();
      });
}

void HttpSession::StartTimer(std::chrono::milliseconds timeout) {
  this->timer.expires_after(timeout);
  this->timer.async_wait(
      [self = this->shared_from_this(),
       generation = ++this->timer_generation](boost::beast::error_code error) {
        if (error || generation != self->timer_generation) {
          return;
        }
        self->timed_out = true;
        boost::beast::error_code ignored;
        self->socket.cancel(ignored);
      });
}

void HttpSession::StopTimer() {
  ++this->timer_generation;
  this->timer.cancel();
}

void HttpSession::OnHeader(boost::beast::error_code error) {
  if (error) {
    this->OnReadError(error);
    return;
  }
  http::async_read(this->socket, this->buffer, *this->parser,
                   [self = this->shared_from_this()](
                       boost::beast::error_code read_error, std::size_t) {
                     self->OnRead(read_error);
                   });
}

void HttpSession::OnRead(boost::beast::error_code error) {
  if (error) {
    this->OnReadError(error);
    return;
  }
  this->StopTimer();
  this->Dispatch();
}

void HttpSession::OnReadError(boost::beast::error_code error) {
  this->keep_alive = false;
  if (error == http::error::body_limit) {
    this->Send(ProblemResponse(ErrorKind::kPayloadTooLarge,
                               "the body exceeds the limit"));
  } else if (error == http::error::header_limit) {
    this->Send(ProblemResponse(ErrorKind::kHeaderTooLarge,
                               "the header exceeds the limit"));
  } else if (error == HeadFault::kUnknownCoding) {
    this->Send(ProblemResponse(ErrorKind::kUnsupportedCoding,
                               "only \"chunked\" is supported"));
  } else if (this->timed_out) {
    this->Send(ProblemResponse(ErrorKind::kRequestTimeout,
                               "the request was not complete in time"));
  } else if (error == http::error::end_of_stream ||
             error == http::error::partial_message ||
             error.category() == asio::error::get_system_category() ||
             error.category() == asio::error::get_misc_category()) {
    this->Close();
  } else {
    this->Send(ProblemResponse(ErrorKind::kBadRequest,
                               "malformed HTTP request: " + error.message()));
  }
}

void HttpSession::Dispatch() {
  this->keep_alive = this->parser->keep_alive() && !this->server->stopping();
  HttpRequest request = Convert(this->parser->release());
  this->disconnect_notifier = std::make_shared<DisconnectNotifier>();
  request.disconnect_notifier = this->disconnect_notifier;
  request.number = ++this->requests;
  request.connection = this->ordinal;
  this->WatchPeer();
  HttpResponder respond = [self =
                               this->shared_from_this()](HttpResponse reply) {
    asio::post(self->socket.get_executor(),
               [self, reply = std::move(reply)]() mutable {
                 self->Send(std::move(reply));
               });
  };
  try {
    this->server->handler(std::move(request), respond);
  } catch (const Error& error) {
    HttpResponse reply = ProblemResponse(error.kind(), error.what());
    reply.close = false;
    respond(std::move(reply));
  } catch (const std::exception& error) {
    respond(ProblemResponse(ErrorKind::kInternal, error.what()));
  }
}

void HttpSession::WatchPeer() {
  // A readable socket without data means that the client has closed the
  // connection. Data of a pipelined request ends the watch.
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this(),
       watch = this->disconnect_notifier](boost::beast::error_code error) {
        if (error || self->responded || watch != self->disconnect_notifier) {
          return;
        }
        char byte = 0;
        boost::beast::error_code peek_error;
        self->socket.receive(asio::buffer(&byte, 1),
                             asio::ip::tcp::socket::message_peek, peek_error);
        // Readiness can be reported for bytes that have already been read.
        if (peek_error == asio::error::would_block) {
          self->WatchPeer();
        } else if (peek_error) {
          watch->NotifyClosed();
        }
      });
}

void HttpSession::Send(HttpResponse reply) {
  if (this->responded) {
    return;
  }
  this->responded = true;
  if (this->disconnect_notifier) {
    this->disconnect_notifier->Reset();
  }
  boost::beast::error_code ignored;
  this->socket.cancel(ignored);
  const bool close =
      reply.close || !this->keep_alive || this->server->stopping();
  this->response = {};
  this->response.version(11);
  this->response.result(static_cast<unsigned>(reply.status));
  this->response.set(http::field::content_type, reply.content_type);
  for (const auto& [name, value] : reply.headers) {
    this->response.set(name, value);
  }
  this->response.body() = std::move(reply.body);
  this->charge.Set(this->response.body().capacity());
  this->response.keep_alive(!close);
  this->response.prepare_payload();
  this->StartTimer(this->server->limits.read_timeout);
  http::async_write(this->socket, this->response,
                    [self = this->shared_from_this(), close](
                        boost::beast::error_code error, std::size_t) {
                      self->OnWritten(close, error);
                    });
}

void HttpSession::OnWritten(bool close, boost::beast::error_code error) {
  this->response = {};
  this->charge.Set(0);
  if (error || close) {
    this->Close();
    return;
  }
  this->Read();
}

void HttpSession::Close() {
  if (this->disconnect_notifier) {
    this->disconnect_notifier->NotifyClosed();
  }
  boost::beast::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->StopTimer();
  this->socket.close(ignored);
}

}  // namespace auburnyard
