#include "util/relay_soak/answer_check.h"

#include <set>

#include "auburnyard/record_merger.h"
#include "platform/relay_codec.h"
#include "platform/wire_names.h"

namespace auburnyard::util {

namespace {

constexpr unsigned kStatusOk = 200;

}  // namespace

std::string CheckSingleAnswer(RelayFleet& fleet, const BeastResponse& answer) {
  if (answer.result_int() == kStatusOk &&
      answer.body() != fleet.target(0).Record()) {
    return "the body differs from the target's record";
  }
  return "";
}

std::string CheckMergedAnswer(RelayFleet& fleet,
                              const BeastResponse& answer,
                              std::string_view request_id,
                              bool short_allowed) {
  if (answer.result_int() != kStatusOk) {
    return "";
  }
  static const RelayCodec kCodec = platform::MakeRelayCodec();
  std::set<std::string> services;
  RecordMerger merger(RelayFleet::kTopRecords);
  RecordMerger short_merger(RelayFleet::kShortTopRecords);
  for (const std::string& signature :
       kCodec.decode_reply(answer).part_signatures) {
    const std::size_t dot = signature.find('.');
    if (dot == std::string::npos || signature.substr(dot + 1) != request_id) {
      return "the answer contains a part of another request";
    }
    const std::size_t index = std::stoul(signature.substr(1, dot - 1));
    RelayTarget& target = fleet.target(index);
    if (!services.insert(target.service()).second) {
      return "the answer contains a duplicate part";
    }
    merger.Add(target.Record());
    short_merger.Add(target.Record());
  }
  const std::string missing(answer[platform::kPartsMissing]);
  if (services.size() + std::stoul(missing) != fleet.target_count() / 2) {
    return "received and missing parts do not add up to all parts";
  }
  if (services.size() * 2 < fleet.target_count() / 2) {
    return "coverage below the minimum";
  }
  const bool matches = merger.Take() == answer.body() ||
                       (short_allowed && short_merger.Take() == answer.body());
  return matches ? "" : "the records do not match the parts";
}

}  // namespace auburnyard::util
