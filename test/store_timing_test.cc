#include "auburnyard/store_timing.h"

#include <functional>

#include <boost/test/unit_test.hpp>

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// The smallest limit of the settings, and one above which no wait grows.
constexpr int kMinLimitMs = 1'000;
constexpr int kMaxLimitMs = 20'000;
constexpr int kLimitStepMs = 50;
// Answer of a store that is 60 times slower than usual.
constexpr milliseconds kSlowAnswer{250};
// Answer of a calm store, or a hop to another host in the same domain.
constexpr milliseconds kAnswer{20};

void ForEachTiming(
    const std::function<void(int limit_ms, const StoreTiming& timing)>& check) {
  for (int limit = kMinLimitMs; limit <= kMaxLimitMs; limit += kLimitStepMs) {
    check(limit, StoreTiming(milliseconds(limit)));
    check(limit, StoreTiming(milliseconds(limit), /*has_followers=*/true));
  }
}

// Longest time from a moment at which an answer may be lost until the call is
// repeated and answered.
Duration RepairTime(const StoreTiming& timing) {
  return timing.watch_wait() + timing.watch_grace() + kAnswer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_timing_test)

// Guards against a change that is late at any limit because one answer to a
// watch was lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsRepeatedWithinTheLimit) {
  ForEachTiming([](int limit, const StoreTiming& timing) {
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(RepairTime(timing)) <= 0.8 * limit);
      // The change may come right after the last answer.
      BOOST_TEST(ToMilliseconds(timing.watch_pause() + RepairTime(timing)) <
                 limit);
    }
  });
}

// Guards against followers that receive a change late because the host that
// they follow paused and then lost the answer.
BOOST_AUTO_TEST_CASE(FollowersReceiveTheChangeWithinTheLimit) {
  for (int limit = kMinLimitMs; limit <= kMaxLimitMs; limit += kLimitStepMs) {
    const StoreTiming timing(milliseconds(limit), /*has_followers=*/true);
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(timing.watch_pause() + RepairTime(timing) +
                                kAnswer) <= 0.8 * limit);
    }
  }
}

// Guards against a host that returns late to the store after a long outage.
BOOST_AUTO_TEST_CASE(CallsDuringAnOutageEndWithinTheLimit) {
  ForEachTiming([](int limit, const StoreTiming& timing) {
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(timing.watch_grace() + timing.retry_delay() +
                                kAnswer) <= 0.8 * limit);
      BOOST_TEST(ToMilliseconds(timing.ReadTimeout(9) + timing.retry_delay() +
                                kAnswer) <= 0.8 * limit);
    }
  });
}

// Guards against serving data that was read seconds late until a watch confirms
// it after the limit.
BOOST_AUTO_TEST_CASE(ReadsAreConfirmedWithinTheLimit) {
  ForEachTiming([](int limit, const StoreTiming& timing) {
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(timing.confirm_within() +
                                timing.watch_grace()) <= 0.8 * limit);
    }
  });
}

// Guards against a mirror that ends without a trace and whose followers receive
// a change late: they notice it, and so does the host that takes its place.
BOOST_AUTO_TEST_CASE(LostMirrorIsReplacedWithinTheLimit) {
  ForEachTiming([](int limit, const StoreTiming& timing) {
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(timing.mirror_wait() + timing.mirror_grace() +
                                timing.mirror_interval() + 2 * kAnswer) <=
                 0.8 * limit);
    }
  });
}

// Guards against one wait after another: a mirror that falls silent when the
// data is old already, so that its followers turn to the store too late.
BOOST_AUTO_TEST_CASE(SilentMirrorIsLeftWithinTheLimitAtAnyAge) {
  ForEachTiming([](int limit, const StoreTiming& timing) {
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      for (int age = 0; age <= limit; age += 20) {
        const milliseconds wait = timing.MirrorWait(milliseconds(age));
        if (wait > milliseconds(0)) {
          BOOST_TEST(ToMilliseconds(milliseconds(age) + wait +
                                    timing.mirror_grace() + 2 * kAnswer) <=
                     0.8 * limit);
        }
      }
    }
  });
}

// Guards against followers that ask a calm mirror over and over because its
// data seems too old to wait.
BOOST_AUTO_TEST_CASE(RequestsToACalmMirrorWait) {
  for (int limit = kMinLimitMs; limit <= kMaxLimitMs; limit += kLimitStepMs) {
    const StoreTiming timing(milliseconds(limit), /*has_followers=*/true);
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST((timing.MirrorWait(timing.watch_pause() +
                                    timing.watch_wait()) > milliseconds(0)));
      BOOST_TEST((timing.MirrorWait(Duration::zero()) == timing.mirror_wait()));
    }
  }
}

// Guards against denying routes in calm times: data as old as a calm host may
// have must not count as outdated.
BOOST_AUTO_TEST_CASE(CalmHostIsNotOutdated) {
  for (int limit = kMinLimitMs; limit <= kMaxLimitMs; limit += kLimitStepMs) {
    const StoreTiming direct{milliseconds(limit)};
    const StoreTiming followed(milliseconds(limit), /*has_followers=*/true);
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST(ToMilliseconds(direct.watch_pause() + direct.watch_wait() +
                                kAnswer) < limit);
      BOOST_TEST(ToMilliseconds(followed.watch_pause() + followed.watch_wait() +
                                followed.mirror_wait() + 2 * kAnswer) < limit);
    }
  }
}

// Guards against time-outs that a slow store never meets, at the limits of the
// known deployments and above.
BOOST_AUTO_TEST_CASE(SlowStoreIsNotLost) {
  constexpr int kUsualLimitMs = 3'000;
  ForEachTiming([](int limit, const StoreTiming& timing) {
    if (limit < kUsualLimitMs) {
      return;
    }
    BOOST_TEST_CONTEXT("limit " << limit << " ms") {
      BOOST_TEST((timing.watch_grace() >= 3 * kSlowAnswer));
      BOOST_TEST((timing.ReadTimeout(0) >= 2 * kSlowAnswer));
      BOOST_TEST((timing.ReadTimeout(9) >= 5 * kSlowAnswer));
    }
  });
}

// Guards against a number of calls that grows needlessly where the limit allows
// longer waits.
BOOST_AUTO_TEST_CASE(LongLimitsKeepTheWatchLong) {
  const StoreTiming timing(milliseconds(8'000));
  BOOST_TEST((timing.watch_wait() == milliseconds(5'000)));
  BOOST_TEST((timing.watch_pause() == milliseconds(1'000)));
  BOOST_TEST((timing.mirror_wait() == milliseconds(1'500)));
  BOOST_TEST((timing.ReadTimeout(9) == milliseconds(2'000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
