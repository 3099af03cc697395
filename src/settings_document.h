#ifndef GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_
#define GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_

#include "settings.h"

/// The one value of the platform's store that holds all shared settings: the
/// text of each branch and the audit records of the latest changes.
namespace gentiandeal {

/// Key of the document in the platform's store.
inline constexpr char kSettingsKey[] = "gentiandeal/settings";

/// Audit record of one accepted change of one branch.
struct ChangeRecord {
  Revision revision_;     ///< The revision that the change made.
  std::string id_;        ///< Chosen by whoever applies; looked up after a
                          ///< lost reply.
  std::string previous_;  ///< Id of the change before; empty for the first.
  std::string who_;
  std::string when_;  ///< UTC, as the operator's machine had it.
  std::string branch_;
  std::optional<std::string> before_;  ///< Nothing when the branch was new.
  std::optional<std::string> after_;   ///< Nothing when it was removed.
  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

/// Content of one revision of the document.
struct SettingsContent {
  Revision revision_;  ///< Invalid before the first change.
  BranchTexts branches_;
  std::vector<ChangeRecord> changes_;  ///< Latest ones, oldest first.

  /// The kept record of a change, or null.
  const ChangeRecord* Find(std::string_view id) const;
};

/// Most records kept in the document, and most bytes of their texts; older
/// ones are kept under keys of their own.
inline constexpr size_t kMaxKeptRecords = 64;
inline constexpr size_t kMaxKeptRecordBytes = 256 * 1024;

/// Key under which a record outlives the document's bounded list.
std::string RecordKey(Revision revision, std::string_view id);
std::string RecordKey(const ChangeRecord& record);

std::string WriteRecord(const ChangeRecord& record);
std::error_code ReadRecord(std::string_view text, ChangeRecord* out);

std::string WriteDocument(const SettingsContent& content);

/// Reads a document and checks its whole tree.
///
/// @param settings Filled with the effective settings; may be null.
/// @returns `Errc::kBadSettings` when there is any fault.
std::error_code ReadDocument(std::string_view text, SettingsContent* out,
                             Settings* settings, Diagnostics* faults);

/// Makes the revision after `base` by one change: sets the record's revision,
/// predecessor and earlier text. The list of records is not cut.
void AppendChange(ChangeRecord record, SettingsContent* base);

/// Cuts the list of records to its bounds. @returns the records cut, which
/// must be kept elsewhere before the document is written.
std::vector<ChangeRecord> TrimChanges(SettingsContent* content);

/// Whether `base` holds, as far as its records tell, every change of `other`.
bool Includes(const SettingsContent& base, const SettingsContent& other);

/// Joins two histories that parted when the store was restored to older data
/// and then changed: the changes that `base` lacks are made again on top of
/// it, under new revisions. Changes that would make the tree invalid are left
/// out.
SettingsContent Reconcile(const SettingsContent& base,
                          const SettingsContent& other);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_
