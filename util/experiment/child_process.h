#ifndef AUBURNYARD_UTIL_EXPERIMENT_CHILD_PROCESS_H_
#define AUBURNYARD_UTIL_EXPERIMENT_CHILD_PROCESS_H_

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace auburnyard::util {

/// A child process, killed when the object is destroyed.
class ChildProcess {
 public:
  /// Starts a program; its output goes to `log_path`. Throws Error(kInternal).
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal without waiting.
  void Signal(int number) const;
  /// Whether the process has exited. Does not wait.
  bool HasExited();
  /// Waits for the process to exit; returns false after 10 s.
  bool WaitForExit();
  /// Processor time that the process has used so far. Throws Error(kInternal).
  std::chrono::milliseconds ProcessorTime() const;
  /// Peak of the resident memory in bytes. Throws Error(kInternal).
  std::size_t PeakMemory() const;

 private:
  pid_t pid = -1;
  bool exited = false;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_CHILD_PROCESS_H_
