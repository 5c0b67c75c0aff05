#include "src/relay/mirror_server.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/net/http_client.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

// Longer than the time between two requests of a follower.
constexpr std::chrono::seconds kFollowerCountInterval{10};
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;

}  // namespace

MirrorServer::MirrorServer(const RelayContext& relay_context,
                           const StoreCodec& store_codec,
                           const StoreMirror& store_mirror)
    : context(relay_context), codec(store_codec), mirror(store_mirror) {}

void MirrorServer::Listen(const std::string& address) {
  const HostPort parsed = ParseHostPort(address);
  HttpServerLimits limits;
  limits.memory = this->context.memory;
  this->server = std::make_shared<HttpServer>(
      this->context.io, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  this->server->Listen(parsed.host, parsed.port);
}

void MirrorServer::Handle(const HttpRequest& request,
                          const HttpResponder& respond) {
  if (this->mirror.empty()) {
    respond({.status = kStatusUnavailable, .body = "{}"});
    return;
  }
  try {
    const MirrorRequest mirror_request =
        this->codec.decode_mirror_request(request);
    const bool has_news =
        mirror_request.all || !this->mirror.HasNothingAfter(
                                  {mirror_request.epoch, mirror_request.after});
    if (has_news || !this->direct) {
      this->Answer(mirror_request, respond);
      return;
    }
    this->pending.push_back({mirror_request,
                             this->context.clock.Now() + mirror_request.wait,
                             respond});
    this->max_pending = std::max(this->max_pending, this->pending.size());
  } catch (const Error& error) {
    LogEvent(spdlog::level::warn, "mirror_question_unreadable",
             {{"path", request.path}, {"error", error.what()}});
    respond({.status = kStatusBadRequest, .body = "{}"});
  }
}

void MirrorServer::Answer(const MirrorRequest& mirror_request,
                          const HttpResponder& respond) const {
  std::optional<StorePage> page =
      mirror_request.all ? this->mirror.All()
                         : this->mirror.ChangesAfter(
                               {mirror_request.epoch, mirror_request.after});
  if (page) {
    page->direct = this->direct;
    page->followers = this->followers();
    page->age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->context.clock.Now() - this->up_to_date_at);
  }
  respond(this->codec.encode_mirror_response(mirror_request, page));
}

void MirrorServer::AnswerAll() {
  const std::vector<PendingRequest> due = std::exchange(this->pending, {});
  for (const PendingRequest& pending_request : due) {
    this->Answer(pending_request.mirror_request, pending_request.respond);
  }
}

void MirrorServer::SetDirect(bool watches_store) {
  if (std::exchange(this->direct, watches_store) && !watches_store) {
    this->AnswerAll();
  }
}

void MirrorServer::OnChange() {
  this->AnswerAll();
}

void MirrorServer::Sweep() {
  const TimePoint now = this->context.clock.Now();
  if (now >= this->next_count) {
    this->next_count = now + kFollowerCountInterval;
    this->previous_max_pending =
        std::exchange(this->max_pending, this->pending.size());
  }
  const auto due =
      std::stable_partition(this->pending.begin(), this->pending.end(),
                            [now](const PendingRequest& pending_request) {
                              return pending_request.until > now;
                            });
  const std::vector<PendingRequest> answered(
      std::make_move_iterator(due),
      std::make_move_iterator(this->pending.end()));
  this->pending.erase(due, this->pending.end());
  for (const PendingRequest& pending_request : answered) {
    this->Answer(pending_request.mirror_request, pending_request.respond);
  }
}

}  // namespace auburnyard
