#ifndef AUBURNYARD_SRC_RELAY_QUOTA_CLIENT_H_
#define AUBURNYARD_SRC_RELAY_QUOTA_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnyard/host_entry.h"
#include "src/net/call_pool.h"
#include "src/relay/account_admission.h"
#include "src/relay/log_limiter.h"
#include "src/relay/quota_codec.h"
#include "src/relay/quota_server.h"
#include "src/relay/relay_context.h"
#include "src/relay/relay_metrics.h"

namespace auburnyard {

/// Asks the quota servers of the own failure domain whether requests of
/// accounts may run.
class QuotaClient : public std::enable_shared_from_this<QuotaClient> {
 public:
  struct Hooks {
    /// Quota servers of the own domain, in the order of preference.
    std::function<std::vector<HostEntry>()> servers;
    /// Version of the configuration in force.
    std::function<std::uint64_t()> version;
    /// Estimated number of hosts, which share the local reserve.
    std::function<std::size_t()> host_count;
  };

  /// `local` decides without a message if this host is a quota server.
  QuotaClient(const RelayContext& context,
              RelayMetrics& metrics,
              std::string host_name,
              LimitTolerance tolerance,
              std::shared_ptr<QuotaServer> local,
              Hooks hooks);

  void SetTolerance(LimitTolerance changed) { this->tolerance = changed; }
  void Admit(const ClientAccount& account, AccountAdmission::Callback decide);
  void GiveBack(const ClientAccount& account);
  /// Returns requests that no question has returned for some time.
  void Sweep();
  /// Closes all connections.
  void Stop();

 private:
  struct Server {
    std::string address;
    std::shared_ptr<CallPool> pool;
    TimePoint failed_at{};
  };
  // A question on its way through the quota servers.
  struct Question {
    QuotaQuestion content;
    std::vector<std::string> servers;  // names
    std::size_t next = 0;
    AccountAdmission::Callback decide;
  };

  std::vector<std::string> UpdateServers();
  void AskNext(const std::shared_ptr<Question>& question);
  void OnAnswer(const std::shared_ptr<Question>& question,
                const std::string& server,
                const ExchangeResult& result);
  void OnDecision(const std::string& account,
                  const LimitDecision& decision,
                  std::string_view decided_by,
                  const AccountAdmission::Callback& decide);
  void DecideAlone(const Question& question);
  bool TakeReserve(const std::string& account);

  const RelayContext& context;
  RelayMetrics& metrics;
  std::string host_name;
  LimitTolerance tolerance;
  std::shared_ptr<QuotaServer> local;
  Hooks hooks;
  std::map<std::string, Server, std::less<>> servers;  // by host name
  ReturnedRequests returned;  // not sent to a quota server yet
  TimePoint returned_since{};
  std::map<std::string, std::uint32_t, std::less<>> reserve_used;
  std::int64_t reserve_window = 0;
  std::mt19937_64 random;
  LogLimiter refusal_lines;
  LogLimiter failure_lines;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_QUOTA_CLIENT_H_
