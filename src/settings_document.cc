#include "settings_document.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "json_text.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

constexpr char kRecordKeyPrefix[] = "gentiandeal/audit/";
constexpr size_t kMaxIdBytes = 64;
constexpr size_t kMaxAuthorBytes = 128;

Json ToJson(const std::optional<std::string>& text) {
  return text ? Json(*text) : Json(nullptr);
}

Json ToJson(const ChangeRecord& record) {
  return {
      {"revision", record.revision_.value_}, {"id", record.id_},
      {"previous", record.previous_id_},     {"who", record.author_},
      {"when", record.timestamp_},           {"branch", record.branch_},
      {"before", ToJson(record.before_)},    {"after", ToJson(record.after_)}};
}

/// Reads members of one JSON object and records whether all of them were
/// present with the right type.
class ObjectReader {
 public:
  explicit ObjectReader(const Json& object) : object_(object) {
    complete_ = object.is_object();
  }

  std::string ReadText(const char* name) {
    const Json* member = FindMember(name);
    if (member != nullptr && member->is_string()) {
      return member->get<std::string>();
    }
    complete_ = false;
    return {};
  }

  std::optional<std::string> ReadOptionalText(const char* name) {
    const Json* member = FindMember(name);
    if (member != nullptr && member->is_null()) return std::nullopt;
    return ReadText(name);
  }

  Revision ReadRevision() {
    const Json* member = FindMember("revision");
    if (member != nullptr && member->is_number_unsigned()) {
      return {member->get<uint64_t>()};
    }
    complete_ = false;
    return {};
  }

  bool complete() const { return complete_; }

 private:
  const Json* FindMember(const char* name) const {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(name);
    return it == object_.end() ? nullptr : &*it;
  }

  const Json& object_;
  bool complete_ = false;
};

bool ReadRecordJson(const Json& json, ChangeRecord* out) {
  ObjectReader reader(json);
  out->revision_ = reader.ReadRevision();
  out->id_ = reader.ReadText("id");
  out->previous_id_ = reader.ReadText("previous");
  out->author_ = reader.ReadText("who");
  out->timestamp_ = reader.ReadText("when");
  out->branch_ = reader.ReadText("branch");
  out->before_ = reader.ReadOptionalText("before");
  out->after_ = reader.ReadOptionalText("after");
  return reader.complete() && out->revision_.valid() && !out->id_.empty() &&
         out->id_.size() <= kMaxIdBytes &&
         out->author_.size() <= kMaxAuthorBytes;
}

bool ReadBranchesJson(const Json& json, BranchTexts* out) {
  if (!json.is_object()) return false;
  for (const auto& [path, text] : json.items()) {
    if (!text.is_string()) return false;
    (*out)[path] = text.get<std::string>();
  }
  return true;
}

/// Returns whether the records follow each other without a gap and end at the
/// revision of the document.
bool RecordsAreContiguous(const SettingsContent& content) {
  if (content.changes_.empty()) return false;
  if (content.changes_.back().revision_ != content.revision_) return false;
  for (size_t i = 1; i < content.changes_.size(); ++i) {
    const ChangeRecord& before = content.changes_[i - 1];
    const ChangeRecord& record = content.changes_[i];
    if (record.revision_.value_ != before.revision_.value_ + 1) return false;
    if (record.previous_id_ != before.id_) return false;
  }
  return true;
}

bool ReadContentJson(const Json& json, SettingsContent* out) {
  ObjectReader reader(json);
  out->revision_ = reader.ReadRevision();
  if (!reader.complete() || !out->revision_.valid()) return false;
  if (!json.contains("branches") || !json.contains("changes")) return false;
  if (!ReadBranchesJson(json["branches"], &out->branches_)) return false;
  if (!json["changes"].is_array()) return false;
  for (const Json& item : json["changes"]) {
    ChangeRecord record;
    if (!ReadRecordJson(item, &record)) return false;
    out->changes_.push_back(std::move(record));
  }
  return RecordsAreContiguous(*out);
}

size_t TextBytes(const ChangeRecord& record) {
  size_t bytes = record.branch_.size() + record.author_.size();
  if (record.before_) bytes += record.before_->size();
  if (record.after_) bytes += record.after_->size();
  return bytes;
}

bool IsValidTree(const SettingsContent& content) {
  Settings settings;
  Diagnostics diagnostics;
  return !ParseSettingsTree(content.branches_, content.revision_, &settings,
                            &diagnostics);
}

}  // namespace

