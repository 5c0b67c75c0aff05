#ifndef AUBURNYARD_SRC_RELAY_FEED_PARSER_H_
#define AUBURNYARD_SRC_RELAY_FEED_PARSER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace auburnyard::detail {

/// Feeds the buffered bytes to a Beast parser and removes the consumed ones.
/// Returns true once the message is complete. Sets `error` if the message is
/// malformed or if more than `max_unused` bytes remain unconsumed, such as an
/// endless chunk extension, which Beast's own limits do not count.
template <typename Parser>
bool FeedParser(Parser& parser,
                boost::beast::flat_buffer& buffer,
                std::size_t max_unused,
                boost::beast::error_code& error) {
  while (!parser.is_done() && buffer.size() > 0) {
    const std::size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    if (error == boost::beast::http::error::need_more) {
      error = {};
      if (used == 0) {
        if (buffer.size() > max_unused) {
          error = boost::beast::http::error::buffer_overflow;
        }
        return false;
      }
      continue;
    }
    if (error) {
      return false;
    }
  }
  return parser.is_done();
}

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_RELAY_FEED_PARSER_H_
