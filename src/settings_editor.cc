#include "settings_editor.h"

namespace gentiandeal {
namespace {

constexpr Duration kRetryDelay{200};

std::optional<std::string> TextOf(const SettingsContent& content,
                                  const std::string& branch) {
  const auto it = content.branches_.find(branch);
  if (it == content.branches_.end()) return std::nullopt;
  return it->second;
}

}  // namespace

SettingsEditor::SettingsEditor(BranchEdit edit, SettingsContent held)
    : edit_(std::move(edit)), held_(std::move(held)) {}

void SettingsEditor::Start(EditorOutbox* out) {
  step_ = Step::kRead;
  out->emplace_back(ReadKey{kSettingsKey, {}});
}

void SettingsEditor::End(std::error_code error, Revision revision,
                         EditorOutbox* out) {
  step_ = Step::kEnded;
  out->emplace_back(EditEnded{error, revision});
}

void SettingsEditor::ReadAgain(EditorOutbox* out) {
  step_ = Step::kRead;
  out->emplace_back(ReadKey{kSettingsKey, kRetryDelay});
}

void SettingsEditor::GiveUp(EditorOutbox* out) {
  if (step_ == Step::kEnded) return;
  const bool lost = uncertain_ || step_ == Step::kSwap;
  End(lost ? Errc::kReplyLost : Errc::kPlatformUnavailable, {}, out);
}

void SettingsEditor::OnRead(std::error_code error, const StoreValue& value,
                            EditorOutbox* out) {
  if (step_ != Step::kRead && step_ != Step::kFindLost) return;
  if (error) {
    ReadAgain(out);
  } else if (step_ == Step::kFindLost) {
    OnLostRecord(value, out);
  } else {
    OnDocument(value, out);
  }
}

void SettingsEditor::OnDocument(const StoreValue& value, EditorOutbox* out) {
  SettingsContent base;
  if (!ReadBase(value, &base)) {
    End(Errc::kBadSettings, {}, out);
    return;
  }
  index_ = value.swap_index_;
  if (const ChangeRecord* record = base.Find(edit_.id_)) {
    End({}, record->revision_, out);
  } else if (uncertain_ && MayBeCut(base)) {
    read_ = std::move(base);
    step_ = Step::kFindLost;
    out->emplace_back(ReadKey{RecordKey(sent_revision_, edit_.id_), {}});
  } else {
    Prepare(std::move(base), out);
  }
}

/// A lost swap may have landed and been pushed out of the kept records since.
bool SettingsEditor::MayBeCut(const SettingsContent& content) const {
  return !content.changes_.empty() &&
         sent_revision_.value_ < content.changes_.front().revision_.value_;
}

void SettingsEditor::OnLostRecord(const StoreValue& value, EditorOutbox* out) {
  if (value.found_) {
    End({}, sent_revision_, out);
    return;
  }
  Prepare(std::move(read_), out);
}

/// Takes the store's document, or the instances' where the store is behind.
bool SettingsEditor::ReadBase(const StoreValue& value, SettingsContent* out) {
  SettingsContent store;
  if (value.found_) {
    Diagnostics faults;
    if (ReadDocument(value.value_, &store, nullptr, &faults)) {
      if (!held_.revision_.valid()) {
        faults_ = std::move(faults);
        return false;
      }
      store = {};
    }
  }
  const bool store_first = store.revision_.value_ > held_.revision_.value_;
  *out = store_first ? Reconcile(store, held_) : Reconcile(held_, store);
  return true;
}

std::error_code SettingsEditor::CheckBranch(const SettingsContent& base) {
  const std::optional<std::string> now = TextOf(base, edit_.branch_);
  if (!branch_seen_) {
    branch_seen_ = true;
    seen_ = now;
  }
  if (now != seen_) return Errc::kSettingsConflict;
  if (now == edit_.text_) return Errc::kSettingsUnchanged;
  return {};
}

void SettingsEditor::Prepare(SettingsContent base, EditorOutbox* out) {
  // Past its index, a lost swap that did not land never will.
  if (index_ > sent_index_) uncertain_ = false;
  if (const std::error_code error = CheckBranch(base)) {
    End(error, base.revision_, out);
    return;
  }
  ChangeRecord record;
  record.id_ = edit_.id_;
  record.who_ = edit_.who_;
  record.when_ = edit_.when_;
  record.branch_ = edit_.branch_;
  record.after_ = edit_.text_;
  AppendChange(std::move(record), &base);
  to_copy_ = TrimChanges(&base);
  document_ = WriteDocument(base);
  if (document_.size() > config::kMaxSettingsBytes) {
    faults_.push_back({edit_.branch_, 0, "", "",
                       "document would pass " +
                           std::to_string(config::kMaxSettingsBytes) +
                           " bytes: shorten branches"});
    End(Errc::kBadSettings, {}, out);
    return;
  }
  Settings settings;
  if (ParseSettingsTree(base.branches_, base.revision_, &settings, &faults_)) {
    End(Errc::kBadSettings, {}, out);
    return;
  }
  sent_revision_ = base.revision_;
  sent_index_ = index_;
  CopyOrSwap(out);
}

/// Copies what the document cuts before it is written, so that no record is
/// ever in neither place. Copies are of accepted changes and create only.
void SettingsEditor::CopyOrSwap(EditorOutbox* out) {
  if (!to_copy_.empty()) {
    step_ = Step::kCopy;
    const ChangeRecord& record = to_copy_.back();
    out->emplace_back(SwapKey{RecordKey(record), WriteRecord(record), 0});
    return;
  }
  step_ = Step::kSwap;
  out->emplace_back(SwapKey{kSettingsKey, document_, index_});
}

void SettingsEditor::OnSwapped(std::error_code error, SwapResult result,
                               EditorOutbox* out) {
  if (step_ == Step::kCopy) {
    if (error) {
      ReadAgain(out);
      return;
    }
    to_copy_.pop_back();  // Written now or by somebody else before.
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
    // The index fences a repetition: at most one of the swaps lands.
    if (error == Errc::kReplyLost) uncertain_ = true;
    step_ = Step::kRead;
    out->emplace_back(ReadKey{kSettingsKey, error ? kRetryDelay : Duration{}});
  }
}

}  // namespace gentiandeal
