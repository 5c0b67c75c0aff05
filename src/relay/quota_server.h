#ifndef AUBURNYARD_SRC_RELAY_QUOTA_SERVER_H_
#define AUBURNYARD_SRC_RELAY_QUOTA_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "auburnyard/account_limiter.h"
#include "auburnyard/host_table.h"
#include "src/net/http_connection.h"
#include "src/net/http_server.h"
#include "src/relay/quota_codec.h"
#include "src/relay/relay_context.h"
#include "src/relay/relay_metrics.h"

namespace auburnyard {

/// Decides on requests of accounts for the hosts of its failure domain, and
/// exchanges usage with the other quota servers.
class QuotaServer : public std::enable_shared_from_this<QuotaServer> {
 public:
  QuotaServer(const RelayContext& context,
              const HostTable& hosts,
              RelayMetrics& metrics,
              QuotaPeer self,
              LimitTolerance tolerance,
              std::size_t min_domains);

  /// Port 0 selects a free port. Throws Error(kConnection).
  void Listen(const std::string& address);
  std::uint16_t port() const { return this->server->port(); }
  void SetTolerance(LimitTolerance changed) {
    this->tolerance = changed;
    this->limiter.SetTolerance(changed);
  }
  /// Whether this host is one of the quota servers of its domain.
  bool active() const { return this->is_active; }
  LimitDecision Decide(const QuotaQuestion& question);
  /// Sends reports that are due. To be called at least every 50 ms.
  void Sweep();
  /// Admits nothing more and tells the other servers, which then need not
  /// reserve its share. For a host that shuts down.
  void Leave();
  void Stop();

 private:
  struct Receiver {
    std::string address;
    std::shared_ptr<HttpConnection> connection;
    bool sending = false;
    bool knows_departure = false;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void UpdatePeers();
  void SetActive(bool active);
  void SendReports();
  void SendDeparture();
  void Send(const std::string& name, Receiver& receiver);
  void OnSent(const std::string& name,
              const QuotaReport& report,
              const ExchangeResult& result);
  void LogSilentDomains();

  const RelayContext& context;
  const HostTable& hosts;
  RelayMetrics& metrics;
  QuotaPeer self;
  LimitTolerance tolerance;
  std::size_t min_domains;
  AccountLimiter limiter;
  std::shared_ptr<HttpServer> server;
  bool is_active = false;
  bool has_left = false;             // this host shuts down
  bool announces_departure = false;  // was active and is not any more
  std::map<std::string, Receiver, std::less<>> receivers;  // by host name
  std::vector<std::string> silent_domains;
  TimePoint next_update{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_QUOTA_SERVER_H_
