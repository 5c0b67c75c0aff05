#ifndef AUBURNYARD_MIRROR_CHOICE_H_
#define AUBURNYARD_MIRROR_CHOICE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "auburnyard/clock.h"
#include "auburnyard/host_entry.h"

namespace auburnyard {

/// Decides whether a host watches the store directly or follows the mirror of a
/// host in its failure domain, so that the number of calls to the store grows
/// with the number of domains and not with the number of hosts.
class MirrorChoice {
 public:
  explicit MirrorChoice(std::string host_name);

  /// Returns the address of the mirror to follow, or an empty string to watch
  /// the store. `domain_hosts` are the registered hosts of the failure domain,
  /// including this host.
  std::string Choose(std::span<const HostEntry> domain_hosts,
                     TimePoint now) const;
  /// The mirror did not answer. The host that ranks next takes its place, so
  /// that the loss of one watcher does not make the entire domain call the
  /// store.
  void OnFailure(std::string_view mirror, TimePoint now);
  /// The data of the mirrors is too old.
  void OnOutdated(TimePoint now);

 private:
  std::string host_name;
  std::map<std::string, TimePoint, std::less<>> avoided;  // expiry by mirror
  TimePoint watch_store_until{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MIRROR_CHOICE_H_
