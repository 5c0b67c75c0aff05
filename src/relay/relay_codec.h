#ifndef AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_
#define AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/fan_out.h"
#include "auburnyard/load_report.h"
#include "src/net/http_message.h"

namespace auburnyard {

/// A caller's request, decoded.
struct CallerRequest {
  std::string host;
  std::string path;  ///< without the query
  std::string request_id;
  /// Time-out of the caller; empty if the request has none.
  std::optional<std::chrono::milliseconds> caller_timeout;
  /// Time within which another entry host needs the answer.
  std::optional<std::chrono::milliseconds> answer_within;
  /// Shards that another entry host requests; empty: all shards of the route.
  std::vector<std::string> shards;
  /// Maximum number of parts that may be missing from the answer to another
  /// entry host.
  std::size_t max_missing_parts = 0;
  /// Request line and forwarded headers, without the terminating empty line.
  std::string forwarded_head;
  std::string body;
  bool head_method = false;
  bool keep_alive = true;
};

/// Decoded headers of a target's reply.
struct ReplyHead {
  int status = 0;
  std::string request_id;  ///< of the answered request; may be empty
  std::string signature;
  std::vector<std::string> part_signatures;  ///< from another entry host
  /// Shards whose parts it does not contain.
  std::vector<std::string> missing_services;
  bool refused = false;       ///< the target did not run the request
  bool wrong_target = false;  ///< another target has this address
  bool encoded_body = false;  ///< the body is not the target's own bytes
  std::optional<LoadReport> load;
  std::optional<std::chrono::milliseconds> remaining_warm_up;
  /// Idle time-out of the target's connections; empty if not reported.
  std::optional<std::chrono::milliseconds> keep_alive;
};

/// Encodes and decodes requests and replies. Supplied by the adapter of the
/// deployment.
struct RelayCodec {
  std::function<CallerRequest(BeastRequest request)> decode_request;
  /// Remaining headers of one attempt, including the terminating empty line.
  std::function<std::string(std::chrono::milliseconds left,
                            std::string_view target_id)>
      encode_attempt;
  std::function<ReplyHead(const BeastResponse& response)> decode_reply;
  /// Status line and forwarded headers of a target's reply, without
  /// Content-Length and the empty line.
  std::function<std::string(const BeastResponse& response)> encode_reply;
  /// Header with the identifier of the answered request.
  std::function<std::string(std::string_view request_id)> encode_request_id;
  /// Header with the time within which the answer of another entry host is
  /// needed.
  std::function<std::string(std::chrono::milliseconds within)>
      encode_answer_within;
  /// Headers that request some shards of the route from another entry host. Up
  /// to `max_missing_parts` of them may be missing from its answer.
  std::function<std::string(std::span<const std::string_view> shards,
                            std::size_t max_missing_parts)>
      encode_bundle;
  /// Header with the shards that are missing from an answer to another entry
  /// host.
  std::function<std::string(std::span<const std::string> shards)>
      encode_missing_services;
  /// Status line and headers of a merged answer.
  std::function<std::string(const FanOutResult& result)> encode_merged;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_
