#ifndef AUBURNYARD_ERROR_H_
#define AUBURNYARD_ERROR_H_

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace auburnyard {

/// Error kinds. `DescribeError` maps each kind to its HTTP response and exit
/// code.
enum class ErrorKind {
  kBadRequest,
  kNotFound,
  kUnauthorized,
  kPayloadTooLarge,
  kHeaderTooLarge,
  kRequestTimeout,
  kMethodNotAllowed,
  kUnknownService,
  kOverloaded,
  kDeadlineExceeded,
  kCoverageTooLow,
  kNoCapacity,
  kShuttingDown,
  kSnapshotLost,
  kClaimUnavailable,
  kDuplicateRequest,
  kOutcomeUnknown,
  kRequestTooOld,
  kConflict,
  kNotConfirmed,
  kPlatformUnavailable,
  kBadSettings,
  kConnection,
  kProtocol,
  kInternal,
  kAnswerTooLarge,
  kCheckFailed,
  kUnconfirmedRefusal,
  kUnsupportedCoding,
};

/// Whether the work of a refused request was executed.
enum class RunState { kNotRun, kUnknown, kRun };

/// HTTP response and exit code of an error kind.
struct ErrorDescription {
  ErrorKind kind;
  std::string_view
      name;  ///< stable identifier, used in problem details and counters
  int http_status;
  std::string_view title;
  int exit_code;  ///< exit code of the command-line tool
};

const ErrorDescription& DescribeError(ErrorKind kind);
std::span<const ErrorDescription> AllErrors();
std::optional<ErrorKind> ParseErrorKind(std::string_view name);

std::string_view ToString(RunState state);
std::optional<RunState> ParseRunState(std::string_view name);

/// Base of all exceptions that the library throws.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& detail);
  ErrorKind kind() const { return this->error_kind; }

 private:
  ErrorKind error_kind;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ERROR_H_
