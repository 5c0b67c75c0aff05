#ifndef AUBURNYARD_REGISTRATION_CHOICE_H_
#define AUBURNYARD_REGISTRATION_CHOICE_H_

#include <optional>
#include <span>

#include "auburnyard/clock.h"
#include "auburnyard/host_entry.h"

namespace auburnyard {

/// Decides whether a host registers itself. Only hosts that serve other hosts
/// need to be registered, so that the number of registration calls grows with
/// the number of failure domains and not with the number of hosts.
class RegistrationChoice {
 public:
  explicit RegistrationChoice(HostEntry own);

  /// Whether to register now. `domain_hosts` are the registered hosts of the
  /// failure domain. Called every few tens of milliseconds.
  bool ShouldRegister(std::span<const HostEntry> domain_hosts, TimePoint now);

 private:
  bool Needed(std::span<const HostEntry> domain_hosts) const;

  HostEntry own_entry;
  Duration delay;
  std::optional<TimePoint> due_at;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_REGISTRATION_CHOICE_H_
