#ifndef GENTIANDEAL_SRC_SETTINGS_EDITOR_H_
#define GENTIANDEAL_SRC_SETTINGS_EDITOR_H_

#include "platform.h"
#include "settings_document.h"

namespace gentiandeal {

/// One operator's change of one branch.
struct BranchEdit {
  std::string id_;  ///< Unique; the same one when a lost edit is tried again.
  std::string branch_;
  std::string who_;
  std::string when_;
  std::optional<std::string> text_;  ///< Nothing removes the branch.
};

// Messages from the editor.

/// Read a key of the store and answer with `OnRead`.
struct ReadKey {
  std::string key_;
  Duration after_;  ///< Wait this long first.
};

/// Write a key and answer with `OnSwapped`.
struct SwapKey {
  std::string key_;
  std::string value_;
  uint64_t index_ = 0;
};

/// The edit has ended. Without an error it is in the store as `revision_`.
struct EditEnded {
  std::error_code error_;
  Revision revision_;
};

using EditorCommand = std::variant<ReadKey, SwapKey, EditEnded>;
using EditorOutbox = std::vector<EditorCommand>;

/// Applies one branch by compare-and-swap on the whole document. Changes of
/// other branches in between are taken in; a change of the same branch ends in
/// `kSettingsConflict`. Pure: answers of the store in, commands out.
class SettingsEditor {
 public:
  /// @param held Highest revision that an instance holds; its revision is
  ///     invalid when none holds any. The edit never reuses its number.
  SettingsEditor(BranchEdit edit, SettingsContent held);

  void Start(EditorOutbox* out);
  void OnRead(std::error_code error, const StoreValue& value,
              EditorOutbox* out);
  void OnSwapped(std::error_code error, SwapResult result, EditorOutbox* out);

  /// Ends the edit at the operator's time limit: `kReplyLost` when a swap may
  /// still have taken effect, else `kPlatformUnavailable`.
  void GiveUp(EditorOutbox* out);

  /// Faults of the tree after `kBadSettings`.
  const Diagnostics& faults() const { return faults_; }

 private:
  enum class Step : uint8_t {
    kRead,      ///< Reading the document.
    kFindLost,  ///< Reading the record that a lost swap may have left.
    kCopy,      ///< Copying records that the new document cuts.
    kSwap,      ///< Writing the document.
    kEnded,
  };

  void End(std::error_code error, Revision revision, EditorOutbox* out);
  void ReadAgain(EditorOutbox* out);
  void OnDocument(const StoreValue& value, EditorOutbox* out);
  void OnLostRecord(const StoreValue& value, EditorOutbox* out);
  bool ReadBase(const StoreValue& value, SettingsContent* out);
  bool MayBeCut(const SettingsContent& content) const;
  void Prepare(SettingsContent base, EditorOutbox* out);
  std::error_code CheckBranch(const SettingsContent& base);
  void CopyOrSwap(EditorOutbox* out);

  BranchEdit edit_;
  SettingsContent held_;
  Step step_ = Step::kRead;
  bool branch_seen_ = false;
  std::optional<std::string> seen_;  ///< The branch when it was first read.
  bool uncertain_ = false;   ///< A swap was sent and its reply was lost.
  Revision sent_revision_;   ///< Of the swap that was sent last.
  uint64_t sent_index_ = 0;  ///< So, too.
  uint64_t index_ = 0;       ///< The document's, as last read.
  std::string document_;     ///< To be written.
  std::vector<ChangeRecord> to_copy_;
  SettingsContent read_;  ///< The document while a lost record is sought.
  Diagnostics faults_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_EDITOR_H_
