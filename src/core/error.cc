#include "auburnyard/error.h"

#include <algorithm>
#include <array>

namespace auburnyard {

namespace {

constexpr int kExitDifferent = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnavailable = 4;
constexpr int kExitConflict = 5;
constexpr int kExitInternal = 70;

constexpr std::array<ErrorDescription, 29> kErrors = {{
    {ErrorKind::kBadRequest, "bad_request", 400, "The request is malformed",
     kExitUsage},
    {ErrorKind::kNotFound, "not_found", 404, "The resource does not exist",
     kExitRefused},
    {ErrorKind::kUnauthorized, "unauthorized", 401,
     "A valid operator key is required", kExitRefused},
    {ErrorKind::kPayloadTooLarge, "payload_too_large", 413,
     "The request body is too large", kExitUsage},
    {ErrorKind::kHeaderTooLarge, "header_too_large", 431,
     "The request header is too large", kExitUsage},
    {ErrorKind::kRequestTimeout, "request_timeout", 408,
     "The request was not received in time", kExitUnavailable},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405,
     "The method is not supported here", kExitUsage},
    {ErrorKind::kUnknownService, "unknown_service", 404,
     "The service is not configured", kExitRefused},
    {ErrorKind::kOverloaded, "overloaded", 503, "The request was shed",
     kExitUnavailable},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     "The deadline elapsed", kExitUnavailable},
    {ErrorKind::kCoverageTooLow, "coverage_too_low", 503,
     "The required coverage was not reached", kExitUnavailable},
    {ErrorKind::kNoCapacity, "no_capacity", 503,
     "No target can take the request", kExitUnavailable},
    {ErrorKind::kShuttingDown, "shutting_down", 503,
     "The entry host is shutting down", kExitUnavailable},
    {ErrorKind::kSnapshotLost, "snapshot_lost", 503,
     "The snapshot was replaced during the query", kExitUnavailable},
    {ErrorKind::kClaimUnavailable, "claim_unavailable", 503,
     "The request could not be claimed", kExitUnavailable},
    {ErrorKind::kDuplicateRequest, "duplicate_request", 409,
     "The request identifier is already in use", kExitConflict},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 504,
     "The outcome of the request is unknown", kExitUnavailable},
    {ErrorKind::kRequestTooOld, "request_too_old", 409,
     "The request identifier is too old", kExitConflict},
    {ErrorKind::kConflict, "conflict", 409, "The base revision has changed",
     kExitConflict},
    {ErrorKind::kNotConfirmed, "not_confirmed", 409,
     "The plan is not confirmed", kExitConflict},
    {ErrorKind::kPlatformUnavailable, "platform_unavailable", 503,
     "The platform's service cannot be reached", kExitUnavailable},
    {ErrorKind::kBadSettings, "bad_settings", 400, "The settings are invalid",
     kExitUsage},
    {ErrorKind::kConnection, "connection", 502, "The connection failed",
     kExitUnavailable},
    {ErrorKind::kProtocol, "protocol", 502, "The peer violated the protocol",
     kExitUnavailable},
    {ErrorKind::kInternal, "internal", 500, "An internal error occurred",
     kExitInternal},
    {ErrorKind::kAnswerTooLarge, "answer_too_large", 422,
     "The merged answer exceeds its limit", kExitRefused},
    {ErrorKind::kCheckFailed, "check_failed", 500,
     "The check found differences", kExitDifferent},
    {ErrorKind::kUnconfirmedRefusal, "unconfirmed_refusal", 502,
     "A target refused the request and may have run it", kExitUnavailable},
    {ErrorKind::kUnsupportedCoding, "unsupported_coding", 501,
     "The transfer coding is not supported", kExitUsage},
}};

constexpr std::array<std::string_view, 3> kRunStates = {"not_run", "unknown",
                                                        "run"};

}  // namespace

const ErrorDescription& DescribeError(ErrorKind kind) {
  return kErrors.at(static_cast<std::size_t>(kind));
}

std::span<const ErrorDescription> AllErrors() {
  return kErrors;
}

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  const auto* found = std::find_if(
      kErrors.begin(), kErrors.end(),
      [name](const ErrorDescription& entry) { return entry.name == name; });
  if (found == kErrors.end()) {
    return std::nullopt;
  }
  return found->kind;
}

std::string_view ToString(RunState state) {
  return kRunStates.at(static_cast<std::size_t>(state));
}

std::optional<RunState> ParseRunState(std::string_view name) {
  const auto* found = std::find(kRunStates.begin(), kRunStates.end(), name);
  if (found == kRunStates.end()) {
    return std::nullopt;
  }
  return static_cast<RunState>(found - kRunStates.begin());
}

Error::Error(ErrorKind kind, const std::string& detail)
    : std::runtime_error(detail), error_kind(kind) {}

}  // namespace auburnyard
