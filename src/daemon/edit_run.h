#ifndef AUBURNYARD_SRC_DAEMON_EDIT_RUN_H_
#define AUBURNYARD_SRC_DAEMON_EDIT_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "auburnyard/backoff.h"
#include "src/daemon/configuration_editor.h"

namespace auburnyard {

/// One edit: read, apply, write, and read back after a lost reply. The steps
/// run sequentially.
class EditRun : public std::enable_shared_from_this<EditRun> {
 public:
  EditRun(EditorHooks hooks,
          ConfigurationEdit edit,
          ConfigurationEditor::Callback done,
          std::uint64_t seed);

  void Read();

 private:
  /// A write that may have taken effect or may still do so.
  struct PendingWrite {
    PutCall put;
    std::uint64_t base_revision = 0;
    std::string nonce;
    std::shared_ptr<const Configuration> written;
    bool outcome_unknown = false;
  };

  void OnRead(const GetResult& result);
  void OnContents(std::shared_ptr<const Configuration> current,
                  std::uint64_t version);
  /// Returns true if the contents show the outcome of the pending write or if
  /// the write is repeated.
  bool ResolvePending(const std::shared_ptr<const Configuration>& current,
                      std::uint64_t version);
  EditOutcome PendingOutcome(const Configuration& current) const;
  void Apply(const std::shared_ptr<const Configuration>& current,
             std::uint64_t version);
  void Write();
  void OnWritten(const WriteResult& result);
  void ScheduleRead();
  void Succeed(std::shared_ptr<const Configuration> configuration,
               bool changed);
  void Fail(ErrorKind kind,
            const std::string& detail,
            std::shared_ptr<const Configuration> current = nullptr);
  /// Ends the edit without a usable reply from the store.
  void GiveUp(const std::string& detail);

  EditorHooks hooks;
  ConfigurationEdit edit;
  ConfigurationEditor::Callback done;
  Backoff backoff;
  std::size_t attempts = 0;
  std::optional<PendingWrite> pending;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_EDIT_RUN_H_
