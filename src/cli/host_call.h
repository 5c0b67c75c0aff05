#ifndef AUBURNYARD_SRC_CLI_HOST_CALL_H_
#define AUBURNYARD_SRC_CLI_HOST_CALL_H_

#include <iosfwd>
#include <string>

#include <boost/json/object.hpp>

#include "src/cli/options.h"
#include "src/net/http_connection.h"

namespace auburnyard::cli {

enum class CallKey { kNone, kOperator };

/// Sends a call to the entry host of --host and returns the answer. With
/// `kOperator` the key of --key-file is sent. Throws Error with the kind of the
/// problem details; a fresh plan that comes with a conflict is printed.
boost::json::object CallHost(const Options& options,
                             CallKey key,
                             HttpCall call,
                             std::ostream& out);

/// Positive number of an option. Throws Error(kBadRequest).
std::uint64_t IntegerOption(const Options& options,
                            std::string_view name,
                            std::uint64_t fallback);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_HOST_CALL_H_
