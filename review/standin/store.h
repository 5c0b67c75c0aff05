#ifndef AUBURNYARD_REVIEW_STANDIN_STORE_H_
#define AUBURNYARD_REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <map>

#include "review/standin/http.h"

namespace review {

/// The platform's metadata store: keys, watches, transactions and leases, as
/// PROTOCOL.md describes them. It keeps its whole history.
class Store {
 public:
  Store();

  std::uint16_t port() const { return this->server.port(); }
  /// A write of the operator or of a backend.
  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key);
  /// Number of keys with the prefix.
  std::size_t Count(const std::string& prefix);
  void Stop() {
    this->stopping = true;
    this->server.Stop();
  }

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    Milliseconds lifetime{0};
    SteadyTime end;
  };

  std::string Handle(const Message& request);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix,
                    std::uint64_t after,
                    Milliseconds wait);
  std::string Transact(const std::string& body);
  std::string Grant(const std::string& body);
  std::string Renew(std::uint64_t lease);
  std::string End(std::uint64_t lease);
  std::string EventsAfter(const std::string& prefix,
                          std::uint64_t after,
                          bool& any) const;
  void Change(const std::string& key,
              const std::string* value,
              std::uint64_t lease);
  void ExpireLeases();
  void DropLease(std::uint64_t lease);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t next_lease = 1;
  std::atomic<bool> stopping{false};
  Server server;
};

std::string EncodeBase64(std::string_view bytes);

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_STORE_H_
