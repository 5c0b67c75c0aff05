#ifndef AUBURNYARD_REVIEW_STANDIN_2_SERVER_H_
#define AUBURNYARD_REVIEW_STANDIN_2_SERVER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/object.hpp>

#include "review/standin-2/acceptor.h"
#include "review/standin-2/record.h"
#include "review/standin-2/store.h"

namespace review {

/// One execution of a request.
struct Run {
  std::string server;
  std::string request;
  TimePoint arrived;
  bool cold = false;  // whether the server was cold
};

/// Executions at all servers. Thread-safe.
class Runs {
 public:
  void Add(Run run);
  std::vector<Run> All() const;

 private:
  mutable std::mutex mutex;
  std::vector<Run> runs;
};

/// A server of the platform: it registers itself, answers requests, and can
/// crash, start again under its identifier, drain and leave.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 6;
    std::chrono::milliseconds work{200};
    std::chrono::milliseconds heartbeat{1'200};
    /// Time for which each incarnation is cold.
    std::chrono::milliseconds warm_up{0};
    /// A cold server crashes when more requests arrive within a second.
    std::size_t cold_crash_rate = 0;
  };

  Server(Options options, Store& store, Runs& runs, Record& record);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts a new incarnation at the address of the last one. `clock_offset`:
  /// time of day of its machine less the true one.
  void Start(std::chrono::milliseconds clock_offset = {});
  /// Ends without a word.
  void Crash();
  /// Reports that it is draining. Returns when the store has accepted that.
  void Drain();
  /// Ends and removes its registration.
  void Leave();
  bool crashed_cold() const { return this->overwhelmed.load(); }
  const std::string& id() const { return this->options.id; }

 private:
  void Serve(Socket& socket);
  HttpResponse Answer(const HttpRequest& request);
  /// Whether the server has to crash because of a request at `now`.
  bool IsTooMuch(TimePoint now);
  void Register();
  void Beat(const std::stop_token& stop);

  Options options;
  Store& store;
  Runs& runs;
  Record& record;
  std::mutex mutex;
  std::condition_variable slot_freed;
  int running = 0;
  int waiting = 0;
  std::uint16_t port = 0;
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::uint64_t stamps = 0;
  bool draining = false;
  TimePoint cold_until{};
  std::deque<TimePoint> cold_arrivals;
  std::atomic<bool> overwhelmed{false};  // crashed while it was cold
  std::unique_ptr<Acceptor> acceptor;
  std::jthread heartbeat;
};

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_2_SERVER_H_
