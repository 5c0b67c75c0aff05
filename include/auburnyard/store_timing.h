#ifndef AUBURNYARD_STORE_TIMING_H_
#define AUBURNYARD_STORE_TIMING_H_

#include <chrono>
#include <cstddef>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Waits, time-outs and pauses of the calls that bring the store's changes to a
/// host. They follow from the time within which a change must be in force, so
/// that a change is still in force in time if the answer that brings it is lost
/// and nothing else shows this.
class StoreTiming {
 public:
  /// `change_limit`: time within which a change must be in force at all hosts.
  /// `has_followers`: other hosts receive the changes through this one.
  explicit StoreTiming(std::chrono::milliseconds change_limit,
                       bool has_followers = false);

  /// Maximum wait of a watch for a change.
  std::chrono::milliseconds watch_wait() const { return this->longest_watch; }
  /// Time after the wait for the answer to a watch.
  Duration watch_grace() const { return this->grace; }
  /// Maximum pause between two watches.
  Duration watch_pause() const { return this->pause; }
  /// Time-out of a read of all keys after `failures` failed ones.
  Duration ReadTimeout(std::size_t failures) const;
  /// Maximum delay between calls while the store does not answer.
  Duration retry_delay() const { return this->retry; }
  /// Data that was read is confirmed by a watch after this time at the latest.
  Duration confirm_within() const { return this->confirm; }
  /// Maximum wait of a request to a mirror for a change.
  std::chrono::milliseconds mirror_wait() const { return this->longest_hold; }
  /// Wait of a request that is sent while the data is `age` old, so that a
  /// mirror that stays silent is replaced in time. Zero: no time is left to
  /// wait.
  std::chrono::milliseconds MirrorWait(Duration age) const;
  /// Time after that wait for the answer of a mirror.
  Duration mirror_grace() const { return this->mirror_answer; }
  /// Delay after an answer of a mirror that does not hold requests, and after a
  /// failure.
  Duration mirror_interval() const { return this->mirror_delay; }
  /// Age of a mirror's data above which it is left.
  Duration mirror_age() const { return this->confirm; }

 private:
  Duration budget;  // for a change to reach all hosts
  Duration grace;
  Duration pause;
  std::chrono::milliseconds longest_watch;
  Duration first_read;
  Duration retry;
  Duration max_read;
  Duration confirm;
  Duration repeat;  // of a call, and its answer's way to followers
  Duration mirror_answer;
  Duration mirror_delay;
  std::chrono::milliseconds longest_hold;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_STORE_TIMING_H_
