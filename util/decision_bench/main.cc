#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "auburnyard/decision_log.h"

namespace {

using auburnyard::DecisionEvent;
using auburnyard::DecisionLog;
using auburnyard::DecisionRecord;
using auburnyard::NumberName;
using auburnyard::Reason;

constexpr int kRepeats = 7;
constexpr std::uint32_t kQueries = 2000;
// A query to 80 targets leaves about four records for each.
constexpr std::uint32_t kRecordsPerQuery = 320;

DecisionRecord MakeRecord(std::uint32_t query, std::uint32_t number) {
  return {.time = std::chrono::microseconds(number),
          .decision = "3f9c1a77b2e04d58-" + std::to_string(query),
          .event = DecisionEvent::kAttemptStarted,
          .reason = Reason::kFirstAttempt,
          .target = "history-target-3",
          .shard = "shard-17",
          .attempt = number,
          .snapshot = "snapshot-2026-04-01",
          .start_id = "",
          .numbers = {{NumberName::kBegin, 1ULL << 40},
                      {NumberName::kEnd, 1ULL << 41}}};
}

double MeasureNanosecondsPerRecord() {
  DecisionLog log;
  const auto begin = std::chrono::steady_clock::now();
  for (std::uint32_t query = 0; query < kQueries; ++query) {
    for (std::uint32_t number = 0; number < kRecordsPerQuery; ++number) {
      log.Append(MakeRecord(query, number));
    }
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / (kQueries * kRecordsPerQuery);
}

std::size_t MeasureBytesPerRecord() {
  DecisionLog log;
  for (std::uint32_t number = 0; number < kRecordsPerQuery; ++number) {
    log.Append(MakeRecord(0, number));
  }
  return log.bytes() / kRecordsPerQuery;
}

}  // namespace

// Prints the time to make and append one decision record, and the memory that a
// kept record uses, with the allocator's slack.
int main() {
  std::vector<double> results;
  for (int i = 0; i < kRepeats; ++i) {
    results.push_back(MeasureNanosecondsPerRecord());
  }
  std::sort(results.begin(), results.end());
  std::printf("ns per record: median %.0f, lowest %.0f, highest %.0f\n",
              results[kRepeats / 2], results.front(), results.back());
  std::printf("bytes per record: %zu kept, %zu as a structure\n",
              MeasureBytesPerRecord(), sizeof(DecisionRecord));
  return 0;
}
