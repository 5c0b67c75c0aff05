#ifndef AUBURNYARD_SRC_NET_MESSAGE_HEAD_H_
#define AUBURNYARD_SRC_NET_MESSAGE_HEAD_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace auburnyard {

/// Why the head of an HTTP message cannot be relied on, beyond what Beast's
/// parser rejects.
enum class HeadFault {
  kNone,
  kBadCoding,        ///< the body does not end where "chunked" ends it
  kUnknownCoding,    ///< a transfer coding other than "chunked"
  kCodingAndLength,  ///< a transfer coding beside a length
  kCodingInHttp10,   ///< a transfer coding in HTTP/1.0
  kSeveralLengths,   ///< several lengths or a list of them
  kSeveralHosts,
  kMergedHeads,  ///< a status line inside the reason phrase or a field value
};

HeadFault CheckHead(
    const boost::beast::http::header<true, boost::beast::http::fields>& head);
HeadFault CheckHead(
    const boost::beast::http::header<false, boost::beast::http::fields>& head);

/// Found by argument-dependent lookup.
boost::beast::error_code make_error_code(HeadFault fault);

}  // namespace auburnyard

namespace boost::system {

template <>
struct is_error_code_enum<auburnyard::HeadFault> : std::true_type {};

}  // namespace boost::system

#endif  // AUBURNYARD_SRC_NET_MESSAGE_HEAD_H_
