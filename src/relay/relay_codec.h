#ifndef AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_
#define AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/admission_control.h"
#include "auburnyard/fan_out.h"
#include "auburnyard/load_report.h"
#include "auburnyard/target_entry.h"
#include "src/net/http_message.h"

namespace auburnyard {

/// Parts that an entry host requests from another one, with what their answer
/// depends on of the route that the requesting host has in force. The other
/// host may have another version of the routes.
struct BundleRequest {
  std::vector<std::string> shards;
  /// Maximum number of parts that may be missing from the answer.
  std::size_t max_missing_parts = 0;
  std::uint32_t top_records = 0;
  std::uint32_t max_attempts = 1;  ///< for each part
  std::uint32_t priority = 0;
  std::chrono::milliseconds latency_objective{0};
  std::string account;  ///< of the caller; may be empty
  /// Parts that may be missing, in proportion to the size of the bundle. Empty:
  /// the requesting host expects no refusal for lack of capacity.
  std::optional<std::uint32_t> refusable_missing_parts;
};

/// A caller's request, decoded.
struct CallerRequest {
  std::string host;
  std::string path;  ///< without the query
  std::string request_id;
  /// Time-out of the caller; empty if the request has none.
  std::optional<std::chrono::milliseconds> caller_timeout;
  /// Time within which another entry host needs the answer.
  std::optional<std::chrono::milliseconds> answer_within;
  /// Set if the request names the parts that another entry host needs.
  std::optional<BundleRequest> bundle;
  std::string api_key;  ///< of the caller; may be empty
  std::string account;  ///< set by this host; empty: none
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
  /// Maximum number of records with which another entry host merged it.
  std::optional<std::uint32_t> top_records;
  /// A field that may occur once occurs several times, so that two heads may
  /// have been read as one.
  bool repeated_field = false;
  bool refused = false;       ///< the target did not run the request
  bool wrong_target = false;  ///< another target has this address
  bool leaving = false;       ///< the target announces that it leaves
  /// Targets, without their addresses, that announced it to another entry host.
  std::vector<TargetIncarnation> leaving_targets;
  /// The host did not start the bundle because it could not be answered in
  /// time.
  bool overloaded = false;
  /// Shares of the requests that the host can answer in time.
  std::vector<AdmissionShare> admission;
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
  /// Header that names the caller's account to a target.
  std::function<std::string(std::string_view name)> encode_account;
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
  /// Headers that request parts from another entry host.
  std::function<std::string(const BundleRequest& bundle)> encode_bundle;
  /// Headers that are added to a merged answer for another entry host.
  std::function<std::string(std::uint32_t top_records,
                            std::span<const std::string> missing_services)>
      encode_bundle_answer;
  /// Header with the shares that this host can answer in time; `refused`: the
  /// bundle was not started for that reason.
  std::function<std::string(std::span<const AdmissionShare> shares,
                            bool refused)>
      encode_admission;
  /// Header that names targets which leave to another entry host.
  std::function<std::string(std::span<const TargetIncarnation> targets)>
      encode_leaving;
  /// Status line and headers of a merged answer.
  std::function<std::string(const FanOutResult& result)> encode_merged;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_CODEC_H_
