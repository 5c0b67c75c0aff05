#ifndef AUBURNYARD_SRC_DAEMON_CLAIM_SERVICE_H_
#define AUBURNYARD_SRC_DAEMON_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/claim_sweeper.h"
#include "auburnyard/claims.h"
#include "auburnyard/clock.h"
#include "auburnyard/query.h"

namespace auburnyard {

/// Access to the platform's key-value service. A callback is called once, from
/// any thread, now or later.
struct ClaimStore {
  using Callback = std::function<void(StoreReply)>;

  std::function<void(const std::string& key, Callback)> read;
  /// An empty value removes the claims; the key may be deleted instead.
  std::function<void(const std::string& key,
                     const std::string& value,
                     std::uint64_t expect_version,
                     Callback)>
      write;
};

/// Connects a ClaimTable to the key-value service and to timers. Thread-safe;
/// callbacks and store calls are made without a lock. Must be owned by a
/// shared pointer.
class ClaimService : public std::enable_shared_from_this<ClaimService> {
 public:
  using Callback = std::function<void(ClaimVerdict)>;

  ClaimService(boost::asio::io_context& context,
               const Clock& clock,
               ClaimOptions options,
               ClaimStore store,
               std::function<WallTime()> wall);

  /// Claims an identifier for one dispatch. The callback is called once.
  void Claim(std::string_view id, TimePoint deadline, Callback callback);
  /// Whether the granted request may be dispatched now. Call right before the
  /// dispatch; if it returns false, record the outcome kRefused with
  /// RunState::kNotRun.
  bool MayDispatch(const ClaimGranted& grant) const;
  /// Records the outcome of a granted request, best effort.
  void RecordOutcome(std::string_view id,
                     const ClaimGranted& grant,
                     ClaimState state,
                     RunState run,
                     std::string_view summary);
  /// Sets this host's share of the fleet's claim writes, for example the
  /// fleet's limit divided by the number of live hosts.
  void SetWriteRate(double writes_per_second);
  /// Reads one key that may be past retention and deletes it. Call about twice
  /// a second on one or two hosts of the fleet.
  void SweepOne();
  std::size_t pending() const;
  /// Runs due timers; called by the service's own timer and by tests.
  void OnTimer();

 private:
  void Run(std::vector<ClaimAction> actions);
  void Perform(const ReadClaims& action);
  void Perform(const WriteClaims& action);
  void Perform(const ResolveClaim& action);
  void ArmTimer();

  const Clock& clock;
  ClaimStore store;
  std::function<WallTime()> wall;
  mutable std::mutex mutex;
  ClaimTable table;
  ClaimSweeper sweeper;
  std::unordered_map<std::uint64_t, Callback> callbacks;  // by ticket
  std::uint64_t next_ticket = 1;
  boost::asio::steady_timer timer;
};

/// Converts a verdict that is not a grant to the refusal for the caller. A
/// repeat of a recorded request gets the recorded outcome as detail, or
/// "unknown" while the outcome is open.
Refusal RefusalOf(const ClaimRepeated& repeated);
Refusal RefusalOf(const ClaimRefused& refused);

/// System clock in milliseconds since the Unix epoch.
WallTime SystemWallTime();

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CLAIM_SERVICE_H_
