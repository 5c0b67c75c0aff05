#ifndef AUBURNYARD_BUNDLE_GROUPING_H_
#define AUBURNYARD_BUNDLE_GROUPING_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Lowest placement cost of a part in each failure domain.
using DomainCosts = std::map<std::string, Duration, std::less<>>;

/// A part that another entry host is to fetch.
struct FarPart {
  std::uint32_t part = 0;
  DomainCosts costs;  ///< not empty
};

/// Domain with the lowest cost.
const std::string& CheapestDomain(const DomainCosts& costs);

/// Parts by the failure domain whose entry host fetches them. Answers the load
/// on links between regions: each bundle has its own head and signatures, so
/// that a part moves from its cheapest domain to the one that most parts chose
/// if it costs at most `margin` more there.
std::map<std::string, std::vector<std::uint32_t>> GroupFarParts(
    std::span<const FarPart> parts,
    Duration margin);

}  // namespace auburnyard

#endif  // AUBURNYARD_BUNDLE_GROUPING_H_
