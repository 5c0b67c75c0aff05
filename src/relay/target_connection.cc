#include "src/relay/target_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "src/net/http_status.h"
#include "src/net/keep_alive.h"
#include "src/relay/feed_parser.h"

namespace auburnyard {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// A reply is buffered until it is complete, so that a truncated one never
// reaches a caller.
constexpr std::uint64_t kMaxReplyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t kMaxReplyHeaderBytes = 64 * 1024;
// Above the header limit, because Beast parses a header only when it is
// complete; the header limit must apply first.
constexpr std::size_t kMaxUnusedBytes = 2 * kMaxReplyHeaderBytes;
// Number of late replies to earlier requests that are skipped before the
// connection is closed.
constexpr std::uint32_t kMaxDiscarded = 2;
// A connection is not used this close to the target's idle time-out: the target
// may already be closing it.
constexpr std::chrono::milliseconds kIdleMargin{500};

}  // namespace

TargetConnection::TargetConnection(const RelayContext& relay_context,
                                   Hooks connection_hooks)
    : context(relay_context),
      socket(relay_context.io),
      hooks(std::move(connection_hooks)) {}

void TargetConnection::ChargeTo(const void* source,
                                std::string_view kind,
                                std::string name) {
  this->charge.emplace(this->context.memory, source, kind, std::move(name),
                       [this] {
                         const auto self = this->shared_from_this();
                         self->Fail();
                       });
}

// The first read buffer is not counted: each connection keeps one, so that
// their number bounds them.
void TargetConnection::UpdateCharge() {
  if (!this->charge) {
    return;
  }
  const bool busy = this->state == State::kBusy && this->parser;
  const std::size_t body = busy ? this->parser->get().body().capacity() : 0;
  this->charge->Set(body + this->buffer.capacity() -
                    std::min(this->buffer.capacity(), kReadBytes));
}

void TargetConnection::Connect(const asio::ip::tcp::endpoint& endpoint) {
  this->state_since = this->context.clock.Now();
  this->socket.async_connect(endpoint, [self = this->shared_from_this()](
                                           boost::beast::error_code error) {
    if (self->state != State::kConnecting) {
      return;
    }
    if (error) {
      self->Close();
      self->hooks.on_connected(self, false);
      return;
    }
    boost::beast::error_code ignored;
    self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (self->probe_interval.count() > 0) {
      EnableKeepAlive(self->socket, self->probe_interval);
    }
    self->state = State::kIdle;
    self->connected_in = self->context.clock.Now() - self->state_since;
    self->state_since += self->connected_in;
    self->Read();
    self->hooks.on_connected(self, true);
  });
}

void TargetConnection::NewParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(kMaxReplyBytes);
  this->parser->header_limit(kMaxReplyHeaderBytes);
  if (this->current->request->head_method) {
    this->parser->skip(true);
  }
}

void TargetConnection::Send(TargetExchangePtr work, std::string head_end) {
  this->state = State::kBusy;
  this->state_since = this->context.clock.Now();
  this->exchange_sent_at = this->state_since;
  this->current = std::move(work);
  this->attempt_head = std::move(head_end);
  this->written = false;
  this->discarded = 0;
  this->informational = 0;
  this->unnamed_at.reset();
  this->NewParser();
  const TargetExchange::SharedRequest& request = *this->current->request;
  const std::array<asio::const_buffer, 3> message = {
      asio::buffer(request.head), asio::buffer(this->attempt_head),
      asio::buffer(request.body)};
  asio::async_write(this->socket, message,
                    [self = this->shared_from_this(), exchange = this->current](
                        boost::beast::error_code error, std::size_t) {
                      if (self->current != exchange) {
                        return;
                      }
                      if (error) {
                        self->Fail();
                        return;
                      }
                      self->written = true;
                    });
}

void TargetConnection::Read() {
  this->socket.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = this->shared_from_this()](boost::beast::error_code error,
                                        std::size_t size) {
        self->OnRead(error, size);
      });
}

void TargetConnection::OnRead(boost::beast::error_code error,
                              std::size_t size) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    if (this->state == State::kBusy && error == asio::error::eof &&
        this->parser->is_header_done()) {
      boost::beast::error_code end;
      this->parser->put_eof(end);
      if (!end && this->parser->is_done()) {
        this->OnMessage();
        return;
      }
    }
    this->Fail();
    return;
  }
  this->buffer.commit(size);
  if (this->state != State::kBusy) {
    this->Fail();  // bytes that belong to no request
    return;
  }
  this->OnBytes();
  this->UpdateCharge();
  if (this->state != State::kClosed) {
    this->Read();
  }
}

