#ifndef AUBURNYARD_UTIL_RELAY_STANDIN_STORE_STANDIN_H_
#define AUBURNYARD_UTIL_RELAY_STANDIN_STORE_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "src/net/http_server.h"

namespace auburnyard::util {

/// Simulated fault of the store.
enum class StoreFault {
  kNone,
  kSilent,       ///< no replies
  kBusy,         ///< 503
  kLostReplies,  ///< writes are applied, their replies are lost
  kLostAnswers,  ///< calls are processed, no answer is sent
};

/// Small stand-in for the platform's store: keys, watches, leases. Thread-safe.
class StoreStandin {
 public:
  explicit StoreStandin(boost::asio::io_context& context);
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  void Listen(std::uint16_t port = 0);
  std::string address() const;

  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key);
  void SetFault(StoreFault fault);
  /// Delays all answers.
  void SetDelay(std::chrono::milliseconds delay);
  /// Watches from earlier revisions get 410.
  void CompactHistory();
  void RevokeAllLeases();
  /// Remembers the present state for RestoreCopy.
  void SaveCopy();
  /// Returns to the saved state in the next epoch. Later writes and leases are
  /// lost, and their revisions and lease identifiers are assigned again.
  void RestoreCopy();
  /// Repeats the calls of Put and Remove since SaveCopy, as the operator and
  /// the targets do.
  void WriteAgain();
  /// Number of watches that wait for a change.
  std::size_t pending_watches() const;
  std::uint64_t calls(const std::string& path) const;
  bool Has(const std::string& key) const;

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
  };
  struct Copy {
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::set<std::uint64_t> leases;
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
  };
  struct PendingWatch {
    std::string prefix;
    std::uint64_t after = 0;
    HttpResponder respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void Range(const HttpRequest& request, const HttpResponder& respond) const;
  void Watch(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Lease(const HttpRequest& request);
  HttpResponse Transact(const HttpRequest& request);
  HttpResponse RevokeLease(std::uint64_t lease);
  void Change(const std::string& key,
              std::optional<std::string> value,
              std::uint64_t lease);
  boost::json::object EventsAfter(std::string_view prefix,
                                  std::uint64_t after) const;
  void NotifyWatches();
  /// Sends an answer under the current fault and delay.
  void Answer(const HttpResponder& respond, HttpResponse response) const;
  /// Never answers; the connection stays open.
  void Withhold(const HttpResponder& respond) const;

  boost::asio::io_context& context;
  std::shared_ptr<HttpServer> server;
  mutable std::mutex mutex;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::vector<std::shared_ptr<PendingWatch>> watches;
  std::set<std::uint64_t> leases;
  std::map<std::string, std::uint64_t> call_counts;
  std::uint64_t revision = 1;
  std::uint64_t compacted_revision = 0;
  std::uint64_t next_lease = 1;
  std::uint64_t epoch = 0;  // 0: answers do not state it
  Copy copy;
  // Calls of Put and Remove since the copy was saved.
  std::vector<std::pair<std::string, std::optional<std::string>>> later_writes;
  StoreFault fault = StoreFault::kNone;
  std::chrono::milliseconds answer_delay{0};
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_STANDIN_STORE_STANDIN_H_
