#include "auburnyard/admission_control.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// A queue that fills within a second needs several steps in that time. With
// smaller steps than these, overload_test loses more queries.
constexpr milliseconds kStepInterval{150};
constexpr double kDecrease = 0.6;
constexpr double kIncrease = 0.02;
constexpr double kMinShare = 0.05;
// Expected delay as a share of the objective above which many requests are
// late, since the slowest of many parts counts, and below which there is
// capacity for more.
constexpr double kOverloadPressure = 0.8;
constexpr double kFreePressure = 0.6;
// Share of late outcomes that counts as overload if delays are raised as well.
// Late outcomes alone have other causes, such as lost targets.
constexpr double kLateShare = 0.5;
// Limits the effect of a single request.
constexpr double kMaxPressure = 4;
// A request is not started above this. Loads are known with a delay, so that
// lower limits refuse requests that would be in time.
constexpr double kMaxStartPressure = 1.3;
// Factors on that limit for accounts with a lower and with a higher share than
// the average. With 0.75 and 1.2, overload_test answers a tenth fewer queries
// of the accounts that keep to their usual rate.
constexpr double kAboveShareFactor = 0.6;
constexpr double kBelowShareFactor = 1.4;
constexpr std::chrono::seconds kKindExpiry{10};
constexpr std::chrono::seconds kReportAfterLimit{2};

// Rounds the share of the shards that may be missing to the same number again.
constexpr double kHalfPart = 0.5;
constexpr int kWorkAverage = 20;
// Capacity is kept for a more urgent kind whose last request is at most this
// old.
constexpr std::chrono::seconds kUrgentPresence{2};
// Weight of the pressure on a more urgent kind. At 1, overload_test refuses
// long queries at loads at which nearly all are in time.
constexpr double kUrgentWeight = 0.85;

double Ratio(double numerator, std::size_t denominator) {
  return denominator == 0 ? 0 : numerator / static_cast<double>(denominator);
}

}  // namespace

AdmissionControl::AdmissionControl(ChangeHook hook)
    : on_change(std::move(hook)) {}

double AdmissionControl::PressureOn(const RequestKind& id,
                                    const Kind& kind,
                                    std::span<const TargetLoad> shards) const {
  const auto allowed = static_cast<std::size_t>(
      kind.allowed_missing * static_cast<double>(shards.size()));
  if (shards.size() <= allowed || id.objective.count() <= 0) {
    return 0;
  }
  using Seconds = std::chrono::duration<double>;
  std::vector<double> delays;
  delays.reserve(shards.size());
  for (const TargetLoad& load : shards) {
    const Seconds at_target =
        load.slowness *
        (load.rounds * Seconds(this->mean_work) + Seconds(kind.work));
    delays.push_back((at_target + Seconds(load.round_trip)) /
                     Seconds(id.objective));
  }
  const auto decisive = delays.begin() + static_cast<std::ptrdiff_t>(allowed);
  std::nth_element(delays.begin(), decisive, delays.end(), std::greater<>());
  return std::min(*decisive, kMaxPressure);
}

bool AdmissionControl::OnRequest(const RequestKind& id,
                                 std::string_view account,
                                 const Needs& needs,
                                 TimePoint now) {
  this->Step(now);
  const double share = this->ShareOf(id, account, now);
  Kind& own = this->kinds[id];
  own.last_request = now;
  own.accounts.OnArrival(account, 1 / std::max(share, kMinShare), now);
  own.work = needs.work;
  own.allowed_missing =
      (static_cast<double>(needs.allowed_missing) + kHalfPart) /
      static_cast<double>(std::max<std::size_t>(1, needs.shards.size()));
  this->mean_work =
      this->mean_work == Duration::zero()
          ? needs.work
          : this->mean_work + (needs.work - this->mean_work) / kWorkAverage;
  double pressure = 0;
  for (const auto& [other, kind] : this->kinds) {
    const bool counts =
        other == id || (other.priority < id.priority &&
                        now - kind.last_request < kUrgentPresence);
    if (counts) {
      const double own_or_urgent = this->PressureOn(other, kind, needs.shards);
      pressure =
          std::max(pressure,
                   other == id ? own_or_urgent : own_or_urgent * kUrgentWeight);
    }
  }
  ++own.requests;
  own.pressure += pressure;
  // Hosts learn lower shares with a delay. Until then, accounts above their
  // share leave room for the others.
  double limit = kMaxStartPressure;
  if (share < own.share) {
    limit *= kAboveShareFactor;
  } else if (share > own.share) {
    limit *= kBelowShareFactor;
  }
  return pressure <= limit;
}

