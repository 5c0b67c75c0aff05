#include "src/daemon/gate_table.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace auburnyard {

namespace {

bool SameEndpoint(const TargetConfig& left, const TargetConfig& right) {
  return left.host == right.host && left.port == right.port;
}

GateAdmission AdmissionOf(const Configuration& configuration,
                          const TargetConfig& target) {
  const auto domain = configuration.domains.find(target.domain);
  return {.domain_in = domain != configuration.domains.end() &&
                       domain->second.in_service,
          .leaving = target.leaving};
}

}  // namespace

GateTable::GateTable(boost::asio::io_context& io_context,
                     const Clock& runtime_clock,
                     GateHooks gate_hooks,
                     DecisionRecorder& decision_recorder)
    : context(io_context),
      clock(runtime_clock),
      hooks(std::move(gate_hooks)),
      recorder(decision_recorder) {}

void GateTable::SetDomain(std::string own_domain) {
  this->domain = std::move(own_domain);
}

void GateTable::Apply(const Configuration& configuration) {
  std::vector<std::shared_ptr<GateRunner>> removed;
  std::vector<std::pair<std::shared_ptr<GateRunner>, TargetConfig>> present;
  {
    const std::unique_lock lock(this->mutex);
    for (auto entry = this->gates.begin(); entry != this->gates.end();) {
      const auto target = configuration.targets.find(entry->first);
      if (target == configuration.targets.end() ||
          !SameEndpoint(target->second, entry->second->config())) {
        removed.push_back(entry->second);
        entry = this->gates.erase(entry);
      } else {
        ++entry;
      }
    }
    for (const auto& [id, target] : configuration.targets) {
      if (!this->domain.empty() && target.domain != this->domain) {
        continue;
      }
      std::shared_ptr<GateRunner>& gate = this->gates[id];
      if (!gate) {
        gate = std::make_shared<GateRunner>(this->context, this->clock, target,
                                            this->hooks, this->recorder);
      }
      present.emplace_back(gate, target);
    }
  }
  for (const auto& gate : removed) {
    gate->SetAdmission({.domain_in = true, .leaving = true});
  }
  for (const auto& [gate, target] : present) {
    gate->Configure(target);
    gate->SetAdmission(AdmissionOf(configuration, target));
  }
}

void GateTable::RefreshLimits() {
  for (const auto& gate : this->Snapshot()) {
    gate->RefreshLimits();
  }
}

void GateTable::OnTimer() {
  for (const auto& gate : this->Snapshot()) {
    gate->OnTimer();
  }
}

void GateTable::ProbeDraining() {
  for (const auto& gate : this->Snapshot()) {
    gate->ProbeDraining();
  }
}

void GateTable::Enqueue(const SubRequest& request,
                        SubRequestObserver observer) {
  const std::shared_ptr<GateRunner> gate = this->Find(request.target);
  if (gate) {
    gate->Enqueue(request, std::move(observer));
    return;
  }
  boost::asio::post(
      this->context, [id = request.id, observer = std::move(observer)] {
        observer.failure(id, {Reason::kTargetLeaving, RunState::kNotRun});
      });
}

void GateTable::Cancel(const std::string& target,
                       const AttemptId& id,
                       Reason reason) {
  if (const std::shared_ptr<GateRunner> gate = this->Find(target)) {
    gate->Cancel(id, reason);
  }
}

std::shared_ptr<GateRunner> GateTable::Find(const std::string& target) const {
  const std::shared_lock lock(this->mutex);
  const auto found = this->gates.find(target);
  return found == this->gates.end() ? nullptr : found->second;
}

void GateTable::ForEach(
    const std::function<void(const GateRunner&)>& visit) const {
  for (const auto& gate : this->Snapshot()) {
    visit(*gate);
  }
}

std::vector<std::shared_ptr<GateRunner>> GateTable::Snapshot() const {
  std::vector<std::shared_ptr<GateRunner>> result;
  const std::shared_lock lock(this->mutex);
  for (const auto& [id, gate] : this->gates) {
    result.push_back(gate);
  }
  return result;
}

}  // namespace auburnyard
