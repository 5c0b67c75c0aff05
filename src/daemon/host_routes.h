#ifndef AUBURNYARD_SRC_DAEMON_HOST_ROUTES_H_
#define AUBURNYARD_SRC_DAEMON_HOST_ROUTES_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "src/daemon/decision_recorder.h"
#include "src/daemon/operator_api.h"
#include "src/daemon/query_service.h"
#include "src/daemon/router.h"

namespace auburnyard {

/// Dependencies of the HTTP interface of an entry host.
struct HostRoutesParts {
  boost::asio::io_context& context;
  QueryService& queries;
  DecisionRecorder& recorder;
  std::shared_ptr<OperatorApi> operator_api;
  std::function<bool()> ready;
  /// Requests the revision of all hosts; the replies arrive asynchronously.
  std::function<void()> request_host_status;
  /// Updates the gauges before they are rendered.
  std::function<void()> refresh_metrics;
};

/// HTTP interface of an entry host for callers and operators. Thread safe.
class HostRoutes {
 public:
  explicit HostRoutes(HostRoutesParts parts);

  void Handle(HttpRequest request, const HttpResponder& respond) const;

 private:
  void HandleQuery(const HttpRequest& request,
                   const HttpResponder& respond) const;
  void HandleExplain(const HttpRequest& request,
                     const HttpResponder& respond) const;
  void HandleMetrics(const HttpResponder& respond) const;
  void HandleStatus(HttpRequest request, const HttpResponder& respond) const;

  HostRoutesParts parts;
  Router router;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_HOST_ROUTES_H_
