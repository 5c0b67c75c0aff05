#include "auburnyard/windowed_minimum.h"

namespace auburnyard {

WindowedMinimum::WindowedMinimum(Duration observed_window)
    : window(observed_window) {}

void WindowedMinimum::Add(Duration value, TimePoint now) {
  while (!this->candidates.empty() && this->candidates.back().second >= value) {
    this->candidates.pop_back();
  }
  this->candidates.emplace_back(now, value);
  while (this->candidates.front().first + this->window < now) {
    this->candidates.pop_front();
  }
}

std::optional<Duration> WindowedMinimum::Get(TimePoint now) const {
  for (const auto& [time, value] : this->candidates) {
    if (time + this->window >= now) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace auburnyard
