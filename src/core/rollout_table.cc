#include "auburnyard/rollout_table.h"

#include <algorithm>
#include <utility>

#include "auburnyard/rendezvous.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// A write and the watch that shows it to the other hosts usually take less.
constexpr milliseconds kRankDelay{700};
// Hosts of a higher rank do not wait longer, so that the loss of a failure
// domain does not delay the decision further.
constexpr std::size_t kMaxRankDelays = 4;
constexpr milliseconds kPollInterval{100};
// The result of a successful write arrives through the watch within this time.
constexpr milliseconds kWriteInterval{1'500};
constexpr milliseconds kRetryInterval{400};
// Reports removed by one write: the store allows 32 entries per transaction,
// two conditions, the status and the stage included.
constexpr std::size_t kMaxRemovedReports = 26;

// Answers per host and kind that are kept of the time before an order.
constexpr std::uint32_t kMaxHistory = 16;

}  // namespace

RolloutTable::RolloutTable(std::string own_name, const HostTable& host_table)
    : host_name(std::move(own_name)), hosts(host_table) {}

void RolloutTable::SetLimits(RolloutLimits changed) {
  this->limits = changed;
}

void RolloutTable::Notify(std::string_view service) const {
  if (this->hooks.on_change) {
    this->hooks.on_change(service);
  }
}

void RolloutTable::Log(std::string_view name,
                       const Entry& entry,
                       const RolloutVerdict& verdict,
                       TimePoint now) const {
  if (!this->hooks.on_event) {
    return;
  }
  RolloutEvent event{.name = std::string(name), .verdict = verdict};
  if (entry.order) {
    event.service = entry.order->service;
    event.target_version = entry.order->target_version;
  } else if (entry.status) {
    event.service = entry.status->service;
    event.target_version = entry.status->target_version;
  }
  if (entry.rollout) {
    event.stage = entry.rollout->stage();
    event.counts = entry.rollout->counts();
    event.elapsed_ms = ToMilliseconds(entry.rollout->elapsed(now));
  }
  this->hooks.on_event(event);
}

bool RolloutTable::StatusIsCurrent(const Entry& entry) const {
  return entry.status && entry.order &&
         entry.status->revision > entry.order->revision &&
         entry.status->target_version == entry.order->target_version;
}

bool RolloutTable::Decided(const Entry& entry) const {
  return this->StatusIsCurrent(entry) &&
         entry.status->state != RolloutState::kRunning;
}

// Ends the local rollout once the store has its result.
void RolloutTable::Settle(const std::string& service,
                          Entry& entry,
                          TimePoint now) {
  if (entry.rollout && this->Decided(entry)) {
    this->Log(entry.status->state == RolloutState::kComplete
                  ? "rollout_complete"
                  : "rollout_rolled_back",
              entry, {}, now);
    entry.rollout.reset();
    entry.pending.clear();
  }
  this->Notify(service);
}

void RolloutTable::OnOrder(const RolloutOrder& order, TimePoint now) {
  if (!this->enabled()) {
    return;
  }
  Entry& entry = this->entries[order.service];
  if (entry.order && order.revision <= entry.order->revision) {
    return;
  }
  const bool repeated = entry.rollout && !entry.withdrawn &&
                        entry.order->target_version == order.target_version;
  entry.order = order;
  entry.withdrawn = false;
  entry.pending.clear();
  entry.next_write = {};
  if (repeated) {
    entry.rollout->Renew(order, now);
    this->Log("rollout_repeated", entry, {}, now);
    return;
  }
  entry.logged_halt = false;
  entry.deciding = false;
  entry.rollout.reset();
  if (!this->Decided(entry)) {
    // Between 0 and 1, different for each host.
    const double phase =
        static_cast<double>(
            RendezvousScore(order.service + std::to_string(order.revision),
                            this->host_name) >>
            11U) /
        static_cast<double>(1ULL << 53U);
    entry.rollout.emplace(order, this->limits, phase, now);
    for (const auto& [kind, before] : this->history[order.service]) {
      entry.rollout->OwnEvidence(kind).before = before;
    }
    if (entry.stage && entry.stage->order_revision == order.revision) {
      entry.rollout->SetStage(entry.stage->stage, now);
    }
    this->Log("rollout_ordered", entry, {}, now);
  }
  this->Notify(order.service);
}

