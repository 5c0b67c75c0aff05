#include "src/daemon/configuration_editor.h"

#include <memory>
#include <utility>

#include "src/daemon/edit_run.h"

namespace auburnyard {

ConfigurationEditor::ConfigurationEditor(EditorHooks editor_hooks,
                                         std::uint64_t seed)
    : hooks(std::move(editor_hooks)), next_seed(seed) {}

void ConfigurationEditor::Edit(ConfigurationEdit edit, Callback done) {
  std::make_shared<EditRun>(this->hooks, std::move(edit), std::move(done),
                            this->next_seed.fetch_add(1))
      ->Read();
}

}  // namespace auburnyard
