#ifndef GENTIANDEAL_SRC_SETTINGS_STORE_H_
#define GENTIANDEAL_SRC_SETTINGS_STORE_H_

#include "consul_platform.h"
#include "event_base.h"
#include "settings_editor.h"

namespace gentiandeal {

/// Blocking access to the platform's store, for the operators' commands. Runs
/// an event loop of its own until each call has ended.
class SettingsStore {
 public:
  explicit SettingsStore(const Address& platform);

  /// Reads a key. A key that doesn't exist is no error: `found_` is false.
  std::error_code Read(const std::string& key, StoreValue* out);
  /// Lists the instances of a service.
  std::error_code List(const std::string& service,
                       std::vector<ListedService>* out);

  /// Reads the settings document. Leaves `out` unchanged if there is none yet.
  std::error_code ReadContent(SettingsContent* out, Diagnostics* diagnostics);

  /// Runs an edit until it ends.
  ///
  /// @param limit Time after which the edit is abandoned.
  EditEnded Run(SettingsEditor* editor, Duration limit);

 private:
  EventBase base_;
  ConsulPlatform platform_;
};

/// Newest settings among the instances that answered.
struct NewestInstanceSettings {
  uint32_t answered_ = 0;    ///< Instances that answered.
  SettingsContent content_;  ///< The one with the highest revision.
};

/// Requests the settings document from each instance, one after the other.
/// An instance that answers without a valid document counts in `answered_`.
///
/// @param timeout For each instance.
NewestInstanceSettings FetchNewestSettings(
    const std::vector<Address>& instances, Duration timeout);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_STORE_H_
