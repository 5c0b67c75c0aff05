#ifndef AUBURNYARD_WAIT_QUEUE_H_
#define AUBURNYARD_WAIT_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "auburnyard/gate_request.h"

namespace auburnyard {

struct WaitingRequest {
  GateRequest request;
  TimePoint enqueued;
};

/// Queue of requests by priority class, then deadline, then arrival. The lowest
/// class has a guaranteed share of the starts.
class WaitQueue {
 public:
  explicit WaitQueue(std::uint32_t guaranteed_per_mille);

  void Push(GateRequest request, TimePoint now);
  bool Contains(const AttemptId& id) const { return this->index.contains(id); }
  std::optional<WaitingRequest> Remove(const AttemptId& id);
  /// Removes the request that starts next and counts it as a start.
  std::optional<WaitingRequest> PopNext();
  /// Removes all requests whose deadline is at or before `time`.
  std::vector<WaitingRequest> PopDue(TimePoint time);
  /// Removes the last request among the classes below `priority`; empty if
  /// there is none. One request of the lowest class is kept, so that the class
  /// can use its guaranteed share.
  std::optional<WaitingRequest> PopLastBelow(PriorityClass priority);
  std::vector<WaitingRequest> PopAll();

  /// Number of requests that start before one with this class and deadline.
  std::size_t CountAhead(PriorityClass priority, TimePoint deadline) const;
  /// Arrival time of the oldest request of the class.
  std::optional<TimePoint> OldestArrival(PriorityClass priority) const;
  std::optional<TimePoint> EarliestDeadline() const;
  void SetGuaranteedShare(std::uint32_t per_mille);
  std::size_t size() const { return this->index.size(); }
  std::size_t size(PriorityClass priority) const;
  std::size_t bytes() const { return this->total_bytes; }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;  // deadline, arrival number
  using Class = std::map<Key, WaitingRequest>;

  WaitingRequest Take(Class& requests, Class::iterator position);
  Class* NextClass();

  std::array<Class, kPriorityClassCount> classes;
  std::unordered_map<AttemptId, std::pair<std::size_t, Key>> index;
  std::uint32_t guaranteed_per_mille;
  std::uint32_t lowest_credit = 0;  // a start of the lowest class costs 1000
  std::uint64_t next_arrival = 0;
  std::size_t total_bytes = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_WAIT_QUEUE_H_
