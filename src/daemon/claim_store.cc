#include "src/daemon/claim_store.h"

#include <utility>

namespace auburnyard {

namespace {

StoreReply FromRead(const GetResult& result) {
  switch (result.status) {
    case PlatformStatus::kOk:
      return {StoreStatus::kOk, result.entry.version, result.entry.value};
    case PlatformStatus::kNotFound:
      return {StoreStatus::kOk, 0, ""};
    default:
      return {};
  }
}

// A write that was refused or could not be sent counts as unknown as well: the
// claim table then reads the key back, which is always safe.
StoreReply FromWrite(const WriteResult& result) {
  switch (result.status) {
    case PlatformStatus::kOk:
      return {StoreStatus::kOk, result.version, ""};
    case PlatformStatus::kConflict:
    case PlatformStatus::kNotFound:
      return {StoreStatus::kConflict, 0, ""};
    default:
      return {};
  }
}

}  // namespace

ClaimStore MakeClaimStore(std::shared_ptr<PlatformClient> client) {
  ClaimStore store;
  store.read = [client](const std::string& key, ClaimStore::Callback done) {
    client->Get(key, [done = std::move(done)](const GetResult& result) {
      done(FromRead(result));
    });
  };
  store.write = [client](const std::string& key, const std::string& value,
                         std::uint64_t expect_version,
                         ClaimStore::Callback done) {
    auto finish = [done = std::move(done)](const WriteResult& result) {
      done(FromWrite(result));
    };
    if (value.empty()) {
      client->Delete(key, expect_version, std::move(finish));
    } else {
      client->Put({.key = key,
                   .value = value,
                   .expect_version = expect_version,
                   .lease = ""},
                  std::move(finish));
    }
  };
  return store;
}

}  // namespace auburnyard