const ChangeRecord* SettingsContent::Find(std::string_view id) const {
  const auto it =
      std::find_if(changes_.begin(), changes_.end(),
                   [id](const ChangeRecord& r) { return r.id_ == id; });
  return it == changes_.end() ? nullptr : &*it;
}

std::string RecordKey(Revision revision, std::string_view id) {
  return kRecordKeyPrefix + std::to_string(revision.value_) + "-" +
         std::string(id);
}

std::string RecordKey(const ChangeRecord& record) {
  return RecordKey(record.revision_, record.id_);
}

std::string WriteRecord(const ChangeRecord& record) {
  return ToJsonText(ToJson(record));
}

std::error_code ReadRecord(std::string_view text, ChangeRecord* out) {
  ChangeRecord record;
  if (!ReadRecordJson(Json::parse(text, nullptr, false), &record)) {
    return Errc::kPlatformBadAnswer;
  }
  *out = std::move(record);
  return {};
}

std::string WriteDocument(const SettingsContent& content) {
  Json changes = Json::array();
  for (const ChangeRecord& record : content.changes_) {
    changes.push_back(ToJson(record));
  }
  const Json document = {{"revision", content.revision_.value_},
                         {"branches", content.branches_},
                         {"changes", std::move(changes)}};
  return ToJsonText(document);
}

std::error_code ReadDocument(std::string_view text, SettingsContent* out,
                             Settings* settings, Diagnostics* diagnostics) {
  SettingsContent content;
  if (!ReadContentJson(Json::parse(text, nullptr, false), &content)) {
    diagnostics->push_back(
        {kSettingsStoreKey, 0, "", "",
         "value is not a settings document: restore it from an "
         "instance's GET /v1/settings"});
    return Errc::kBadSettings;
  }
  Settings parsed;
  const std::error_code error = ParseSettingsTree(
      content.branches_, content.revision_, &parsed, diagnostics);
  if (error) return error;
  *out = std::move(content);
  if (settings != nullptr) *settings = std::move(parsed);
  return {};
}

void AppendChange(ChangeRecord record, SettingsContent* base) {
  ++base->revision_.value_;
  record.revision_ = base->revision_;
  record.previous_id_ =
      base->changes_.empty() ? std::string() : base->changes_.back().id_;
  const auto it = base->branches_.find(record.branch_);
  record.before_.reset();
  if (it != base->branches_.end()) record.before_ = it->second;
  if (record.after_) {
    base->branches_[record.branch_] = *record.after_;
  } else {
    base->branches_.erase(record.branch_);
  }
  base->changes_.push_back(std::move(record));
}

std::vector<ChangeRecord> TrimChanges(SettingsContent* content) {
  size_t bytes = 0;
  size_t kept = 0;
  for (auto it = content->changes_.rbegin(); it != content->changes_.rend();
       ++it) {
    bytes += TextBytes(*it);
    const bool fits = kept < kMaxKeptRecords && bytes <= kMaxKeptRecordBytes;
    if (kept > 0 && !fits) break;
    ++kept;
  }
  const auto end = content->changes_.end() - static_cast<ptrdiff_t>(kept);
  std::vector<ChangeRecord> removed(content->changes_.begin(), end);
  content->changes_.erase(content->changes_.begin(), end);
  return removed;
}

bool Includes(const SettingsContent& base, const SettingsContent& other) {
  if (other.changes_.empty()) return true;
  if (base.changes_.empty()) return false;
  const ChangeRecord& newest = other.changes_.back();
  if (base.Find(newest.id_) != nullptr) return true;
  // Older than the oldest record in `base`.
  return newest.revision_.value_ < base.changes_.front().revision_.value_;
}

SettingsContent Reconcile(const SettingsContent& base,
                          const SettingsContent& other) {
  SettingsContent merged = base;
  if (Includes(base, other)) return merged;
  const uint64_t oldest =
      base.changes_.empty() ? 0 : base.changes_.front().revision_.value_;
  for (const ChangeRecord& record : other.changes_) {
    if (record.revision_.value_ < oldest) continue;
    if (merged.Find(record.id_) != nullptr) continue;
    SettingsContent next = merged;
    AppendChange(record, &next);
    if (IsValidTree(next)) merged = std::move(next);
  }
  return merged;
}

}  // namespace gentiandeal
