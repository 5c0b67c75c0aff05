#include "src/net/peer_watch.h"

#include <utility>

namespace auburnyard {

void PeerWatch::OnClosed(std::function<void()> new_callback) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->closed) {
      this->callback = std::move(new_callback);
      return;
    }
  }
  new_callback();
}

void PeerWatch::Reset() {
  const std::lock_guard lock(this->mutex);
  this->callback = nullptr;
}

void PeerWatch::NotifyClosed() {
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
