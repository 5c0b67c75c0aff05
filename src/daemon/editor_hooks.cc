#include <array>
#include <cstdio>
#include <memory>
#include <random>
#include <utility>

#include "auburnyard/configuration_store.h"
#include "src/daemon/configuration_editor.h"
#include "src/daemon/configuration_watcher.h"
#include "src/net/platform_client.h"

namespace auburnyard {

namespace {

// Nonces are unique across all hosts and all processes of a host, so they come
// from the system's random source and not from a seeded generator.
std::string RandomNonce(const std::string& host) {
  std::random_device device;
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%08x%08x", device(), device());
  return host + "-" + digits.data();
}

}  // namespace

EditorHooks MakeEditorHooks(std::shared_ptr<PlatformClient> client,
                            const ConfigurationStore& store,
                            std::shared_ptr<ConfigurationWatcher> watcher,
                            WatcherHooks hooks,
                            std::string host) {
  EditorHooks editor;
  editor.get = [client](std::string_view key,
                        std::function<void(GetResult)> done) {
    client->Get(key, std::move(done));
  };
  editor.put = [client](const PutCall& put,
                        std::function<void(WriteResult)> done) {
    client->Put(put, std::move(done));
  };
  editor.schedule = std::move(hooks.schedule);
  editor.nonce = [host = std::move(host)] { return RandomNonce(host); };
  editor.revision = [&store] { return store.RevisionOf(kConfigurationKey); };
  // The watcher applies the document and pushes it to peers, like a document
  // received from a peer.
  editor.written = [watcher =
                        std::move(watcher)](const DocumentMessage& message) {
    watcher->OnPeerDocument(message);
  };
  return editor;
}

}  // namespace auburnyard
