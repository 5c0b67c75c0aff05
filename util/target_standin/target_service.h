#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/net/http_server.h"
#include "util/common/restartable_server.h"
#include "util/target_standin/load_reporter.h"
#include "util/target_standin/reply_fault_injector.h"
#include "util/target_standin/target_faults.h"
#include "util/target_standin/target_model.h"

namespace auburnyard::util {

/// HTTP interface of one target.
class TargetService : public std::enable_shared_from_this<TargetService> {
 public:
  TargetService(boost::asio::io_context& context,
                const Clock& clock,
                const TargetOptions& options,
                std::uint64_t process_nonce);

  /// Throws Error(kConnection).
  void Listen();
  std::uint16_t port() const { return this->server->port(); }
  void Handle(const HttpRequest& request, const HttpResponder& respond);

  /// Applies the members of a control request: faults, latency, limits,
  /// snapshots and an action. Throws Error(kBadRequest).
  void Control(const detail::JsonReader& reader);
  boost::json::object Status() const;
  std::vector<ExecutionRecord> Records() const;
  void ResetRecords();
  /// These need no lock: the identifier and the domain never change.
  const std::string& id() const { return this->model.options.id; }
  const std::string& domain() const { return this->model.options.domain; }

 private:
  struct PendingExecution {
    HttpResponder respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Receive(const HttpRequest& request, const HttpResponder& respond);
  void HandleChecked(const HttpRequest& request, const HttpResponder& respond);
  void Crash();
  void ResumeFrozenWork();
  void RunAction(const std::string& action, Duration down);
  void ChangeSnapshot(const detail::JsonReader& reader);
  void ChangeLimits(const detail::JsonReader& reader);
  void HandleExecute(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse HandleCancel(const HttpRequest& request);
  void StartWork();
  void ScheduleCompletion(const StartedExecution& started);
  void Complete(ExecutionId id);
  void CancelAbandoned(ExecutionId id);
  void Reply(ExecutionId id, HttpResponse reply);
  HttpResponse ResultReply(const SubRequest& request);
  HttpResponse RefusalReply(const std::string& detail);
  HttpResponse AbsentSnapshotReply(const SubRequest& request);
  void AddStatusHeaders(HttpResponse& reply);

  boost::asio::io_context& context;
  const Clock& clock;
  std::shared_ptr<RestartableServer> server;
  mutable std::mutex mutex;
  TargetModel model;
  std::map<ExecutionId, PendingExecution> pending;
  TargetFaults faults;
  LoadReporter reporter;
  ReplyFaultInjector reply_injector;
  std::vector<std::function<void()>> frozen_work;
  TimePoint setup_ends_at;  ///< end of the set-up of the latest connection
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_
