#include "src/relay/store_watch.h"

#include <algorithm>
#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// TCP keep-alive probes detect a dead connection before the answer is overdue.
constexpr std::chrono::seconds kProbeInterval{1};
// Pause between watches without changes. It doubles while changes continue.
constexpr milliseconds kMinPause{250};
// Hosts that start at the same time are registered within this many intervals.
constexpr std::size_t kMaxPeeks = 4;
constexpr milliseconds kPeekInterval{700};
constexpr int kStatusOk = 200;

Error OlderEpochError() {
  return Error(ErrorKind::kProtocol, "the answer is of an older epoch");
}

}  // namespace

namespace detail {

// No pause while further changes exist: later changes would be delayed, and in
// a large fleet more changes can arrive per pause than one answer contains.
Duration PauseAfter(const StorePage& page,
                    Duration last,
                    Duration pause_limit) {
  if (page.more) {
    return Duration::zero();
  }
  if (page.items.empty()) {
    return kMinPause;
  }
  return std::min(std::max<Duration>(last * 2, kMinPause), pause_limit);
}

}  // namespace detail

StoreWatch::StoreWatch(const RelayContext& relay_context,
                       const StoreCodec& store_codec,
                       HostPort store_address,
                       std::string key_prefix,
                       std::uint64_t seed,
                       StoreTiming store_timing,
                       Hooks watch_hooks)
    : context(relay_context),
      codec(store_codec),
      store(std::move(store_address)),
      prefix(std::move(key_prefix)),
      hooks(std::move(watch_hooks)),
      timer(relay_context.io),
      backoff(seed),
      timing(store_timing),
      pause(kMinPause) {}

void StoreWatch::Start() {
  this->ReadPage();
}

void StoreWatch::Stop() {
  this->stopped = true;
  this->timer.cancel();
  if (this->connection != nullptr) {
    this->connection->Close();
  }
}

void StoreWatch::Pause() {
  this->paused = true;
  ++this->generation;
  this->snapshot.clear();
  this->timer.cancel();
  if (this->connection != nullptr) {
    std::exchange(this->connection, nullptr)->Close();
  }
}

void StoreWatch::Resume() {
  ++this->generation;
  this->confirmed = false;
  this->unconfirmed_since = this->context.clock.Now();
  this->paused = false;
  this->Continue();
}

void StoreWatch::Advance(StoreVersion known) {
  this->NoteEpoch(known.epoch);
  this->version = std::max(this->version, known);
  this->has_snapshot = true;
}

void StoreWatch::NoteEpoch(std::uint64_t observed) {
  if (observed <= this->latest_epoch) {
    return;
  }
  LogEvent(spdlog::level::warn, "store_epoch_changed",
           {{"prefix", this->prefix},
            {"epoch", observed},
            {"before", this->latest_epoch},
            {"revision", this->version.revision}});
  this->latest_epoch = observed;
  this->allow_stale = false;
  if (this->hooks.on_epoch) {
    this->hooks.on_epoch(observed);
  }
}

// The running call was sent for the older epoch. A watch would be answered only
// at the end of its wait, if the store dropped it silently.
void StoreWatch::ObserveEpoch(std::uint64_t observed) {
  if (this->stopped || observed <= this->latest_epoch) {
    return;
  }
  this->NoteEpoch(observed);
  if (this->paused) {
    return;
  }
  ++this->generation;
  this->timer.cancel();
  if (this->connection != nullptr) {
    std::exchange(this->connection, nullptr)->Close();
  }
  this->ReadAgain();
}

void StoreWatch::ReadAgain() {
  this->has_snapshot = false;
  this->allow_stale = false;
  this->snapshot.clear();
  this->ReadPage();
}

void StoreWatch::Continue() {
  if (this->has_snapshot && this->InLatestEpoch()) {
    this->Watch();
  } else {
    this->ReadAgain();
  }
}

void StoreWatch::Call(HttpCall call,
                      Duration timeout,
                      std::string_view kind,
                      void (StoreWatch::*next)(const ExchangeResult&)) {
  if (this->connection == nullptr) {
    this->connection = std::make_shared<HttpConnection>(
        this->context.io, this->store.host, this->store.port);
    this->connection->ChargeTo(this->context.memory, "store");
    this->connection->EnableProbes(kProbeInterval);
  }
  this->called_at = this->context.clock.Now();
  this->connection->Exchange(
      call, timeout,
      [self = this->shared_from_this(), next, kind,
       sent_generation = this->generation](ExchangeResult result) {
        if (self->stopped || self->generation != sent_generation) {
          return;
        }
        self->hooks.on_call(kind, OutcomeOf(result));
        if (result.error.empty()) {
          self->NoteEpoch(
              self->codec.decode_epoch(result.response).value_or(0));
        }
        if (!result.error.empty()) {
          // A connection on which an answer was lost cannot be reused.
          self->connection = nullptr;
        }
        (self.get()->*next)(result);
      });
}