// The result of a decided rollout stays in force: its targets were replaced.
void RolloutTable::OnWithdrawn(std::string_view service,
                               std::uint64_t revision,
                               TimePoint now) {
  if (!this->enabled()) {
    return;
  }
  auto found = this->entries.find(service);
  if (found == this->entries.end()) {
    if (revision == 0) {
      return;
    }
    found = this->entries.emplace(std::string(service), Entry()).first;
  }
  Entry& entry = found->second;
  entry.withdrawn_revision = revision;
  if (std::exchange(entry.withdrawn, true)) {
    return;
  }
  if (entry.rollout) {
    this->Log("rollout_withdrawn", entry, {}, now);
    entry.rollout.reset();
  }
  entry.pending.clear();
  this->Notify(service);
}

void RolloutTable::RetainOrders(
    const std::set<std::string, std::less<>>& services,
    TimePoint now) {
  std::vector<std::string> gone;
  for (const auto& [service, entry] : this->entries) {
    if (!services.contains(service)) {
      gone.push_back(service);
    }
  }
  for (const std::string& service : gone) {
    this->OnWithdrawn(service, /*revision=*/0, now);
  }
}

void RolloutTable::OnStatus(const RolloutStatus& status, TimePoint now) {
  if (!this->enabled()) {
    return;
  }
  Entry& entry = this->entries[status.service];
  if (entry.status && status.revision <= entry.status->revision) {
    return;
  }
  entry.status = status;
  if (!entry.order) {
    entry.withdrawn = true;
  }
  this->Settle(status.service, entry, now);
}

void RolloutTable::OnStage(const RolloutStageRecord& record, TimePoint now) {
  if (!this->enabled()) {
    return;
  }
  Entry& entry = this->entries[record.service];
  if (record.revision <= entry.stage_revision) {
    return;
  }
  entry.stage_revision = record.revision;
  entry.stage = record;
  if (!entry.order) {
    entry.withdrawn = true;
  }
  if (entry.rollout &&
      entry.rollout->order().revision == record.order_revision &&
      record.stage > entry.rollout->stage()) {
    entry.rollout->SetStage(record.stage, now);
    this->Log("rollout_stage", entry, {}, now);
    this->Notify(record.service);
  }
}

void RolloutTable::OnStageRemoved(std::string_view service) {
  const auto found = this->entries.find(service);
  if (found != this->entries.end()) {
    found->second.stage_revision = 0;
    found->second.stage.reset();
  }
}

void RolloutTable::OnReport(const RolloutReport& report, TimePoint now) {
  if (Entry* entry = this->Running(report.service)) {
    entry->rollout->OnReport(report, this->host_name, now);
  }
}

RolloutTable::Entry* RolloutTable::Running(std::string_view service) {
  const auto found = this->entries.find(service);
  return found == this->entries.end() || !found->second.rollout
             ? nullptr
             : &found->second;
}

VersionPolicy RolloutTable::PolicyOf(std::string_view service) const {
  if (!this->enabled()) {
    return {};
  }
  const auto found = this->entries.find(service);
  if (found == this->entries.end()) {
    return {.use = VersionUse::kOldOnly};
  }
  const Entry& entry = found->second;
  if (entry.rollout) {
    const Rollout& rollout = *entry.rollout;
    return {.use = rollout.halted() ? VersionUse::kOldOnly
                   : rollout.stage() == RolloutStage::kFull
                       ? VersionUse::kNewOnly
                       : VersionUse::kCanary,
            .target_version = rollout.order().target_version};
  }
  if (entry.status && (entry.withdrawn || this->Decided(entry))) {
    return {.use = entry.status->state == RolloutState::kComplete
                       ? VersionUse::kNewOnly
                       : VersionUse::kOldOnly,
            .target_version = entry.status->target_version};
  }
  return {.use = VersionUse::kOldOnly,
          .target_version = entry.order ? entry.order->target_version : ""};
}

