#include "review/standin/host.h"

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <memory>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr const char* kProgram = "target/auburnyardd";
constexpr Milliseconds kProbeTime{500};
constexpr Milliseconds kPoll{20};
constexpr std::chrono::seconds kStartLimit{20};

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Host::Host(std::string name, std::string host_zone)
    : host_name(std::move(name)), zone(std::move(host_zone)) {
  for (std::uint16_t& port : this->ports) {
    port = FreePort();
  }
}

Host::~Host() {
  if (this->process > 0) {
    this->Signal(SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
}

void Host::Configure(const std::filesystem::path& folder,
                     const Site& site,
                     std::uint16_t store_port,
                     const std::vector<Host*>& seeds) {
  this->settings = folder / (this->host_name + ".json");
  this->log = folder / (this->host_name + ".log");
  json::object regions;
  for (const auto& [name, region] : site.regions) {
    regions[name] = region;
  }
  json::array mirrors;
  for (const Host* seed : seeds) {
    mirrors.emplace_back(Local(seed->ports[3]));
  }
  const json::object document = {
      {"host", this->host_name},
      {"failure_domain", this->zone},
      {"region", site.regions.at(this->zone)},
      {"domain_regions", regions},
      {"cores", 0.25},
      {"listen",
       {{"callers", Local(this->ports[0])},
        {"readiness", Local(this->ports[1])},
        {"peers", Local(this->ports[2])},
        {"mirror", Local(this->ports[3])},
        {"metrics_port", this->ports[4]}}},
      {"store",
       {{"address", Local(store_port)},
        {"change_limit_ms", site.config_apply_ms},
        {"mirrors", mirrors}}},
      {"shutdown_time_s", site.grace_s},
      {"repeats",
       {{"ratio", 0.2}, {"burst", site.retry_burst}, {"window_s", 10}}},
      {"cold_targets", {{"rate_factor", 1.5}, {"rate_margin", 5}}}};
  std::ofstream(this->settings) << json::serialize(document);
}

void Host::Start() {
  const std::string path = this->settings;
  const char* arguments[] = {kProgram, "--relay", path.c_str(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&this->process, kProgram, &actions, nullptr,
                  const_cast<char**>(arguments), environ) != 0) {
    this->process = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
}

void Host::Signal(int number) const {
  if (this->process > 0) {
    kill(this->process, number);
  }
}

bool Host::WaitForEnd(Milliseconds limit) {
  const SteadyTime until = Now() + limit;
  while (this->process > 0 && Now() < until) {
    if (waitpid(this->process, nullptr, WNOHANG) == this->process) {
      this->process = 0;
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(1));
  }
  return this->process == 0;
}

bool Host::Ready() const {
  const auto probe = Connection::Open(this->ports[1]);
  Message answer;
  return probe != nullptr &&
         probe->Write("GET /readiness HTTP/1.1\r\nHost: host\r\n\r\n") &&
         probe->Read(answer, Now() + kProbeTime) && answer.Status() == 200;
}

Folder::Folder() {
  std::string name =
      std::filesystem::temp_directory_path() / "auburnyard-review-XXXXXX";
  if (mkdtemp(name.data()) != nullptr) {
    this->directory = name;
  }
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->file << std::fixed << std::setprecision(3) << this->Seconds(Now())
             << " " << text << "\n"
             << std::flush;
}

bool AwaitFleet(const std::vector<Host*>& hosts,
                const std::function<bool()>& registered) {
  const SteadyTime until = Now() + kStartLimit;
  while (Now() < until) {
    bool ready = registered();
    for (const Host* host : hosts) {
      ready = ready && host->Ready();
    }
    if (ready) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

std::string EncodeRequest(std::string_view method,
                          std::string_view path,
                          std::string_view id,
                          Milliseconds deadline,
                          std::string_view body) {
  std::string text = std::string(method) + " " + std::string(path) +
                     " HTTP/1.1\r\nHost: fleet.example\r\n"
                     "X-Auburnyard-Request-Id: " +
                     std::string(id) + "\r\nX-Auburnyard-Deadline-Ms: " +
                     std::to_string(deadline.count()) + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + std::string(body);
}

}  // namespace review
