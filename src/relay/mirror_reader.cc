#include "src/relay/mirror_reader.h"

#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr int kStatusOk = 200;

}  // namespace

MirrorReader::MirrorReader(const RelayContext& relay_context,
                           const StoreCodec& store_codec,
                           StoreTiming store_timing,
                           Hooks reader_hooks)
    : context(relay_context),
      codec(store_codec),
      timing(store_timing),
      hooks(std::move(reader_hooks)),
      timer(relay_context.io) {}

void MirrorReader::Start() {
  if (!std::exchange(this->running, true)) {
    this->answered_by.clear();
    this->SendRequest();
  }
}

void MirrorReader::Stop() {
  if (std::exchange(this->running, false)) {
    ++this->generation;
    this->timer.cancel();
    this->Connect("");
  }
}

void MirrorReader::Connect(const std::string& mirror) {
  if (mirror == this->connected_to && this->connection != nullptr) {
    return;
  }
  if (this->connection != nullptr) {
    std::exchange(this->connection, nullptr)->Close();
  }
  this->connected_to = mirror;
  if (!mirror.empty()) {
    const HostPort address = ParseHostPort(mirror);
    this->connection = std::make_shared<HttpConnection>(
        this->context.io, address.host, address.port);
    this->connection->ChargeTo(this->context.memory, "mirror");
  }
}

// Only a mirror that answered the last request is asked to wait for a change:
// any other may be silent, which shows sooner without a wait.
milliseconds MirrorReader::WaitAt(const std::string& mirror) const {
  return mirror == this->answered_by
             ? this->timing.MirrorWait(this->hooks.data_age())
             : milliseconds(0);
}

void MirrorReader::SendRequest() {
  const std::string mirror = this->hooks.choose_mirror();
  this->Connect(mirror);
  if (this->connection == nullptr) {
    this->ScheduleRequest();
    return;
  }
  const auto known = this->hooks.known_version();
  this->read_all = this->read_all || !known;
  const milliseconds wait = this->WaitAt(mirror);
  const HttpCall call =
      this->read_all ? this->codec.encode_range("", "", /*allow_stale=*/false)
                     : this->codec.encode_mirror_watch(*known, wait);
  this->asked_epoch = known ? known->epoch : 0;
  this->connection->Exchange(
      call, this->TimeoutOf(wait),
      [self = this->shared_from_this(),
       sent_generation = this->generation](const ExchangeResult& result) {
        if (self->running && self->generation == sent_generation) {
          self->OnAnswer(result);
        }
      });
}

// All keys of a large configuration take longer than a few changes.
Duration MirrorReader::TimeoutOf(milliseconds wait) const {
  return (this->read_all ? this->timing.mirror_wait() : wait) +
         this->timing.mirror_grace();
}

// Only a host that watches the store itself holds requests until a change. The
// next request to any other host, and one that does not wait, is delayed.
bool MirrorReader::ApplyPage(const HttpResponse& response) {
  const std::uint64_t sent_generation = this->generation;
  StorePage page;
  const bool is_snapshot = this->read_all;
  try {
    page = is_snapshot ? this->codec.decode_range(response)
                       : this->codec.decode_watch(response);
  } catch (const Error& error) {
    LogEvent(spdlog::level::warn, "mirror_unreadable",
             {{"mirror", this->connected_to}, {"error", error.what()}});
    return false;
  }
  // The mirror of an older version of the program ignores the epoch of a
  // request, so that its changes may be those of another one.
  if (!is_snapshot && page.epoch != this->asked_epoch) {
    this->read_all = true;
    this->ScheduleRequest();
    return true;
  }
  this->read_all = false;
  const bool applied = this->hooks.on_page(page, is_snapshot);
  if (this->running && this->generation == sent_generation) {
    if (applied && page.direct &&
        this->WaitAt(this->connected_to) > milliseconds(0)) {
      this->SendRequest();
    } else {
      this->ScheduleRequest();
    }
  }
  return true;
}

void MirrorReader::OnAnswer(const ExchangeResult& result) {
  const bool received = result.error.empty();
  const bool success = received && result.response.status == kStatusOk;
  const std::uint64_t sent_generation = this->generation;
  this->hooks.on_call("mirror", OutcomeOf(result));
  this->answered_by = success ? this->connected_to : std::string();
  if (success && this->ApplyPage(result.response)) {
    return;
  }
  if (received && !success && this->codec.history_lost(result.response)) {
    this->read_all = true;
    this->SendRequest();
    return;
  }
  if (!success) {
    LogEvent(spdlog::level::info, "mirror_failed",
             {{"mirror", this->connected_to},
              {"status", result.response.status},
              {"error", result.error}});
    this->Connect("");
  }
  this->hooks.on_failure();
  if (this->running && this->generation == sent_generation) {
    this->ScheduleRequest();
  }
}

void MirrorReader::ScheduleRequest() {
  this->timer.expires_after(this->timing.mirror_interval());
  this->timer.async_wait(
      [self = this->shared_from_this(),
       sent_generation = this->generation](boost::system::error_code error) {
        if (!error && self->running && self->generation == sent_generation) {
          self->SendRequest();
        }
      });
}

}  // namespace auburnyard
