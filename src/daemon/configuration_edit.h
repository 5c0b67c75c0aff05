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

enum class EditTrace {
  kApplied,
  kNotApplied,
  kLost,  ///< the contents no longer tell
};

/// A change of the stored configuration. Both functions may be called several
/// times.
struct ConfigurationEdit {
  /// The changed configuration, or nothing if the demand is met already.
  /// Revision and nonce are set by the editor to one above the current revision
  /// and to `nonce`. Throws Error to refuse.
  std::function<std::optional<Configuration>(const Configuration& current,
                                             const std::string& nonce)>
      apply;
  /// Whether a write with `nonce` took effect, from contents that later writes
  /// may have changed.
  std::function<EditTrace(const Configuration& current,
                          const std::string& nonce)>
      trace;
};

struct EditResult {
  std::optional<ErrorKind> error;
  std::string detail;
  /// Contents of the store after the edit; null if they are not known.
  std::shared_ptr<const Configuration> configuration;
  bool changed = false;
};

/// Adds an intent. The same intent once more changes nothing.
ConfigurationEdit CreateIntentEdit(Intent intent);
/// Removes an intent. What its plan changed stays in force.
ConfigurationEdit WithdrawIntentEdit(std::string id);
/// Applies a plan. A plan that is confirmed already changes nothing; a plan on
/// another base revision, or of a changed or otherwise confirmed intent, is
/// refused with kConflict.
ConfigurationEdit ConfirmPlanEdit(std::string plan_id);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_CONFIGURATION_EDIT_H_
