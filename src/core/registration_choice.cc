#include "auburnyard/registration_choice.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "auburnyard/host_table.h"
#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Large enough that the loss of a few hosts does not make the domain count as a
// small one, in which every host watches the store.
constexpr std::size_t kRegisteredHostsPerDomain = 8;
// Processor cores; only prevents a division by zero.
constexpr double kMinCores = 0.01;
// Hosts with more processor cores serve other hosts and register first, and
// among equal ones those that rank first, so that the remaining hosts see these
// registrations before they would register themselves.
constexpr milliseconds kOneCoreDelay{100};
constexpr milliseconds kOneCoreSpread{450};
constexpr milliseconds kMaxRegistrationDelay{5'000};

Duration DelayOf(const HostEntry& host) {
  const double relative_rank =
      1.0 -
      static_cast<double>(RendezvousScore(host.failure_domain, host.name)) /
          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double delay_ms =
      (static_cast<double>(kOneCoreDelay.count()) +
       static_cast<double>(kOneCoreSpread.count()) * relative_rank) /
      std::max(host.cores, kMinCores);
  return std::min(milliseconds(static_cast<std::int64_t>(delay_ms)),
                  kMaxRegistrationDelay);
}

}  // namespace

RegistrationChoice::RegistrationChoice(HostEntry own)
    : own_entry(std::move(own)), delay(DelayOf(this->own_entry)) {}

bool RegistrationChoice::Needed(std::span<const HostEntry> domain_hosts) const {
  std::vector<HostEntry> ranked;
  std::copy_if(domain_hosts.begin(), domain_hosts.end(),
               std::back_inserter(ranked), [this](const HostEntry& host) {
                 return host.name != this->own_entry.name;
               });
  ranked.push_back(this->own_entry);
  SortByCapacity(ranked, this->own_entry.failure_domain);
  ranked.resize(std::min(ranked.size(), kRegisteredHostsPerDomain));
  return std::any_of(ranked.begin(), ranked.end(),
                     [this](const HostEntry& host) {
                       return host.name == this->own_entry.name;
                     });
}

bool RegistrationChoice::ShouldRegister(std::span<const HostEntry> domain_hosts,
                                        TimePoint now) {
  if (!this->Needed(domain_hosts)) {
    this->due_at.reset();
    return false;
  }
  if (!this->due_at) {
    this->due_at = now + this->delay;
  }
  return now >= *this->due_at;
}

}  // namespace auburnyard
