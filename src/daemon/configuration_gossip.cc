#include "src/daemon/configuration_gossip.h"

#include <algorithm>
#include <utility>

namespace auburnyard {

ConfigurationGossip::ConfigurationGossip(std::string own_domain,
                                         const ConfigurationStore& documents,
                                         Knowledge& own_knowledge,
                                         const Clock& runtime_clock,
                                         ConfigurationGossipHooks gossip_hooks)
    : domain(std::move(own_domain)),
      store(documents),
      knowledge(own_knowledge),
      clock(runtime_clock),
      hooks(std::move(gossip_hooks)) {}

proto::Envelope ConfigurationGossip::MakeReport(bool with_digests) const {
  proto::Envelope envelope;
  proto::Knowledge& report = *envelope.mutable_knowledge();
  report.set_domain(this->domain);
  report.set_revision(this->knowledge.revision());
  if (const auto known = this->knowledge.Report(this->clock.Now())) {
    report.set_revision(known->revision);
    report.set_has_age(true);
    report.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(known->age).count()));
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

void ConfigurationGossip::Ask(const std::string& address) {
  proto::Envelope envelope = this->MakeReport(/*with_digests=*/false);
  envelope.mutable_knowledge()->set_sent_ns(
      this->clock.Now().time_since_epoch().count());
  this->hooks.send(address, std::move(envelope));
}

void ConfigurationGossip::OnMessage(const proto::Envelope& envelope) {
  const proto::Knowledge& theirs = envelope.knowledge();
  const bool differs = theirs.digest_hash() != this->store.DigestHash();
  if (theirs.sent_ns() != 0) {
    // A question has no bounded age, because it may have waited in a queue, so
    // nothing is learned from it but that the digests differ.
    proto::Envelope answer = this->MakeReport(differs);
    answer.mutable_knowledge()->set_echo_ns(theirs.sent_ns());
    this->hooks.send(envelope.address(), std::move(answer));
    return;
  }
  const TimePoint asked{std::chrono::nanoseconds(theirs.echo_ns())};
  if (theirs.echo_ns() != 0 && asked <= this->clock.Now()) {
    this->Learn(envelope, asked);
  }
  if (!differs) {
    return;
  }
  const bool answers_question = theirs.echo_ns() != 0;
  if (answers_question) {
    this->hooks.send(envelope.address(), this->MakeReport(true));
  }
  // A report without digests that answers nothing comes from a host without
  // documents.
  if (!answers_question || !theirs.digests().empty()) {
    this->SendMissing(envelope.address(), theirs);
  }
}

void ConfigurationGossip::Learn(const proto::Envelope& envelope,
                                TimePoint asked) {
  const proto::Knowledge& theirs = envelope.knowledge();
  HostStatus status{.id = envelope.sender(),
                    .domain = theirs.domain(),
                    .revision = theirs.revision()};
  if (theirs.has_age()) {
    status.age = std::chrono::milliseconds(theirs.age_ms());
    this->knowledge.Learn({theirs.revision(), *status.age}, asked);
  }
  const std::lock_guard lock(this->mutex);
  this->reports[envelope.sender()] = {std::move(status), asked};
}

void ConfigurationGossip::SendMissing(const std::string& address,
                                      const proto::Knowledge& theirs) {
  std::vector<DocumentDigest> digests;
  for (const proto::Digest& entry : theirs.digests()) {
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
