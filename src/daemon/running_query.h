#ifndef AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_
#define AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_

#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/query_machine.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

using QueryOutcome = std::variant<Answer, Refusal>;

/// How a query reaches the gates.
struct QueryRoutes {
  std::function<void(std::vector<SubRequest>, const SubRequestObserver&)>
      enqueue;
  std::function<
      void(const std::string& target, const AttemptId& id, Reason reason)>
      cancel;
};

/// Drives the state machine of one query: executes its actions and feeds it
/// events. Thread safe.
class RunningQuery : public std::enable_shared_from_this<RunningQuery> {
 public:
  using Callback = std::function<void(QueryOutcome)>;

  RunningQuery(boost::asio::io_context& context,
               const Clock& clock,
               QueryRoutes routes,
               const QueryRequest& request,
               QueryMachine machine,
               Callback callback);

  void Start();
  /// The caller closed its connection; all work is cancelled and the callback
  /// is not run.
  void Abandon();

 private:
  using Step =
      std::function<std::vector<QueryAction>(QueryMachine&, TimePoint)>;

  void Run(const Step& step);
  void Perform(std::vector<QueryAction> actions);
  void ArmTimer();
  SubRequest MakeSubRequest(const StartAttempt& attempt) const;
  SubRequestObserver MakeObserver();
  bool AuthorizeDispatch(const AttemptId& id);

  boost::asio::io_context& context;
  const Clock& clock;
  QueryRoutes routes;
  QueryRequest request;
  std::mutex mutex;
  QueryMachine machine;
  boost::asio::steady_timer timer;
  std::optional<TimePoint> armed_for;
  Callback callback;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_
