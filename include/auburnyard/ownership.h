#ifndef AUBURNYARD_OWNERSHIP_H_
#define AUBURNYARD_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/host_record.h"
#include "auburnyard/membership.h"
#include "auburnyard/slot_share.h"

namespace auburnyard {

/// Owners and shares of targets, derived from a membership. Not synchronized.
class Ownership {
 public:
  /// `membership` must outlive this object.
  explicit Ownership(const Membership& membership);

  /// Host that runs the gate of a target in `domain`; empty if no live host of
  /// the target's ownership group is known.
  std::optional<HostRecord> OwnerOf(std::string_view target,
                                    std::string_view domain,
                                    TimePoint now);
  /// What this host may use now of the limit of a target of its own domain.
  /// Count an attempt as in flight before asking, so that no hand-over report
  /// misses it.
  SlotShare ShareOf(std::string_view target,
                    std::uint32_t limit,
                    TimePoint now);
  /// Ownership group of a target among the groups that `domain` has.
  std::string GroupOf(std::string_view target,
                      std::string_view domain,
                      TimePoint now);

 private:
  using Groups = std::map<std::string, std::vector<HostRecord>, std::less<>>;

  void Rebuild(TimePoint now);
  void AddHost(const HostRecord& record, bool live);
  const Groups::value_type* FindGroup(std::string_view target,
                                      std::string_view domain);
  std::optional<ShareReason> Obstacle(std::string_view target,
                                      TimePoint now) const;
  bool Grants(const Member& member,
              std::string_view target,
              TimePoint now) const;
  std::uint32_t TokenOf(std::string_view target,
                        std::string_view id,
                        std::uint32_t limit) const;
  std::uint32_t ForeignWork(const Member& member,
                            std::string_view target,
                            TimePoint now) const;

  const Membership& membership;
  std::map<std::string, Groups, std::less<>> domains;
  std::optional<std::uint64_t> built_version;
  TimePoint built_at;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_OWNERSHIP_H_
