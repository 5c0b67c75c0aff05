#ifndef AUBURNYARD_SRC_RELAY_STORE_CODEC_H_
#define AUBURNYARD_SRC_RELAY_STORE_CODEC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/http_connection.h"
#include "src/relay/store_version.h"

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
  std::uint64_t revision = 0;  ///< up to which the items are complete
  std::uint64_t epoch = 0;     ///< of the store, of all revisions in the page
  /// From a mirror: its host watches the store and the store answers it.
  bool direct = false;
  /// From a mirror: time since its host had all changes.
  std::chrono::milliseconds age{0};
  /// From a mirror: number of hosts that follow it.
  std::size_t followers = 0;

  StoreVersion version() const { return {this->epoch, this->revision}; }
};

/// Request of another entry host for the store's keys.
struct MirrorRequest {
  bool all = false;
  std::uint64_t after = 0;            ///< revision, unless `all`
  std::uint64_t epoch = 0;            ///< of `after`
  std::chrono::milliseconds wait{0};  ///< for a change
};

/// Changes of several keys that take effect together, and only while the keys
/// of `expected` have these revisions (0: the key does not exist).
struct StoreTransaction {
  struct Expected {
    std::string key;
    std::uint64_t revision = 0;
  };
  struct Put {
    std::string key;
    std::string value;
  };
  std::vector<Expected> expected;
  std::vector<Put> puts;
  std::vector<std::string> removed;
};

/// Calls to the store and their responses. Supplied by the adapter of the
/// deployment. The decoders throw Error(kProtocol).
struct StoreCodec {
  /// Reads keys with the prefix, after the key `after` if that is not empty. A
  /// stale read is cheaper, but its data may be seconds old; its revision shows
  /// this.
  std::function<HttpCall(std::string_view prefix,
                         std::string_view after,
                         bool allow_stale)>
      encode_range;
  /// Waits for changes after the revision.
  std::function<HttpCall(std::string_view prefix,
                         std::uint64_t after_revision,
                         std::chrono::milliseconds wait)>
      encode_watch;
  /// Waits for changes after the version at the mirror of another host, which
  /// may know another epoch.
  std::function<HttpCall(StoreVersion after, std::chrono::milliseconds wait)>
      encode_mirror_watch;
  /// Epoch that an answer of the store states; none if it states none that can
  /// be decoded.
  std::function<std::optional<std::uint64_t>(const HttpResponse& response)>
      decode_epoch;
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
  std::function<HttpCall(const StoreTransaction& transaction)>
      encode_transaction;
  /// A condition of the transaction was not met.
  std::function<bool(const HttpResponse& response)> conflict;
  /// The store no longer has the history that the watch needs.
  std::function<bool(const HttpResponse& response)> history_lost;
  /// Decodes a range or watch call of another host to this host's mirror.
  /// Throws Error(kBadRequest).
  std::function<MirrorRequest(const HttpRequest& request)>
      decode_mirror_request;
  /// Encodes the response. Without a page, it reports that the requested
  /// history is no longer available.
  std::function<HttpResponse(const MirrorRequest& request,
                             const std::optional<StorePage>& page)>
      encode_mirror_response;
  /// The lease that the call names has ended.
  std::function<bool(const HttpResponse& response)> lease_ended;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_STORE_CODEC_H_
