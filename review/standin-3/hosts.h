#ifndef AUBURNYARD_REVIEW_STANDIN_3_HOSTS_H_
#define AUBURNYARD_REVIEW_STANDIN_3_HOSTS_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace auburnyard::review {

/// Entry hosts as separate processes, one in each of three zones, with the
/// settings of a small deployment.
class Hosts {
 public:
  /// `program`: auburnyardd. `store`: port of the store.
  Hosts(std::string daemon, std::uint16_t store_port);
  /// Ends the processes.
  ~Hosts();
  Hosts(const Hosts&) = delete;
  Hosts& operator=(const Hosts&) = delete;

  std::size_t size() const { return this->hosts.size(); }
  /// Port for clients.
  std::uint16_t port(std::size_t host) const { return this->hosts[host].front; }
  /// Waits until all hosts are ready.
  bool WaitUntilReady(std::chrono::seconds limit) const;
  /// Whether a process has ended by itself.
  bool AnyEnded();

  static std::string Zone(std::size_t index);

 private:
  struct Host {
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t peers = 0;
    std::uint16_t mirror = 0;
    pid_t process = -1;
  };
  std::string WriteSettings(std::size_t host, std::uint16_t store_port) const;
  bool IsReady(const Host& host) const;

  std::string program;
  std::filesystem::path directory;
  std::vector<Host> hosts;
};

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_HOSTS_H_
