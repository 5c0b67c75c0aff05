#ifndef AUBURNYARD_REVIEW_STANDIN_2_STORE_H_
#define AUBURNYARD_REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

#include "review/standin-2/acceptor.h"

namespace review {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// The platform's metadata store: keys with revisions, watches and leases.
/// Thread-safe.
class Store {
 public:
  explicit Store(std::uint16_t port);

  /// Writes a value as the operator or a server does. The return is the
  /// store's acknowledgement.
  void Put(const std::string& key, const boost::json::object& value);
  void Remove(const std::string& key);
  /// While silent, the store answers nobody. Calls that it received meanwhile
  /// have no effect, and their connections are closed afterwards.
  void SetSilent(bool is_silent);

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<Item> item;  // empty: removed
  };
  using Parameters = std::map<std::string, std::string, std::less<>>;

  void Serve(Socket& socket);
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Range(const Parameters& parameters) const;
  HttpResponse Watch(const Parameters& parameters,
                     std::unique_lock<std::mutex>& lock);
  HttpResponse Transact(const std::string& body);
  HttpResponse EndLease(std::uint64_t lease);
  void Change(const std::string& key, std::optional<Item> item);
  static boost::json::object Describe(const std::string& key, const Item& item);

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::set<std::uint64_t> leases;
  std::uint64_t revision = 10;
  std::uint64_t last_lease = 0;
  bool silent = false;
  std::unique_ptr<Acceptor> acceptor;  // its threads use the other members
};

}  // namespace review

#endif  // AUBURNYARD_REVIEW_STANDIN_2_STORE_H_
