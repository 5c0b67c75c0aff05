#ifndef AUBURNYARD_RESTRICTION_TABLE_H_
#define AUBURNYARD_RESTRICTION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/restriction.h"

namespace auburnyard {

inline constexpr std::size_t kMaxRestrictions = 64;

/// Restrictions in effect on this host. Exchanging a restriction between hosts
/// never extends it, and one that has ended here is not accepted again.
/// Thread-safe.
class RestrictionTable {
 public:
  /// Adds a restriction from an operator or a peer. Returns false if the table
  /// already holds it with at most this remaining time, if it has ended or is
  /// superseded by the configuration, or if the table is full.
  bool Add(const Restriction& restriction, TimePoint now);
  /// A configuration came into force; drops restrictions on lower revisions.
  void SetRevision(std::uint64_t revision);
  /// Whether new work for the domain is forbidden.
  bool Forbids(std::string_view domain, TimePoint now);
  /// Restrictions with the time that remains at `now`, for peers and `status`.
  std::vector<Restriction> List(TimePoint now);

 private:
  struct Entry {
    Restriction restriction;
    TimePoint expires;
  };
  using Table = std::map<std::string, Entry>;

  void DropExpired(TimePoint now);
  Table::iterator EndRestriction(Table::iterator entry);

  std::mutex mutex;
  std::uint64_t revision_in_force = 0;
  Table entries;
  std::deque<std::string> ended_ids;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_RESTRICTION_TABLE_H_