RolloutShare RolloutTable::RankAmongAll(std::string_view service) const {
  const std::uint64_t own = RendezvousScore(service, this->host_name);
  RolloutShare share{.rank = 0, .hosts = 0};
  bool registered = false;
  for (const HostEntry& host : this->hosts.RegisteredHosts()) {
    ++share.hosts;
    registered = registered || host.name == this->host_name;
    share.rank += host.name != this->host_name &&
                          RendezvousScore(service, host.name) > own
                      ? 1
                      : 0;
  }
  if (!registered) {
    share.rank = share.hosts;
  }
  return share;
}

bool RolloutTable::TakeExposure(std::string_view service,
                                TimePoint now,
                                bool in_contact,
                                bool by_all) {
  Entry* entry = this->Running(service);
  if (entry == nullptr) {
    return false;
  }
  const RolloutShare share =
      by_all ? this->RankAmongAll(service)
             : RolloutShare{
                   .rank = this->hosts.Rank(this->host_name, service, now),
                   .hosts = this->hosts.SharingHostCount(now)};
  return entry->rollout->TakeExposure(share, now, in_contact);
}

void RolloutTable::GiveBackExposure(std::string_view service) {
  if (Entry* entry = this->Running(service)) {
    entry->rollout->GiveBackExposure();
  }
}

void RolloutTable::OnSent(std::string_view service) {
  if (Entry* entry = this->Running(service)) {
    entry->rollout->OnSent();
  }
}

KindEvidence* RolloutTable::EvidenceOf(std::string_view service,
                                       std::string_view kind) {
  Entry* entry = this->Running(service);
  return entry == nullptr ? nullptr : &entry->rollout->OwnEvidence(kind);
}

VersionEvidence* RolloutTable::HistoryOf(std::string_view service,
                                         std::string_view kind) {
  if (!this->enabled()) {
    return nullptr;
  }
  VersionEvidence& before =
      this->history[std::string(service)][std::string(kind)];
  before.LimitTo(kMaxHistory);
  return &before;
}

Duration RolloutTable::WriteDelay(std::string_view service) const {
  const std::uint64_t own = RendezvousScore(service, this->host_name);
  const RolloutShare position = this->RankAmongAll(service);
  const std::size_t rank =
      position.rank < position.hosts ? position.rank : kMaxRankDelays;
  // Beyond the last delay the hosts are spread over one more.
  const auto spread = milliseconds(
      rank < kMaxRankDelays
          ? 0
          : static_cast<std::int64_t>(
                own % static_cast<std::uint64_t>(kRankDelay.count())));
  return kRankDelay * std::min(rank, kMaxRankDelays) + spread;
}

bool RolloutTable::MayWriteNow(const std::string& service,
                               Entry& entry,
                               TimePoint now) {
  return now >= entry.next_write &&
         (entry.deciding ||
          now >= entry.pending_since + this->WriteDelay(service));
}

RolloutWrite RolloutTable::StatusWrite(const Entry& entry,
                                       RolloutState state) const {
  RolloutWrite write{
      .kind = RolloutWrite::Kind::kStatus,
      .service = entry.order ? entry.order->service : entry.status->service,
      .order_revision =
          entry.withdrawn ? entry.withdrawn_revision : entry.order->revision,
      .status_revision = entry.status ? entry.status->revision : 0,
      .stage_revision = entry.stage_revision,
      .state = state,
      .target_version = entry.order ? entry.order->target_version
                                    : entry.status->target_version};
  if (entry.rollout && state != RolloutState::kRunning) {
    write.obsolete_reporters = entry.rollout->Reporters();
    write.obsolete_reporters.resize(
        std::min(write.obsolete_reporters.size(), kMaxRemovedReports));
  }
  return write;
}

