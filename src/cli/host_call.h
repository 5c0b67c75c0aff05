#ifndef AUBURNYARD_SRC_CLI_HOST_CALL_H_
#define AUBURNYARD_SRC_CLI_HOST_CALL_H_

#include <iosfwd>
#include <string>

#include <boost/json/object.hpp>

#include "src/cli/options.h"
#include "src/net/http_connection.h"

namespace auburnyard::cli {

/// Key that authorizes a call.
enum class CallKey { kNone, kOperator };

/// Sends a call to the entry host in --host and returns the answer. With
/// `kOperator`, sends the key from --key-file. Throws Error with the kind in
/// the problem details; prints the recomputed plan that a conflict contains.
boost::json::object CallHost(const Options& options,
                             CallKey key,
                             HttpCall call,
                             std::ostream& out);

/// Returns an option that is a positive integer, or `fallback` if it is absent.
/// Throws Error(kBadRequest).
std::uint64_t ParseIntegerOption(const Options& options,
                                 std::string_view name,
                                 std::uint64_t fallback);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_HOST_CALL_H_
