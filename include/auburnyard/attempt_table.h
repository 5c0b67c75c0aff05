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
  std::uint32_t generation = 0;   ///< counts the snapshots that were pinned
  bool charged = true;            ///< false: a hedge that was free when queued
  bool dispatched = false;        ///< a gate sent it to its target
  bool cancelled = false;         ///< the query does not wait for it any more
  std::optional<RunState> ended;  ///< empty: may still run
};

/// All attempts of one query, including those of earlier snapshots, because
/// the run state of a refusal covers every one of them.
class AttemptTable {
 public:
  explicit AttemptTable(std::string prefix);
  AttemptTable(const AttemptTable&) = delete;
  AttemptTable& operator=(const AttemptTable&) = delete;
  AttemptTable(AttemptTable&&) = default;
  AttemptTable& operator=(AttemptTable&&) = default;
  ~AttemptTable() = default;

  Attempt& Add(Attempt attempt);
  /// Null for an identifier of another query.
  Attempt* Find(const AttemptId& id);
  /// kNotRun only if the end of every attempt is known and none ran.
  RunState State() const;
  /// True while State() is kUnknown or kNotRun and can still become kNotRun
  /// without a refusal by a target.
  bool CanBeNotRun() const;
  bool AllEnded() const;
  bool AnyDispatched() const;

 private:
  std::string id_prefix;
  std::deque<Attempt> attempts;  // keeps references valid
  std::unordered_map<AttemptId, Attempt*> index;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ATTEMPT_TABLE_H_
