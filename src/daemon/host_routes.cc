#include "src/daemon/host_routes.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/explain.h"

namespace auburnyard {

namespace {

constexpr std::string_view kExplainPath = "/v1/explain/";
// Round trips between regions are below this; hosts that answer later are shown
// with their last reported revision.
constexpr std::chrono::milliseconds kStatusWait{150};

HttpResponse PlainText(int status, std::string text) {
  return {.status = status,
          .body = std::move(text),
          .content_type = "text/plain; charset=utf-8"};
}

}  // namespace

HostRoutes::HostRoutes(HostRoutesParts routes_parts)
    : parts(std::move(routes_parts)) {
  this->router.Add("GET", "/livez",
                   [](const HttpRequest&, const HttpResponder& respond) {
                     respond(PlainText(200, "live\n"));
                   });
  this->router.Add("GET", "/readyz",
                   [this](const HttpRequest&, const HttpResponder& respond) {
                     respond(this->parts.ready()
                                 ? PlainText(200, "ready\n")
                                 : PlainText(503, "not ready\n"));
                   });
  this->router.Add("GET", "/metrics",
                   [this](const HttpRequest&, const HttpResponder& respond) {
                     this->HandleMetrics(respond);
                   });
  this->router.Add(
      "POST", "/v1/query",
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->HandleQuery(request, respond);
      });
  this->router.Add(
      "GET", std::string(kExplainPath),
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->HandleExplain(request, respond);
      });
  this->router.Add("GET", "/v1/status",
                   [this](HttpRequest request, const HttpResponder& respond) {
                     this->HandleStatus(std::move(request), respond);
                   });
}

void HostRoutes::Handle(HttpRequest request,
                        const HttpResponder& respond) const {
  const bool is_status = request.path == "/v1/status";
  if (is_status || !this->parts.operator_api->Handle(request, respond)) {
    this->router.Handle(std::move(request), respond);
  }
}

void HostRoutes::HandleQuery(const HttpRequest& request,
                             const HttpResponder& respond) const {
  this->parts.queries.Submit(
      ParseQueryRequest(request.body), request.disconnect_notifier,
      [respond](const QueryOutcome& outcome) {
        if (const auto* answer = std::get_if<Answer>(&outcome)) {
          respond({.body = SerializeAnswer(*answer)});
        } else {
          respond(MakeRefusal(std::get<Refusal>(outcome)));
        }
      });
}

void HostRoutes::HandleExplain(const HttpRequest& request,
                               const HttpResponder& respond) const {
  const std::string decision =
      DecodePercent(std::string_view(request.path).substr(kExplainPath.size()));
  const std::vector<DecisionRecord> records =
      this->parts.recorder.log().Find(decision);
  if (records.empty()) {
    throw Error(ErrorKind::kNotFound,
                "decision \"" + decision + "\" is not in this host's log");
  }
  respond({.body = boost::json::serialize(ExplainDecision(records))});
}

void HostRoutes::HandleMetrics(const HttpResponder& respond) const {
  this->parts.refresh_metrics();
  HttpResponse response =
      PlainText(200, this->parts.recorder.metrics().Render());
  response.content_type = std::string(MetricsRegistry::kContentType);
  respond(std::move(response));
}

void HostRoutes::HandleStatus(HttpRequest request,
                              const HttpResponder& respond) const {
  this->parts.request_host_status();
  auto timer = std::make_shared<boost::asio::steady_timer>(this->parts.context,
                                                           kStatusWait);
  timer->async_wait(
      [timer, respond, request = std::move(request),
       api = this->parts.operator_api](boost::system::error_code error) {
        if (!error) {
          api->Handle(request, respond);
        }
      });
}

}  // namespace auburnyard
