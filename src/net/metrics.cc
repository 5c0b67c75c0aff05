#include "src/net/metrics.h"

namespace auburnyard {

namespace {

constexpr const char* kAnswersName = "auburnyard_answers_total";
constexpr const char* kAnswersHelp = "Answers to callers, by completeness.";

template <typename Table>
void AddReasons(MetricsRegistry& registry,
                const std::string& name,
                const std::string& help,
                Table& table) {
  for (std::size_t i = 0; i < table.size(); ++i) {
    const std::string reason(ToString(static_cast<Reason>(i)));
    table.at(i) = &registry.Counter(name, help, {{"reason", reason}});
  }
}

}  // namespace

Metrics::Metrics()
    : complete_answers(
          this->metrics_registry.Counter(kAnswersName,
                                         kAnswersHelp,
                                         {{"outcome", "complete"}})),
      partial_answers(this->metrics_registry.Counter(kAnswersName,
                                                     kAnswersHelp,
                                                     {{"outcome", "partial"}})),
      sub_requests(this->metrics_registry.Histogram(
          "auburnyard_sub_request_seconds",
          "Time from enqueueing an attempt to its result.")) {
  for (std::size_t i = 0; i < this->events.size(); ++i) {
    const std::string event(ToString(static_cast<DecisionEvent>(i)));
    this->events.at(i) = &this->metrics_registry.Counter(
        "auburnyard_decision_events_total", "Decision records, by event.",
        {{"event", event}});
  }
  AddReasons(this->metrics_registry, "auburnyard_rejections_total",
             "Attempts and requests refused before dispatch, by reason.",
             this->rejections);
  AddReasons(this->metrics_registry, "auburnyard_retries_total",
             "Retries, hedges and restarts, those not made, and replies "
             "discarded, by reason.",
             this->retries);
  AddReasons(this->metrics_registry, "auburnyard_cancellations_total",
             "Attempts cancelled or aborted, by reason.", this->cancellations);
  for (const ErrorDescription& error : AllErrors()) {
    this->refusals.push_back(&this->metrics_registry.Counter(
        "auburnyard_refusals_total", "Refusals to callers, by error kind.",
        {{"kind", std::string(error.name)}}));
  }
  for (std::size_t i = 0; i < this->queries.size(); ++i) {
    const std::string name(ToString(static_cast<PriorityClass>(i)));
    this->queries.at(i) = &this->metrics_registry.Histogram(
        "auburnyard_query_seconds",
        "Time from arrival of a query to its answer or refusal.",
        {{"class", name}});
  }
}

void Metrics::CountRecord(const DecisionRecord& record) {
  this->events.at(static_cast<std::size_t>(record.event))->Add();
  if (!record.reason) {
    return;
  }
  const auto reason = static_cast<std::size_t>(*record.reason);
  switch (record.event) {
    case DecisionEvent::kRetry:
    case DecisionEvent::kHedge:
    case DecisionEvent::kRestart:
    case DecisionEvent::kNote:
      return this->retries.at(reason)->Add();
    case DecisionEvent::kGateRejected:
    case DecisionEvent::kRefused:
      return this->rejections.at(reason)->Add();
    case DecisionEvent::kCancelled:
    case DecisionEvent::kGateAborted:
      return this->cancellations.at(reason)->Add();
    default:
      return;
  }
}

void Metrics::CountRefusal(ErrorKind kind) {
  this->refusals.at(static_cast<std::size_t>(kind))->Add();
}

void Metrics::CountAnswer(bool complete) {
  (complete ? this->complete_answers : this->partial_answers).Add();
}

void Metrics::ObserveQuery(PriorityClass priority,
                           std::chrono::nanoseconds latency) {
  this->queries.at(static_cast<std::size_t>(priority))->Observe(latency);
}

void Metrics::ObserveSubRequest(std::chrono::nanoseconds latency) {
  this->sub_requests.Observe(latency);
}

}  // namespace auburnyard
