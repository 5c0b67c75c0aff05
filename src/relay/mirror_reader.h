#ifndef AUBURNYARD_SRC_RELAY_MIRROR_READER_H_
#define AUBURNYARD_SRC_RELAY_MIRROR_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "auburnyard/store_timing.h"
#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_call_outcome.h"
#include "src/relay/store_codec.h"

namespace auburnyard {

/// Replicates the store from the mirrors of other hosts, one mirror at a time.
class MirrorReader : public std::enable_shared_from_this<MirrorReader> {
 public:
  struct Hooks {
    /// Address of the mirror to read next; empty if none is known. Must return
    /// the same one while it answers and its host watches the store.
    std::function<std::string()> choose_mirror;
    /// Time since all changes had been received.
    std::function<Duration()> data_age;
    /// Version up to which changes have been applied; none before the first
    /// read, and while a newer epoch is known than that of the data.
    std::function<std::optional<StoreVersion>()> known_version;
    /// `is_snapshot`: the page holds all keys and replaces the previous state.
    /// Returns false if the page is too old to be applied.
    std::function<bool(const StorePage& page, bool is_snapshot)> on_page;
    /// The mirror did not answer, or its answer could not be decoded.
    std::function<void()> on_failure;
    std::function<void(std::string_view kind, StoreCallOutcome outcome)>
        on_call;
  };

  MirrorReader(const RelayContext& context,
               const StoreCodec& codec,
               StoreTiming timing,
               Hooks hooks);

  /// Reads until Stop is called. No effect if already running.
  void Start();
  void Stop();
  /// Applies to later requests.
  void SetTiming(StoreTiming changed) { this->timing = changed; }

 private:
  void SendRequest();
  /// Wait of the next request to the mirror for a change.
  std::chrono::milliseconds WaitAt(const std::string& mirror) const;
  Duration TimeoutOf(std::chrono::milliseconds wait) const;
  void Connect(const std::string& mirror);
  void OnAnswer(const ExchangeResult& result);
  /// Applies an answer and sends or schedules the next request. Returns false
  /// if the answer cannot be decoded.
  bool ApplyPage(const HttpResponse& response);
  void ScheduleRequest();

  const RelayContext& context;
  const StoreCodec& codec;
  StoreTiming timing;
  Hooks hooks;
  std::shared_ptr<HttpConnection> connection;
  std::string connected_to;
  boost::asio::steady_timer timer;
  // Answers to requests of earlier generations are ignored.
  std::uint64_t generation = 0;
  bool running = false;
  // Mirror that answered the last request since the start; may be empty.
  std::string answered_by;
  std::uint64_t asked_epoch = 0;  // of the last request for changes
  bool read_all =
      false;  // the mirror no longer has the history that was requested
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_MIRROR_READER_H_
