#ifndef AUBURNYARD_REVIEW_STANDIN_BACKEND_H_
#define AUBURNYARD_REVIEW_STANDIN_BACKEND_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>

#include "review/standin/http.h"
#include "review/standin/store.h"

namespace review {

/// A request at a backend.
struct Arrival {
  std::string request;
  std::string backend;
  SteadyTime arrived;
  SteadyTime started = SteadyTime::max();  ///< the backend began to work
  SteadyTime finished =
      SteadyTime::max();  ///< it ended, with or without answer
  /// "queued", "running", "answered", "refused", "dropped" or "ended".
  std::string state = "queued";
};

/// All that happened at the backends.
class ArrivalLog {
 public:
  std::size_t Add(Arrival arrival);
  void Update(std::size_t index, const std::function<void(Arrival&)>& change);
  std::vector<Arrival> All() const;

 private:
  mutable std::mutex mutex;
  std::deque<Arrival> arrivals;
};

/// A backend as PROTOCOL.md describes it: slots, a queue, its own identity, a
/// registration with heartbeats.
class Backend {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::size_t slots = 3;
    std::size_t queue = 18;
    Milliseconds work{5};
    std::string body = "ok";
  };

  Backend(Options backend_options, Store& platform_store, ArrivalLog& log);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  const Options& options() const { return this->settings; }
  /// Reports `draining`. Returns the time of the store's acknowledgement.
  SteadyTime Drain();
  /// Share of its answers after which additional bytes follow, late: where the
  /// answer to the next request on the connection is expected. The bytes are a
  /// rejection that names no request.
  void SendExtraBytes(double share);
  /// Ends the process: all connections close and the registration is removed.
  void End();

 private:
  std::optional<std::string> Handle(const Message& request, Connection& peer);
  /// Waits for a slot. Returns the refusal, or an empty text with the slot.
  std::optional<std::string> AwaitSlot(const Message& request,
                                       Connection& peer,
                                       std::size_t arrival,
                                       SteadyTime deadline);
  std::string Refuse(const Message& request, std::size_t arrival);
  /// Plans additional bytes after a part of the answers.
  void CountAnswer(Connection& peer);
  std::string Answer(const Message& request,
                     int status,
                     Headers headers,
                     std::string_view body);
  void Beat();
  void Register();

  Options settings;
  Store& store;
  ArrivalLog& arrivals;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::uint64_t> waiting;
  std::uint64_t next_ticket = 0;
  std::uint64_t executions = 0;
  std::uint64_t answers = 0;
  double extra_share = 0;
  std::size_t running = 0;
  bool draining = false;
  bool ended = false;
  std::uint64_t beats = 0;
  std::int64_t born = 0;
  std::unique_ptr<Server> server;
  std::thread heart;
};

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_BACKEND_H_
