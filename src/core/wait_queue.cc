#include "auburnyard/wait_queue.h"

#include <algorithm>
#include <iterator>

namespace auburnyard {

namespace {

constexpr std::uint32_t kStartCost = 1000;

std::size_t IndexOf(PriorityClass priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

WaitQueue::WaitQueue(std::uint32_t per_mille)
    : guaranteed_per_mille(per_mille) {}

void WaitQueue::SetGuaranteedShare(std::uint32_t per_mille) {
  this->guaranteed_per_mille = per_mille;
}

std::size_t WaitQueue::size(PriorityClass priority) const {
  return this->classes[IndexOf(priority)].size();
}

void WaitQueue::Push(GateRequest request, TimePoint now) {
  const std::size_t position = IndexOf(request.priority);
  const Key key{request.deadline, this->next_arrival++};
  this->total_bytes += request.bytes;
  this->index.emplace(request.id, std::pair{position, key});
  this->classes[position].emplace(key, WaitingRequest{std::move(request), now});
}

WaitingRequest WaitQueue::Take(Class& requests, Class::iterator position) {
  WaitingRequest taken = std::move(position->second);
  requests.erase(position);
  this->index.erase(taken.request.id);
  this->total_bytes -= taken.request.bytes;
  return taken;
}

std::optional<WaitingRequest> WaitQueue::Remove(const AttemptId& id) {
  const auto found = this->index.find(id);
  if (found == this->index.end()) {
    return std::nullopt;
  }
  Class& requests = this->classes[found->second.first];
  return this->Take(requests, requests.find(found->second.second));
}

WaitQueue::Class* WaitQueue::NextClass() {
  const auto first =
      std::find_if(this->classes.begin(), this->classes.end(),
                   [](const Class& requests) { return !requests.empty(); });
  if (first == this->classes.end()) {
    return nullptr;
  }
  Class& lowest = this->classes.back();
  if (lowest.empty() || &*first == &lowest) {
    return &*first;
  }
  this->lowest_credit += this->guaranteed_per_mille;
  if (this->lowest_credit < kStartCost) {
    return &*first;
  }
  this->lowest_credit -= kStartCost;
  return &lowest;
}

std::optional<WaitingRequest> WaitQueue::PopNext() {
  Class* requests = this->NextClass();
  if (requests == nullptr) {
    return std::nullopt;
  }
  return this->Take(*requests, requests->begin());
}

std::vector<WaitingRequest> WaitQueue::PopDue(TimePoint time) {
  std::vector<WaitingRequest> due;
  for (Class& requests : this->classes) {
    while (!requests.empty() && requests.begin()->first.first <= time) {
      due.push_back(this->Take(requests, requests.begin()));
    }
  }
  return due;
}

std::optional<WaitingRequest> WaitQueue::PopLastBelow(PriorityClass priority) {
  for (std::size_t i = kPriorityClassCount; i-- > IndexOf(priority) + 1;) {
    Class& requests = this->classes[i];
    const std::size_t kept = i + 1 == kPriorityClassCount ? 1 : 0;
    if (requests.size() > kept) {
      return this->Take(requests, std::prev(requests.end()));
    }
  }
  return std::nullopt;
}

std::vector<WaitingRequest> WaitQueue::PopAll() {
  return this->PopDue(TimePoint::max());
}

std::size_t WaitQueue::CountAhead(PriorityClass priority,
                                  TimePoint deadline) const {
  std::size_t ahead = 0;
  for (std::size_t i = 0; i < IndexOf(priority); ++i) {
    ahead += this->classes[i].size();
  }
  const Class& own = this->classes[IndexOf(priority)];
  const auto position = own.lower_bound(Key{deadline, this->next_arrival});
  return ahead + static_cast<std::size_t>(std::distance(own.begin(), position));
}

std::optional<TimePoint> WaitQueue::OldestArrival(
    PriorityClass priority) const {
  std::optional<TimePoint> oldest;
  for (const auto& [key, entry] : this->classes[IndexOf(priority)]) {
    oldest = std::min(oldest.value_or(entry.enqueued), entry.enqueued);
  }
  return oldest;
}

std::optional<TimePoint> WaitQueue::EarliestDeadline() const {
  std::optional<TimePoint> earliest;
  for (const Class& requests : this->classes) {
    if (!requests.empty()) {
      const TimePoint deadline = requests.begin()->first.first;
      earliest = std::min(earliest.value_or(deadline), deadline);
    }
  }
  return earliest;
}

}  // namespace auburnyard
