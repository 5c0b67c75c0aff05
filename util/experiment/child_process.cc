#include "util/experiment/child_process.h"

#include <fstream>
#include <string_view>

#include <csignal>
#include <cstring>
#include <ctime>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "auburnyard/error.h"

namespace auburnyard::util {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr int kMaxPolls = 2000;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_path) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  // A process that is started again keeps the log of the one before it.
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->pid, command.front().c_str(), &actions,
                                nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw Error(ErrorKind::kInternal,
                command.front() + ": " + std::strerror(error));
  }
}

// Uses SIGKILL: the results are already collected, and a graceful shutdown
// would take longer than a short run.
ChildProcess::~ChildProcess() {
  this->Signal(SIGKILL);
  this->WaitForExit();
}

void ChildProcess::Signal(int number) const {
  if (!this->exited) {
    kill(this->pid, number);
  }
}

bool ChildProcess::HasExited() {
  this->exited = this->exited || waitpid(this->pid, nullptr, WNOHANG) != 0;
  return this->exited;
}

bool ChildProcess::WaitForExit() {
  for (int i = 0; i < kMaxPolls && !this->HasExited(); ++i) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->exited;
}

std::chrono::milliseconds ChildProcess::ProcessorTime() const {
  clockid_t clock{};
  timespec used{};
  const int error = clock_getcpuclockid(this->pid, &clock);
  if (error != 0 || clock_gettime(clock, &used) != 0) {
    throw Error(ErrorKind::kInternal, "processor time of process " +
                                          std::to_string(this->pid) +
                                          " cannot be read");
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

std::size_t ChildProcess::PeakMemory() const {
  constexpr std::string_view kPeak = "VmHWM:";
  constexpr std::size_t kKilobyte = 1'024;
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeak)) {
      return std::stoul(line.substr(kPeak.size())) * kKilobyte;
    }
  }
  throw Error(
      ErrorKind::kInternal,
      "memory of process " + std::to_string(this->pid) + " cannot be read");
}

}  // namespace auburnyard::util
