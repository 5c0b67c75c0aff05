#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDITOR_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDITOR_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/daemon/configuration_edit.h"
#include "src/daemon/watcher_hooks.h"
#include "src/net/platform_result.h"

namespace auburnyard {

struct EditorHooks {
  std::function<void(std::string_view key, std::function<void(GetResult)> done)>
      get;
  std::function<void(const PutCall&, std::function<void(WriteResult)> done)>
      put;
  std::function<void(std::chrono::milliseconds delay,
                     std::function<void()> run)>
      schedule;
  std::function<std::string()> nonce;  ///< returns a new nonce on each call
  /// Revision of the configuration in force on this host.
  std::function<std::uint64_t()> revision;
  /// Called with each document written, to apply it locally and send it to
  /// peers.
  std::function<void(const DocumentMessage&)> written;
};

/// Changes the stored configuration by compare-and-swap. A write whose reply
/// was lost is resolved by reading back. Thread-safe.
class ConfigurationEditor {
 public:
  using Callback = std::function<void(EditResult)>;

  ConfigurationEditor(EditorHooks hooks, std::uint64_t seed);

  /// Errors: what the edit throws; kPlatformUnavailable: nothing was written;
  /// kConflict: the edit conflicts with other writes, or the store was reverted
  /// to an older revision; kOutcomeUnknown: a write was sent and could not be
  /// read back.
  void Edit(ConfigurationEdit edit, Callback done);

 private:
  EditorHooks hooks;
  std::atomic<std::uint64_t> next_seed;
};

class ConfigurationStore;
class ConfigurationWatcher;
class PlatformClient;

/// Hooks of a daemon, with the timers of `hooks`. Each nonce starts with
/// `host`.
EditorHooks MakeEditorHooks(std::shared_ptr<PlatformClient> client,
                            const ConfigurationStore& store,
                            std::shared_ptr<ConfigurationWatcher> watcher,
                            WatcherHooks hooks,
                            std::string host);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDITOR_H_
