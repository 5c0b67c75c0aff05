#ifndef AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_
#define AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/net/http_server.h"
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

 private:
  struct Pending {
    HttpResponder respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Receive(const HttpRequest& request, const HttpResponder& respond);
  void HandleExecute(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse HandleCancel(const HttpRequest& request);
  void StartWork();
  void Arm(const StartedExecution& started);
  void Complete(ExecutionId id);
  void CancelAbandoned(ExecutionId id);
  void Reply(ExecutionId id, HttpResponse reply);
  HttpResponse ResultReply(const SubRequest& request) const;
  HttpResponse RefusalReply(const std::string& detail) const;
  HttpResponse AbsentSnapshotReply(const SubRequest& request) const;
  void AddReportHeaders(HttpResponse& reply) const;

  boost::asio::io_context& context;
  const Clock& clock;
  std::shared_ptr<HttpServer> server;
  mutable std::mutex mutex;
  TargetModel model;
  std::map<ExecutionId, Pending> pending;
  TimePoint setup_ready;  ///< when the set-up of the last connection ends
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_TARGET_STANDIN_TARGET_SERVICE_H_
