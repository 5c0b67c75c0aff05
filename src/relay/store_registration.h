#ifndef AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_
#define AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/backoff.h"
#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_call_outcome.h"
#include "src/relay/store_codec.h"

namespace auburnyard {

/// Keeps one key in the store under a lease, and removes it on Release.
class StoreRegistration
    : public std::enable_shared_from_this<StoreRegistration> {
 public:
  struct Hooks {
    std::function<void(std::string_view kind, StoreCallOutcome outcome)>
        on_call;
  };

  StoreRegistration(const RelayContext& context,
                    const StoreCodec& codec,
                    HostPort store,
                    StoreItem item,
                    std::uint64_t seed,
                    Hooks hooks);

  void Start();
  /// Ends the lease, so that other hosts are notified at once that this host
  /// leaves.
  void Release();

 private:
  void Acquire();
  void Put();
  void Renew();
  void Call(const HttpCall& call,
            std::string_view kind,
            std::function<void(const HttpResponse&)> next);
  void Schedule(Duration delay, void (StoreRegistration::*next)());
  void Retry();

  const RelayContext& context;
  const StoreCodec& codec;
  HostPort store;
  StoreItem item;
  Hooks hooks;
  boost::asio::steady_timer timer;
  Backoff backoff;
  std::shared_ptr<HttpConnection> connection;
  std::uint64_t lease = 0;  // 0: none
  bool written = false;     // the key was written under the lease
  bool released = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_
