#include "src/relay/quota_client.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "auburnyard/rendezvous.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr int kStatusOk = 200;
// Many times the round trip within a failure domain, and small compared with
// the shortest objective.
constexpr milliseconds kAskTimeout{30};
// A server that did not answer is asked after the others for this time, so that
// not every request waits for it.
constexpr milliseconds kFailureMemory{1'000};
constexpr milliseconds kReturnDelay{100};
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{1'000};
constexpr std::uint32_t kLinesPerSecond = 5;
// The local reserves of all hosts together are half of the margin.
constexpr double kReservePart = 0.5;

}  // namespace

QuotaClient::QuotaClient(const RelayContext& relay_context,
                         RelayMetrics& relay_metrics,
                         std::string own_name,
                         LimitTolerance limit_tolerance,
                         std::shared_ptr<QuotaServer> local_server,
                         Hooks client_hooks)
    : context(relay_context),
      metrics(relay_metrics),
      host_name(std::move(own_name)),
      tolerance(limit_tolerance),
      local(std::move(local_server)),
      hooks(std::move(client_hooks)),
      random(std::hash<std::string>()(this->host_name)),
      refusal_lines(kLinesPerSecond),
      failure_lines(kLinesPerSecond) {}

void QuotaClient::Stop() {
  for (auto& [name, server] : this->servers) {
    server.pool->Close();
  }
  this->servers.clear();
}

void QuotaClient::Admit(const ClientAccount& account,
                        AccountAdmission::Callback decide) {
  QuotaQuestion content{
      .account = account.name,
      .limits = SpreadBurst(account.limits, this->tolerance.window),
      .version = this->hooks.version()};
  if (this->local != nullptr && this->local->active()) {
    content.returned = std::exchange(this->returned, {});
    this->OnDecision(account.name, this->local->Decide(content), "local",
                     decide);
    return;
  }
  const auto question = std::make_shared<Question>();
  question->content = std::move(content);
  question->servers = this->UpdateServers();
  question->decide = std::move(decide);
  this->AskNext(question);
}

std::vector<std::string> QuotaClient::UpdateServers() {
  std::vector<std::string> names;
  for (const HostEntry& host : this->hooks.servers()) {
    if (host.name == this->host_name) {
      continue;
    }
    names.push_back(host.name);
    Server& server = this->servers[host.name];
    if (server.address != host.accounts_address) {
      if (server.pool != nullptr) {
        server.pool->Close();
      }
      server.address = host.accounts_address;
      server.pool = std::make_shared<CallPool>(
          this->context.io, ParseHostPort(server.address), CallPoolLimits());
    }
  }
  std::erase_if(this->servers, [&names](const auto& entry) {
    return std::find(names.begin(), names.end(), entry.first) == names.end();
  });
  const TimePoint now = this->context.clock.Now();
  std::stable_partition(names.begin(), names.end(), [&](const auto& name) {
    const TimePoint failed_at = this->servers[name].failed_at;
    return failed_at == TimePoint{} || now - failed_at > kFailureMemory;
  });
  return names;
}

void QuotaClient::AskNext(const std::shared_ptr<Question>& question) {
  while (question->next < question->servers.size()) {
    const std::string name = question->servers.at(question->next++);
    const auto server = this->servers.find(name);
    if (server == this->servers.end()) {
      continue;
    }
    // Not sent again after a failure: whether they arrived is unknown, and
    // returning requests twice would exceed the limit.
    question->content.returned = std::exchange(this->returned, {});
    server->second.pool->Submit({.method = "POST",
                                 .path = std::string(kQuotaQuestionPath),
                                 .body = EncodeQuestion(question->content)},
                                kAskTimeout,
                                [self = this->shared_from_this(), question,
                                 name](const ExchangeResult& result) {
                                  self->OnAnswer(question, name, result);
                                });
    return;
  }
  this->DecideAlone(*question);
}

void QuotaClient::OnAnswer(const std::shared_ptr<Question>& question,
                           const std::string& name,
                           const ExchangeResult& result) {
  const TimePoint now = this->context.clock.Now();
  std::string failure = result.error;
  if (failure.empty() && result.response.status != kStatusOk) {
    failure = "status " + std::to_string(result.response.status);
  }
  LimitDecision decision;
  if (failure.empty()) {
    try {
      decision = DecodeDecision(result.response.body);
    } catch (const Error& error) {
      failure = error.what();
    }
  }
  const auto server = this->servers.find(name);
  if (failure.empty()) {
    if (server != this->servers.end()) {
      server->second.failed_at = {};
    }
    if (question->decide) {
      this->OnDecision(question->content.account, decision, "server",
                       question->decide);
    }
    return;
  }
  if (server != this->servers.end()) {
    server->second.failed_at = now;
  }
  std::uint64_t omitted = 0;
  if (this->failure_lines.Allow(now, omitted)) {
    LogEvent(
        spdlog::level::warn, "quota_server_failed",
        {{"server", name}, {"error", failure}, {"omitted_lines", omitted}});
  }
  if (question->decide) {
    this->AskNext(question);
  }
}

void QuotaClient::OnDecision(const std::string& account,
                             const LimitDecision& decision,
                             std::string_view decided_by,
                             const AccountAdmission::Callback& decide) {
  if (decision.admitted) {
    this->metrics.CountAccountDecision("admitted", decided_by);
    decide({.kind = AccountDecision::Kind::kAdmitted});
    return;
  }
  const std::string_view reason =
      decision.unconfirmed ? "unconfirmed_usage" : "limit";
  this->metrics.CountAccountDecision("refused", reason);
  std::uint64_t omitted = 0;
  if (this->refusal_lines.Allow(this->context.clock.Now(), omitted)) {
    LogEvent(spdlog::level::info, "account_refused",
             {{"account", account},
              {"reason", reason},
              {"retry_after_ms", decision.retry_after.count()},
              {"omitted_lines", omitted}});
  }
  decide({.kind = AccountDecision::Kind::kOverLimit,
          .retry_after = decision.retry_after});
}

void QuotaClient::DecideAlone(const Question& question) {
  if (this->TakeReserve(question.content.account)) {
    this->metrics.CountAccountDecision("admitted", "reserve");
    question.decide({.kind = AccountDecision::Kind::kAdmitted});
    return;
  }
  this->metrics.CountAccountDecision("unknown", "no_quota_server");
  std::uniform_int_distribution<std::int64_t> wait(kMinRetryAfter.count(),
                                                   kMaxRetryAfter.count());
  question.decide({.kind = AccountDecision::Kind::kUnknown,
                   .retry_after = milliseconds(wait(this->random))});
}

// The reserve of one host is mostly below one request per window, so a hash
// selects the hosts that may admit one.
bool QuotaClient::TakeReserve(const std::string& account) {
  const std::int64_t window =
      this->context.clock.Now().time_since_epoch() / this->tolerance.window;
  if (std::exchange(this->reserve_window, window) != window) {
    this->reserve_used.clear();
  }
  const std::size_t hosts = this->hooks.host_count();
  if (hosts == 0) {
    return false;  // not known yet
  }
  const double reserve =
      kReservePart * this->tolerance.margin / static_cast<double>(hosts);
  const double position =
      static_cast<double>(
          RendezvousScore(account + std::to_string(window), this->host_name)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto allowed = static_cast<std::uint32_t>(std::floor(reserve)) +
                       (position < reserve - std::floor(reserve) ? 1U : 0U);
  std::uint32_t& used = this->reserve_used[account];
  if (used >= allowed) {
    return false;
  }
  ++used;
  return true;
}

void QuotaClient::GiveBack(const ClientAccount& account) {
  if (this->returned.empty()) {
    this->returned_since = this->context.clock.Now();
  }
  ++this->returned[account.name];
}

void QuotaClient::Sweep() {
  if (this->returned.empty() ||
      this->context.clock.Now() - this->returned_since < kReturnDelay) {
    return;
  }
  if (this->local != nullptr && this->local->active()) {
    this->local->Decide({.returned = std::exchange(this->returned, {})});
    return;
  }
  const auto question = std::make_shared<Question>();
  question->servers = this->UpdateServers();
  if (question->servers.empty()) {
    this->returned.clear();
  } else {
    this->AskNext(question);
  }
}

}  // namespace auburnyard