std::optional<RolloutWrite> RolloutTable::NextWrite(
    const std::string& service,
    Entry& entry,
    const RolloutTargets& targets,
    TimePoint now) {
  std::string wanted;
  RolloutWrite write;
  if (entry.withdrawn) {
    if (entry.status && entry.status->state == RolloutState::kRunning) {
      wanted = "withdrawn";
      write = this->StatusWrite(entry, RolloutState::kRolledBack);
    }
  } else if (entry.rollout) {
    Rollout& rollout = *entry.rollout;
    const RolloutVerdict verdict = rollout.Judge(now, targets);
    if (verdict.kind == RolloutVerdict::Kind::kBad) {
      wanted = "bad";
      write = this->StatusWrite(entry, RolloutState::kRolledBack);
      if (!std::exchange(entry.logged_halt, true)) {
        this->Log("rollout_bad", entry, verdict, now);
        this->Notify(service);
      }
    } else if (!this->StatusIsCurrent(entry)) {
      wanted = "start";
      write = this->StatusWrite(entry, RolloutState::kRunning);
    } else if (rollout.MayAdvance(now, targets)) {
      const bool complete =
          !targets.has_old || rollout.stage() == RolloutStage::kFull;
      wanted = complete ? "complete" : ToString(rollout.stage());
      write = this->StatusWrite(
          entry, complete ? RolloutState::kComplete : RolloutState::kRunning);
      if (!complete) {
        write.kind = RolloutWrite::Kind::kStage;
        write.stage = rollout.NextStage(now);
      }
      if (entry.pending != wanted) {
        this->Log("rollout_good", entry, verdict, now);
      }
    }
  }
  if (entry.pending != wanted) {
    entry.pending = wanted;
    entry.pending_since = now;
    entry.next_write = {};
  }
  if (wanted.empty() || !this->MayWriteNow(service, entry, now)) {
    return std::nullopt;
  }
  entry.next_write = now + kWriteInterval;
  entry.deciding = true;
  return write;
}

std::vector<RolloutWrite> RolloutTable::Poll(
    TimePoint now,
    const std::function<RolloutTargets(std::string_view service)>& targets) {
  std::vector<RolloutWrite> writes;
  if (now < this->next_poll) {
    return writes;
  }
  this->next_poll = now + kPollInterval;
  for (auto& [service, entry] : this->entries) {
    if (auto write = this->NextWrite(service, entry, targets(service), now)) {
      writes.push_back(*std::move(write));
    }
    // Reports are conditional on the running state, so that none is left behind
    // by a write that is executed after the end.
    if (entry.rollout && this->StatusIsCurrent(entry) &&
        now >= entry.next_report && entry.rollout->ReportDue(now)) {
      RolloutWrite write = this->StatusWrite(entry, RolloutState::kRunning);
      write.kind = RolloutWrite::Kind::kReport;
      write.report = entry.rollout->MakeReport(this->host_name, now);
      entry.rollout->OnReported(now);
      writes.push_back(std::move(write));
    }
  }
  return writes;
}

void RolloutTable::OnWriteLost(const RolloutWrite& write, TimePoint now) {
  const auto found = this->entries.find(write.service);
  if (found == this->entries.end()) {
    return;
  }
  if (write.kind != RolloutWrite::Kind::kReport) {
    found->second.next_write = now + kRetryInterval;
  } else if (found->second.rollout) {
    found->second.next_report = now + kRetryInterval;
    found->second.rollout->OnReportLost();
  }
}

std::array<std::size_t, 3> RolloutTable::CountStates() const {
  std::array<std::size_t, 3> counts{};
  for (const auto& [service, entry] : this->entries) {
    if (entry.rollout) {
      ++counts[static_cast<std::size_t>(RolloutState::kRunning)];
    } else if (entry.status) {
      ++counts.at(static_cast<std::size_t>(entry.status->state));
    }
  }
  return counts;
}

}  // namespace auburnyard
