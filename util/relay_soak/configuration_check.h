#ifndef AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_CHECK_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "util/relay_soak/configuration_history.h"
#include "util/relay_soak/contact_log.h"
#include "util/relay_soak/soak_caller.h"
#include "util/relay_standin/relay_fleet.h"

namespace auburnyard::util {

/// Writes versions of the configuration and checks by requests which of them
/// each host has in force: none that is too old, none older than one seen
/// before, and added routes served. Thread-safe.
class ConfigurationCheck {
 public:
  /// `contact`: hosts are judged this long after the last trouble.
  ConfigurationCheck(RelayFleet& fleet,
                     Duration change_limit,
                     Duration contact);

  /// Writes the next version.
  void Change();
  void BeginTrouble(const std::string& subject);
  void EndTrouble(const std::string& subject);
  void Strike(const std::string& subject);
  /// Also forgets what the process that ran before has shown.
  void OnHostStarted(std::size_t host);
  static std::string HostSubject(std::size_t host);
  static std::string DomainSubject(std::size_t domain);
  static constexpr const char* kStore = "store";

  /// Sends one request to the host. Describes the violation, or is empty.
  std::string Probe(SoakCaller& caller,
                    std::size_t host,
                    std::mt19937_64& choices);
  /// Violations that only all requests together show.
  std::vector<std::string> Summarize() const;
  std::uint64_t version() const;
  std::uint64_t judged() const;

 private:
  struct Share {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    double ratio() const {
      return this->sent == 0 ? 0
                             : static_cast<double>(this->served) /
                                   static_cast<double>(this->sent);
    }
  };
  struct Request {
    std::size_t host = 0;
    std::uint64_t mark = 0;  ///< route /v<mark>/; 0: route /moved/
    TimePoint sent;
    TimePoint answered;
  };

  bool InTouch(const Request& request) const;
  std::string Judge(const Request& request,
                    const std::optional<BeastResponse>& answer);
  std::string JudgeVersion(const Request& request, const BeastResponse& answer);
  std::string JudgeRegress(const Request& request, const BeastResponse& answer);
  void CountShare(const Request& request, bool is_served);

  RelayFleet& fleet;
  mutable std::mutex mutex;
  ConfigurationHistory history;
  ContactLog contact_log;
  std::uint64_t newest = 1;
  std::map<std::size_t, std::uint64_t> seen_marks;  // newest one, by host
  Share added;  // routes that were added later
  Share first;  // the route of the first version
  std::uint64_t judged_count = 0;
  std::uint64_t late_count = 0;  // past the time-out of the route
  std::uint64_t overdue_count = 0;
  std::uint64_t request_number = 0;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_CONFIGURATION_CHECK_H_
