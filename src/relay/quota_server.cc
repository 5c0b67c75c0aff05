#include "src/relay/quota_server.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/net/http_client.h"
#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
// Shorter than the time after which a domain counts as not heard.
constexpr milliseconds kReportTimeout{250};
constexpr milliseconds kPeerUpdateInterval{250};
// A complete report has about 150 bytes per account.
constexpr std::uint64_t kMaxReportBytes = 4 * 1024 * 1024;

// Fits into a signed integer of JSON, and differs for each start.
std::uint64_t NewEpoch() {
  std::random_device device;
  return (((static_cast<std::uint64_t>(device()) << 32) | device()) >> 2) + 1;
}

}  // namespace

QuotaServer::QuotaServer(const RelayContext& relay_context,
                         const HostTable& host_table,
                         RelayMetrics& relay_metrics,
                         QuotaPeer own,
                         LimitTolerance limit_tolerance,
                         std::size_t domains)
    : context(relay_context),
      hosts(host_table),
      metrics(relay_metrics),
      self(std::move(own)),
      tolerance(limit_tolerance),
      min_domains(domains),
      limiter(this->self,
              this->tolerance,
              NewEpoch(),
              relay_context.clock.Now()) {}

void QuotaServer::Listen(const std::string& address) {
  const HostPort parsed = ParseHostPort(address);
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxReportBytes;
  limits.memory = this->context.memory;
  this->server = std::make_shared<HttpServer>(
      this->context.io, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  this->server->Listen(parsed.host, parsed.port);
}

void QuotaServer::Stop() {
  this->is_active = false;
  if (this->server != nullptr) {
    this->server->StopAccepting();
  }
  for (auto& [name, receiver] : this->receivers) {
    receiver.connection->Close();
  }
  this->receivers.clear();
}

LimitDecision QuotaServer::Decide(const QuotaQuestion& question) {
  const TimePoint now = this->context.clock.Now();
  this->limiter.Tick(now);
  for (const auto& [account, count] : question.returned) {
    this->limiter.GiveBack(account, count, now);
  }
  if (question.account.empty()) {
    return {};
  }
  const LimitDecision decision = this->limiter.Admit(
      question.account, question.limits, question.version, now);
  if (this->limiter.urgent()) {
    this->SendReports();
  }
  return decision;
}

void QuotaServer::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  const TimePoint now = this->context.clock.Now();
  this->limiter.Tick(now);
  try {
    if (request.path == kQuotaQuestionPath) {
      if (!this->is_active) {
        respond({.status = kStatusUnavailable, .body = "{}"});
        return;
      }
      respond(
          {.body = EncodeDecision(this->Decide(DecodeQuestion(request.body)))});
    } else if (request.path == kQuotaReportPath) {
      std::string sender;
      const QuotaReport report = DecodeReport(request.body, sender);
      const bool accepted = this->limiter.OnReport(sender, report, now);
      respond({.body = EncodeConfirmation(
                   {.epoch = this->limiter.epoch(), .accepted = accepted})});
    } else {
      respond({.status = kStatusNotFound, .body = "{}"});
    }
  } catch (const Error& error) {
    LogEvent(spdlog::level::warn, "quota_message_unreadable",
             {{"path", request.path}, {"error", error.what()}});
    respond({.status = kStatusBadRequest, .body = "{}"});
  }
}

void QuotaServer::UpdatePeers() {
  const TimePoint now = this->context.clock.Now();
  if (now < this->next_update) {
    return;
  }
  this->next_update = now + kPeerUpdateInterval;
  std::vector<QuotaPeer> peers;
  std::map<std::string, Receiver, std::less<>> updated;
  bool found_self = false;
  for (const std::string& domain : this->hosts.Domains()) {
    for (const HostEntry& host : this->hosts.QuotaServers(domain)) {
      if (host.name == this->self.name) {
        found_self = true;
        continue;
      }
      peers.push_back({host.name, host.failure_domain});
      Receiver& receiver = updated[host.name];
      const auto known = this->receivers.find(host.name);
      if (known != this->receivers.end() &&
          known->second.address == host.accounts_address) {
        receiver = std::move(known->second);
        this->receivers.erase(known);
        continue;
      }
      const HostPort address = ParseHostPort(host.accounts_address);
      receiver.address = host.accounts_address;
      receiver.connection = std::make_shared<HttpConnection>(
          this->context.io, address.host, address.port);
      receiver.connection->ChargeTo(this->context.memory, "quota");
    }
  }
  for (auto& [name, receiver] : this->receivers) {
    receiver.connection->Close();
  }
  this->receivers = std::move(updated);
  this->SetActive(found_self && !this->has_left);
  this->limiter.SetPeers(peers, this->min_domains, now);
}

