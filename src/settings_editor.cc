#include "settings_editor.h"

namespace gentiandeal {
namespace {

constexpr Duration kRetryDelay{200};

std::optional<std::string> FindBranchText(const SettingsContent& content,
                                          const std::string& branch) {
  const auto it = content.branches_.find(branch);
  if (it == content.branches_.end()) return std::nullopt;
  return it->second;
}

}  // namespace

SettingsEditor::SettingsEditor(BranchEdit edit,
                               SettingsContent newest_at_instances)
    : edit_(std::move(edit)),
      newest_at_instances_(std::move(newest_at_instances)) {}

void SettingsEditor::Start(EditorOutbox* out) {
  step_ = Step::kRead;
  out->emplace_back(ReadStoreKey{kSettingsStoreKey, {}});
}

void SettingsEditor::End(std::error_code error, Revision revision,
                         EditorOutbox* out) {
  step_ = Step::kEnded;
  out->emplace_back(EditEnded{error, revision});
}

void SettingsEditor::RetryRead(EditorOutbox* out) {
  step_ = Step::kRead;
  out->emplace_back(ReadStoreKey{kSettingsStoreKey, kRetryDelay});
}

void SettingsEditor::OnTimeLimit(EditorOutbox* out) {
  if (step_ == Step::kEnded) return;
  const bool lost = outcome_unknown_ || step_ == Step::kSwap;
  End(lost ? Errc::kReplyLost : Errc::kPlatformUnavailable, {}, out);
}

void SettingsEditor::OnRead(std::error_code error, const StoreValue& value,
                            EditorOutbox* out) {
  if (step_ != Step::kRead && step_ != Step::kLookUpRecord) return;
  if (error) {
    RetryRead(out);
  } else if (step_ == Step::kLookUpRecord) {
    OnRecordRead(value, out);
  } else {
    OnDocumentRead(value, out);
  }
}

void SettingsEditor::OnDocumentRead(const StoreValue& value,
                                    EditorOutbox* out) {
  SettingsContent base;
  if (!ReadBase(value, &base)) {
    End(Errc::kBadSettings, {}, out);
    return;
  }
  document_index_ = value.swap_index_;
  if (const ChangeRecord* record = base.Find(edit_.id_)) {
    End({}, record->revision_, out);
  } else if (outcome_unknown_ && RecordMayBeTrimmed(base)) {
    pending_base_ = std::move(base);
    step_ = Step::kLookUpRecord;
    out->emplace_back(ReadStoreKey{RecordKey(sent_revision_, edit_.id_), {}});
  } else {
    PrepareSwap(std::move(base), out);
  }
}

/// Returns whether a swap whose reply was lost may have taken effect while its
/// record has been trimmed from the document since.
bool SettingsEditor::RecordMayBeTrimmed(const SettingsContent& content) const {
  return !content.changes_.empty() &&
         sent_revision_.value_ < content.changes_.front().revision_.value_;
}

void SettingsEditor::OnRecordRead(const StoreValue& value, EditorOutbox* out) {
  if (value.found_) {
    End({}, sent_revision_, out);
    return;
  }
  PrepareSwap(std::move(pending_base_), out);
}

/// Merges the store's document with the newest one of the instances, on top of
/// the one with the higher revision. An invalid document in the store is
/// replaced if an instance has one.
bool SettingsEditor::ReadBase(const StoreValue& value, SettingsContent* out) {
  SettingsContent store;
  if (value.found_) {
    Diagnostics diagnostics;
    if (ReadDocument(value.value_, &store, nullptr, &diagnostics)) {
      if (!newest_at_instances_.revision_.valid()) {
        diagnostics_ = std::move(diagnostics);
        return false;
      }
      store = {};
    }
  }
  const bool store_is_newer =
      store.revision_.value_ > newest_at_instances_.revision_.value_;
  *out = store_is_newer ? Reconcile(store, newest_at_instances_)
                        : Reconcile(newest_at_instances_, store);
  return true;
}

std::error_code SettingsEditor::CheckConflict(const SettingsContent& base) {
  const std::optional<std::string> now = FindBranchText(base, edit_.branch_);
  if (!first_text_known_) {
    first_text_known_ = true;
    first_text_ = now;
  }
  if (now != first_text_) return Errc::kSettingsConflict;
  if (now == edit_.text_) return Errc::kSettingsUnchanged;
  return {};
}

void SettingsEditor::PrepareSwap(SettingsContent base, EditorOutbox* out) {
  // A lost swap that did not take effect can't do so any more once the document
  // has moved past the swap's index.
  if (document_index_ > sent_index_) outcome_unknown_ = false;
  if (const std::error_code error = CheckConflict(base)) {
    End(error, base.revision_, out);
    return;
  }
  ChangeRecord record;
  record.id_ = edit_.id_;
  record.author_ = edit_.author_;
  record.timestamp_ = edit_.timestamp_;
  record.branch_ = edit_.branch_;
  record.after_ = edit_.text_;
  AppendChange(std::move(record), &base);
  records_to_copy_ = TrimChanges(&base);
  document_ = WriteDocument(base);
  if (document_.size() > config::kMaxSettingsBytes) {
    diagnostics_.push_back({edit_.branch_, 0, "", "",
                            "document would exceed " +
                                std::to_string(config::kMaxSettingsBytes) +
                                " bytes: shorten branches"});
    End(Errc::kBadSettings, {}, out);
    return;
  }
  Settings settings;
  if (ParseSettingsTree(base.branches_, base.revision_, &settings,
                        &diagnostics_)) {
    End(Errc::kBadSettings, {}, out);
    return;
  }
  sent_revision_ = base.revision_;
  sent_index_ = document_index_;
  CopyOrSwap(out);
}

/// Stores the trimmed records under their own keys before it writes the
/// document without them, so that each record is always in at least one place.
/// Trimmed records are of accepted changes, and an existing key is never
/// overwritten.
void SettingsEditor::CopyOrSwap(EditorOutbox* out) {
  if (!records_to_copy_.empty()) {
    step_ = Step::kCopyRecords;
    const ChangeRecord& record = records_to_copy_.back();
    out->emplace_back(SwapStoreKey{RecordKey(record), WriteRecord(record), 0});
    return;
  }
  step_ = Step::kSwap;
  out->emplace_back(
      SwapStoreKey{kSettingsStoreKey, document_, document_index_});
}

void SettingsEditor::OnSwapped(std::error_code error, SwapResult result,
                               EditorOutbox* out) {
  if (step_ == Step::kCopyRecords) {
    if (error) {
      RetryRead(out);
      return;
    }
    records_to_copy_.pop_back();  // Written now, or earlier by another editor.
    CopyOrSwap(out);
  } else if (step_ == Step::kSwap) {
    if (!error && result == SwapResult::kSwapped) {
      End({}, sent_revision_, out);
      return;
    }
    if (error == Errc::kPlatformBadAnswer) {
      End(error, {}, out);
      return;
    }
    // Either swap moves the document past the index that both expect, so that
    // at most one of them takes effect.
    if (error == Errc::kReplyLost) outcome_unknown_ = true;
    step_ = Step::kRead;
    out->emplace_back(
        ReadStoreKey{kSettingsStoreKey, error ? kRetryDelay : Duration{}});
  }
}

}  // namespace gentiandeal
