#ifndef AUBURNYARD_REVIEW_STANDIN_2_CLIENT_H_
#define AUBURNYARD_REVIEW_STANDIN_2_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-2/record.h"

namespace review {

/// What a client saw of one request.
struct Exchange {
  std::string request;
  std::size_t machine = 0;
  TimePoint sent;
  TimePoint ended;
  unsigned status = 0;  // 0: the connection ended without an answer
  std::string stamp;
  std::string server;    // that the stamp names
  bool leaving = false;  // the answer says that the server leaves
};

/// Clients that send requests which may run once to the machines of the
/// system, one after the other on a thread each, at a steady pace. They send
/// none again.
class Clients {
 public:
  struct Options {
    std::vector<std::uint16_t> machines;  // ports of their ingress
    std::size_t threads_per_machine = 4;
    std::chrono::milliseconds pace{500};  // of one thread
    std::chrono::milliseconds deadline{3'000};
    std::string host;
    std::string path;
  };

  Clients(Options options, Record& record);
  ~Clients() { this->Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Start();
  /// Waits until the last answers are in.
  void Stop();
  std::vector<Exchange> All() const;

 private:
  void Run(const std::stop_token& stop, std::size_t machine, std::size_t index);
  Exchange Send(std::size_t machine, const std::string& id) const;

  Options options;
  Record& record;
  mutable std::mutex mutex;
  std::vector<Exchange> exchanges;
  std::vector<std::jthread> threads;
};

/// Status of `GET /readiness`; 0 without an answer.
unsigned AskReadiness(std::uint16_t port);

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_2_CLIENT_H_
