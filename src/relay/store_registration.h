#ifndef AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_
#define AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_

#include <functional>
#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/backoff.h"
#include "src/net/http_client.h"
#include "src/relay/lease_state.h"
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
    /// The store was seen in a higher epoch than any known here before.
    std::function<void(std::uint64_t epoch)> on_epoch;
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
  /// Records that the store was seen in this epoch. A lease of an older one is
  /// not used again; a new one is acquired within kAcquireSpread.
  void ObserveEpoch(std::uint64_t observed);
  /// The key was written under a lease that is valid as far as known.
  bool written() const { return this->state.written(); }

  /// Hundreds of hosts learn of a new epoch at the same time; their writes are
  /// spread evenly over this time. Shorter than the time for which removals of
  /// hosts are held back.
  static constexpr std::chrono::milliseconds kAcquireSpread{1'500};

 private:
  void Acquire();
  void Put();
  void Renew();
  void Call(const HttpCall& call,
            std::string_view kind,
            std::function<void(const HttpResponse&)> next);
  void Schedule(Duration delay, void (StoreRegistration::*next)());
  void Retry();
  void AcquireLater();

  const RelayContext& context;
  const StoreCodec& codec;
  HostPort store;
  StoreItem item;
  Hooks hooks;
  boost::asio::steady_timer timer;
  Backoff backoff;
  std::shared_ptr<HttpConnection> connection;
  LeaseState state;
  std::mt19937_64 random;
  // Answers to calls of earlier generations are ignored.
  std::uint64_t generation = 0;
  bool released = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_REGISTRATION_H_
