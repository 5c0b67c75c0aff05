#ifndef AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_TARGET_H_
#define AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_TARGET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/net/http_server.h"

namespace auburnyard::util {

/// Stand-in for a target of the platform. It answers with one record that names
/// its service, and counts the executions of each request. Thread-safe.
class RelayTarget {
 public:
  struct Faults {
    std::atomic<bool> rejects_requests{false};  ///< rejects before execution
    /// Executes and answers with this status; 0: 200.
    std::atomic<int> failure_status{0};
    std::atomic<int> delay_ms{0};
    std::atomic<bool> leaving{false};  ///< announces in answers that it leaves
  };

  RelayTarget(boost::asio::io_context& context,
              std::string id,
              std::string service,
              std::string domain);
  RelayTarget(const RelayTarget&) = delete;
  RelayTarget& operator=(const RelayTarget&) = delete;

  void Listen(std::uint16_t port = 0);
  std::string address() const;
  /// Sets the port to register, that of a forwarder to this target.
  void Advertise(std::uint16_t port) { this->advertised_port = port; }
  /// Resets all connections and accepts no more.
  void Crash();
  /// Ends this incarnation and starts the next one at the same address, with a
  /// time of its start that differs by `clock_step_ms`.
  void Restart(std::int64_t clock_step_ms = 1);
  /// Registration to write to the store.
  std::string Registration(bool draining = false);

  const std::string& id() const { return this->name; }
  const std::string& service() const { return this->service_name; }
  /// Record in its answers.
  std::string Record() const;
  /// Number of executions by request ID.
  std::map<std::string, int> executions() const;
  /// Times of the executions for an account.
  std::vector<std::chrono::steady_clock::time_point> AccountRuns(
      const std::string& account) const;
  /// Whether a request had the key of a caller.
  bool received_key() const { return this->key_received.load(); }
  std::uint64_t arrivals() const { return this->arrival_count.load(); }
  /// Requests on connections on which this incarnation had announced before
  /// that it leaves.
  std::uint64_t ignored_announcements() const {
    return this->ignored_announcement_count.load();
  }
  Faults faults;

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Run(const std::string& request_id, const std::string& account);
  /// Headers of every answer to a request.
  HttpHeaders AnswerHeaders(const HttpRequest& request);

  boost::asio::io_context& context;
  std::string name;
  std::string service_name;
  std::string domain;
  std::shared_ptr<HttpServer> server;
  std::uint16_t advertised_port = 0;
  std::uint64_t reports = 0;
  std::int64_t started_at_ms = 1'000'000;
  mutable std::mutex mutex;
  std::map<std::string, int> executed;
  std::set<std::uint64_t> announced_connections;
  std::map<std::string, std::vector<std::chrono::steady_clock::time_point>>
      account_runs;
  std::atomic<bool> key_received{false};
  std::atomic<std::uint64_t> arrival_count{0};
  std::atomic<std::uint64_t> ignored_announcement_count{0};
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_STANDIN_RELAY_TARGET_H_
