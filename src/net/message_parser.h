#ifndef AUBURNYARD_SRC_NET_MESSAGE_PARSER_H_
#define AUBURNYARD_SRC_NET_MESSAGE_PARSER_H_

#include <cstdint>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/net/message_head.h"

namespace auburnyard {

/// Parser of requests or responses for all connections. Rejects messages whose
/// end is in doubt, bounds chunk extensions, and drops trailer fields.
template <bool is_request>
class MessageParser
    : public boost::beast::http::parser<is_request,
                                        boost::beast::http::string_body> {
 private:
  using StringView = boost::beast::string_view;

  /// Limit for all chunks of a message together.
  static constexpr std::size_t kMaxExtensionBytes = 4 * 1024;

  // A trailer field would count as a header field, for example as a second
  // identifier of the request.
  void on_field_impl(boost::beast::http::field name,
                     StringView name_string,
                     StringView value,
                     boost::beast::error_code&) override {
    if (!this->is_header_done()) {
      this->get().insert(name, name_string, value);
    }
  }
  void on_header_impl(boost::beast::error_code& error) override {
    error = CheckHead(this->get().base());
  }
  void on_chunk_header_impl(std::uint64_t,
                            StringView extensions,
                            boost::beast::error_code& error) override {
    this->extension_bytes += extensions.size();
    error = {};
    if (this->extension_bytes > kMaxExtensionBytes) {
      error = boost::beast::http::error::bad_chunk_extension;
    }
  }

  std::size_t extension_bytes = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_MESSAGE_PARSER_H_
