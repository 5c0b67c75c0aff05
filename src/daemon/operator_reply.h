#ifndef AUBURNYARD_SRC_DAEMON_OPERATOR_REPLY_H_
#define AUBURNYARD_SRC_DAEMON_OPERATOR_REPLY_H_

#include <string>

#include <boost/json/object.hpp>

#include "auburnyard/error.h"
#include "src/net/http_message.h"

namespace auburnyard {

HttpResponse JsonResponse(const boost::json::object& body);
/// Problem details; `extra` adds members to them. An error of kind
/// kOutcomeUnknown has run state "unknown", every other "not_run".
HttpResponse ProblemDetails(ErrorKind kind,
                            const std::string& detail,
                            const boost::json::object& extra = {});

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_OPERATOR_REPLY_H_