void QuotaServer::SetActive(bool active) {
  if (std::exchange(this->is_active, active) == active) {
    return;
  }
  LogEvent(spdlog::level::info, "quota_server_changed",
           {{"active", active}, {"peers", this->receivers.size()}});
  this->announces_departure = !active;
  if (active) {
    // While it was not a quota server, this host received no reports.
    this->limiter = AccountLimiter(this->self, this->tolerance, NewEpoch(),
                                   this->context.clock.Now());
  }
  for (auto& [name, receiver] : this->receivers) {
    receiver.knows_departure = false;
  }
}

void QuotaServer::Leave() {
  this->has_left = true;
  this->SetActive(false);
  this->SendDeparture();
}

void QuotaServer::SendDeparture() {
  for (auto& [name, receiver] : this->receivers) {
    if (!receiver.knows_departure && !receiver.sending) {
      this->Send(name, receiver);
    }
  }
}

void QuotaServer::Sweep() {
  this->limiter.Tick(this->context.clock.Now());
  this->UpdatePeers();
  if (this->is_active) {
    this->SendReports();
    this->LogSilentDomains();
  } else if (this->announces_departure) {
    this->SendDeparture();
  }
}

void QuotaServer::SendReports() {
  for (const std::string& name :
       this->limiter.DueReports(this->context.clock.Now())) {
    const auto receiver = this->receivers.find(name);
    if (receiver != this->receivers.end() && !receiver->second.sending) {
      this->Send(name, receiver->second);
    }
  }
}

void QuotaServer::Send(const std::string& name, Receiver& receiver) {
  const TimePoint now = this->context.clock.Now();
  receiver.sending = true;
  QuotaReport report = this->limiter.ReportFor(name, now);
  report.leaving = !this->is_active;
  HttpCall call{.method = "POST",
                .path = std::string(kQuotaReportPath),
                .body = EncodeReport(this->self.name, report)};
  receiver.connection->Exchange(
      call, kReportTimeout,
      [self = this->weak_from_this(), name, connection = receiver.connection,
       report = std::move(report)](const ExchangeResult& result) {
        const auto locked = self.lock();
        if (locked == nullptr) {
          return;
        }
        const auto found = locked->receivers.find(name);
        if (found != locked->receivers.end() &&
            found->second.connection == connection) {
          found->second.sending = false;
          locked->OnSent(name, report, result);
        }
      });
}

void QuotaServer::OnSent(const std::string& name,
                         const QuotaReport& report,
                         const ExchangeResult& result) {
  const TimePoint now = this->context.clock.Now();
  this->limiter.Tick(now);
  if (!result.error.empty() || result.response.status != kStatusOk) {
    return;
  }
  try {
    const QuotaConfirmation confirmation =
        DecodeConfirmation(result.response.body);
    this->limiter.OnConfirmed(name, confirmation.epoch, confirmation.accepted,
                              report, now);
    const auto receiver = this->receivers.find(name);
    if (receiver != this->receivers.end() && confirmation.accepted) {
      receiver->second.knows_departure = report.leaving;
    }
  } catch (const Error& error) {
    LogEvent(spdlog::level::warn, "quota_message_unreadable",
             {{"host", name}, {"error", error.what()}});
  }
}

void QuotaServer::LogSilentDomains() {
  std::vector<std::string> silent =
      this->limiter.SilentDomains(this->context.clock.Now());
  if (silent == this->silent_domains) {
    return;
  }
  for (const std::string& domain : silent) {
    if (!std::binary_search(this->silent_domains.begin(),
                            this->silent_domains.end(), domain)) {
      LogEvent(spdlog::level::warn, "quota_domain_silent",
               {{"failure_domain", domain}});
    }
  }
  for (const std::string& domain : this->silent_domains) {
    if (!std::binary_search(silent.begin(), silent.end(), domain)) {
      LogEvent(spdlog::level::info, "quota_domain_heard",
               {{"failure_domain", domain}});
    }
  }
  this->silent_domains = std::move(silent);
  this->metrics.SetSilentDomains(this->silent_domains.size());
}

}  // namespace auburnyard
