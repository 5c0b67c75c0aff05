#include "hosts.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "channel.h"

namespace auburnyard::review {

namespace json = boost::json;

namespace {

constexpr std::size_t kZones = 3;
constexpr std::chrono::milliseconds kPoll{50};

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::string Hosts::Zone(std::size_t index) {
  static const char* const kNames[kZones] = {"glasgow-east", "inverness-a",
                                             "galashiels-b"};
  return kNames[index % kZones];
}

Hosts::Hosts(std::string daemon, std::uint16_t store_port)
    : program(std::move(daemon)), hosts(kZones) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->directory = name;
  for (Host& host : this->hosts) {
    host.front = FreePort();
    host.ready = FreePort();
    host.peers = FreePort();
    host.mirror = FreePort();
  }
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    std::string settings = this->WriteSettings(i, store_port);
    std::string log =
        (this->directory / ("host-" + std::to_string(i) + ".log")).string();
    std::string relay = "--relay";
    char* arguments[] = {this->program.data(), relay.data(), settings.data(),
                         nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int error =
        ::posix_spawn(&this->hosts[i].process, this->program.c_str(), &actions,
                      nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      throw std::runtime_error(this->program + " does not start");
    }
  }
}

Hosts::~Hosts() {
  for (const Host& host : this->hosts) {
    if (host.process > 0) {
      ::kill(host.process, SIGKILL);
      ::waitpid(host.process, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

std::string Hosts::WriteSettings(std::size_t host,
                                 std::uint16_t store_port) const {
  json::object zones;
  for (std::size_t i = 0; i < kZones; ++i) {
    zones[Zone(i)] = "region-" + std::to_string(i);
  }
  const Host& own = this->hosts[host];
  json::array mirrors;
  for (const Host& other : this->hosts) {
    mirrors.emplace_back(Loopback(other.mirror));
  }
  const json::object settings = {
      {"host", "front-" + Zone(host) + "-1"},
      {"failure_domain", Zone(host)},
      {"region", "region-" + std::to_string(host)},
      {"domain_regions", zones},
      {"cores", 0.25},
      {"memory_mb", 260},
      {"listen", json::object{{"callers", Loopback(own.front)},
                              {"readiness", Loopback(own.ready)},
                              {"peers", Loopback(own.peers)},
                              {"mirror", Loopback(own.mirror)},
                              {"metrics_port", 0}}},
      {"store", json::object{{"address", Loopback(store_port)},
                             {"change_limit_ms", 3'000},
                             {"mirrors", mirrors}}},
      {"shutdown_time_s", 6},
      {"repeats",
       json::object{{"ratio", 0.2}, {"burst", 52}, {"window_s", 10}}},
      {"cold_targets", json::object{{"rate_factor", 1.5}, {"rate_margin", 5}}}};
  const std::filesystem::path path =
      this->directory / ("host-" + std::to_string(host) + ".json");
  std::ofstream(path) << json::serialize(settings);
  return path.string();
}

bool Hosts::IsReady(const Host& host) const {
  Channel channel;
  if (!channel.Connect(host.ready) ||
      !channel.Write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
    return false;
  }
  channel.SetReadTimeout(1'000);
  const auto answer = channel.Read();
  return answer && answer->Word(1) == "200";
}

bool Hosts::WaitUntilReady(std::chrono::seconds limit) const {
  const auto until = std::chrono::steady_clock::now() + limit;
  for (const Host& host : this->hosts) {
    while (!this->IsReady(host)) {
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

bool Hosts::AnyEnded() {
  bool ended = false;
  for (Host& host : this->hosts) {
    if (host.process > 0 &&
        ::waitpid(host.process, nullptr, WNOHANG) == host.process) {
      host.process = -1;
      ended = true;
    }
  }
  return ended;
}

}  // namespace auburnyard::review
