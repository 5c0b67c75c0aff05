#ifndef AUBURNYARD_SRC_RELAY_LEASE_STATE_H_
#define AUBURNYARD_SRC_RELAY_LEASE_STATE_H_

#include <algorithm>
#include <cstdint>

namespace auburnyard {

/// Decides whether a lease, and a key written under it, can be relied on. A
/// lease is valid only in the epoch of the store in which it was granted: after
/// a higher one it may be gone, and its identifier may be that of another host.
class LeaseState {
 public:
  /// Records an epoch of the store. Returns whether a lease was lost by it.
  bool ObserveEpoch(std::uint64_t observed) {
    this->latest_epoch = std::max(this->latest_epoch, observed);
    if (this->lease == 0 || this->granted_in == this->latest_epoch) {
      return false;
    }
    this->OnEnded();
    return true;
  }
  /// Returns false if the lease is of an older epoch than a known one.
  bool OnGranted(std::uint64_t granted, std::uint64_t epoch) {
    this->ObserveEpoch(epoch);
    if (epoch < this->latest_epoch) {
      return false;
    }
    this->lease = granted;
    this->granted_in = epoch;
    this->key_written = false;
    return true;
  }
  /// The store acknowledged in `epoch` that the key was written under the
  /// lease. Returns whether the key counts as written.
  bool OnWritten(std::uint64_t epoch) {
    this->ObserveEpoch(epoch);
    this->key_written = this->lease != 0 && epoch == this->granted_in;
    return this->key_written;
  }
  void OnEnded() {
    this->lease = 0;
    this->key_written = false;
  }

  std::uint64_t id() const { return this->lease; }  ///< 0: none
  std::uint64_t epoch() const { return this->latest_epoch; }
  bool written() const { return this->key_written; }

 private:
  std::uint64_t lease = 0;
  std::uint64_t granted_in = 0;
  std::uint64_t latest_epoch = 0;
  bool key_written = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_LEASE_STATE_H_
