#ifndef AUBURNYARD_REVIEW_STANDIN_HOST_H_
#define AUBURNYARD_REVIEW_STANDIN_HOST_H_

#include <filesystem>
#include <fstream>
#include <map>

#include <sys/types.h>

#include "review/standin/http.h"

namespace review {

/// Figures of a site that the settings of its hosts contain.
struct Site {
  std::map<std::string, std::string> regions;  ///< by zone
  int drain_ms = 3'000;
  int config_apply_ms = 3'000;
  int grace_s = 6;
  int retry_burst = 56;
};

/// An entry host: target/auburnyardd with the settings that the template of
/// the deploy file yields.
class Host {
 public:
  Host(std::string host_name, std::string host_zone);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Writes the settings. `seeds` may name this host.
  void Configure(const std::filesystem::path& folder,
                 const Site& site,
                 std::uint16_t store_port,
                 const std::vector<Host*>& seeds);
  void Start();
  void Signal(int number) const;
  /// Waits for the end of the process. False at the time-out.
  bool WaitForEnd(Milliseconds limit);
  /// Answers the platform's readiness probe with 200.
  bool Ready() const;

  const std::string& name() const { return this->host_name; }
  std::uint16_t front() const { return this->ports[0]; }

 private:
  std::string host_name;
  std::string zone;
  std::uint16_t ports[5];  // front, ready, peers, control, metrics
  std::filesystem::path settings;
  std::filesystem::path log;
  pid_t process = 0;
};

/// Temporary folder of a case; removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::filesystem::path& path() const { return this->directory; }

 private:
  std::filesystem::path directory;
};

/// record.txt in the folder of the case, with times since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), begin(Now()) {}
  void Line(const std::string& text);
  double Seconds(SteadyTime time) const {
    return std::chrono::duration<double>(time - this->begin).count();
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  SteadyTime begin;
};

/// Waits until all hosts are ready and registered. False after 20 s.
bool AwaitFleet(const std::vector<Host*>& hosts,
                const std::function<bool()>& registered);

/// Whether the case runs with its disruption: TROUBLE is not "0".
bool WithTrouble();

/// Encoded request of a client.
std::string EncodeRequest(std::string_view method,
                          std::string_view path,
                          std::string_view id,
                          Milliseconds deadline,
                          std::string_view body);

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_HOST_H_
