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

  /// Host that runs the gate of a target in `domain`; empty if the target's
  /// ownership group has no live host.
  std::optional<HostRecord> OwnerOf(std::string_view target,
                                    std::string_view domain,
                                    TimePoint now);
  /// Share of a target's limit that this host may use now; the target is of its
  /// own domain. Count an attempt as in flight before the call, so that every
  /// hand-over report includes it.
  SlotShare ShareOf(std::string_view target,
                    std::uint32_t limit,
                    TimePoint now);
  /// Ownership group of a target, among the groups of `domain`; empty if it has
  /// none.
  std::string GroupOf(std::string_view target,
                      std::string_view domain,
                      TimePoint now);

 private:
  using Groups = std::map<std::string, std::vector<HostRecord>, std::less<>>;

  void UpdateIndex(TimePoint now);
  void AddHost(const HostRecord& record, bool live);
  const Groups::value_type* FindGroup(std::string_view target,
                                      std::string_view domain);
  std::optional<ShareReason> DenialReason(std::string_view target,
                                          TimePoint now) const;
  bool HasGrantFrom(const Member& member,
                    std::string_view target,
                    TimePoint now) const;
  std::uint32_t TokenOf(std::string_view target,
                        std::string_view id,
                        std::uint32_t limit) const;
  std::uint32_t RemoteWork(const Member& member,
                           std::string_view target,
                           TimePoint now) const;

  const Membership& membership;
  std::map<std::string, Groups, std::less<>> domains;
  std::optional<std::uint64_t> index_version;
  TimePoint index_time;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_OWNERSHIP_H_
