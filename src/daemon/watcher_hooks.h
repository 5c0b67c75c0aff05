#ifndef AUBURNYARD_SRC_DAEMON_WATCHER_HOOKS_H_
#define AUBURNYARD_SRC_DAEMON_WATCHER_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "src/net/platform_result.h"

namespace auburnyard {

/// A configuration document in transit between hosts.
struct DocumentMessage {
  std::string key;
  std::string text;
};

/// Dependencies of ConfigurationWatcher on the rest of the daemon. No hook is
/// called with a lock held.
struct WatcherHooks {
  std::function<void(std::string_view prefix,
                     std::uint64_t after,
                     std::chrono::milliseconds wait,
                     std::function<void(WatchResult)> done)>
      watch;
  std::function<void(std::chrono::milliseconds delay,
                     std::function<void()> run)>
      schedule;
  /// Position of this host among the live hosts of its failure domain, 0 first.
  std::function<std::size_t()> rank;
  /// Number of hosts of the fleet, live or not; 0 if unknown.
  std::function<std::size_t()> fleet_size;
  /// Sends a document to a few random peers.
  std::function<void(const DocumentMessage&)> push;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_WATCHER_HOOKS_H_
