#ifndef AUBURNYARD_SRC_RELAY_ACCOUNT_ADMISSION_H_
#define AUBURNYARD_SRC_RELAY_ACCOUNT_ADMISSION_H_

#include <chrono>
#include <functional>

#include "auburnyard/client_account.h"

namespace auburnyard {

/// Decision on one request of an account that has a limit.
struct AccountDecision {
  enum class Kind {
    kAdmitted,
    kOverLimit,  ///< the account has no room
    kUnknown,    ///< no host could be asked that knows the account's usage
  };
  Kind kind = Kind::kAdmitted;
  /// Time until the account is expected to have room; unless admitted.
  std::chrono::milliseconds retry_after{0};
};

/// Enforces the limits that all hosts share.
struct AccountAdmission {
  using Callback = std::function<void(AccountDecision)>;

  /// Calls `decide` exactly once, during the call or later, on the thread of
  /// the caller. The callback must not be called after the service is gone.
  std::function<void(const ClientAccount& account, Callback decide)> admit;
  /// A request that was admitted did not run.
  std::function<void(const ClientAccount& account)> give_back;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_ACCOUNT_ADMISSION_H_
