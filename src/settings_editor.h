#ifndef GENTIANDEAL_SRC_SETTINGS_EDITOR_H_
#define GENTIANDEAL_SRC_SETTINGS_EDITOR_H_

#include "platform.h"
#include "settings_document.h"

namespace gentiandeal {

/// One operator's change of one branch.
struct BranchEdit {
  std::string id_;  ///< Unique; stays the same when a lost edit is retried.
  std::string branch_;
  std::string author_;
  std::string timestamp_;
  std::optional<std::string> text_;  ///< No value removes the branch.
};

// Commands from the editor.

/// Read a key of the store; answer with `OnRead`.
struct ReadStoreKey {
  std::string key_;
  Duration after_;  ///< Delay before the read.
};

/// Write a key by compare-and-swap; answer with `OnSwapped`.
struct SwapStoreKey {
  std::string key_;
  std::string value_;
  uint64_t index_ = 0;  ///< `StoreValue::swap_index_`; 0 creates only.
};

/// The edit has ended. Without an error, the store has it as `revision_`.
struct EditEnded {
  std::error_code error_;
  Revision revision_;
};

using EditorCommand = std::variant<ReadStoreKey, SwapStoreKey, EditEnded>;
using EditorOutbox = std::vector<EditorCommand>;

/// Applies a change of one branch by compare-and-swap on the whole document.
/// Concurrent changes of other branches are kept; a concurrent change of the
/// same branch ends the edit with `kSettingsConflict`. Does no I/O: takes the
/// store's answers, emits commands.
class SettingsEditor {
 public:
  /// @param newest_at_instances Document with the highest revision that any
  ///     instance has; its revision is invalid if none has a document. The edit
  ///     gets a higher revision, so that no revision number is used twice.
  SettingsEditor(BranchEdit edit, SettingsContent newest_at_instances);

  void Start(EditorOutbox* out);
  void OnRead(std::error_code error, const StoreValue& value,
              EditorOutbox* out);
  void OnSwapped(std::error_code error, SwapResult result, EditorOutbox* out);

  /// Ends the edit at the operator's time limit, with `kReplyLost` if a swap
  /// may have taken effect, else with `kPlatformUnavailable`.
  void OnTimeLimit(EditorOutbox* out);

  /// Errors of the tree or the document after `kBadSettings`.
  const Diagnostics& diagnostics() const { return diagnostics_; }

 private:
  enum class Step : uint8_t {
    kRead,          ///< Reading the document.
    kLookUpRecord,  ///< Reading the record of a swap whose reply was lost.
    kCopyRecords,   ///< Storing the records trimmed from the new document.
    kSwap,          ///< Writing the document.
    kEnded,
  };

  void End(std::error_code error, Revision revision, EditorOutbox* out);
  void RetryRead(EditorOutbox* out);
  void OnDocumentRead(const StoreValue& value, EditorOutbox* out);
  void OnRecordRead(const StoreValue& value, EditorOutbox* out);
  bool ReadBase(const StoreValue& value, SettingsContent* out);
  bool RecordMayBeTrimmed(const SettingsContent& content) const;
  void PrepareSwap(SettingsContent base, EditorOutbox* out);
  std::error_code CheckConflict(const SettingsContent& base);
  void CopyOrSwap(EditorOutbox* out);

  BranchEdit edit_;
  SettingsContent newest_at_instances_;
  Step step_ = Step::kRead;
  bool first_text_known_ = false;
  std::optional<std::string> first_text_;  ///< The branch when first read.
  bool outcome_unknown_ = false;           ///< The reply to a swap was lost.
  Revision sent_revision_;                 ///< Of the last swap that was sent.
  uint64_t sent_index_ = 0;                ///< `document_index_` of that swap.
  uint64_t document_index_ = 0;  ///< Swap index of the document as last read.
  std::string document_;         ///< The new document, to be written.
  std::vector<ChangeRecord> records_to_copy_;
  SettingsContent pending_base_;  ///< Document as read, during kLookUpRecord.
  Diagnostics diagnostics_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_EDITOR_H_
