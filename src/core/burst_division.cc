#include "auburnyard/burst_division.h"

#include <cmath>
#include <cstdint>
#include <limits>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

// Hosts that connect to all targets make most repeats; other hosts only repeat
// requests that such a host has lost. The remaining 10 percent are left for
// hosts that have not been discovered yet.
constexpr double kConnectingHostsShare = 0.5;
constexpr double kOtherHostsShare = 0.4;

double UnitHash(std::string_view service, std::string_view host) {
  return static_cast<double>(RendezvousScore(service, host)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace

double BurstDivision::ShareOf(double burst,
                              std::string_view service,
                              ServiceUse use) const {
  std::size_t hosts =
      this->connects ? this->connecting_hosts : this->max_other_hosts;
  if (hosts == 0) {
    return 0;
  }
  double divided = this->connects ? kConnectingHostsShare : kOtherHostsShare;
  if (use == ServiceUse::kSingle && this->max_other_hosts > 0) {
    hosts = this->connecting_hosts + this->max_other_hosts;
    divided = kConnectingHostsShare + kOtherHostsShare;
  }
  const double share = burst * divided / static_cast<double>(hosts);
  const double integer_share = std::floor(share);
  return integer_share +
         (UnitHash(service, this->host_name) < share - integer_share ? 1.0
                                                                     : 0.0);
}

}  // namespace auburnyard
