#ifndef AUBURNYARD_UTIL_COMMON_JSON_REPLY_H_
#define AUBURNYARD_UTIL_COMMON_JSON_REPLY_H_

#include <string>

#include <boost/json/value.hpp>

#include "auburnyard/error.h"
#include "src/net/http_message.h"

namespace auburnyard::util {

HttpResponse JsonReply(const boost::json::value& body, int status = 200);

/// Problem details of a request that had no effect.
HttpResponse ErrorReply(ErrorKind kind, const std::string& detail);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_COMMON_JSON_REPLY_H_
