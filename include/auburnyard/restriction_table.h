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

/// Restrictions that hold on this host. An exchange between hosts never extends
/// one, and one that has ended here is not taken again. Thread-safe.
class RestrictionTable {
 public:
  /// Takes a restriction from an operator or a peer. Returns false if it is
  /// known with at most this remaining time, has ended, is superseded by the
  /// configuration, or the table is full.
  bool Take(const Restriction& restriction, TimePoint now);
  /// A configuration came into force; drops restrictions on lower revisions.
  void SetRevision(std::uint64_t revision);
  /// Whether new work for the domain is forbidden.
  bool Forbids(std::string_view domain, TimePoint now);
  /// With the time that remains now, for peers and for `status`.
  std::vector<Restriction> List(TimePoint now);

 private:
  struct Held {
    Restriction restriction;
    TimePoint expires;
  };
  using Table = std::map<std::string, Held>;

  void DropExpired(TimePoint now);
  Table::iterator End(Table::iterator entry);

  std::mutex mutex;
  std::uint64_t in_force = 0;
  Table held;
  std::deque<std::string> ended;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_RESTRICTION_TABLE_H_
