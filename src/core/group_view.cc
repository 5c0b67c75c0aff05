#include "auburnyard/group_view.h"

#include <algorithm>
#include <utility>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

GroupView::GroupView(std::vector<Member> members) : sorted(std::move(members)) {
  std::sort(this->sorted.begin(), this->sorted.end());
  for (const Member& member : this->sorted) {
    this->view_hash =
        MixBits(this->view_hash ^ HashText(member.id) ^ MixBits(member.nonce));
  }
}

std::optional<std::size_t> GroupView::IndexOf(std::string_view id) const {
  const auto found =
      std::find_if(this->sorted.begin(), this->sorted.end(),
                   [id](const Member& member) { return member.id == id; });
  if (found == this->sorted.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - this->sorted.begin());
}

std::string_view GroupView::OwnerOf(std::string_view target,
                                    std::uint64_t live) const {
  std::string_view best;
  const std::size_t count = std::min(this->sorted.size(), kMaxMembers);
  for (std::size_t i = 0; i < count; ++i) {
    if (((live >> i) & 1U) == 0) {
      continue;
    }
    if (best.empty() || RanksBefore(target, this->sorted.at(i).id, best)) {
      best = this->sorted.at(i).id;
    }
  }
  return best;
}

std::uint32_t GroupView::ShareOf(std::string_view target,
                                 std::string_view id,
                                 std::uint32_t limit) const {
  if (!this->IndexOf(id)) {
    return 0;
  }
  const auto rank = static_cast<std::uint32_t>(std::count_if(
      this->sorted.begin(), this->sorted.end(),
      [target, id](const Member& member) {
        return member.id != id && RanksBefore(target, member.id, id);
      }));
  const auto count = static_cast<std::uint32_t>(this->sorted.size());
  return limit / count + (rank < limit % count ? 1 : 0);
}

}  // namespace auburnyard
