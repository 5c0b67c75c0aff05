#ifndef AUBURNYARD_SRC_NET_DISCONNECT_NOTIFIER_H_
#define AUBURNYARD_SRC_NET_DISCONNECT_NOTIFIER_H_

#include <functional>
#include <mutex>

namespace auburnyard {

/// Notifies the handler of a request when the client closes its connection.
class DisconnectNotifier {
 public:
  /// Sets the callback that runs when the client closes the connection,
  /// replacing an earlier one. Runs it at once if the connection is closed
  /// already.
  void OnClosed(std::function<void()> callback);
  /// Removes the callback.
  void Reset();
  void NotifyClosed();

 private:
  std::mutex mutex;
  std::function<void()> callback;
  bool closed = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_DISCONNECT_NOTIFIER_H_
