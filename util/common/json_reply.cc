#include "util/common/json_reply.h"

#include <boost/json/serialize.hpp>

#include "auburnyard/query.h"

namespace auburnyard::util {

HttpResponse JsonReply(const boost::json::value& body, int status) {
  HttpResponse reply;
  reply.status = status;
  reply.body = boost::json::serialize(body);
  return reply;
}

HttpResponse ErrorReply(ErrorKind kind, const std::string& detail) {
  HttpResponse reply;
  reply.status = DescribeError(kind).http_status;
  reply.content_type = "application/problem+json";
  reply.body = SerializeRefusal(
      {.kind = kind, .run = RunState::kNotRun, .detail = detail});
  return reply;
}

}  // namespace auburnyard::util
