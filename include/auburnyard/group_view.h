#ifndef AUBURNYARD_GROUP_VIEW_H_
#define AUBURNYARD_GROUP_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard {

/// Member list of one ownership group. Immutable.
class GroupView {
 public:
  struct Member {
    std::string id;
    std::uint64_t nonce = 0;
    auto operator<=>(const Member&) const = default;
  };
  /// ViewPosition has one bit for each live member, so members beyond this
  /// number own nothing.
  static constexpr std::size_t kMaxMembers = 64;

  GroupView() = default;
  explicit GroupView(std::vector<Member> members);

  std::uint64_t hash() const { return this->view_hash; }
  const std::vector<Member>& members() const { return this->sorted; }
  std::optional<std::size_t> IndexOf(std::string_view id) const;
  /// First member by rendezvous rank among those whose bit is set in `live`;
  /// empty if none is.
  std::string_view OwnerOf(std::string_view target, std::uint64_t live) const;
  /// Share of `limit` that the member `id` has; 0 if it is not a member. The
  /// shares of all members add up to `limit`.
  std::uint32_t ShareOf(std::string_view target,
                        std::string_view id,
                        std::uint32_t limit) const;

 private:
  std::vector<Member> sorted;
  std::uint64_t view_hash = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_GROUP_VIEW_H_
