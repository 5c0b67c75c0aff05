#ifndef AUBURNYARD_BUDGET_H_
#define AUBURNYARD_BUDGET_H_

#include <mutex>

namespace auburnyard {

/// Token bucket for extra attempts. Each first attempt adds `share` tokens.
/// Thread safe.
class TokenBudget {
 public:
  /// Initial tokens, so that a service without recent traffic can still retry.
  static constexpr double kReserve = 3;
  /// Maximum number of tokens; bounds the burst after a long idle period.
  static constexpr double kCapacity = 100;

  /// `share` is the number of tokens that a first attempt adds, 0 or more. A
  /// share of 0 disables extra attempts.
  explicit TokenBudget(double share);

  void SetShare(double new_share);
  void OnFirstAttempt();
  /// Takes one token; false if there is none.
  bool Take();
  double tokens() const;

 private:
  mutable std::mutex mutex;
  double share;
  double available;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_BUDGET_H_
