#ifndef AUBURNYARD_BUDGET_H_
#define AUBURNYARD_BUDGET_H_

#include <mutex>

namespace auburnyard {

/// Tokens for extra attempts, earned as a share of first attempts. Thread safe.
class TokenBudget {
 public:
  /// A service without recent traffic can still repeat this many attempts.
  static constexpr double kReserve = 3;
  /// Bounds the burst after a long quiet phase, in tokens.
  static constexpr double kCapacity = 100;

  /// `share` is the number of tokens earned by a first attempt, 0 or more. A
  /// share of 0 allows nothing.
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
