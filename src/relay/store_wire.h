#ifndef AUBURNYARD_SRC_RELAY_STORE_WIRE_H_
#define AUBURNYARD_SRC_RELAY_STORE_WIRE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/http_connection.h"

namespace auburnyard {

/// One key of the store, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

/// A page of keys, or the changes that a watch returned.
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;           ///< further items or changes exist already
  std::uint64_t revision = 0;  ///< up to which the items reach
  /// Of a mirror: its host watches the store and is in contact with it.
  bool direct = false;
  /// Of a mirror: time since its host knew all changes.
  std::chrono::milliseconds age{0};
  /// Of a mirror: hosts that follow it.
  std::size_t followers = 0;
};

/// What another entry host wants to know of the store's keys.
struct MirrorRequest {
  bool all = false;
  std::uint64_t after = 0;            ///< revision, unless `all`
  std::chrono::milliseconds wait{0};  ///< for a change
};

/// Calls to the store and their responses. Supplied by the adapter of the
/// deployment. The decoders throw Error(kProtocol).
struct StoreCodec {
  /// Keys with the prefix, after the key `after` if that is not empty. A cheap
  /// read may be seconds old; its revision says so.
  std::function<HttpCall(std::string_view prefix,
                         std::string_view after,
                         bool allow_stale)>
      encode_range;
  /// Waits for changes after the revision.
  std::function<HttpCall(std::string_view prefix,
                         std::uint64_t after_revision,
                         std::chrono::milliseconds wait)>
      encode_watch;
  std::function<StorePage(const HttpResponse& response)> decode_range;
  std::function<StorePage(const HttpResponse& response)> decode_watch;
  std::function<HttpCall(std::chrono::milliseconds lifetime)> encode_lease;
  std::function<std::uint64_t(const HttpResponse& response)> decode_lease;
  std::function<HttpCall(std::uint64_t lease)> encode_renewal;
  std::function<HttpCall(std::uint64_t lease)> encode_release;
  /// Writes a key that is removed when the lease ends.
  std::function<HttpCall(std::string_view key,
                         std::string_view value,
                         std::uint64_t lease)>
      encode_put;
  /// The store no longer has the history that the watch needs.
  std::function<bool(const HttpResponse& response)> history_lost;
  /// Reads a range or watch call that another host sends to this host's mirror.
  /// Throws Error(kBadRequest).
  std::function<MirrorRequest(const HttpRequest& request)>
      decode_mirror_request;
  /// Answer to it; without a page, the changes asked for are forgotten.
  std::function<HttpResponse(const MirrorRequest& request,
                             const std::optional<StorePage>& page)>
      encode_mirror_response;
  /// The lease that the call names has ended.
  std::function<bool(const HttpResponse& response)> lease_ended;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_WIRE_H_
