#ifndef AUBURNYARD_SRC_NET_PLATFORM_CLIENT_H_
#define AUBURNYARD_SRC_NET_PLATFORM_CLIENT_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/net/call_pool.h"
#include "src/net/platform_result.h"

namespace auburnyard {

struct PlatformClientOptions {
  std::chrono::milliseconds timeout{
      2'000};  ///< of a call; for a watch, `wait` is added
  CallPoolLimits calls{.max_connections = 4, .max_waiting = 256};
  /// Watches use separate connections, so that a pending watch does not delay a
  /// write.
  CallPoolLimits watches{.max_connections = 4, .max_waiting = 8};
};

/// Asynchronous client of the platform's key-value service. Calls are never
/// retried. Callbacks run on a thread of the context. Thread-safe.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
 public:
  using GetCallback = std::function<void(GetResult)>;
  using WriteCallback = std::function<void(WriteResult)>;
  using WatchCallback = std::function<void(WatchResult)>;
  using LeaseCallback = std::function<void(LeaseResult)>;

  PlatformClient(boost::asio::io_context& context,
                 const HostPort& server,
                 PlatformClientOptions options);

  void Get(std::string_view key, GetCallback done);
  /// Writes if the stored version equals the expected version.
  void Put(const PutCall& put, WriteCallback done);
  void Delete(std::string_view key,
              std::uint64_t expect_version,
              WriteCallback done);
  /// Returns the entries under `prefix` that changed after position `after`, or
  /// none once `wait` has elapsed. Position 0 returns all entries at once.
  void Watch(std::string_view prefix,
             std::uint64_t after,
             std::chrono::milliseconds wait,
             WatchCallback done);
  void CreateLease(std::chrono::milliseconds ttl, LeaseCallback done);
  /// The status is kNotFound if the lease has expired.
  void KeepLeaseAlive(std::string_view id, LeaseCallback done);
  void Close();

  PlatformCounters counters() const;

 private:
  void Count(PlatformCallKind kind, PlatformStatus status);
  void SendWrite(PlatformCallKind kind, HttpCall call, WriteCallback done);
  void SendLeaseCall(HttpCall call, std::string id, LeaseCallback done);

  PlatformClientOptions options;
  std::shared_ptr<CallPool> calls;
  std::shared_ptr<CallPool> watches;
  std::array<std::array<std::atomic<std::uint64_t>, kPlatformStatusCount>,
             kPlatformCallKindCount>
      counts{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_PLATFORM_CLIENT_H_
