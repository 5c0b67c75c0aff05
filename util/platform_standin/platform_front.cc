#include "util/platform_standin/platform_front.h"

#include <utility>

#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

// Values may be up to 1 MB; JSON escapes can double their size.
constexpr std::uint64_t kMaxBodyBytes = 2'200'000;
constexpr int kTooManyRequests = 429;

std::string KindOf(const HttpRequest& request) {
  if (request.path.starts_with("/v1/kv/")) {
    if (request.method == "PUT") {
      return "put";
    }
    return request.method == "DELETE" ? "delete" : "get";
  }
  if (request.path.starts_with("/v1/leases")) {
    return request.path.ends_with("/keepalive") ? "keepalive" : "lease";
  }
  return request.path == "/v1/watch" ? "watch" : "other";
}

boost::json::object ToJson(
    const std::map<std::string, std::uint64_t, std::less<>>& counts) {
  boost::json::object json;
  for (const auto& [name, count] : counts) {
    json[name] = count;
  }
  return json;
}

}  // namespace

PlatformFront::PlatformFront(boost::asio::io_context& io_context,
                             const Clock& front_clock,
                             std::shared_ptr<PlatformService> platform,
                             std::uint64_t seed)
    : context(io_context),
      clock(front_clock),
      service(std::move(platform)),
      random(seed) {}

void PlatformFront::Listen(const std::string& host,
                           std::uint16_t port,
                           std::size_t limit) {
  HttpServerLimits limits;
  limits.max_connections = limit;
  limits.max_body_bytes = kMaxBodyBytes;
  this->server = std::make_shared<RestartableServer>(
      this->context, limits,
      [weak = this->weak_from_this()](const HttpRequest& request,
                                      const HttpResponder& respond) {
        if (const auto self = weak.lock()) {
          self->Handle(request, respond);
        }
      });
  this->server->Listen(host, port);
}

PlatformFront::FaultDecision PlatformFront::DecideFaults(
    const HttpRequest& request) {
  const std::string kind = KindOf(request);
  const bool is_write = kind != "get" && kind != "watch";
  const std::lock_guard lock(this->mutex);
  ++this->calls[kind];
  FaultDecision decision;
  decision.delay = this->faults.delay;
  decision.refuse = this->faults.outage == Outage::kRefuse;
  decision.silent = this->faults.outage == Outage::kSilent ||
                    this->faults.outage == Outage::kDown;
  if (decision.refuse || decision.silent) {
    ++this->outcomes["outage"];
    return decision;
  }
  const TimePoint now = this->clock.Now();
  decision.limited =
      is_write ? !this->writes.Allow(this->faults.writes_per_second, now)
               : !this->reads.Allow(this->faults.reads_per_second, now);
  if (decision.limited) {
    ++this->outcomes["rate_limited"];
    return decision;
  }
  decision.lose_reply =
      is_write && std::uniform_real_distribution<double>()(this->random) <
                      this->faults.lost_reply_share;
  ++this->outcomes[decision.lose_reply ? "reply_lost" : "served"];
  return decision;
}

void PlatformFront::Handle(const HttpRequest& request,
                           const HttpResponder& respond) {
  const FaultDecision decision = this->DecideFaults(request);
  if (decision.silent) {
    return;
  }
  if (decision.refuse) {
    respond(ErrorReply(ErrorKind::kPlatformUnavailable, "outage"));
    return;
  }
  if (decision.limited) {
    HttpResponse reply =
        ErrorReply(ErrorKind::kOverloaded, "the rate limit is exceeded");
    reply.status = kTooManyRequests;
    respond(std::move(reply));
    return;
  }
  const HttpResponder answer =
      decision.lose_reply ? [](HttpResponse) {} : respond;
  if (decision.delay == Duration::zero()) {
    this->Serve(request, answer);
  } else {
    this->ServeLater(request, answer, decision.delay);
  }
}

void PlatformFront::Serve(const HttpRequest& request,
                          const HttpResponder& respond) {
  try {
    this->service->Handle(request, respond);
  } catch (const Error& error) {
    respond(ErrorReply(error.kind(), error.what()));
  }
}

void PlatformFront::ServeLater(const HttpRequest& request,
                               const HttpResponder& respond,
                               Duration delay) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context, delay);
  timer->async_wait(
      [self = this->shared_from_this(), timer, request,
       respond](boost::system::error_code) { self->Serve(request, respond); });
}

void PlatformFront::HandleControl(const HttpRequest& request,
                                  const HttpResponder& respond) {
  const std::string route = request.method + " " + request.path;
  if (route == "GET /v1/status") {
    respond(this->Status());
  } else if (route == "POST /v1/control") {
    respond(this->Control(request.body));
  } else if (route == "POST /v1/reset") {
    const std::lock_guard lock(this->mutex);
    this->calls.clear();
    this->outcomes.clear();
    respond(JsonReply(boost::json::object{}));
  } else {
    throw Error(ErrorKind::kNotFound, route + ": no such resource");
  }
}

HttpResponse PlatformFront::Status() const {
  const std::uint64_t revision = this->service->revision();
  const std::size_t waiting = this->service->waiting_watches();
  const std::lock_guard lock(this->mutex);
  return JsonReply({{"revision", revision},
                    {"waiting_watches", waiting},
                    {"calls", ToJson(this->calls)},
                    {"outcomes", ToJson(this->outcomes)}});
}

HttpResponse PlatformFront::Control(const std::string& body) {
  const boost::json::value document =
      detail::ParseJson(body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"outage", "delay_ms", "lost_reply_share",
                    "reads_per_second", "writes_per_second", "action"});
  Outage outage = Outage::kNone;
  {
    const std::lock_guard lock(this->mutex);
    this->faults = ParsePlatformFaults(reader, this->faults);
    outage = this->faults.outage;
  }
  const std::string action = reader.String("action", "");
  if (action == "checkpoint") {
    this->service->Checkpoint();
  } else if (action == "restore") {
    this->service->Restore();
  } else if (!action.empty()) {
    throw Error(ErrorKind::kBadRequest,
                "action: expected \"checkpoint\" or \"restore\"");
  }
  if (outage != Outage::kNone) {
    this->service->DropWatches(outage == Outage::kRefuse);
  }
  if (outage == Outage::kDown) {
    this->server->Stop();
  } else {
    this->server->RestartAfter(Duration::zero());
  }
  return JsonReply(boost::json::object{});
}

}  // namespace auburnyard::util
