#include "src/daemon/operator_reply.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/query.h"

namespace auburnyard {

HttpResponse JsonResponse(const boost::json::object& body) {
  HttpResponse response;
  response.body = boost::json::serialize(body);
  return response;
}

HttpResponse ProblemDetails(ErrorKind kind,
                            const std::string& detail,
                            const boost::json::object& extra) {
  HttpResponse response;
  response.status = DescribeError(kind).http_status;
  response.content_type = "application/problem+json";
  const RunState run = kind == ErrorKind::kOutcomeUnknown ? RunState::kUnknown
                                                          : RunState::kNotRun;
  boost::json::object body =
      boost::json::parse(
          SerializeRefusal({.kind = kind, .run = run, .detail = detail}))
          .as_object();
  for (const auto& member : extra) {
    body[member.key()] = member.value();
  }
  response.body = boost::json::serialize(body);
  if (kind == ErrorKind::kUnauthorized) {
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  return response;
}

}  // namespace auburnyard
