#include "src/net/disconnect_notifier.h"

#include <utility>

namespace auburnyard {

void DisconnectNotifier::OnClosed(std::function<void()> new_callback) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->closed) {
      this->callback = std::move(new_callback);
      return;
    }
  }
  new_callback();
}

void DisconnectNotifier::Reset() {
  const std::lock_guard lock(this->mutex);
  this->callback = nullptr;
}

void DisconnectNotifier::NotifyClosed() {
  std::function<void()> pending;
  {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    pending.swap(this->callback);
  }
  if (pending) {
    pending();
  }
}

}  // namespace auburnyard
