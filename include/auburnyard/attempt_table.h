#ifndef AUBURNYARD_ATTEMPT_TABLE_H_
#define AUBURNYARD_ATTEMPT_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "auburnyard/error.h"
#include "auburnyard/gate_request.h"

namespace auburnyard {

/// One attempt of a query at one target.
struct Attempt {
  AttemptId id;
  std::string target;
  std::size_t shard = 0;
  std::uint32_t generation = 0;   ///< number of the pinned snapshot, from 1
  bool charged = true;            ///< false: a hedge that took no token
  bool dispatched = false;        ///< sent to its target by a gate
  bool cancelled = false;         ///< the query no longer waits for it
  std::optional<RunState> ended;  ///< empty: not ended yet
};

/// All attempts of one query, including those for earlier snapshots: the run
/// state of a refusal covers every attempt.
class AttemptTable {
 public:
  explicit AttemptTable(std::string prefix);
  AttemptTable(const AttemptTable&) = delete;
  AttemptTable& operator=(const AttemptTable&) = delete;
  AttemptTable(AttemptTable&&) = default;
  AttemptTable& operator=(AttemptTable&&) = default;
  ~AttemptTable() = default;

  Attempt& Add(Attempt attempt);
  /// Returns null if the identifier belongs to another query.
  Attempt* Find(const AttemptId& id);
  /// Returns kRun if any attempt ran, kNotRun if every attempt ended without
  /// running, and kUnknown otherwise.
  RunState CombinedRunState() const;
  /// True if every ended attempt did not run and no other attempt was
  /// dispatched, so that CombinedRunState() can still become kNotRun without a
  /// refusal by a target.
  bool CanBeNotRun() const;
  bool AllEnded() const;
  bool AnyDispatched() const;

 private:
  std::string id_prefix;
  std::deque<Attempt> attempts;  // a deque keeps references valid
  std::unordered_map<AttemptId, Attempt*> index;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ATTEMPT_TABLE_H_
