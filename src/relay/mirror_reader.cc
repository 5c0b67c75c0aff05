#include "src/relay/mirror_reader.h"

#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Delay after an answer of a host that does not watch the store itself, and
// after a failure. A change reaches a host without access to the store within a
// few of these intervals, well below the time within which a configuration must
// be in force.
constexpr milliseconds kRequestInterval{400};
// Long-poll time of a request for changes. Bounds the time until an
// unresponsive mirror is detected.
constexpr milliseconds kChangeTimeout{1'500};
// Covers a round trip between regions and a slow host.
constexpr milliseconds kAnswerGrace{500};
constexpr int kStatusOk = 200;

}  // namespace

MirrorReader::MirrorReader(const RelayContext& relay_context,
                           const StoreCodec& store_codec,
                           Hooks reader_hooks)
    : context(relay_context),
      codec(store_codec),
      hooks(std::move(reader_hooks)),
      timer(relay_context.io) {}

void MirrorReader::Start() {
  if (!std::exchange(this->running, true)) {
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
  }
}

void MirrorReader::SendRequest() {
  this->Connect(this->hooks.choose_mirror());
  if (this->connection == nullptr) {
    this->ScheduleRequest();
    return;
  }
  const auto known = this->hooks.known_revision();
  this->read_all = this->read_all || !known;
  const HttpCall call =
      this->read_all ? this->codec.encode_range("", "", /*allow_stale=*/false)
                     : this->codec.encode_watch("", *known, kChangeTimeout);
  this->connection->Exchange(
      call, kChangeTimeout + kAnswerGrace,
      [self = this->shared_from_this(),
       sent_generation = this->generation](const ExchangeResult& result) {
        if (self->running && self->generation == sent_generation) {
          self->OnAnswer(result);
        }
      });
}

// Only a host that watches the store itself holds requests until a change; the
// next request to any other host is delayed.
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
  this->read_all = false;
  this->hooks.on_page(page, is_snapshot);
  if (this->running && this->generation == sent_generation) {
    if (page.direct) {
      this->SendRequest();
    } else {
      this->ScheduleRequest();
    }
  }
  return true;
}

void MirrorReader::OnAnswer(const ExchangeResult& result) {
  const bool answered = result.error.empty();
  const bool success = answered && result.response.status == kStatusOk;
  const std::uint64_t sent_generation = this->generation;
  this->hooks.on_call("mirror", OutcomeOf(result));
  if (success && this->ApplyPage(result.response)) {
    return;
  }
  if (answered && !success && this->codec.history_lost(result.response)) {
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
  this->timer.expires_after(kRequestInterval);
  this->timer.async_wait(
      [self = this->shared_from_this(),
       sent_generation = this->generation](boost::system::error_code error) {
        if (!error && self->running && self->generation == sent_generation) {
          self->SendRequest();
        }
      });
}

}  // namespace auburnyard
