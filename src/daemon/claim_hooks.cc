#include "src/daemon/claim_hooks.h"

#include <utility>

namespace auburnyard {

StoreReply ToStoreReply(GetResult result) {
  switch (result.status) {
    case PlatformStatus::kOk:
      return {StoreStatus::kOk, result.entry.version,
              std::move(result.entry.value)};
    case PlatformStatus::kNotFound:
      return {.status = StoreStatus::kOk};
    default:
      return {};
  }
}

StoreReply ToStoreReply(const WriteResult& result) {
  switch (result.status) {
    case PlatformStatus::kOk:
      return {StoreStatus::kOk, result.version, ""};
    case PlatformStatus::kConflict:
      return {.status = StoreStatus::kConflict};
    default:
      // A write that was not sent is treated like one with an unknown outcome
      // and read back, at the cost of one extra read.
      return {};
  }
}

ClaimStore MakeClaimStore(std::shared_ptr<PlatformClient> client) {
  ClaimStore store;
  store.read = [client](const std::string& key, ClaimStore::Callback done) {
    client->Get(key, [done = std::move(done)](GetResult result) {
      done(ToStoreReply(std::move(result)));
    });
  };
  store.write = [client](const std::string& key, const std::string& value,
                         std::uint64_t expect_version,
                         ClaimStore::Callback done) {
    auto finish = [done = std::move(done)](const WriteResult& result) {
      done(ToStoreReply(result));
    };
    if (value.empty()) {
      client->Delete(key, expect_version, std::move(finish));
    } else {
      client->Put(
          {.key = key, .value = value, .expect_version = expect_version},
          std::move(finish));
    }
  };
  return store;
}

}  // namespace auburnyard
