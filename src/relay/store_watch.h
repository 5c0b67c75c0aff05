#ifndef AUBURNYARD_SRC_RELAY_STORE_WATCH_H_
#define AUBURNYARD_SRC_RELAY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/backoff.h"
#include "auburnyard/store_timing.h"
#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_call_outcome.h"
#include "src/relay/store_codec.h"

namespace auburnyard {

namespace detail {

/// Pause after an answer to a watch. `last` is the pause before it.
Duration PauseAfter(const StorePage& page, Duration last, Duration pause_limit);

}  // namespace detail

/// Replicates all keys with one prefix: reads them, then watches for changes,
/// and reads all again if the store has dropped the history. Tracks whether the
/// store answers.
class StoreWatch : public std::enable_shared_from_this<StoreWatch> {
 public:
  struct Hooks {
    /// Receives all keys, which replace the previous state. Returns whether to
    /// peek before the watch for changes.
    std::function<bool(const StorePage&)> on_snapshot;
    std::function<void(const StorePage&)> on_changes;
    /// The store does not answer this host.
    std::function<void()> on_lost;
    /// The store answers again. Called before the first changes after the
    /// outage.
    std::function<void()> on_regained;
    /// The store is in a higher epoch than any known before. All keys will be
    /// read again.
    std::function<void(std::uint64_t epoch)> on_epoch;
    std::function<void(std::string_view kind, StoreCallOutcome outcome)>
        on_call;
    /// Prefix of the keys that are peeked at by stale reads before the first
    /// watch, which costs ten times as much. Empty: no peeks.
    std::string peek_prefix;
    /// Returns whether to peek once more before the watch.
    std::function<bool(const StorePage&)> on_peek;
  };

  StoreWatch(const RelayContext& context,
             const StoreCodec& codec,
             HostPort store,
             std::string prefix,
             std::uint64_t seed,
             StoreTiming timing,
             Hooks hooks);

  void Start();
  void Stop();
  /// Applies to later calls.
  void SetTiming(StoreTiming changed) { this->timing = changed; }
  /// Makes no calls until Resume, which continues from the known revision. Must
  /// be called only while the store answers.
  void Pause();
  void Resume();
  bool lost_contact() const { return this->lost; }
  /// Records that changes up to the version were received from elsewhere.
  void Advance(StoreVersion known);
  /// Records that the store was seen in this epoch elsewhere. If it is higher
  /// than any known before, reads all keys again at once, unless paused.
  void ObserveEpoch(std::uint64_t observed);
  /// Highest known epoch of the store.
  std::uint64_t epoch() const { return this->latest_epoch; }
  /// Version of the data; none before the first read, and while the data is of
  /// an older epoch than the highest known one.
  std::optional<StoreVersion> known_version() const {
    return this->has_snapshot && this->InLatestEpoch()
               ? std::optional(this->version)
               : std::nullopt;
  }
  bool synchronized() const { return this->has_snapshot; }

 private:
  bool InLatestEpoch() const {
    return this->version.epoch == this->latest_epoch;
  }
  /// Records an epoch that the store or a mirror stated.
  void NoteEpoch(std::uint64_t observed);
  /// Reads all keys again, none of them stale.
  void ReadAgain();
  /// Watches, or reads all keys if they are not known in this epoch.
  void Continue();
  void ReadPage();
  void OnPage(const ExchangeResult& result);
  /// Whether a peek now leaves time to confirm the data that was read.
  bool MayPeek() const;
  void Peek();
  void OnPeek(const ExchangeResult& result);
  void Watch();
  void OnWatch(const ExchangeResult& result);
  void Call(HttpCall call,
            Duration timeout,
            std::string_view kind,
            void (StoreWatch::*next)(const ExchangeResult&));
  void OnAnswer();
  /// Reports a failed call as a lost store and schedules the next attempt.
  void RetryLater(std::string_view what, const ExchangeResult& result);
  void RetryLater(std::string_view what, const Error& error);
  void ReportLoss(std::string_view what, std::string_view error);
  Duration RetryDelay();
  void Retry(Duration delay);
  void Schedule(Duration delay, void (StoreWatch::*next)());

  const RelayContext& context;
  const StoreCodec& codec;
  HostPort store;
  std::string prefix;
  Hooks hooks;
  std::shared_ptr<HttpConnection> connection;
  boost::asio::steady_timer timer;
  Backoff backoff;
  StoreTiming timing;
  Duration pause;                   // before the next watch
  std::vector<StoreItem> snapshot;  // pages read so far
  StoreVersion snapshot_version;    // of the oldest of these pages
  StoreVersion version;             // of the data
  StoreVersion watched;             // of the data at the last watch
  std::uint64_t latest_epoch = 0;
  bool paused = false;
  bool has_snapshot = false;
  // A watch was answered since the last read or pause, so the data is current
  // but for later changes.
  bool confirmed = false;
  // False after lost history, which a stale read may predate.
  bool allow_stale = true;
  bool lost = false;
  TimePoint lost_at{};    // start of the outage
  TimePoint called_at{};  // of the last call
  // End of the last complete read, or of the last pause.
  TimePoint unconfirmed_since{};
  bool stopped = false;
  std::size_t failed_reads = 0;  // since the last complete read
  std::size_t peeks = 0;         // since the last complete read
  // Answers to calls of earlier generations are ignored.
  std::uint64_t generation = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_WATCH_H_
