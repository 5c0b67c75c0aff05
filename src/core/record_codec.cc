#include "src/core/record_codec.h"

#include <utility>

namespace auburnyard::detail {

namespace {

constexpr unsigned kVarintBits = 7;
constexpr std::uint64_t kVarintContinuation = 0x80;
constexpr std::uint64_t kVarintMask = 0x7f;

void PutNumber(std::string& out, std::uint64_t value) {
  while (value >= kVarintContinuation) {
    out.push_back(
        static_cast<char>((value & kVarintMask) | kVarintContinuation));
    value >>= kVarintBits;
  }
  out.push_back(static_cast<char>(value));
}

std::uint64_t TakeNumber(std::string_view& in) {
  std::uint64_t value = 0;
  for (unsigned shift = 0; !in.empty(); shift += kVarintBits) {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    value |= (byte & kVarintMask) << shift;
    if ((byte & kVarintContinuation) == 0) {
      break;
    }
  }
  return value;
}

void PutText(std::string& out, std::string_view text) {
  PutNumber(out, text.size());
  out.append(text);
}

std::string TakeText(std::string_view& in) {
  const std::size_t size = TakeNumber(in);
  std::string text(in.substr(0, size));
  in.remove_prefix(text.size());
  return text;
}

}  // namespace

void EncodeRecord(const DecisionRecord& record, std::string& out) {
  PutNumber(out, static_cast<std::uint64_t>(record.time.count()));
  PutNumber(out, static_cast<std::uint64_t>(record.event));
  PutNumber(out,
            record.reason ? static_cast<std::uint64_t>(*record.reason) + 1 : 0);
  // kNoAttempt wraps to 0, which needs one byte.
  PutNumber(out, static_cast<std::uint32_t>(record.attempt + 1));
  PutText(out, record.target);
  PutText(out, record.shard);
  PutText(out, record.snapshot);
  PutText(out, record.start_id);
  PutNumber(out, record.numbers.all().size());
  for (const DecisionNumber& number : record.numbers.all()) {
    PutNumber(out, static_cast<std::uint64_t>(number.name));
    PutNumber(out, number.value);
  }
}

DecisionRecord DecodeRecord(std::string_view& in) {
  DecisionRecord record;
  record.time = Duration(TakeNumber(in));
  record.event = static_cast<DecisionEvent>(TakeNumber(in));
  if (const std::uint64_t reason = TakeNumber(in); reason != 0) {
    record.reason = static_cast<Reason>(reason - 1);
  }
  record.attempt = static_cast<std::uint32_t>(TakeNumber(in) - 1);
  record.target = TakeText(in);
  record.shard = TakeText(in);
  record.snapshot = TakeText(in);
  record.start_id = TakeText(in);
  const std::uint64_t count = TakeNumber(in);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto name = static_cast<NumberName>(TakeNumber(in));
    record.numbers.Add(name, TakeNumber(in));
  }
  return record;
}

}  // namespace auburnyard::detail
