#ifndef AUBURNYARD_SRC_NET_HTTP_MESSAGE_H_
#define AUBURNYARD_SRC_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/net/disconnect_notifier.h"

namespace auburnyard {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;
using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A received request. `path` excludes the query string.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  HttpHeaders headers;
  std::shared_ptr<DisconnectNotifier>
      disconnect_notifier;   ///< reports when the client closes its connection
  std::uint64_t number = 0;  ///< ordinal on its connection, from 1
  std::uint64_t connection = 0;  ///< ordinal of its connection at the server

  /// Value of a header, empty if absent. The name is case-insensitive.
  std::string_view Header(std::string_view name) const;
  /// Decoded value of a query parameter, empty if absent.
  std::string Parameter(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  HttpHeaders headers;
  bool close = false;  ///< close the connection after this response

  std::string_view Header(std::string_view name) const;
};

/// Decodes percent-encoded text. Malformed escapes are copied unchanged.
std::string DecodePercent(std::string_view text);
std::string EncodePercent(std::string_view text);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_MESSAGE_H_
