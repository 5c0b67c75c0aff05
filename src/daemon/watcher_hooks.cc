#include "src/daemon/watcher_hooks.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/daemon/configuration_watcher.h"
#include "src/net/platform_client.h"

namespace auburnyard {

WatcherHooks MakeWatcherHooks(boost::asio::io_context& context,
                              std::shared_ptr<PlatformClient> client) {
  WatcherHooks hooks;
  hooks.watch = [client = std::move(client)](
                    std::string_view prefix, std::uint64_t after,
                    std::chrono::milliseconds wait,
                    std::function<void(WatchResult)> done) {
    client->Watch(prefix, after, wait, std::move(done));
  };
  hooks.schedule = [&context](std::chrono::milliseconds delay,
                              std::function<void()> run) {
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait(
        [timer, run = std::move(run)](const boost::system::error_code& error) {
          if (!error) {
            run();
          }
        });
  };
  return hooks;
}

}  // namespace auburnyard
