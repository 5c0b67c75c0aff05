#include "auburnyard/claim_entry.h"

#include <algorithm>
#include <array>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"claimed", "done",
                                                         "refused"};
// Member names, punctuation, state and run state.
constexpr std::size_t kEntryOverheadBytes = 96;

ClaimState ParseState(const detail::JsonReader& reader) {
  const std::string name = reader.String("state");
  const auto* found = std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end()) {
    throw Error(ErrorKind::kProtocol,
                reader.PathOf("state") + ": unknown state");
  }
  return static_cast<ClaimState>(found - kStateNames.begin());
}

}  // namespace

std::string_view ToString(ClaimState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

ClaimBucketValue ParseClaimBucket(std::string_view json) {
  ClaimBucketValue value;
  if (json.empty()) {
    return value;
  }
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kProtocol);
  const detail::JsonReader bucket(document, "", ErrorKind::kProtocol);
  for (const auto& member : bucket.object()) {
    const detail::JsonReader reader(member.value(), std::string(member.key()),
                                    ErrorKind::kProtocol);
    ClaimEntry entry;
    entry.nonce = reader.String("nonce");
    entry.host = reader.String("host");
    entry.state = ParseState(reader);
    entry.run = ParseRunState(reader.String("run", "unknown"))
                    .value_or(RunState::kUnknown);
    entry.summary = reader.String("summary", "");
    value.emplace(member.key(), std::move(entry));
  }
  return value;
}

std::string SerializeClaimBucket(const ClaimBucketValue& value) {
  boost::json::object bucket;
  bucket.reserve(value.size());
  for (const auto& [id, entry] : value) {
    boost::json::object item{{"nonce", entry.nonce},
                             {"host", entry.host},
                             {"state", ToString(entry.state)}};
    if (entry.state != ClaimState::kClaimed) {
      item["run"] = ToString(entry.run);
      item["summary"] = entry.summary;
    }
    bucket.emplace(id, std::move(item));
  }
  return boost::json::serialize(bucket);
}

std::size_t ReservedClaimBytes(std::string_view id, const ClaimEntry& entry) {
  return kEntryOverheadBytes + id.size() + entry.nonce.size() +
         entry.host.size() + kMaxClaimSummaryBytes;
}

std::string PlainText(std::string_view text, std::size_t limit) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  std::string plain(text.substr(0, limit));
  for (char& c : plain) {
    if (c == '"') {
      c = '\'';
    } else if (c < kFirstPrintable || c > kLastPrintable || c == '\\') {
      c = '?';
    }
  }
  return plain;
}

}  // namespace auburnyard
