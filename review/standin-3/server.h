#ifndef AUBURNYARD_REVIEW_STANDIN_3_SERVER_H_
#define AUBURNYARD_REVIEW_STANDIN_3_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "channel.h"
#include "record.h"

namespace auburnyard::review {

/// What a server answered to one execution.
struct Execution {
  std::string request_id;
  int status = 0;
  std::string body;
};

/// What the servers did, for the check. Thread-safe.
class Ledger {
 public:
  /// Returns the signature of the execution.
  std::string Add(const std::string& server, const Execution& execution);
  std::size_t Runs(const std::string& request_id) const;
  /// Empty if no server gave this signature.
  Execution Find(const std::string& signature) const;
  std::vector<std::string> RequestIds() const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::size_t> runs;
  std::map<std::string, Execution> executions;
};

/// A server of the platform. It runs `slots` requests at once, queues a few
/// more and turns away the others. Requests for a path that ends in "/absent"
/// are answered 404.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 2;
    unsigned queue = 2;
    std::chrono::milliseconds work{5};
    unsigned seed = 1;
  };
  /// Faults that can be switched on and off.
  struct Faults {
    /// Share of the answers after which the first bytes of a second copy
    /// follow, when the next request on the connection has come in.
    std::atomic<double> cut_copies{0};
    /// Share of the requests that are run and answered 503.
    std::atomic<double> failures{0};
  };

  Server(Options server_options, Ledger& run_ledger, Record& run_record);
  /// Registration for the store.
  std::string Registration() const;
  const std::string& id() const { return this->options.id; }
  std::size_t cut_copy_count() const { return this->cut_copies.load(); }
  std::size_t failure_count() const { return this->failures.load(); }
  std::size_t answer_count() const { return this->answers.load(); }
  Faults faults;

 private:
  void Serve(Channel& channel);
  std::string Answer(const Message& request);
  std::string Run(const Message& request);
  bool SendCutCopy(Channel& channel, const std::string& previous);
  double Draw();

  Options options;
  Ledger& ledger;
  Record& record;
  std::mutex mutex;
  std::mt19937 random;
  std::atomic<unsigned> present{0};
  std::atomic<unsigned> running{0};
  std::atomic<std::size_t> cut_copies{0};
  std::atomic<std::size_t> failures{0};
  std::atomic<std::size_t> answers{0};
  std::unique_ptr<Acceptor> acceptor;
};

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_SERVER_H_
