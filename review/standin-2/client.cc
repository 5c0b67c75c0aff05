#include "review/standin-2/client.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "review/standin-2/store.h"

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds kReadinessTimeout{1};

// Sends a request on a new connection and waits for the answer. Returns whether
// it came within the time.
bool Call(std::uint16_t port,
          const HttpRequest& request,
          std::chrono::milliseconds timeout,
          HttpResponse& response) {
  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer buffer;
  bool success = false;
  stream.expires_after(timeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
      [&](boost::system::error_code error) {
        if (error) {
          return;
        }
        http::async_write(
            stream, request,
            [&](boost::system::error_code write_error, std::size_t) {
              if (write_error) {
                return;
              }
              http::async_read(stream, buffer, response,
                               [&](boost::system::error_code read_error,
                                   std::size_t) { success = !read_error; });
            });
      });
  io.run();
  return success;
}

}  // namespace

unsigned AskReadiness(std::uint16_t port) {
  HttpRequest request(http::verb::get, "/readiness", 11);
  request.set(http::field::host, "127.0.0.1");
  HttpResponse response;
  return Call(port, request, kReadinessTimeout, response)
             ? response.result_int()
             : 0;
}

Clients::Clients(Options client_options, Record& event_record)
    : options(std::move(client_options)), record(event_record) {}

void Clients::Start() {
  for (std::size_t machine = 0; machine < this->options.machines.size();
       ++machine) {
    for (std::size_t i = 0; i < this->options.threads_per_machine; ++i) {
      this->threads.emplace_back(
          [this, machine, i](const std::stop_token& stop) {
            this->Run(stop, machine, i);
          });
    }
  }
}

void Clients::Stop() {
  for (std::jthread& thread : this->threads) {
    thread.request_stop();
  }
  this->threads.clear();
}

std::vector<Exchange> Clients::All() const {
  const std::lock_guard lock(this->mutex);
  return this->exchanges;
}

void Clients::Run(const std::stop_token& stop,
                  std::size_t machine,
                  std::size_t index) {
  const auto count = this->options.threads_per_machine;
  TimePoint next = Clock::now() + this->options.pace * static_cast<int>(index) /
                                      static_cast<int>(count);
  for (std::uint64_t number = 1; !stop.stop_requested(); ++number) {
    std::this_thread::sleep_until(next);
    next = std::max(next + this->options.pace, Clock::now());
    const std::string id = "m" + std::to_string(machine) + "t" +
                           std::to_string(index) + "n" + std::to_string(number);
    this->record.Write("sent " + id + " to machine " + std::to_string(machine));
    Exchange exchange = this->Send(machine, id);
    this->record.Write("answered " + id + " " +
                       std::to_string(exchange.status) + " " + exchange.stamp +
                       (exchange.leaving ? " leaving" : ""));
    const std::lock_guard lock(this->mutex);
    this->exchanges.push_back(std::move(exchange));
  }
}

Exchange Clients::Send(std::size_t machine, const std::string& id) const {
  HttpRequest request(http::verb::post, this->options.path, 11);
  request.set(http::field::host, this->options.host);
  request.set("X-Auburnyard-Request-Id", id);
  request.set("X-Auburnyard-Deadline-Ms",
              std::to_string(this->options.deadline.count()));
  request.body() = "order " + id;
  request.prepare_payload();
  Exchange exchange;
  exchange.request = id;
  exchange.machine = machine;
  exchange.sent = Clock::now();
  HttpResponse response;
  if (Call(this->options.machines.at(machine), request, this->options.deadline,
           response)) {
    exchange.status = response.result_int();
    exchange.stamp = std::string(response["X-Auburnyard-Server-Stamp"]);
    exchange.server = exchange.stamp.substr(0, exchange.stamp.find('.'));
    exchange.leaving = !response["Server-Leaving"].empty();
  }
  exchange.ended = Clock::now();
  return exchange;
}

}  // namespace review
