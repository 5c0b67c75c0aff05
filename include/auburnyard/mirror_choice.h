#ifndef AUBURNYARD_MIRROR_CHOICE_H_
#define AUBURNYARD_MIRROR_CHOICE_H_

#include <span>
#include <string>

#include "auburnyard/clock.h"
#include "auburnyard/host_entry.h"

namespace auburnyard {

/// Decides whether a host watches the store itself or follows the mirror of a
/// host of its failure domain, so that calls to the store grow with the number
/// of domains and not with that of hosts.
class MirrorChoice {
 public:
  explicit MirrorChoice(std::string host_name);

  /// Address of the mirror to follow; empty: watch the store. `neighbours` are
  /// the registered hosts of the failure domain, this one included.
  std::string Choose(std::span<const HostEntry> neighbours,
                     TimePoint now) const;
  /// The mirror did not answer, or does not watch the store itself.
  void OnFailure(TimePoint now);

 private:
  std::string host_name;
  std::size_t failures = 0;
  TimePoint direct_until{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MIRROR_CHOICE_H_
