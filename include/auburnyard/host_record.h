#ifndef AUBURNYARD_HOST_RECORD_H_
#define AUBURNYARD_HOST_RECORD_H_

#include <cstdint>
#include <string>

namespace auburnyard {

enum class HostState { kLive, kSuspected, kLeft };

/// Source that confirmed that a host has left.
enum class LeaveSource { kNone, kLeaveMessage, kHostList };

/// State of one entry host, as exchanged between hosts.
struct HostRecord {
  std::string id;
  std::string address;  ///< IP:port of the peer bus
  std::string domain;
  std::string group;        ///< ownership group within the domain
  std::uint64_t nonce = 0;  ///< of the process; increases with each start
  std::uint64_t revision = 0;
  HostState state = HostState::kLive;
  LeaveSource leave_source = LeaveSource::kNone;
  bool serving = false;  ///< admitted by its group; may own targets
};

/// True if `left` is newer than `right`; both describe the same host id.
bool IsNewer(const HostRecord& left, const HostRecord& right);

}  // namespace auburnyard

#endif  // AUBURNYARD_HOST_RECORD_H_
