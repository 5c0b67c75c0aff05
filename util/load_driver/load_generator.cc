#include "util/load_driver/load_generator.h"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/net/http_client.h"
#include "util/common/expected_items.h"

namespace auburnyard::util {

namespace {

// An entry host answers or refuses by the deadline; a response that takes
// longer than this beyond it counts as lost.
constexpr std::chrono::seconds kResponseMargin{2};

std::string QueryText(const LoadOptions& options,
                      const PlannedRequest& planned) {
  return "load-" + std::to_string(options.seed) + "-" +
         std::to_string(planned.number);
}

std::string Body(const LoadOptions& options, const PlannedRequest& planned) {
  return boost::json::serialize(
      boost::json::object{{"service", planned.service},
                          {"query", QueryText(options, planned)},
                          {"deadline_ms", options.deadline.count()},
                          {"class", planned.priority},
                          {"min_coverage", options.min_coverage},
                          {"idempotent", true},
                          {"request_id", QueryText(options, planned)}});
}

bool MatchesQuery(const boost::json::value& item, std::string_view query) {
  const boost::json::object* members = item.if_object();
  const boost::json::value* hash =
      members == nullptr ? nullptr : members->if_contains("query");
  return hash == nullptr || !hash->is_string() || hash->get_string() == query;
}

void ReadAnswer(const HttpResponse& response,
                const std::string& query,
                LoadSample& sample) {
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  const boost::json::object* members = error ? nullptr : body.if_object();
  if (members == nullptr) {
    sample.refusal = "malformed_response";
    return;
  }
  if (response.status != 200) {
    const boost::json::value* kind = members->if_contains("kind");
    sample.refusal = kind != nullptr && kind->is_string()
                         ? std::string(kind->get_string())
                         : "status_" + std::to_string(response.status);
    return;
  }
  if (const boost::json::value* coverage = members->if_contains("coverage")) {
    sample.coverage = coverage->to_number<double>(error);
  }
  const boost::json::value* results = members->if_contains("results");
  if (results != nullptr && results->is_array()) {
    const std::string hash = HashText(query);
    const boost::json::array& items = results->get_array();
    sample.wrong = !std::all_of(items.begin(), items.end(),
                                [&hash](const boost::json::value& item) {
                                  return MatchesQuery(item, hash);
                                });
  }
}

}  // namespace

LoadGenerator::LoadGenerator(boost::asio::io_context& io_context,
                             LoadOptions load_options)
    : context(io_context),
      options(std::move(load_options)),
      schedule(options),
      timer(io_context) {}

void LoadGenerator::Start() {
  this->start_time = std::chrono::steady_clock::now();
  this->ScheduleNext();
}

void LoadGenerator::ScheduleNext() {
  const PlannedRequest planned = this->schedule.Next();
  if (planned.offset >= this->options.duration) {
    return;
  }
  this->timer.expires_at(this->start_time + planned.offset);
  this->timer.async_wait([this, planned](boost::system::error_code error) {
    if (!error) {
      this->Send(planned);
      this->ScheduleNext();
    }
  });
}

std::shared_ptr<HttpConnection> LoadGenerator::AcquireConnection(
    const std::string& host) {
  auto& free = this->idle[host];
  if (!free.empty()) {
    auto connection = std::move(free.back());
    free.pop_back();
    return connection;
  }
  const HostPort address = ParseHostPort(host);
  return std::make_shared<HttpConnection>(this->context, address.host,
                                          address.port);
}

void LoadGenerator::Send(const PlannedRequest& planned) {
  LoadSample sample;
  sample.offset = planned.offset;
  sample.service = planned.service;
  sample.priority = planned.priority;
  sample.host = planned.host;
  sample.start_lag =
      std::chrono::steady_clock::now() - (this->start_time + planned.offset);
  HttpCall call;
  call.method = "POST";
  call.path = "/v1/query";
  call.body = Body(this->options, planned);
  const auto connection = this->AcquireConnection(planned.host);
  connection->Exchange(
      call, this->options.deadline + kResponseMargin,
      [this, planned, sample, connection](const ExchangeResult& result) {
        this->OnResult(planned, sample, result);
        if (result.reusable) {
          this->idle[planned.host].push_back(connection);
        }
      });
}

void LoadGenerator::OnResult(const PlannedRequest& planned,
                             LoadSample sample,
                             const ExchangeResult& result) {
  sample.latency =
      std::chrono::steady_clock::now() - (this->start_time + planned.offset);
  if (result.error.empty()) {
    ReadAnswer(result.response, QueryText(this->options, planned), sample);
  } else {
    sample.refusal = result.stage == ExchangeStage::kConnect
                         ? "connect_failed"
                         : "connection_lost";
  }
  this->collected.push_back(std::move(sample));
}

}  // namespace auburnyard::util