void StoreWatch::Schedule(Duration delay, void (StoreWatch::*next)()) {
  this->timer.expires_after(delay);
  this->timer.async_wait(
      [self = this->shared_from_this(), next,
       sent_generation = this->generation](boost::system::error_code error) {
        if (!error && !self->stopped && self->generation == sent_generation) {
          (self.get()->*next)();
        }
      });
}

void StoreWatch::OnAnswer() {
  this->backoff.Reset();
  if (std::exchange(this->lost, false)) {
    LogEvent(spdlog::level::info, "store_regained",
             {{"prefix", this->prefix},
              {"outage_ms",
               ToMilliseconds(this->context.clock.Now() - this->lost_at)}});
    this->hooks.on_regained();
  }
}

// The first call that times out is repeated at once, because its change may be
// waiting already. The others are spread, so that hosts that lost the store at
// the same time do not return at the same time.
void StoreWatch::RetryLater(std::string_view what,
                            const ExchangeResult& result) {
  const bool at_once = result.timed_out && !this->lost;
  this->ReportLoss(what, result.error.empty()
                             ? std::to_string(result.response.status)
                             : result.error);
  this->Retry(at_once ? Duration::zero() : this->RetryDelay());
}

void StoreWatch::RetryLater(std::string_view what, const Error& error) {
  this->ReportLoss(what, error.what());
  this->Retry(this->RetryDelay());
}

void StoreWatch::ReportLoss(std::string_view what, std::string_view error) {
  if (std::exchange(this->lost, true)) {
    return;
  }
  this->lost_at = this->context.clock.Now();
  LogEvent(spdlog::level::warn, "store_lost",
           {{"prefix", this->prefix},
            {"call", what},
            {"error", error},
            {"waited_ms", ToMilliseconds(this->lost_at - this->called_at)},
            {"revision", this->version.revision}});
  this->hooks.on_lost();
}

Duration StoreWatch::RetryDelay() {
  return std::min<Duration>(this->backoff.Next(), this->timing.retry_delay());
}

void StoreWatch::Retry(Duration delay) {
  // Pages that were read before the failure are kept.
  this->Schedule(delay, this->has_snapshot ? &StoreWatch::Continue
                                           : &StoreWatch::ReadPage);
}

void StoreWatch::ReadPage() {
  const std::string after =
      this->snapshot.empty() ? std::string() : this->snapshot.back().key;
  this->Call(this->codec.encode_range(this->prefix, after, this->allow_stale),
             this->timing.ReadTimeout(this->failed_reads), "range",
             &StoreWatch::OnPage);
}

void StoreWatch::OnPage(const ExchangeResult& result) {
  if (!result.error.empty() || result.response.status != kStatusOk) {
    ++this->failed_reads;
    this->RetryLater("range", result);
    return;
  }
  StorePage page;
  try {
    page = this->codec.decode_range(result.response);
  } catch (const Error& error) {
    this->RetryLater("range", error);
    return;
  }
  if (page.epoch < this->latest_epoch) {
    this->snapshot.clear();
    this->RetryLater("range", OlderEpochError());
    return;
  }
  this->OnAnswer();
  if (!this->snapshot.empty() && page.epoch != this->snapshot_version.epoch) {
    this->ReadAgain();
    return;
  }
  // Pages are not a consistent snapshot: the watch starts at the oldest
  // revision and reads the later changes again.
  this->snapshot_version =
      this->snapshot.empty() ? page.version()
                             : std::min(this->snapshot_version, page.version());
  const bool more = page.more && !page.items.empty();
  std::move(page.items.begin(), page.items.end(),
            std::back_inserter(this->snapshot));
  if (more) {
    this->ReadPage();
    return;
  }
  this->failed_reads = 0;
  this->unconfirmed_since = this->context.clock.Now();
  this->has_snapshot = true;
  this->confirmed = false;
  this->allow_stale = true;
  const StorePage all = {.items = std::move(this->snapshot),
                         .revision = this->snapshot_version.revision,
                         .epoch = this->snapshot_version.epoch};
  this->snapshot.clear();
  // Newer changes were received from another host while the pages were read.
  if (all.version() < this->version) {
    this->Watch();
    return;
  }
  this->version = all.version();
  LogEvent(spdlog::level::info, "store_read",
           {{"prefix", this->prefix},
            {"keys", all.items.size()},
            {"epoch", this->version.epoch},
            {"revision", this->version.revision}});
  const std::uint64_t before = this->generation;
  const bool peek = this->hooks.on_snapshot(all);
  if (this->generation != before) {
    return;
  }
  this->peeks = 0;
  if (peek && !this->hooks.peek_prefix.empty() && this->MayPeek()) {
    this->Schedule(kPeekInterval, &StoreWatch::Peek);
  } else {
    this->Watch();
  }
}

