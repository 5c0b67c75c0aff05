#ifndef AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDIT_H_
#define AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDIT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "auburnyard/configuration.h"
#include "auburnyard/error.h"
#include "auburnyard/intent.h"

namespace auburnyard {

enum class EditOutcome {
  kApplied,
  kNotApplied,
  kUndetermined,  ///< the contents do not show whether it was applied
};

/// A change of the stored configuration. Both functions may be called several
/// times.
struct ConfigurationEdit {
  /// Returns the changed configuration, or nothing if no change is needed. The
  /// editor sets the revision to one above the current revision and the nonce
  /// to `nonce`. Throws Error to refuse.
  std::function<std::optional<Configuration>(const Configuration& current,
                                             const std::string& nonce)>
      apply;
  /// Determines whether a write with `nonce` took effect. `current` may include
  /// later writes.
  std::function<EditOutcome(const Configuration& current,
                            const std::string& nonce)>
      outcome;
};

struct EditResult {
  std::optional<ErrorKind> error;
  std::string detail;
  /// Contents of the store after the edit; null if unknown.
  std::shared_ptr<const Configuration> configuration;
  bool changed = false;
};

/// Adds an intent. Adding the same intent again has no effect.
ConfigurationEdit CreateIntentEdit(Intent intent);
/// Removes an intent. Changes made by its confirmed plan stay in force.
ConfigurationEdit WithdrawIntentEdit(std::string id);
/// Applies a plan. Confirming a plan again has no effect. A plan on another
/// base revision, or of an intent that has changed or was confirmed by another
/// plan, is refused with kConflict.
ConfigurationEdit ConfirmPlanEdit(std::string plan_id);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDIT_H_
