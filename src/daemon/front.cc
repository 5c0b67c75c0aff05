#include "src/daemon/front.h"

#include <utility>

namespace auburnyard {

Front::Front(boost::asio::io_context& io_context,
             const Clock& runtime_clock,
             std::string nonce,
             FrontHooks front_hooks)
    : context(io_context),
      clock(runtime_clock),
      start_nonce(std::move(nonce)),
      hooks(std::move(front_hooks)) {}

void Front::Submit(const QueryRequest& request,
                   const std::shared_ptr<PeerWatch>& peer,
                   RunningQuery::Callback callback) {
  const std::shared_ptr<const Configuration> configuration =
      this->hooks.configuration();
  std::shared_ptr<const ShardMap> map = this->hooks.shard_map(request.service);
  if (!configuration || !map) {
    throw Error(ErrorKind::kUnknownService,
                "service \"" + request.service + "\" is not configured");
  }
  const auto service = configuration->services.find(request.service);
  const ServiceConfig service_config = service == configuration->services.end()
                                           ? ServiceConfig{}
                                           : service->second;
  const std::string decision =
      this->start_nonce + "-" + std::to_string(this->next_query++);
  ++this->running_count;
  const std::shared_ptr<std::atomic<std::size_t>> counted(
      &this->running_count, [](std::atomic<std::size_t>* count) { --*count; });
  QueryMachine machine(decision, request, std::move(map),
                       this->hooks.policy(request, service_config),
                       this->hooks.query_hooks(request), this->clock.Now());
  auto query = std::make_shared<RunningQuery>(
      this->context, this->clock, this->hooks.routes, request,
      std::move(machine),
      [finish = std::move(callback), counted](QueryOutcome outcome) {
        finish(std::move(outcome));
      });
  if (peer) {
    peer->OnClosed([weak = std::weak_ptr<RunningQuery>(query)] {
      if (const std::shared_ptr<RunningQuery> running = weak.lock()) {
        running->Abandon();
      }
    });
  }
  query->Start();
}

}  // namespace auburnyard
