#include "src/relay/relay_metrics.h"

#include "auburnyard/rollout.h"

namespace auburnyard {

namespace {

constexpr const char* kAnswers = "auburnyard_relay_answers_total";
constexpr const char* kAnswersHelp = "Answers by coverage.";
constexpr const char* kRepeats = "auburnyard_relay_repeats_total";
constexpr const char* kRepeatsHelp =
    "Further attempts by purpose and whether the budget allowed them.";
constexpr const char* kLatency = "auburnyard_relay_request_seconds";
constexpr const char* kLatencyHelp = "Time from arrival to the answer.";

MetricLabels Repeat(const char* purpose, const char* granted) {
  return {{"purpose", purpose}, {"granted", granted}};
}

}  // namespace

RelayMetrics::RelayMetrics()
    : complete(
          this->all.Counter(kAnswers, kAnswersHelp, {{"coverage", "full"}})),
      partial(
          this->all.Counter(kAnswers, kAnswersHelp, {{"coverage", "partial"}})),
      retries(
          this->all.Counter(kRepeats, kRepeatsHelp, Repeat("retry", "true"))),
      hedges(
          this->all.Counter(kRepeats, kRepeatsHelp, Repeat("hedge", "true"))),
      retries_denied(
          this->all.Counter(kRepeats, kRepeatsHelp, Repeat("retry", "false"))),
      hedges_denied(
          this->all.Counter(kRepeats, kRepeatsHelp, Repeat("hedge", "false"))),
      fan_out_latency(
          this->all.Histogram(kLatency, kLatencyHelp, {{"route", "fan_out"}})),
      single_latency(
          this->all.Histogram(kLatency, kLatencyHelp, {{"route", "single"}})),
      configuration_delay(this->all.Histogram(
          "auburnyard_relay_configuration_delay_seconds",
          "Age of the data that a configuration replaced when it came into "
          "force.",
          {})),
      store_data_age(
          this->all.Gauge("auburnyard_relay_knowledge_age_seconds",
                          "Age of the last answer of the store or of a mirror.",
                          {})),
      version(this->all.Gauge("auburnyard_relay_configuration_version",
                              "Version in force.",
                              {})),
      revision(this->all.Gauge("auburnyard_relay_store_revision",
                               "Revision up to which changes are known.",
                               {})) {}

void RelayMetrics::CountAnswer(bool is_complete) {
  (is_complete ? this->complete : this->partial).Add();
}

void RelayMetrics::CountRefusal(std::string_view kind) {
  this->all
      .Counter("auburnyard_relay_refusals_total", "Refusals by kind.",
               {{"kind", std::string(kind)}})
      .Add();
}

void RelayMetrics::CountWithheldReply(int status) {
  this->all
      .Counter("auburnyard_relay_withheld_replies_total",
               "Replies of targets that were not returned, because their "
               "status would promise that the request has not run.",
               {{"status", std::to_string(status)}})
      .Add();
}

void RelayMetrics::CountUnreadableReply() {
  this->all
      .Counter("auburnyard_relay_unreadable_replies_total",
               "Exchanges that ended because the bytes that arrived are no "
               "reply.",
               {})
      .Add();
}

void RelayMetrics::CountRepeat(AttemptPurpose purpose, bool granted) {
  if (purpose == AttemptPurpose::kHedge) {
    (granted ? this->hedges : this->hedges_denied).Add();
  } else {
    (granted ? this->retries : this->retries_denied).Add();
  }
}

void RelayMetrics::CountLosses(const LossCounts& losses) {
  for (std::size_t i = 0; i < losses.size(); ++i) {
    if (losses.at(i) > 0) {
      this->all
          .Counter(
              "auburnyard_relay_lost_parts_total",
              "Parts that were missing at the objective, by cause.",
              {{"cause", std::string(ToString(static_cast<LossCause>(i)))}})
          .Add(losses.at(i));
    }
  }
}

void RelayMetrics::ObserveRequest(bool fans_out, Duration latency) {
  (fans_out ? this->fan_out_latency : this->single_latency).Observe(latency);
}

void RelayMetrics::SetStoreState(Duration age,
                                 std::uint64_t in_force,
                                 std::uint64_t known) {
  this->store_data_age.Set(std::chrono::duration<double>(age).count());
  this->version.Set(static_cast<double>(in_force));
  this->revision.Set(static_cast<double>(known));
}

void RelayMetrics::SetRollouts(const std::array<std::size_t, 3>& by_state) {
  for (std::size_t i = 0; i < by_state.size(); ++i) {
    this->all
        .Gauge("auburnyard_relay_rollouts",
               "Services by state of their rollout.",
               {{"state", std::string(ToString(static_cast<RolloutState>(i)))}})
        .Set(static_cast<double>(by_state.at(i)));
  }
}

void RelayMetrics::ObserveConfigurationDelay(Duration age) {
  this->configuration_delay.Observe(age);
}

void RelayMetrics::CountEviction(std::string_view kind) {
  this->all
      .Counter("auburnyard_relay_memory_evictions_total",
               "Exchanges ended because the process buffered too much.",
               {{"kind", std::string(kind)}})
      .Add();
}

void RelayMetrics::SetBufferedBytes(std::size_t used, std::size_t limit) {
  this->all
      .Gauge("auburnyard_relay_buffered_bytes",
             "Bytes that all exchanges buffer.", {})
      .Set(static_cast<double>(used));
  this->all
      .Gauge("auburnyard_relay_buffered_bytes_limit",
             "Limit of the bytes that all exchanges buffer.", {})
      .Set(static_cast<double>(limit));
}

void RelayMetrics::CountLeavingTarget() {
  this->all
      .Counter("auburnyard_relay_targets_leaving_total",
               "Targets that announced in an answer that they leave.", {})
      .Add();
}

void RelayMetrics::CountAccountDecision(std::string_view decision,
                                        std::string_view reason) {
  this->all
      .Counter("auburnyard_relay_account_decisions_total",
               "Decisions on requests of accounts with a limit.",
               {{"decision", std::string(decision)},
                {"reason", std::string(reason)}})
      .Add();
}

void RelayMetrics::SetSilentDomains(std::size_t count) {
  this->all
      .Gauge("auburnyard_relay_account_silent_domains",
             "Failure domains whose quota servers are not heard.", {})
      .Set(static_cast<double>(count));
}

void RelayMetrics::SetAdmittedShare(const RequestKind& kind, double share) {
  this->all
      .Gauge("auburnyard_relay_admitted_share",
             "Share of the requests of a kind that this host admits.",
             {{"objective_ms", std::to_string(kind.objective.count())},
              {"records", std::to_string(kind.records)},
              {"priority", std::to_string(kind.priority)}})
      .Set(share);
}

void RelayMetrics::CountStoreCall(std::string_view kind,
                                  StoreCallOutcome outcome) {
  this->all
      .Counter("auburnyard_relay_store_calls_total",
               "Calls to the store by kind and outcome.",
               {{"kind", std::string(kind)},
                {"outcome", std::string(ToString(outcome))}})
      .Add();
}

}  // namespace auburnyard
