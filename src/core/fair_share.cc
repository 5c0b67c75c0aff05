#include "auburnyard/fair_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnyard {

namespace {

// Arrivals count for about this long. A host sees a few requests per second of
// an account, so that a shorter time would not tell large accounts from others.
constexpr std::chrono::seconds kArrivalDecay{2};
constexpr std::chrono::seconds kExpiryInterval{5};
constexpr double kMinCount = 0.05;
// Bounds the header in which the limits are sent to other hosts.
constexpr std::size_t kMaxLimits = 16;
// Accounts with fewer recent requests are too small to be limited alone.
constexpr double kMinLimitedCount = 2;

}  // namespace

double FairShare::Arrivals::At(TimePoint now) const {
  return this->count *
         std::exp(-std::chrono::duration<double>(now - this->updated) /
                  std::chrono::duration<double>(kArrivalDecay));
}

void FairShare::OnArrival(std::string_view account,
                          double weight,
                          TimePoint now) {
  this->Expire(now);
  auto found = this->accounts.find(account);
  if (found == this->accounts.end()) {
    found = this->accounts.emplace(account, Arrivals{}).first;
  }
  found->second = {found->second.At(now) + weight, now};
}

void FairShare::Expire(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = now + kExpiryInterval;
  std::erase_if(this->accounts, [now](const auto& entry) {
    return entry.second.At(now) < kMinCount;
  });
}

FairShare::Division FairShare::Divide(double share, TimePoint now) const {
  Division division{.others = share};
  std::vector<std::pair<double, std::string_view>> counts;
  double total = 0;
  for (const auto& [account, arrivals] : this->accounts) {
    counts.emplace_back(arrivals.At(now), account);
    total += counts.back().first;
  }
  if (counts.size() < 2 || share >= 1) {
    return division;
  }
  // Each account, smallest first, gets at most an equal part of what the
  // smaller ones leave.
  std::sort(counts.begin(), counts.end());
  double left = share * total;
  double level = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    level = left / static_cast<double>(counts.size() - i);
    if (counts[i].first > level) {
      break;
    }
    left -= counts[i].first;
  }
  double others = 0;
  double others_admitted = 0;
  for (auto it = counts.rbegin(); it != counts.rend(); ++it) {
    const auto& [count, account] = *it;
    // Requests without an account cannot be named.
    if (count > level && count >= kMinLimitedCount && !account.empty() &&
        division.limits.size() < kMaxLimits) {
      division.limits.push_back({std::string(account), level / count});
    } else {
      others += count;
      others_admitted += std::min(count, level);
    }
  }
  division.others = others > 0 ? others_admitted / others : 1;
  return division;
}

}  // namespace auburnyard
