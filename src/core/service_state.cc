#include "auburnyard/service_state.h"

namespace auburnyard {

std::shared_ptr<ServiceState> ServiceStates::Get(std::string_view name,
                                                 const ServiceConfig& service) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->states.find(name);
  if (found == this->states.end()) {
    return this->states
        .emplace(std::string(name), std::make_shared<ServiceState>(service))
        .first->second;
  }
  found->second->retries.SetShare(service.retry_budget);
  found->second->hedges.SetShare(service.hedge_budget);
  return found->second;
}

}  // namespace auburnyard
