#ifndef AUBURNYARD_SRC_DAEMON_TARGET_CLIENT_H_
#define AUBURNYARD_SRC_DAEMON_TARGET_CLIENT_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/daemon/sub_request.h"
#include "src/net/http_connection.h"

namespace auburnyard {

/// Result of one exchange with a target.
struct TargetReply {
  ReplyOutcome outcome = ReplyOutcome::kFailed;
  bool connection_lost = false;  ///< no reply; `report` is empty
  bool timed_out = false;        ///< ended by this side; `report` is empty
  TargetReport report;
  PartialResult result;    ///< valid if outcome is kOk
  AttemptFailure failure;  ///< valid otherwise
};

/// Connections to one target. Thread safe.
class TargetClient : public std::enable_shared_from_this<TargetClient> {
 public:
  using Callback = std::function<void(TargetReply)>;

  TargetClient(boost::asio::io_context& context,
               const TargetConfig& target,
               const Clock& clock);

  /// Sends the sub-request. The callback runs once the exchange has ended,
  /// which may be after the deadline.
  void Execute(const SubRequest& request, Callback callback);
  /// Requests cancellation of an attempt from the target; the callback of its
  /// exchange still runs.
  void Cancel(const AttemptId& id);
  /// Requests the target's state without sending work, by cancelling an attempt
  /// that does not exist. The callback runs only if a reply arrives.
  void Probe(std::function<void(TargetReport)> callback);
  std::size_t open_connections() const;

 private:
  std::shared_ptr<HttpConnection> Acquire();
  void Release(const std::shared_ptr<HttpConnection>& connection,
               bool reusable);

  boost::asio::io_context& context;
  const Clock& clock;
  std::string host;
  std::uint16_t port;
  std::size_t max_idle;
  mutable std::mutex mutex;
  std::vector<std::shared_ptr<HttpConnection>> idle;
  std::size_t in_use = 0;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_TARGET_CLIENT_H_
