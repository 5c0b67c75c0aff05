#ifndef AUBURNYARD_SRC_RELAY_STORE_WATCH_H_
#define AUBURNYARD_SRC_RELAY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/backoff.h"
#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_wire.h"

namespace auburnyard {

namespace detail {

/// How long a read of all keys waits for an answer after failed ones.
Duration ReadTimeout(std::size_t failures);

/// Pause after an answer to a watch. `last` is the pause before it.
Duration PauseAfter(const StorePage& page, Duration last, Duration max_pause);

}  // namespace detail

/// Follows all keys with one prefix: reads them, then watches for changes, and
/// reads again after lost history. Knows for how long the store has not
/// answered.
class StoreWatch : public std::enable_shared_from_this<StoreWatch> {
 public:
  struct Hooks {
    /// All keys, in place of what was known. Returns whether to peek before the
    /// watch for changes.
    std::function<bool(const StorePage&)> on_snapshot;
    std::function<void(const StorePage&)> on_changes;
    /// The store does not answer this host.
    std::function<void()> on_lost;
    /// The store answers again. Called before the first news after it.
    std::function<void()> on_regained;
    std::function<void(std::string_view kind, bool success)> on_call;
    /// Cheap reads of the keys with this prefix precede the first watch, whose
    /// price is ten times theirs. Empty: none.
    std::string peek_prefix;
    /// Returns whether to read once more before the watch.
    std::function<bool(const StorePage&)> on_peek;
  };

  StoreWatch(const RelayContext& context,
             const StoreCodec& codec,
             HostPort store,
             std::string prefix,
             std::uint64_t seed,
             Hooks hooks);

  void Start();
  void Stop();
  /// Longest wait of a watch, which bounds how long it goes unnoticed that the
  /// store no longer answers, and longest pause between watches.
  void SetTiming(std::chrono::milliseconds wait, Duration max_pause);
  /// Makes no calls until Resume, which goes on from the known revision. Only
  /// while the store answers.
  void Pause();
  void Resume();
  bool lost_contact() const { return this->lost; }
  /// Changes up to the revision became known in another way.
  void Advance(std::uint64_t known_revision);
  std::optional<std::uint64_t> known_revision() const {
    return this->has_snapshot ? std::optional(this->revision) : std::nullopt;
  }
  bool synchronized() const { return this->has_snapshot; }

 private:
  void ReadPage();
  void OnPage(const ExchangeResult& result);
  void Peek();
  void OnPeek(const ExchangeResult& result);
  void Watch();
  void OnWatch(const ExchangeResult& result);
  void Call(HttpCall call,
            Duration timeout,
            std::string_view kind,
            void (StoreWatch::*next)(const ExchangeResult&));
  void OnAnswer();
  void RetryLater(std::string_view what, const std::string& error);
  void Schedule(Duration delay, void (StoreWatch::*next)());

  const RelayContext& context;
  const StoreCodec& codec;
  HostPort store;
  std::string prefix;
  Hooks hooks;
  std::shared_ptr<HttpConnection> connection;
  boost::asio::steady_timer timer;
  Backoff backoff;
  std::chrono::milliseconds wait;   // of a watch, for a change
  Duration max_pause;               // between watches
  Duration pause;                   // before the next watch
  std::vector<StoreItem> snapshot;  // pages read so far
  std::uint64_t snapshot_revision = 0;
  std::uint64_t revision = 0;
  bool has_snapshot = false;
  bool watch_answered = false;  // a watch was answered since the last read
  bool allow_stale = true;      // the history still reaches back far enough
  bool lost = false;
  bool stopped = false;
  std::size_t failed_reads = 0;  // since the last complete read
  std::size_t peeks = 0;         // since then
  std::uint64_t generation = 0;  // answers to calls of earlier ones are ignored
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_WATCH_H_
