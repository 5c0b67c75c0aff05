#ifndef AUBURNYARD_TEST_TARGET_POOL_FIXTURE_H_
#define AUBURNYARD_TEST_TARGET_POOL_FIXTURE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "platform/relay_codec.h"
#include "src/relay/target_pool.h"

namespace auburnyard::test {

/// A pool with one connection to an address.
class PoolFixture {
 public:
  /// Terminates a hanging test.
  static constexpr std::chrono::seconds kTimeout{20};

  explicit PoolFixture(const std::string& address)
      : state(std::make_shared<TargetState>(
            TargetEntry{.id = "t", .service = "s", .address = address},
            Distance::kSameDomain)),
        pool(std::make_shared<TargetPool>(
            this->context,
            this->state,
            TargetPool::Hooks{
                [this](const TargetPtr&) { this->wrong_target = true; }})) {}

  struct Result {
    std::optional<RelayReply> reply;
    std::optional<PartFailure> failure;
    bool sent = false;
  };

  TargetExchangePtr Submit(Result& result,
                           const std::string& id = "id",
                           bool forwards_reply = false) {
    auto request = std::make_shared<TargetExchange::SharedRequest>();
    request->head = "GET / HTTP/1.1\r\nHost: h\r\n";
    request->request_id = id;
    request->idempotent = true;
    request->forwards_reply = forwards_reply;
    request->deadline = this->clock.Now() + kTimeout;
    auto exchange = std::make_shared<TargetExchange>();
    exchange->request = std::move(request);
    exchange->on_sent = [&result] { result.sent = true; };
    exchange->on_reply = [&result](RelayReply reply) {
      result.reply = std::move(reply);
    };
    exchange->on_failure = [&result](PartFailure failure) {
      result.failure = failure;
    };
    this->pool->Submit(exchange);
    return exchange;
  }
  Result Exchange(const std::string& id = "id") {
    Result result;
    this->Submit(result, id);
    this->RunUntil([&result] { return result.reply || result.failure; });
    return result;
  }
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = this->clock.Now() + kTimeout;
    while (!done() && this->clock.Now() < limit) {
      this->io.restart();
      this->io.run_one_for(std::chrono::milliseconds(50));
      this->pool->Sweep();
    }
  }

  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec};
  bool wrong_target = false;
  TargetPtr state;
  std::shared_ptr<TargetPool> pool;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_TARGET_POOL_FIXTURE_H_
