#ifndef AUBURNYARD_SRC_DAEMON_FRONT_H_
#define AUBURNYARD_SRC_DAEMON_FRONT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "auburnyard/query.h"
#include "src/daemon/running_query.h"
#include "src/net/peer_watch.h"

namespace auburnyard {

/// What the front needs from the rest of the daemon to run a query.
struct FrontHooks {
  std::function<std::shared_ptr<const Configuration>()> configuration;
  std::function<std::shared_ptr<const ShardMap>(const std::string& service)>
      shard_map;
  std::function<QueryHooks(const QueryRequest&)> query_hooks;
  std::function<QueryPolicy(const QueryRequest&, const ServiceConfig&)> policy;
  QueryRoutes routes;
};

/// Accepts queries and runs them. Thread safe.
class Front {
 public:
  Front(boost::asio::io_context& context,
        const Clock& clock,
        std::string start_nonce,
        FrontHooks hooks);

  /// Runs the query. Throws Error if it cannot be started; then nothing of it
  /// ran.
  void Submit(const QueryRequest& request,
              const std::shared_ptr<PeerWatch>& peer,
              RunningQuery::Callback callback);
  std::size_t running() const { return this->running_count.load(); }

 private:
  boost::asio::io_context& context;
  const Clock& clock;
  std::string start_nonce;
  FrontHooks hooks;
  std::atomic<std::uint64_t> next_query{0};
  std::atomic<std::size_t> running_count{0};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_FRONT_H_