void TargetConnection::OnBytes() {
  boost::beast::error_code error;
  while (this->state == State::kBusy && this->buffer.size() > 0) {
    const bool complete =
        detail::FeedParser(*this->parser, this->buffer, kMaxUnusedBytes, error);
    if (error) {
      this->Fail(error.message());
      return;
    }
    if (!complete) {
      return;
    }
    this->OnMessage();
  }
}

void TargetConnection::OnMessage() {
  const bool keep_alive = this->parser->keep_alive();
  const bool needs_eof = this->parser->need_eof();
  BeastResponse response = this->parser->release();
  ExchangeEnd end;
  end.head = this->context.codec.decode_reply(response);
  if (end.head.repeated_field) {
    this->Fail("a field that may occur once is repeated");
    return;
  }
  if (!IsFinalStatus(end.head.status)) {
    this->OnNonFinalReply(end.head);
    return;
  }
  const ReplyMeaning meaning = this->MeaningOfReply(end.head);
  if (meaning == ReplyMeaning::kContradiction) {
    this->Fail("a success that states that it did not run");
    return;
  }
  if (meaning == ReplyMeaning::kUnrelated) {
    const bool named = !end.head.request_id.empty();
    if (!named && !this->used_before) {
      this->Fail();  // only a refusal may omit the request identifier
      return;
    }
    if (!named && !this->unnamed_at) {
      this->unnamed_at = this->context.clock.Now();
    }
    this->SkipReply(needs_eof);
    return;
  }
  end.complete = true;
  end.reply.status = end.head.status;
  end.reply.signature = end.head.signature;
  end.reply.part_signatures = end.head.part_signatures;
  end.reply.missing_services = end.head.missing_services;
  end.reply.top_records = end.head.top_records;
  end.reply.overloaded = end.head.overloaded;
  if (this->current->request->forwards_reply) {
    end.reply.head = this->context.codec.encode_reply(response);
  }
  end.reply.body = std::move(response.body());
  const bool reusable =
      keep_alive && !needs_eof && this->written && this->buffer.size() == 0;
  if (end.head.keep_alive) {
    this->idle_limit =
        this->context.clock.Now() + *end.head.keep_alive - kIdleMargin;
  }
  this->End(std::move(end), reusable);
}

ReplyMeaning TargetConnection::MeaningOfReply(const ReplyHead& head) const {
  const bool named = !head.request_id.empty();
  return MeaningOf({
      .status = head.status,
      .refusal_stated = head.refused,
      .names_request =
          named && head.request_id == this->current->request->request_id,
      .names_any_request = named,
      .first_on_connection = !this->used_before && this->discarded == 0,
  });
}

// A reply with a request identifier claims to be the last one. With a status
// that is none, or with an invalid one, no byte of the connection can be
// trusted.
void TargetConnection::OnNonFinalReply(const ReplyHead& head) {
  if (IsInformationalStatus(head.status) && head.request_id.empty() &&
      ++this->informational <= kMaxInformationalReplies) {
    this->NewParser();
    return;
  }
  this->Fail();
}

void TargetConnection::SkipReply(bool needs_eof) {
  if (++this->discarded > kMaxDiscarded || needs_eof) {
    this->Fail();
    return;
  }
  this->NewParser();
}

void TargetConnection::End(ExchangeEnd end, bool reusable) {
  this->used_before = true;
  if (reusable) {
    this->state = State::kIdle;
    this->state_since = this->context.clock.Now();
  } else {
    this->Close();
  }
  this->hooks.on_end(this->shared_from_this(), std::move(end));
}

void TargetConnection::Fail(std::string fault) {
  const bool was_busy = this->state == State::kBusy;
  this->Close();
  if (was_busy) {
    ExchangeEnd end;
    end.fault = std::move(fault);
    this->hooks.on_end(this->shared_from_this(), std::move(end));
  } else {
    this->hooks.on_closed(this->shared_from_this());
  }
}

void TargetConnection::Close() {
  this->state = State::kClosed;
  if (this->charge) {
    this->charge->Set(0);
  }
  boost::beast::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace auburnyard
