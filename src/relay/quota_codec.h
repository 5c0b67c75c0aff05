#ifndef AUBURNYARD_SRC_RELAY_QUOTA_CODEC_H_
#define AUBURNYARD_SRC_RELAY_QUOTA_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "auburnyard/account_limiter.h"

namespace auburnyard {

/// Admitted requests that did not run, by account.
using ReturnedRequests = std::map<std::string, std::uint32_t, std::less<>>;

/// Asks a quota server for room for one request.
struct QuotaQuestion {
  std::string account;  ///< empty: only returns requests
  AccountLimits limits;
  std::uint64_t version = 0;  ///< of the configuration with these limits
  ReturnedRequests returned;
};

/// Answer to a report.
struct QuotaConfirmation {
  std::uint64_t epoch = 0;  ///< of the server that received the report
  bool accepted = false;
};

inline constexpr std::string_view kQuotaQuestionPath = "/admit";
inline constexpr std::string_view kQuotaReportPath = "/report";

std::string EncodeQuestion(const QuotaQuestion& question);
std::string EncodeDecision(const LimitDecision& decision);
std::string EncodeReport(std::string_view sender, const QuotaReport& report);
std::string EncodeConfirmation(const QuotaConfirmation& confirmation);

// These throw Error(kProtocol) with the path of the member.
QuotaQuestion DecodeQuestion(std::string_view text);
LimitDecision DecodeDecision(std::string_view text);
QuotaReport DecodeReport(std::string_view text, std::string& sender);
QuotaConfirmation DecodeConfirmation(std::string_view text);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_QUOTA_CODEC_H_
