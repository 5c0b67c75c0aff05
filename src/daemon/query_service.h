#ifndef AUBURNYARD_SRC_DAEMON_QUERY_SERVICE_H_
#define AUBURNYARD_SRC_DAEMON_QUERY_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "auburnyard/configuration_age.h"
#include "auburnyard/configuration_store.h"
#include "auburnyard/query.h"
#include "src/daemon/claim_service.h"
#include "src/daemon/decision_recorder.h"
#include "src/daemon/dispatcher.h"
#include "src/daemon/query_planner.h"
#include "src/daemon/running_query.h"
#include "src/net/disconnect_notifier.h"

namespace auburnyard {

/// Components of the daemon that queries use. They must outlive the service.
struct QueryServiceParts {
  boost::asio::io_context& context;
  const Clock& clock;
  const ConfigurationStore& store;
  const ConfigurationAge& configuration_age;
  QueryPlanner& planner;
  Dispatcher& dispatcher;
  DecisionRecorder& recorder;
  std::shared_ptr<ClaimService> claims;
};

/// Accepts queries and runs them. Thread safe.
class QueryService {
 public:
  using Callback = std::function<void(QueryOutcome)>;

  QueryService(QueryServiceParts parts, std::string start_nonce);

  /// Runs the query; the callback runs once unless the caller disconnects.
  /// Throws Error if the query cannot be started; no part of it has run then.
  void Submit(const QueryRequest& request,
              const std::shared_ptr<DisconnectNotifier>& disconnect_notifier,
              Callback callback);
  /// Answers all queries by `stop`, also those that are submitted later.
  void StopBy(TimePoint stop);
  std::size_t running() const { return this->running_count.load(); }

 private:
  struct Context;

  void SubmitClaimed(const std::shared_ptr<Context>& query);
  void OnVerdict(const std::shared_ptr<Context>& query,
                 const ClaimVerdict& verdict);
  void Start(const std::shared_ptr<Context>& query);
  /// Registers a query that starts. Returns the time by which it must be
  /// answered.
  TimePoint Register(const std::shared_ptr<RunningQuery>& query);
  void Finish(const std::shared_ptr<Context>& query, QueryOutcome outcome);
  void RecordClaim(const Context& query, const QueryOutcome& outcome);
  RunningQueryHooks MakeHooks(const std::shared_ptr<Context>& query);
  QueryMachine MakeMachine(const Context& query);
  void Note(const std::string& decision, Reason reason);
  std::shared_ptr<Context> MakeContext(const QueryRequest& request);

  QueryServiceParts parts;
  std::string start_nonce;
  std::atomic<std::uint64_t> next_query{0};
  std::atomic<std::size_t> running_count{0};
  std::mutex mutex;  // guards the members below
  TimePoint stop_time = TimePoint::max();
  std::set<std::weak_ptr<RunningQuery>, std::owner_less<>> started;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_QUERY_SERVICE_H_
