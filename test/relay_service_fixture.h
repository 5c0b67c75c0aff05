#ifndef AUBURNYARD_TEST_RELAY_SERVICE_FIXTURE_H_
#define AUBURNYARD_TEST_RELAY_SERVICE_FIXTURE_H_

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>

#include "platform/relay_codec.h"
#include "platform/wire_names.h"
#include "src/relay/relay_service.h"
#include "test/scripted_server.h"

namespace auburnyard::test {

/// Value of a header in an encoded head; empty if it is absent.
inline std::string HeaderOf(const std::string& head, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const std::size_t found = head.find(start);
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t begin = found + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Reply of a target that ran the request with the given head.
inline ScriptedReply TargetReply(const std::string& request_head,
                                 const std::string& body,
                                 std::string_view headers = "") {
  return {"HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestId) + ": " +
          HeaderOf(request_head, platform::kRequestId) + "\r\n" +
          std::string(platform::kSignature) + ": " + body.substr(0, 1) +
          "\r\n" + std::string(headers) +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

/// The parts of an entry host that handle a request, with the real clock.
/// Callers and targets are on the same thread.
class RelayServiceFixture {
 public:
  using AnswerPtr = std::shared_ptr<std::optional<CallerAnswer>>;

  /// One route, /p/, to the service "s".
  void SetRoute(bool idempotent,
                std::chrono::milliseconds timeout,
                double warm_up_requests_per_second = 0) {
    Route route;
    route.name = "p";
    route.host = "h";
    route.prefix = "/p/";
    route.idempotent = idempotent;
    route.timeout = timeout;
    route.latency_objective = timeout;
    route.max_attempts = 2;
    route.services = {{.service = "s"}};
    this->service.SetRoutes(std::make_shared<RouteTable>(
        1, std::vector<Route>{std::move(route)},
        std::map<std::string, ServiceLimits, std::less<>>{
            {"s",
             {.warm_up_requests_per_second = warm_up_requests_per_second}}},
        CallerLimits()));
  }
  static TargetEntry Entry(std::string id, std::string address) {
    return {.id = std::move(id),
            .service = "s",
            .address = std::move(address),
            .failure_domain = "d1"};
  }
  AnswerPtr Ask(const std::string& id, std::string body = "") {
    auto answer = std::make_shared<std::optional<CallerAnswer>>();
    CallerRequest request;
    request.host = "h";
    request.path = "/p/x";
    request.request_id = id;
    request.forwarded_head = "POST /p/x HTTP/1.1\r\nHost: h\r\n" +
                             std::string(platform::kRequestId) + ": " + id +
                             "\r\n";
    if (!body.empty()) {
      request.forwarded_head +=
          "Content-Length: " + std::to_string(body.size()) + "\r\n";
      request.body = std::move(body);
    }
    this->service.Handle(
        std::move(request),
        [answer](CallerAnswer given) { *answer = std::move(given); },
        /*from_peer=*/false);
    return answer;
  }
  /// Runs callbacks until the condition holds; false after a generous limit
  /// that only ends a hanging test.
  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = this->clock.Now() + std::chrono::seconds(20);
    while (!done() && this->clock.Now() < limit) {
      this->RunFor(std::chrono::milliseconds(20));
    }
    return done();
  }
  void RunFor(std::chrono::milliseconds duration) {
    const TimePoint end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->io.restart();
      this->io.run_one_for(std::chrono::milliseconds(5));
    }
    this->targets.Sweep();
  }

  /// Not bounded unless a test sets a limit. Before the context, whose pending
  /// operations hold connections.
  MemoryBudget memory{std::numeric_limits<std::size_t>::max(),
                      {.schedule_reclaim =
                           [this] {
                             boost::asio::post(
                                 this->io, [this] { this->memory.Reclaim(); });
                           },
                       .on_evicted =
                           [this](const MemoryBudget::Eviction& eviction) {
                             this->evicted.emplace_back(eviction.name);
                           }}};
  std::vector<std::string> evicted;
  Clock clock;
  boost::asio::io_context io;
  RelayCodec codec = platform::MakeRelayCodec();
  RelayContext context{this->io, this->clock, this->codec, &this->memory};
  HostTable hosts;
  TargetTable targets{this->context,
                      {"d1", "r1"},
                      {{"d1", "r1"}, {"d2", "r2"}},
                      this->hosts,
                      {}};
  PeerTable peers{this->context, this->hosts, "own", "d1"};
  RelayMetrics metrics;
  RelayService service{this->context,
                       this->targets,
                       this->peers,
                       this->metrics,
                       {}};
};

/// A target that answers only once it is released.
class HoldingTarget {
 public:
  explicit HoldingTarget(std::string headers = "")
      : reply_headers(std::move(headers)) {}
  ~HoldingTarget() { this->Release(); }

  void Release() {
    this->released = true;
    this->released.notify_all();
  }
  std::string address() const { return this->server.address(); }
  int arrivals() const { return static_cast<int>(this->order().size()); }
  /// Identifiers of the requests in the order of their arrival.
  std::vector<std::string> order() const {
    const std::lock_guard lock(this->mutex);
    return this->arrived;
  }

 private:
  void OnArrival(const std::string& head) {
    const std::lock_guard lock(this->mutex);
    this->arrived.push_back(HeaderOf(head, platform::kRequestId));
  }

  std::string reply_headers;
  std::atomic<bool> released{false};
  mutable std::mutex mutex;
  std::vector<std::string> arrived;
  ScriptedServer server{[this](const std::string& head) {
    this->OnArrival(head);
    this->released.wait(false);
    return TargetReply(head, "held", this->reply_headers);
  }};
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_RELAY_SERVICE_FIXTURE_H_