void AdmissionControl::OnOutcome(const RequestKind& id, bool in_time) {
  Kind& kind = this->kinds[id];
  ++kind.outcomes;
  kind.late += in_time ? 0 : 1;
}

AdmissionControl::Trend AdmissionControl::TrendOf(const Kind& kind) {
  const double pressure = Ratio(kind.pressure, kind.requests);
  const double late = Ratio(static_cast<double>(kind.late), kind.outcomes);
  if (pressure < kFreePressure) {
    return Trend::kFree;
  }
  if (pressure > kOverloadPressure || late > kLateShare) {
    return Trend::kOverloaded;
  }
  return Trend::kSteady;
}

// A single step may contain one request that met several paused targets, so
// that only the second one in succession lowers a share.
void AdmissionControl::Step(TimePoint now) {
  if (now < this->next_step) {
    return;
  }
  this->next_step = now + kStepInterval;
  bool is_free = true;
  bool decreased = false;
  for (auto& [id, kind] : this->kinds) {
    if (kind.requests == 0) {
      continue;
    }
    const Trend trend = TrendOf(kind);
    is_free = is_free && trend == Trend::kFree;
    const bool again =
        std::exchange(kind.was_overloaded, trend == Trend::kOverloaded);
    if (trend == Trend::kOverloaded && again && !decreased) {
      this->Decrease(id.priority, now);
      decreased = true;
    }
  }
  if (is_free) {
    this->Increase();
  }
  for (auto& [id, kind] : this->kinds) {
    kind.requests = kind.outcomes = kind.late = 0;
    kind.pressure = 0;
    if (kind.share < 1) {
      kind.last_limited = now;
    }
  }
  std::erase_if(this->kinds, [now](const auto& entry) {
    return now - entry.second.last_request > kKindExpiry;
  });
}

// Lowers the shares of the least urgent priority that is not at the minimum and
// not more urgent than `priority`.
void AdmissionControl::Decrease(std::uint32_t priority, TimePoint now) {
  std::uint32_t least_urgent = priority;
  bool found = false;
  for (const auto& [id, kind] : this->kinds) {
    const bool recent = now - kind.last_request < kKindExpiry / 2;
    if (id.priority >= least_urgent && recent && kind.share > kMinShare) {
      least_urgent = id.priority;
      found = true;
    }
  }
  for (auto& [id, kind] : this->kinds) {
    if (found && id.priority == least_urgent) {
      this->SetShare(id, kind, std::max(kind.share * kDecrease, kMinShare));
    }
  }
}

// Raises the shares of the most urgent priority that is limited.
void AdmissionControl::Increase() {
  const RequestKind* most_urgent = nullptr;
  for (const auto& [id, kind] : this->kinds) {
    if (kind.share < 1 &&
        (most_urgent == nullptr || id.priority < most_urgent->priority)) {
      most_urgent = &id;
    }
  }
  for (auto& [id, kind] : this->kinds) {
    if (most_urgent != nullptr && id.priority == most_urgent->priority) {
      this->SetShare(id, kind, std::min(kind.share + kIncrease, 1.0));
    }
  }
}

void AdmissionControl::SetShare(const RequestKind& id,
                                Kind& kind,
                                double share) {
  if (kind.share != share) {
    kind.share = share;
    if (this->on_change) {
      this->on_change(id, share);
    }
  }
}

double AdmissionControl::ShareOf(const RequestKind& id,
                                 std::string_view account,
                                 TimePoint now) const {
  const auto found = this->kinds.find(id);
  if (found == this->kinds.end() || found->second.share >= 1) {
    return 1;
  }
  const FairShare::Division division =
      found->second.accounts.Divide(found->second.share, now);
  for (const FairShare::Limit& limit : division.limits) {
    if (limit.account == account) {
      return limit.share;
    }
  }
  return division.others;
}

std::vector<AdmissionShare> AdmissionControl::Shares(TimePoint now) const {
  std::vector<AdmissionShare> shares;
  for (const auto& [id, kind] : this->kinds) {
    if (kind.share >= 1 && now - kind.last_limited > kReportAfterLimit) {
      continue;
    }
    FairShare::Division division = kind.accounts.Divide(kind.share, now);
    shares.push_back({id, {}, division.others});
    for (FairShare::Limit& limit : division.limits) {
      shares.push_back({id, std::move(limit.account), limit.share});
    }
  }
  return shares;
}

}  // namespace auburnyard
