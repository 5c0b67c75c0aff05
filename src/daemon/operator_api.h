#ifndef AUBURNYARD_SRC_DAEMON_OPERATOR_API_H_
#define AUBURNYARD_SRC_DAEMON_OPERATOR_API_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/configuration_age.h"
#include "auburnyard/configuration_store.h"
#include "auburnyard/planner.h"
#include "auburnyard/restriction_table.h"
#include "src/daemon/configuration_editor.h"
#include "src/daemon/host_status.h"
#include "src/net/http_server.h"

namespace auburnyard {

/// Components of the daemon that the operator API uses. They must outlive it.
struct OperatorApiParts {
  std::string operator_key;
  const ConfigurationStore* store = nullptr;
  const ConfigurationAge* configuration_age = nullptr;
  const Clock* clock = nullptr;
  ConfigurationEditor* editor = nullptr;
  /// Current load of services; may be empty.
  std::function<std::map<std::string, ServiceLoad, std::less<>>()> load;
  /// Other hosts, from digests and ages of gossip; may be empty.
  std::function<std::vector<HostStatus>()> hosts;
  std::function<std::vector<StoreFault>()> faults;
  /// Null: no restrictions are accepted.
  RestrictionTable* restrictions = nullptr;
  /// Sends a restriction to peers.
  std::function<void(const Restriction&)> push_restriction;
  /// Additional members of `/v1/status`; may be empty.
  std::function<boost::json::object()> additional_status;
};

/// HTTP API for operators: intents, plans and status. `/v1/status` needs no
/// key. Thread-safe.
class OperatorApi : public std::enable_shared_from_this<OperatorApi> {
 public:
  explicit OperatorApi(OperatorApiParts parts);

  /// Returns false without responding if the path is not part of this API.
  bool Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  using Segments = std::vector<std::string>;

  void Route(const HttpRequest& request,
             const Segments& path,
             const HttpResponder& respond);
  void HandleIntents(const HttpRequest& request,
                     const Segments& path,
                     const HttpResponder& respond);
  void HandlePlans(const HttpRequest& request,
                   const Segments& path,
                   const HttpResponder& respond);
  HttpResponse HandleRestrictions(const HttpRequest& request) const;
  HttpResponse Restrict(const std::string& body) const;
  void CreateIntent(const HttpRequest& request, const HttpResponder& respond);
  void Confirm(const std::string& plan_id, const HttpResponder& respond);
  HttpResponse GetIntents() const;
  HttpResponse GetPlans() const;
  HttpResponse GetPlan(const std::string& plan_id) const;
  HttpResponse CreatePlan(const std::string& body) const;
  HttpResponse GetStatus() const;
  std::shared_ptr<const Configuration> InForce() const;
  Plan Compute(std::shared_ptr<const Configuration> configuration,
               const Intent& intent) const;
  /// Problem details of a failed confirmation; a conflict includes a plan for
  /// the current revision.
  HttpResponse ConfirmProblem(const std::string& plan_id,
                              const EditResult& result) const;

  OperatorApiParts parts;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_OPERATOR_API_H_
