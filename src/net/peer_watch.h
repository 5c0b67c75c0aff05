#ifndef AUBURNYARD_SRC_NET_PEER_WATCH_H_
#define AUBURNYARD_SRC_NET_PEER_WATCH_H_

#include <functional>
#include <mutex>

namespace auburnyard {

/// Tells the handler of a request that the client has closed its connection.
class PeerWatch {
 public:
  /// Runs `callback` when the client closes; at once if it has closed already.
  /// Replaces an earlier callback.
  void OnClosed(std::function<void()> callback);
  /// Drops the callback.
  void Reset();
  void NotifyClosed();

 private:
  std::mutex mutex;
  std::function<void()> callback;
  bool closed = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_PEER_WATCH_H_
