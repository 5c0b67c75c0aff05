#include "src/relay/quota_codec.h"

#include <limits>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace json = boost::json;
using detail::JsonReader;

namespace {

constexpr double kMaxTokens = 1e9;
constexpr std::uint64_t kMaxReturned = 100'000;
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
// Bounded, so that a difference of two totals cannot overflow.
constexpr double kMaxTotal = 1e15;

JsonReader ReaderOf(const json::value& document) {
  return {document, "", ErrorKind::kProtocol};
}

AccountLimits ReadLimits(const JsonReader& reader) {
  return {.rate = reader.Number("rate", 0, kMaxTokens, 0),
          .burst = reader.Number("burst", 0, kMaxTokens, 0)};
}

}  // namespace

std::string EncodeQuestion(const QuotaQuestion& question) {
  json::object returned;
  for (const auto& [account, count] : question.returned) {
    returned[account] = count;
  }
  return json::serialize(json::object{{"account", question.account},
                                      {"rate", question.limits.rate},
                                      {"burst", question.limits.burst},
                                      {"version", question.version},
                                      {"returned", std::move(returned)}});
}

QuotaQuestion DecodeQuestion(std::string_view text) {
  const json::value document = detail::ParseJson(text, ErrorKind::kProtocol);
  const JsonReader reader = ReaderOf(document);
  QuotaQuestion question{.account = reader.String("account"),
                         .limits = ReadLimits(reader),
                         .version = reader.Integer("version", 0, kMaxInteger)};
  const JsonReader returned = reader.Child("returned");
  for (const auto& [account, count] : returned.object()) {
    question.returned[std::string(account)] =
        static_cast<std::uint32_t>(returned.Integer(account, 0, kMaxReturned));
  }
  return question;
}

std::string EncodeDecision(const LimitDecision& decision) {
  return json::serialize(
      json::object{{"admitted", decision.admitted},
                   {"unconfirmed", decision.unconfirmed},
                   {"retry_after_ms", decision.retry_after.count()}});
}

LimitDecision DecodeDecision(std::string_view text) {
  const json::value document = detail::ParseJson(text, ErrorKind::kProtocol);
  const JsonReader reader = ReaderOf(document);
  return {.admitted = reader.Boolean("admitted", false),
          .unconfirmed = reader.Boolean("unconfirmed", false),
          .retry_after = std::chrono::milliseconds(
              reader.Integer("retry_after_ms", 0, kMaxMilliseconds))};
}

std::string EncodeReport(std::string_view sender, const QuotaReport& report) {
  json::array accounts;
  for (const AccountUsage& usage : report.accounts) {
    accounts.push_back(json::object{{"name", usage.account},
                                    {"total", usage.total},
                                    {"level", usage.level},
                                    {"rate", usage.limits.rate},
                                    {"burst", usage.limits.burst},
                                    {"version", usage.version}});
  }
  return json::serialize(json::object{{"server", sender},
                                      {"epoch", report.epoch},
                                      {"uptime_ms", report.uptime.count()},
                                      {"synchronized", report.synchronized},
                                      {"complete", report.complete},
                                      {"leaving", report.leaving},
                                      {"accounts", std::move(accounts)}});
}

QuotaReport DecodeReport(std::string_view text, std::string& sender) {
  const json::value document = detail::ParseJson(text, ErrorKind::kProtocol);
  const JsonReader reader = ReaderOf(document);
  sender = reader.String("server");
  QuotaReport report{.epoch = reader.Integer("epoch", 1, kMaxInteger),
                     .uptime = std::chrono::milliseconds(reader.Integer(
                         "uptime_ms", 0, kMaxInteger / 1'000'000)),
                     .synchronized = reader.Boolean("synchronized", false),
                     .complete = reader.Boolean("complete", false),
                     .leaving = reader.Boolean("leaving", false)};
  for (const json::value& entry : reader.Array("accounts")) {
    const JsonReader usage(entry, "accounts", ErrorKind::kProtocol);
    report.accounts.push_back(
        {.account = usage.String("name"),
         .total = static_cast<std::int64_t>(
             usage.Number("total", -kMaxTotal, kMaxTotal, 0)),
         .level = usage.Number("level", -kMaxTokens, kMaxTokens, 0),
         .limits = ReadLimits(usage),
         .version = usage.Integer("version", 0, kMaxInteger)});
  }
  return report;
}

std::string EncodeConfirmation(const QuotaConfirmation& confirmation) {
  return json::serialize(json::object{{"epoch", confirmation.epoch},
                                      {"accepted", confirmation.accepted}});
}

QuotaConfirmation DecodeConfirmation(std::string_view text) {
  const json::value document = detail::ParseJson(text, ErrorKind::kProtocol);
  const JsonReader reader = ReaderOf(document);
  return {.epoch = reader.Integer("epoch", 1, kMaxInteger),
          .accepted = reader.Boolean("accepted", false)};
}

}  // namespace auburnyard
