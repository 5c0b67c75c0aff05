#ifndef AUBURNYARD_SRC_RELAY_RELAY_WIRE_H_
#define AUBURNYARD_SRC_RELAY_RELAY_WIRE_H_

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
  /// Time that the caller will wait; empty if it did not say.
  std::optional<std::chrono::milliseconds> caller_timeout;
  /// Time within which another entry host needs the answer.
  std::optional<std::chrono::milliseconds> answer_within;
  /// Shards that another entry host asks for; empty: all of the route.
  std::vector<std::string> shards;
  /// Parts that the answer to another entry host may leave out.
  std::size_t max_missing_parts = 0;
  /// Request line and the headers that are passed on, without the last line.
  std::string forwarded_head;
  std::string body;
  bool head_method = false;
  bool keep_alive = true;
};

/// What the headers of a target's reply say.
struct ReplyHead {
  int status = 0;
  std::string request_id;  ///< of the request that is answered; may be empty
  std::string signature;
  std::vector<std::string> part_signatures;   ///< of another entry host
  std::vector<std::string> missing_services;  ///< shards it has no part of
  bool refused = false;       ///< the target did not run the request
  bool wrong_target = false;  ///< another target has this address
  bool encoded_body = false;  ///< the body is not the target's own bytes
  std::optional<LoadReport> load;
  std::optional<std::chrono::milliseconds> remaining_warm_up;
  /// How long the target keeps an idle connection; empty if not told.
  std::optional<std::chrono::milliseconds> keep_alive;
};

/// How requests and replies look on the wire. Supplied by the adapter of the
/// deployment.
struct RelayWire {
  std::function<CallerRequest(BeastRequest request)> decode_request;
  /// Rest of the head of one attempt, with the empty line at its end.
  std::function<std::string(std::chrono::milliseconds left,
                            std::string_view target_id)>
      encode_attempt;
  std::function<ReplyHead(const BeastResponse& response)> decode_reply;
  /// Status line and headers of a target's reply that are passed on; no
  /// content length, no empty line.
  std::function<std::string(const BeastResponse& response)> encode_reply;
  /// Header that names the request that is answered.
  std::function<std::string(std::string_view request_id)> encode_request_id;
  /// Header that tells another entry host when its answer is needed.
  std::function<std::string(std::chrono::milliseconds within)>
      encode_answer_within;
  /// Headers that ask another entry host for some shards of the route, of which
  /// its answer may leave out `max_missing_parts`.
  std::function<std::string(std::span<const std::string_view> shards,
                            std::size_t max_missing_parts)>
      encode_bundle;
  /// Header that names the shards that an answer to another entry host lacks.
  std::function<std::string(std::span<const std::string> shards)>
      encode_missing_services;
  /// Status line and headers of a merged answer.
  std::function<std::string(const FanOutResult& result)> encode_merged;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_WIRE_H_
