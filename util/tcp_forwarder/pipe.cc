#include "util/tcp_forwarder/pipe.h"

#include <utility>

#include <boost/asio/write.hpp>

namespace auburnyard::util {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kChunkBytes = 16 * 1024;
// Reading stops at this many undelivered chunks, so that TCP flow control slows
// the sender down.
constexpr std::size_t kMaxChunks = 256;
// One of so many chunks is repeated.
constexpr std::size_t kRepeatedChunks = 4;

}  // namespace

Pipe::Pipe(asio::ip::tcp::socket& from,
           asio::ip::tcp::socket& to,
           Hooks pipe_hooks)
    : source(from),
      sink(to),
      hooks(std::move(pipe_hooks)),
      timer(from.get_executor()),
      buffer(kChunkBytes) {}

void Pipe::Start(const std::shared_ptr<void>& owner) {
  this->Read(owner);
}

void Pipe::Resume(const std::shared_ptr<void>& owner) {
  this->WaitForChunk(owner);
}

void Pipe::Read(const std::shared_ptr<void>& owner) {
  if (this->reading || this->end_read || this->chunks.size() >= kMaxChunks) {
    return;
  }
  this->reading = true;
  this->source.async_read_some(
      asio::buffer(this->buffer),
      [this, owner](boost::system::error_code error, std::size_t bytes) {
        this->OnRead(owner, error, bytes);
      });
}

void Pipe::OnRead(const std::shared_ptr<void>& owner,
                  boost::system::error_code error,
                  std::size_t bytes) {
  this->reading = false;
  if (error && error != asio::error::eof) {
    this->hooks.on_error();
    return;
  }
  this->end_read = bytes == 0;
  const TimePoint due = std::chrono::steady_clock::now() + this->hooks.delay();
  if (!this->end_read && this->hooks.is_repeating()) {
    this->RepeatLastChunk(due);
  }
  this->last.assign(this->buffer.begin(),
                    this->buffer.begin() + static_cast<std::ptrdiff_t>(bytes));
  this->chunks.push_back({due, this->last});
  this->WaitForChunk(owner);
  this->Read(owner);
}

void Pipe::RepeatLastChunk(TimePoint due) {
  if (this->last.empty() || this->random() % kRepeatedChunks != 0) {
    return;
  }
  const std::size_t size = 1 + this->random() % this->last.size();
  this->chunks.push_back(
      {due,
       {this->last.begin(),
        this->last.begin() + static_cast<std::ptrdiff_t>(size)}});
}

void Pipe::WaitForChunk(const std::shared_ptr<void>& owner) {
  if (this->delivering || this->chunks.empty() || this->hooks.is_dropping()) {
    return;
  }
  this->delivering = true;
  this->timer.expires_at(this->chunks.front().due);
  this->timer.async_wait([this, owner](boost::system::error_code error) {
    this->delivering = false;
    // If the route has entered kDrop meanwhile, Resume() continues later.
    if (!error && !this->hooks.is_dropping()) {
      this->WriteChunk(owner);
    }
  });
}

void Pipe::WriteChunk(const std::shared_ptr<void>& owner) {
  if (this->chunks.front().bytes.empty()) {
    this->chunks.pop_front();
    this->hooks.on_end();
    return;
  }
  this->delivering = true;
  asio::async_write(
      this->sink, asio::buffer(this->chunks.front().bytes),
      [this, owner](boost::system::error_code error, std::size_t) {
        this->delivering = false;
        if (error) {
          this->hooks.on_error();
          return;
        }
        this->chunks.pop_front();
        this->WaitForChunk(owner);
        this->Read(owner);
      });
}

}  // namespace auburnyard::util
