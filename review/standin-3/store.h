#ifndef AUBURNYARD_REVIEW_STANDIN_3_STORE_H_
#define AUBURNYARD_REVIEW_STANDIN_3_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "channel.h"

namespace auburnyard::review {

/// The platform's store: ranges, watches, transactions and leases. A lease
/// lasts until it is ended.
class Store {
 public:
  Store();
  std::uint16_t port() const { return this->acceptor->port(); }
  void Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;
    bool removed = false;
  };

  void Serve(Channel& channel);
  int Handle(const std::string& method,
             const std::string& target,
             const std::string& body,
             boost::json::object& answer);
  void HandleRange(const std::map<std::string, std::string>& query,
                   boost::json::object& answer);
  void HandleWatch(const std::map<std::string, std::string>& query,
                   boost::json::object& answer);
  int HandleTransaction(const std::string& body, boost::json::object& answer);
  /// The mutex must be held.
  void PutLocked(const std::string& key,
                 const std::string& value,
                 std::uint64_t lease);
  void RemoveLocked(const std::string& key);

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 100;
  std::uint64_t last_lease = 1'000;
  std::set<std::uint64_t> leases;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::unique_ptr<Acceptor> acceptor;
};

}  // namespace auburnyard::review

#endif  // AUBURNYARD_REVIEW_STANDIN_3_STORE_H_
