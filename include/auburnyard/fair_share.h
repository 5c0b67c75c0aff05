#ifndef AUBURNYARD_FAIR_SHARE_H_
#define AUBURNYARD_FAIR_SHARE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Divides an admitted share of all requests between accounts by max-min
/// fairness with equal weights, from their arrivals over the last seconds.
class FairShare {
 public:
  struct Limit {
    std::string account;
    double share = 1;  ///< of its requests
  };
  struct Division {
    std::vector<Limit> limits;  ///< a bounded number, largest accounts first
    double others = 1;          ///< share of all other accounts
  };

  /// `weight`: requests that the arrival stands for, because others of the
  /// account were refused before they arrived here.
  void OnArrival(std::string_view account, double weight, TimePoint now);
  /// Shares of the accounts if `share` of all requests is admitted.
  Division Divide(double share, TimePoint now) const;

 private:
  struct Arrivals {
    double count = 0;  // decays with time
    TimePoint updated{};
    double At(TimePoint now) const;
  };

  void Expire(TimePoint now);

  std::map<std::string, Arrivals, std::less<>> accounts;
  TimePoint next_expiry{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_FAIR_SHARE_H_
