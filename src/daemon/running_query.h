#ifndef AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_
#define AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "auburnyard/query_machine.h"
#include "src/daemon/decision_recorder.h"
#include "src/daemon/sub_request.h"

namespace auburnyard {

using QueryOutcome = std::variant<Answer, Refusal>;

/// Dependencies of a running query on the rest of the daemon. Called with no
/// lock of the query held, except `may_dispatch`.
struct RunningQueryHooks {
  std::function<void(const std::vector<SubRequest>&, const SubRequestObserver&)>
      enqueue;
  std::function<
      void(const std::string& target, const AttemptId& id, Reason reason)>
      cancel;
  /// Called right before each dispatch; if empty, dispatch is always allowed.
  std::function<bool()> may_dispatch;
  std::function<void(const std::string& target)> on_start;
  /// `latency` is measured from enqueueing, `service_time` from the dispatch.
  std::function<
      void(const std::string& target, Duration latency, Duration service_time)>
      on_result;
  std::function<void(const std::string& target, const AttemptFailure& failure)>
      on_failure;
};

/// Drives the state machine of one query: executes its actions and feeds it
/// events. Thread safe.
class RunningQuery : public std::enable_shared_from_this<RunningQuery> {
 public:
  using Callback = std::function<void(QueryOutcome)>;

  RunningQuery(boost::asio::io_context& context,
               const Clock& clock,
               DecisionRecorder& recorder,
               RunningQueryHooks hooks,
               const QueryRequest& request,
               QueryMachine machine);

  /// The callback runs once, unless the caller abandons an idempotent query.
  void Start(Callback callback);
  /// Answers by `stop` at the latest, because the host shuts down.
  void StopBy(TimePoint stop);
  /// The caller closed its connection.
  void Abandon();

 private:
  using Step =
      std::function<std::vector<QueryAction>(QueryMachine&, TimePoint)>;
  struct Attempt {
    std::string target;
    TimePoint enqueued;
    std::optional<TimePoint> dispatched;
  };

  void Run(const Step& step);
  void Perform(std::vector<QueryAction> actions);
  void Finish(QueryOutcome outcome);
  void ArmTimer();
  SubRequest MakeSubRequest(const StartAttempt& attempt);
  SubRequestObserver MakeObserver();
  bool AuthorizeDispatch(const AttemptId& id);
  void OnStarted(const AttemptId& id);
  std::vector<QueryAction> MarkDispatched(const AttemptId& id, TimePoint now);
  void OnResult(const AttemptId& id, PartialResult result);
  void OnFailure(const AttemptId& id, const AttemptFailure& failure);
  std::optional<Attempt> TakeAttempt(const AttemptId& id);

  const Clock& clock;
  DecisionRecorder& recorder;
  RunningQueryHooks hooks;
  QueryRequest request;
  std::mutex mutex;
  QueryMachine machine;
  std::unordered_map<AttemptId, Attempt> attempts;
  boost::asio::steady_timer timer;
  std::optional<TimePoint> armed_for;
  Callback callback;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_RUNNING_QUERY_H_
