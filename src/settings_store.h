#ifndef GENTIANDEAL_SRC_SETTINGS_STORE_H_
#define GENTIANDEAL_SRC_SETTINGS_STORE_H_

#include "consul_platform.h"
#include "event_base.h"
#include "settings_editor.h"

namespace gentiandeal {

/// The platform's store as the operators' commands use it: each call waits
/// for its end on a loop of its own.
class SettingsStore {
 public:
  explicit SettingsStore(const Address& platform);

  std::error_code Read(const std::string& key, StoreValue* out);
  std::error_code List(const std::string& service,
                       std::vector<ListedService>* out);

  /// Reads the document; revision 0 when there is none yet.
  std::error_code ReadContent(SettingsContent* out, Diagnostics* faults);

  /// Carries an edit out. @param limit The edit is given up after this time.
  EditEnded Run(SettingsEditor* editor, Duration limit);

 private:
  EventBase base_;
  ConsulPlatform platform_;
};

/// What instances say of the settings that they hold.
struct HeldSettings {
  uint32_t answered_ = 0;    ///< Instances that answered.
  SettingsContent content_;  ///< Of the highest revision among them.
};

/// Asks each instance for its document.
HeldSettings AskInstances(const std::vector<Address>& instances,
                          Duration timeout);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_STORE_H_
