#include "src/daemon/configuration_gossip.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

ConfigurationGossip::ConfigurationGossip(
    std::string own_domain,
    const ConfigurationStore& documents,
    ConfigurationAge& host_configuration_age,
    const Clock& runtime_clock,
    ConfigurationGossipHooks gossip_hooks)
    : domain(std::move(own_domain)),
      store(documents),
      configuration_age(host_configuration_age),
      clock(runtime_clock),
      hooks(std::move(gossip_hooks)) {}

proto::Envelope ConfigurationGossip::MakeReport(bool with_digests) const {
  proto::Envelope envelope;
  proto::Knowledge& report = *envelope.mutable_knowledge();
  report.set_domain(this->domain);
  report.set_revision(this->configuration_age.revision());
  if (const auto own_report =
          this->configuration_age.Report(this->clock.Now())) {
    report.set_revision(own_report->revision);
    report.set_has_age(true);
    report.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(own_report->age).count()));
  }
  report.set_digest_hash(this->store.DigestHash());
  if (with_digests) {
    for (const DocumentDigest& digest : this->store.Digests()) {
      proto::Digest& entry = *report.add_digests();
      entry.set_key(digest.key);
      entry.set_revision(digest.revision);
    }
  }
  return envelope;
}

void ConfigurationGossip::RequestReport(const std::string& address) {
  proto::Envelope envelope = this->MakeReport(/*with_digests=*/false);
  envelope.mutable_knowledge()->set_sent_ns(
      this->clock.Now().time_since_epoch().count());
  this->hooks.send(address, std::move(envelope));
}

void ConfigurationGossip::OnMessage(const proto::Envelope& envelope) {
  const proto::Knowledge& peer_report = envelope.knowledge();
  const bool differs = peer_report.digest_hash() != this->store.DigestHash();
  if (peer_report.sent_ns() != 0) {
    // The age of a request is not bounded, because it may have waited in a
    // queue, so only its digest hash is used.
    proto::Envelope answer = this->MakeReport(differs);
    answer.mutable_knowledge()->set_echo_ns(peer_report.sent_ns());
    this->hooks.send(envelope.address(), std::move(answer));
    return;
  }
  const TimePoint requested_at{std::chrono::nanoseconds(peer_report.echo_ns())};
  if (peer_report.echo_ns() != 0 && requested_at <= this->clock.Now()) {
    this->ApplyAgeReport(envelope, requested_at);
  }
  if (!differs) {
    return;
  }
  const bool answers_request = peer_report.echo_ns() != 0;
  if (answers_request) {
    this->hooks.send(envelope.address(), this->MakeReport(true));
  }
  // A report without digests that is not an answer comes from a host without
  // documents.
  if (!answers_request || !peer_report.digests().empty()) {
    this->SendMissing(envelope.address(), peer_report);
  }
}

void ConfigurationGossip::ApplyAgeReport(const proto::Envelope& envelope,
                                         TimePoint requested_at) {
  const proto::Knowledge& peer_report = envelope.knowledge();
  HostStatus status{.id = envelope.sender(),
                    .domain = peer_report.domain(),
                    .revision = peer_report.revision()};
  if (peer_report.has_age()) {
    status.age = std::chrono::milliseconds(peer_report.age_ms());
    this->configuration_age.ApplyReport({peer_report.revision(), *status.age},
                                        requested_at);
  }
  const std::lock_guard lock(this->mutex);
  this->reports[envelope.sender()] = {std::move(status), requested_at};
}

void ConfigurationGossip::SendMissing(const std::string& address,
                                      const proto::Knowledge& peer_report) {
  std::vector<DocumentDigest> digests;
  for (const proto::Digest& entry : peer_report.digests()) {
    digests.push_back({entry.key(), entry.revision()});
  }
  for (const DocumentMessage& document : this->hooks.documents_for(digests)) {
    this->hooks.send_document(address, document);
  }
}

std::vector<HostStatus> ConfigurationGossip::Hosts() const {
  std::vector<HostStatus> hosts;
  const TimePoint now = this->clock.Now();
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, report] : this->reports) {
    HostStatus status = report.status;
    if (status.age) {
      *status.age += now - report.received;
    }
    hosts.push_back(std::move(status));
  }
  return hosts;
}

void ConfigurationGossip::Retain(const std::vector<std::string>& ids) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->reports, [&ids](const auto& entry) {
    return std::find(ids.begin(), ids.end(), entry.first) == ids.end();
  });
}

}  // namespace auburnyard
