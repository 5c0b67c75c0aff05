#include "src/net/http_connection.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "src/net/http_status.h"
#include "src/net/keep_alive.h"

namespace auburnyard {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 8 * 1024 * 1024;

HttpResponse Convert(BeastResponse message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  response.content_type = std::string(message[http::field::content_type]);
  response.body = std::move(message.body());
  return response;
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& context,
                               const std::string& host,
                               std::uint16_t port)
    : stream(asio::make_strand(context)),
      endpoint(asio::ip::make_address(host), port),
      host_header(host + ":" + std::to_string(port)) {}

void HttpConnection::Exchange(const HttpCall& call,
                              Duration timeout,
                              Callback done) {
  this->request = {};
  this->request.version(11);
  this->request.method_string(call.method);
  this->request.target(call.path);
  this->request.set(http::field::host, this->host_header);
  if (!call.body.empty()) {
    this->request.set(http::field::content_type, "application/json");
  }
  for (const auto& [name, value] : call.headers) {
    this->request.set(name, value);
  }
  this->request.body() = call.body;
  this->request.prepare_payload();
  this->callback = std::move(done);
  this->informational = 0;
  asio::dispatch(this->stream.get_executor(),
                 [self = this->shared_from_this(), timeout] {
                   self->stream.expires_after(timeout);
                   self->CloseIfBytesWait();
                   if (self->connected) {
                     self->Write();
                     return;
                   }
                   self->stream.async_connect(
                       self->endpoint, [self](boost::beast::error_code error) {
                         if (error) {
                           self->Finish(ExchangeStage::kConnect, error);
                           return;
                         }
                         self->connected = true;
                         self->SetSocketOptions();
                         self->Write();
                       });
                 });
}

// Bytes that arrived before the call belong to no request. They would be read
// as its response.
void HttpConnection::CloseIfBytesWait() {
  boost::beast::error_code ignored;
  if (this->connected && this->stream.socket().available(ignored) > 0) {
    this->connected = false;
    this->stream.close();
  }
  if (!this->connected) {
    this->buffer.clear();
  }
}

void HttpConnection::SetSocketOptions() {
  boost::beast::error_code ignored;
  asio::ip::tcp::socket& socket = this->stream.socket();
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (this->probe_interval.count() > 0) {
    EnableKeepAlive(socket, this->probe_interval);
  }
}

void HttpConnection::Write() {
  http::async_write(this->stream, this->request,
                    [self = this->shared_from_this()](
                        boost::beast::error_code error, std::size_t) {
                      if (error) {
                        self->Finish(ExchangeStage::kWrite, error);
                        return;
                      }
                      self->ReadResponse();
                    });
}

void HttpConnection::ReadResponse() {
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  this->ReadSome();
}

void HttpConnection::ReadSome() {
  http::async_read_some(this->stream, this->buffer, *this->parser,
                        [self = this->shared_from_this()](
                            boost::beast::error_code error, std::size_t) {
                          self->UpdateCharge();
                          if (!error && !self->parser->is_done()) {
                            self->ReadSome();
                            return;
                          }
                          self->OnResponse(error);
                        });
}

void HttpConnection::ChargeTo(MemoryBudget* budget, std::string_view kind) {
  this->charge.emplace(budget, this, kind,
                       this->endpoint.address().to_string() + ":" +
                           std::to_string(this->endpoint.port()),
                       [this] { this->Close(); });
}

void HttpConnection::UpdateCharge() {
  if (this->charge) {
    this->charge->Set(this->parser->get().body().capacity() +
                      this->buffer.capacity());
  }
}

// The time-out covers informational responses and the final one together.
void HttpConnection::OnResponse(boost::beast::error_code error) {
  if (!error) {
    const int status = static_cast<int>(this->parser->get().result_int());
    if (IsInformationalStatus(status) &&
        ++this->informational <= kMaxInformationalReplies) {
      this->ReadResponse();
      return;
    }
    if (!IsFinalStatus(status)) {
      error = http::error::bad_status;
    }
  }
  this->Finish(error ? ExchangeStage::kRead : ExchangeStage::kDone, error);
}

void HttpConnection::Finish(ExchangeStage stage,
                            boost::beast::error_code error) {
  if (this->charge) {
    this->charge->Set(0);
  }
  ExchangeResult result;
  result.stage = stage;
  if (error) {
    result.error = error.message();
    result.timed_out = error == boost::beast::error::timeout;
  } else {
    this->stream.expires_never();
    // Bytes after the response belong to no request, so the connection cannot
    // be reused.
    result.reusable = this->parser->keep_alive() && this->buffer.size() == 0;
    result.response = Convert(this->parser->release());
  }
  if (!result.reusable) {
    this->connected = false;
    this->stream.close();
  }
  Callback done = std::move(this->callback);
  this->callback = nullptr;
  if (done) {
    done(std::move(result));
  }
}

void HttpConnection::Close() {
  asio::dispatch(this->stream.get_executor(),
                 [self = this->shared_from_this()] {
                   self->connected = false;
                   self->stream.close();
                 });
}

}  // namespace auburnyard