// Peeks put off the watch that confirms the data, which may be seconds old.
bool StoreWatch::MayPeek() const {
  const Duration unconfirmed =
      this->context.clock.Now() - this->unconfirmed_since;
  return this->peeks < kMaxPeeks &&
         unconfirmed + kPeekInterval <= this->timing.confirm_within();
}

void StoreWatch::Peek() {
  ++this->peeks;
  this->Call(this->codec.encode_range(this->hooks.peek_prefix, "",
                                      /*allow_stale=*/true),
             this->timing.ReadTimeout(0), "peek", &StoreWatch::OnPeek);
}

// Proceeds to the watch after any failure; the watch detects and reports a lost
// store.
void StoreWatch::OnPeek(const ExchangeResult& result) {
  bool again = false;
  const std::uint64_t before = this->generation;
  if (result.error.empty() && result.response.status == kStatusOk) {
    try {
      const StorePage page = this->codec.decode_range(result.response);
      again = page.epoch == this->version.epoch && this->hooks.on_peek(page);
    } catch (const Error& error) {
      LogEvent(spdlog::level::warn, "store_answer_unreadable",
               {{"call", "peek"}, {"error", error.what()}});
    }
  }
  if (this->generation != before) {
    return;
  }
  if (again && this->MayPeek()) {
    this->Schedule(kPeekInterval, &StoreWatch::Peek);
  } else {
    this->Continue();
  }
}

// Only a watch on data that is known to be current waits for changes. The
// answer to any other call is due at once, so a lost one is noticed sooner.
void StoreWatch::Watch() {
  const milliseconds max_wait = this->confirmed && !this->lost
                                    ? this->timing.watch_wait()
                                    : milliseconds(0);
  this->watched = this->version;
  this->Call(
      this->codec.encode_watch(this->prefix, this->version.revision, max_wait),
      max_wait + this->timing.watch_grace(), "watch", &StoreWatch::OnWatch);
}

void StoreWatch::OnWatch(const ExchangeResult& result) {
  if (result.error.empty() && this->codec.history_lost(result.response)) {
    this->OnAnswer();
    LogEvent(spdlog::level::info, "store_history_lost",
             {{"prefix", this->prefix}, {"revision", this->version.revision}});
    this->ReadAgain();
    return;
  }
  if (!result.error.empty() || result.response.status != kStatusOk) {
    this->RetryLater("watch", result);
    return;
  }
  StorePage page;
  try {
    page = this->codec.decode_watch(result.response);
  } catch (const Error& error) {
    this->RetryLater("watch", error);
    return;
  }
  if (page.epoch < this->latest_epoch) {
    this->RetryLater("watch", OlderEpochError());
    return;
  }
  this->OnAnswer();
  // The watch named a revision of an older epoch, so changes may be missing.
  if (page.epoch != this->watched.epoch) {
    this->Continue();
    return;
  }
  if (!std::exchange(this->confirmed, true)) {
    LogEvent(spdlog::level::info, "store_confirmed",
             {{"prefix", this->prefix},
              {"revision", page.revision},
              {"unconfirmed_ms", ToMilliseconds(this->context.clock.Now() -
                                                this->unconfirmed_since)}});
  }
  this->pause =
      detail::PauseAfter(page, this->pause, this->timing.watch_pause());
  // Some of them may have been received from another host during the call.
  std::erase_if(page.items, [this](const StoreItem& item) {
    return item.revision <= this->version.revision;
  });
  this->version = std::max(this->version, page.version());
  const std::uint64_t before = this->generation;
  this->hooks.on_changes(page);
  if (this->generation == before) {
    this->Schedule(this->pause, &StoreWatch::Continue);
  }
}

}  // namespace auburnyard
