#ifndef AUBURNYARD_MEMORY_BUDGET_H_
#define AUBURNYARD_MEMORY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace auburnyard {

/// Bound on the bytes that all exchanges of a process buffer together. When it
/// is exceeded, exchanges of the source that holds the most bytes are ended,
/// the largest first, so that a faulty source does not cost others their
/// answers. Performs no I/O; for one thread.
class MemoryBudget {
 public:
  /// An exchange that was ended.
  struct Eviction {
    std::string_view kind;
    std::string_view name;
    std::size_t bytes = 0;         ///< that it held
    std::size_t source_bytes = 0;  ///< that its source held
    std::size_t used = 0;          ///< by all exchanges
    std::size_t limit = 0;
  };
  struct Hooks {
    /// Arranges a call of Reclaim() outside of the present callback.
    std::function<void()> schedule_reclaim;
    /// May be empty.
    std::function<void(const Eviction&)> on_evicted;
  };

  /// `limit` in bytes.
  MemoryBudget(std::size_t limit, Hooks hooks);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Ends exchanges until the rest is within the limit.
  void Reclaim();
  void SetLimit(std::size_t bytes);
  std::size_t limit() const { return this->limit_bytes; }
  std::size_t used() const { return this->used_bytes; }

 private:
  friend class MemoryCharge;
  struct Source {
    std::size_t bytes = 0;
    std::size_t exchanges = 0;
  };
  using Sources = std::map<const void*, Source>;
  struct Holder {
    Sources::iterator source;
    std::string_view kind;
    std::string name;
    std::function<void()> evict;
    std::size_t bytes = 0;
    bool evictable = true;
    bool evicted = false;
  };
  using Holders = std::list<Holder>;

  Holders::iterator Add(const void* source,
                        std::string_view kind,
                        std::string name,
                        std::function<void()> evict);
  void Remove(Holders::iterator holder);
  void Set(Holder& holder, std::size_t bytes);
  void CheckLimit();
  /// The exchange to end next; the end of the list if there is none.
  Holders::iterator FindVictim();

  std::size_t limit_bytes;
  Hooks hooks;
  std::size_t used_bytes = 0;
  bool reclaim_scheduled = false;
  Sources sources;
  Holders holders;
};

/// Bytes that one exchange holds, for its lifetime.
class MemoryCharge {
 public:
  /// `budget`: null if memory is not bounded. `source`: identifies the remote
  /// side, whose exchanges count together. `kind` must outlive the charge.
  /// `evict` ends the exchange; it is called from MemoryBudget::Reclaim.
  MemoryCharge(MemoryBudget* budget,
               const void* source,
               std::string_view kind,
               std::string name,
               std::function<void()> evict);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(std::size_t bytes);
  /// An exchange that cannot be ended still counts.
  void SetEvictable(bool evictable);

 private:
  MemoryBudget* budget;
  MemoryBudget::Holders::iterator holder;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_MEMORY_BUDGET_H_
