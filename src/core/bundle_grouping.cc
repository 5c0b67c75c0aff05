#include "auburnyard/bundle_grouping.h"

#include <algorithm>

namespace auburnyard {

const std::string& CheapestDomain(const DomainCosts& costs) {
  return std::min_element(costs.begin(), costs.end(),
                          [](const auto& left, const auto& right) {
                            return left.second < right.second;
                          })
      ->first;
}

std::map<std::string, std::vector<std::uint32_t>> GroupFarParts(
    std::span<const FarPart> parts,
    Duration margin) {
  std::map<std::string, std::size_t> sizes;
  for (const FarPart& part : parts) {
    ++sizes[CheapestDomain(part.costs)];
  }
  std::map<std::string, std::vector<std::uint32_t>> groups;
  if (sizes.empty()) {
    return groups;
  }
  const std::string& largest =
      std::max_element(sizes.begin(), sizes.end(),
                       [](const auto& left, const auto& right) {
                         return left.second < right.second;
                       })
          ->first;
  for (const FarPart& part : parts) {
    const std::string& cheapest = CheapestDomain(part.costs);
    const auto moved = part.costs.find(largest);
    const bool moves =
        moved != part.costs.end() &&
        moved->second <= part.costs.find(cheapest)->second + margin;
    groups[moves ? largest : cheapest].push_back(part.part);
  }
  return groups;
}

}  // namespace auburnyard
