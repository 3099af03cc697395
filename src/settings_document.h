#ifndef GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_
#define GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_

#include "settings.h"

/// The settings document: one value in the platform's store that holds the text
/// of each branch and the audit records of the latest changes.
namespace gentiandeal {

/// Key of the document in the platform's store.
inline constexpr char kSettingsStoreKey[] = "gentiandeal/settings";

/// Audit record of one accepted change of one branch.
struct ChangeRecord {
  Revision revision_;  ///< The revision that the change created.
  std::string id_;     ///< Chosen by the client that applies the change,
                       ///< which looks it up after a lost reply.
  /// Id of the preceding change; empty for the first.
  std::string previous_id_;
  std::string author_;
  std::string timestamp_;  ///< UTC, by the clock of the operator's machine.
  std::string branch_;
  std::optional<std::string> before_;  ///< No value if the branch was new.
  std::optional<std::string> after_;   ///< No value if it was removed.
  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

/// Content of one revision of the document.
struct SettingsContent {
  Revision revision_;  ///< Invalid before the first change.
  BranchTexts branches_;
  std::vector<ChangeRecord> changes_;  ///< The latest ones, oldest first.

  /// Finds the record of a change in `changes_`, or returns null.
  const ChangeRecord* Find(std::string_view id) const;
};

/// Limits on the number of records in the document and on the bytes of their
/// texts. Older records are stored under keys of their own.
inline constexpr size_t kMaxKeptRecords = 64;
inline constexpr size_t kMaxKeptRecordBytes = 256 * 1024;

/// Key in the platform's store of a record that the document no longer holds.
std::string RecordKey(Revision revision, std::string_view id);
std::string RecordKey(const ChangeRecord& record);

/// Serializes a record to JSON.
std::string WriteRecord(const ChangeRecord& record);
/// Parses a record. @returns `Errc::kPlatformBadAnswer` if it is malformed.
std::error_code ReadRecord(std::string_view text, ChangeRecord* out);

/// Serializes a document to JSON.
std::string WriteDocument(const SettingsContent& content);

/// Parses a document and validates its whole tree.
///
/// @param settings Set to the effective settings on success; may be null.
/// @returns `Errc::kBadSettings` when there is any error.
std::error_code ReadDocument(std::string_view text, SettingsContent* out,
                             Settings* settings, Diagnostics* diagnostics);

/// Applies one change to `base`, which becomes the next revision, and appends
/// its record with the revision, the preceding change and the earlier text set.
/// Does not trim the list of records.
void AppendChange(ChangeRecord record, SettingsContent* base);

/// Removes the oldest records beyond the limits; the newest record always
/// stays. @returns the removed records, which must be stored under their own
/// keys before the document is written.
std::vector<ChangeRecord> TrimChanges(SettingsContent* content);

/// Returns whether `base` contains every change of `other`. A newest change of
/// `other` that is older than the records in `base` counts as contained.
bool Includes(const SettingsContent& base, const SettingsContent& other);

/// Merges two histories that diverged because the store was restored to older
/// data and then changed: applies the changes that `base` lacks again on top of
/// it, under new revisions. Skips changes that would make the tree invalid.
SettingsContent Reconcile(const SettingsContent& base,
                          const SettingsContent& other);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_DOCUMENT_H_
