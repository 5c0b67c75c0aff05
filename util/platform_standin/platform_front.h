#ifndef AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FRONT_H_
#define AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FRONT_H_

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "util/common/restartable_server.h"
#include "util/platform_standin/platform_faults.h"
#include "util/platform_standin/platform_service.h"
#include "util/platform_standin/rate_limit.h"

namespace auburnyard::util {

/// Injects faults into the requests of a PlatformService and counts calls.
/// Control interface:
///   GET  /v1/status   calls by kind, store revision, outcomes
///   POST /v1/control  members of PlatformFaults, "action": "checkpoint" or
///                     "restore"
///   POST /v1/reset    resets the counters
class PlatformFront : public std::enable_shared_from_this<PlatformFront> {
 public:
  PlatformFront(boost::asio::io_context& context,
                const Clock& clock,
                std::shared_ptr<PlatformService> service,
                std::uint64_t seed);

  /// Throws Error(kConnection).
  void Listen(const std::string& host, std::uint16_t port, std::size_t limit);
  std::uint16_t port() const { return this->server->port(); }
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void HandleControl(const HttpRequest& request, const HttpResponder& respond);

 private:
  struct FaultDecision {
    bool refuse = false;
    bool limited = false;
    bool silent = false;
    bool lose_reply = false;
    Duration delay{};
  };

  FaultDecision DecideFaults(const HttpRequest& request);
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  void ServeLater(const HttpRequest& request,
                  const HttpResponder& respond,
                  Duration delay);
  HttpResponse Status() const;
  HttpResponse Control(const std::string& body);

  boost::asio::io_context& context;
  const Clock& clock;
  std::shared_ptr<PlatformService> service;
  std::shared_ptr<RestartableServer> server;
  mutable std::mutex mutex;
  PlatformFaults faults;
  RateLimit reads;
  RateLimit writes;
  std::mt19937_64 random;
  std::map<std::string, std::uint64_t, std::less<>> calls;
  std::map<std::string, std::uint64_t, std::less<>> outcomes;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_PLATFORM_STANDIN_PLATFORM_FRONT_H_
