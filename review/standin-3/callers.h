#ifndef AUBURNYARD_REVIEW_STANDIN_3_CALLERS_H_
#define AUBURNYARD_REVIEW_STANDIN_3_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "channel.h"
#include "record.h"

namespace auburnyard::review {

/// How one attempt of a client ended.
struct Outcome {
  std::string request_id;
  int status = 0;  ///< 0: the connection ended without an answer
  std::vector<std::string> signatures;
  std::string body;
  std::chrono::milliseconds retry_after{0};
};

/// Clients that send one request after the other on kept connections, each with
/// an identifier of its own.
class Callers {
 public:
  struct Options {
    std::size_t count = 1;
    std::string method = "GET";
    std::vector<std::uint16_t> ports;
    /// Path of the request with this number.
    std::function<std::string(std::uint64_t number)> path;
    std::chrono::milliseconds deadline{2'000};
  };

  Callers(Options caller_options, Record& run_record);
  ~Callers() { this->Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  /// Ends the clients after their present requests.
  void Stop();
  /// To be called after Stop.
  const std::vector<Outcome>& outcomes() const { return this->ended; }

 private:
  void Run(std::uint16_t port);
  Outcome Send(Channel& channel, std::uint64_t number);

  Options options;
  Record& record;
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> last_number{0};
  std::mutex mutex;
  std::vector<Outcome> ended;
  std::vector<std::thread> threads;
};

/// The identifier of a request.
std::string RequestId(std::uint64_t number);

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_CALLERS_H_
