#include "auburnyard/store_timing.h"

#include <algorithm>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Share of the change limit within which a change must reach the hosts; the
// rest is a reserve for slow hosts.
constexpr double kPropagationShare = 0.8;
// A store that is 60 times slower than usual answers in about 250 ms, and a
// busy host handles the answer late.
constexpr milliseconds kMaxGrace{1'000};
constexpr double kGraceShare = 0.4;
// Time to repeat a call and to pass its answer on to followers.
constexpr milliseconds kMaxRepeatTime{300};
constexpr double kRepeatShare = 0.2;
// The pause between watches lets one call fetch several changes.
constexpr milliseconds kMaxPause{1'000};
constexpr double kPauseShare = 0.25;
// A watch without changes costs a call; longer waits save little.
constexpr milliseconds kMaxWatchWait{5'000};
// Limits the number of calls at limits near the smallest one.
constexpr milliseconds kMinWait{100};
constexpr milliseconds kMaxRetryDelay{800};
constexpr double kRetryShare = 1.0 / 3;
// A host without a configuration refuses all callers, so the first read is
// repeated early.
constexpr milliseconds kMaxFirstReadTimeout{600};
constexpr double kFirstReadShare = 0.4;
constexpr milliseconds kMaxReadTimeout{2'000};
constexpr milliseconds kMaxMirrorWait{1'500};
// Covers a round trip between regions and a slow host.
constexpr milliseconds kMaxMirrorGrace{500};
constexpr milliseconds kMaxMirrorInterval{400};
constexpr double kMirrorShare = 0.25;

Duration Share(Duration time, double share) {
  return std::chrono::duration_cast<Duration>(time * share);
}

milliseconds WholeMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

StoreTiming::StoreTiming(milliseconds change_limit, bool has_followers)
    : budget(Share(change_limit, kPropagationShare)),
      grace(std::min<Duration>(kMaxGrace, Share(this->budget, kGraceShare))),
      pause(Share(this->budget, kPauseShare)),
      first_read(std::min<Duration>(kMaxFirstReadTimeout,
                                    Share(this->budget, kFirstReadShare))),
      retry(
          std::min<Duration>(kMaxRetryDelay, Share(this->budget, kRetryShare))),
      repeat(std::min<Duration>(kMaxRepeatTime,
                                Share(this->budget, kRepeatShare))),
      mirror_answer(std::min<Duration>(kMaxMirrorGrace,
                                       Share(this->budget, kMirrorShare))),
      mirror_delay(std::min<Duration>(kMaxMirrorInterval,
                                      Share(this->budget, kMirrorShare))) {
  this->confirm = this->budget - this->grace - this->repeat;
  Duration watch = this->confirm;
  if (has_followers) {
    watch -= this->pause;  // the way to the followers uses up the reserve
  } else {
    this->pause = std::min<Duration>(this->pause, kMaxPause);
  }
  this->longest_watch =
      std::clamp(WholeMilliseconds(watch), kMinWait, kMaxWatchWait);
  this->max_read =
      std::clamp<Duration>(this->budget - this->retry - this->repeat,
                           this->first_read, kMaxReadTimeout);
  this->longest_hold =
      std::clamp(WholeMilliseconds(this->budget - this->mirror_answer -
                                   this->mirror_delay - this->repeat),
                 kMinWait, kMaxMirrorWait);
}

milliseconds StoreTiming::MirrorWait(Duration age) const {
  const auto left = WholeMilliseconds(this->budget - this->repeat -
                                      this->mirror_answer - age);
  return left < kMinWait ? milliseconds(0) : std::min(left, this->longest_hold);
}

Duration StoreTiming::ReadTimeout(std::size_t failures) const {
  Duration timeout = this->first_read;
  for (std::size_t i = 0; i < failures && timeout < this->max_read; ++i) {
    timeout *= 2;
  }
  return std::min(timeout, this->max_read);
}

}  // namespace auburnyard
