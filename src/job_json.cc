#include "job_json.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "base64.h"
#include "caller_request.h"
#include "json_checks.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxDurationMs = 24LL * 3600 * 1000;
constexpr uint32_t kMaxDeclaredSlots = 4096;

// Length in bytes of the UTF-8 sequence that starts with `lead`, or 0 when no
// sequence can start with it.
size_t Utf8SequenceLength(uint8_t lead) {
  if (lead < 0x80) return 1;
  if (lead >= 0xc2 && lead < 0xe0) return 2;
  if (lead >= 0xe0 && lead < 0xf0) return 3;
  if (lead >= 0xf0 && lead < 0xf5) return 4;
  return 0;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF.
bool IsValidSecondByte(uint8_t lead, uint8_t second) {
  if (lead == 0xe0) return second >= 0xa0;
  if (lead == 0xed) return second < 0xa0;
  if (lead == 0xf0) return second >= 0x90;
  if (lead == 0xf4) return second < 0x90;
  return true;
}

bool IsUtf8(const std::string& text) {
  size_t at = 0;
  while (at < text.size()) {
    const auto lead = static_cast<uint8_t>(text[at]);
    const size_t length = Utf8SequenceLength(lead);
    if (length == 0 || at + length > text.size()) return false;
    for (size_t i = 1; i < length; ++i) {
      const auto next = static_cast<uint8_t>(text[at + i]);
      if ((next & 0xc0) != 0x80) return false;
      if (i == 1 && !IsValidSecondByte(lead, next)) return false;
    }
    at += length;
  }
  return true;
}

// Reads the members of one JSON object and reports the first invalid one.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string location, std::string* detail)
      : object_(object), location_(std::move(location)), detail_(detail) {
    if (!object_.is_object()) Fail("", "must be an object");
  }

  bool ok() const { return ok_; }

  void String(const char* key, std::string* out) {
    const Json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_string()) return Fail(key, "must be a string");
    *out = value->get<std::string>();
  }

  void Bool(const char* key, bool* out) {
    const Json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_boolean()) return Fail(key, "must be true or false");
    *out = value->get<bool>();
  }

  void Integer(const char* key, int64_t min, int64_t max, int64_t* out) {
    const Json* value = Find(key);
    if (value == nullptr) return;
    const bool fits = value->is_number_integer() &&
                      !(value->is_number_unsigned() &&
                        value->get<uint64_t>() > static_cast<uint64_t>(max)) &&
                      value->get<int64_t>() >= min &&
                      value->get<int64_t>() <= max;
    if (!fits) {
      return Fail(key, "must be a whole number from " + std::to_string(min) +
                           " to " + std::to_string(max));
    }
    *out = value->get<int64_t>();
  }

  const Json* Find(const char* key) {
    if (!ok_) return nullptr;
    const auto found = object_.find(key);
    if (found == object_.end()) return nullptr;
    ++found_count_;
    return &*found;
  }

  // Fails when the object has a member that is not in `known`. Call last: the
  // search is skipped when as many members were found as the object has.
  void ExpectOnly(std::initializer_list<const char*> known) {
    if (!ok_ || found_count_ == object_.size()) return;
    for (auto member = object_.begin(); member != object_.end(); ++member) {
      const std::string& key = member.key();
      const bool is_known = std::any_of(
          known.begin(), known.end(), [&](const char* k) { return key == k; });
      if (!is_known) return Fail(key, "is not known: remove it");
    }
  }

  void Fail(const std::string& key, const std::string& what) {
    ok_ = false;
    const std::string dot = location_.empty() || key.empty() ? "" : ".";
    *detail_ = location_ + dot + key + " " + what;
  }

 private:
  const Json& object_;
  std::string location_;
  std::string* detail_;
  size_t found_count_ = 0;
  bool ok_ = true;
};

bool HasControlByte(const std::string& text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

bool ReadFields(ObjectReader* reader, std::vector<HttpField>* out) {
  const Json* fields = reader->Find("fields");
  if (fields == nullptr) return reader->ok();
  if (!fields->is_object()) {
    reader->Fail("fields", "must be an object of strings");
    return false;
  }
  for (const auto& [name, value] : fields->items()) {
    const bool good = IsToken(name) && value.is_string() &&
                      !HasControlByte(value.get_ref<const std::string&>());
    if (!good) {
      reader->Fail("fields",
                   "needs header names and values without control "
                   "characters");
      return false;
    }
    out->emplace_back(name, value.get<std::string>());
  }
  return true;
}

bool ReadBody(ObjectReader* reader, std::string* out) {
  std::string encoded;
  reader->String("body", out);
  reader->String("body_base64", &encoded);
  if (encoded.empty()) return reader->ok();
  if (out->empty() && DecodeBase64(encoded, out)) return true;
  reader->Fail("body_base64", "must be base64 and stand without body");
  return false;
}

bool ReadTask(const Json& json, const std::string& location, TaskSpec* out,
              std::string* detail) {
  ObjectReader reader(json, location, detail);
  int64_t size = 1;
  reader.String("method", &out->method_);
  reader.String("path", &out->path_);
  reader.String("kind", &out->kind_);
  reader.Integer("run_ms", 0, kMaxDurationMs, &out->declared_run_time_.ms_);
  reader.Integer("size", 1, kMaxDeclaredSlots, &size);
  out->declared_slots_ = static_cast<uint32_t>(size);
  if (!ReadFields(&reader, &out->fields_)) return false;
  if (!ReadBody(&reader, &out->body_)) return false;
  reader.ExpectOnly({"method", "path", "kind", "run_ms", "size", "fields",
                     "body", "body_base64"});
  if (reader.ok() && !IsToken(out->method_)) {
    reader.Fail("method", "must be an HTTP method");
  }
  const bool path_good = !out->path_.empty() && out->path_[0] == '/' &&
                         !HasControlByte(out->path_) &&
                         out->path_.find(' ') == std::string::npos;
  if (reader.ok() && !path_good) {
    reader.Fail("path", "must start with '/' and hold no space");
  }
  return reader.ok();
}

bool ReadTasks(ObjectReader* reader, JobSpec* out, std::string* detail) {
  const Json* tasks = reader->Find("tasks");
  const bool good = tasks != nullptr && tasks->is_array() && !tasks->empty() &&
                    tasks->size() <= config::kMaxTasksPerJob;
  if (!good) {
    if (reader->ok()) {
      reader->Fail("tasks", "must be an array of 1 to " +
                                std::to_string(config::kMaxTasksPerJob) +
                                " tasks");
    }
    return false;
  }
  out->tasks_.resize(tasks->size());
  for (size_t i = 0; i < tasks->size(); ++i) {
    const std::string location = "tasks[" + std::to_string(i) + "]";
    if (!ReadTask((*tasks)[i], location, &out->tasks_[i], detail)) return false;
  }
  return true;
}

Json FieldsToJson(const std::vector<HttpField>& fields) {
  Json json = Json::object();
  for (const auto& [name, value] : fields) {
    if (IsUtf8(value)) json[name] = value;
  }
  return json;
}

void AddBody(const std::string& body, Json* json) {
  if (body.empty()) return;
  if (IsUtf8(body)) {
    (*json)["body"] = body;
  } else {
    (*json)["body_base64"] = EncodeBase64(body);
  }
}

Json TaskAnswerToJson(const TaskAnswer& answer) {
  Json json = {{"status", answer.status_}};
  json["fields"] = FieldsToJson(answer.fields_);
  AddBody(answer.body_, &json);
  return json;
}

Errc ErrcFromName(std::string_view name) {
  for (int code = 1; code <= static_cast<int>(Errc::kUsage); ++code) {
    if (Name(static_cast<Errc>(code)) == name) return static_cast<Errc>(code);
  }
  return Errc::kBadRequest;
}

bool ReadTaskAnswer(const Json& json, TaskAnswer* out) {
  std::string detail;
  ObjectReader reader(json, "", &detail);
  int64_t status = 0;
  reader.Integer("status", 100, 999, &status);
  out->status_ = static_cast<uint16_t>(status);
  return ReadFields(&reader, &out->fields_) && ReadBody(&reader, &out->body_);
}

bool ReadStarted(const Json& started, JobAnswer* out) {
  out->started_known_ = started.is_array();
  if (!out->started_known_) return started == "unknown";
  for (const Json& index : started) {
    if (!index.is_number_unsigned()) return false;
    out->started_.push_back(index.get<uint16_t>());
  }
  return true;
}

bool ReadOutcome(const std::string& name, Outcome* out) {
  for (const Outcome outcome :
       {Outcome::kComplete, Outcome::kNotRun, Outcome::kMayHaveRun}) {
    if (Name(outcome) != name) continue;
    *out = outcome;
    return true;
  }
  return false;
}

}  // namespace

std::error_code ParseJob(std::string_view text, JobSpec* out,
                         std::string* detail, size_t max_expanded_bytes) {
  if (ExpandedJsonBytes(text) > max_expanded_bytes) {
    *detail = "body has too many values";
    return Errc::kBadRequest;
  }
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    *detail = "body must be one whole JSON object in UTF-8";
    return Errc::kBadRequest;
  }
  ObjectReader reader(json, "", detail);
  JobSpec job;
  reader.String("team", &job.team_);
  reader.Integer("deadline_ms", 1, kMaxDurationMs, &job.deadline_.ms_);
  reader.Bool("idempotent", &job.idempotent_);
  const bool good = reader.ok() && ReadTasks(&reader, &job, detail);
  if (good) reader.ExpectOnly({"team", "deadline_ms", "idempotent", "tasks"});
  if (!good || !reader.ok()) return Errc::kBadRequest;
  *out = std::move(job);
  return {};
}

std::string JobToJson(const JobSpec& job) {
  Json json = {{"team", job.team_}, {"idempotent", job.idempotent_}};
  if (job.deadline_.ms_ > 0) json["deadline_ms"] = job.deadline_.ms_;
  Json& tasks = json["tasks"] = Json::array();
  for (const TaskSpec& task : job.tasks_) {
    Json one = {{"method", task.method_},
                {"path", task.path_},
                {"kind", task.kind_},
                {"run_ms", task.declared_run_time_.ms_},
                {"size", task.declared_slots_}};
    one["fields"] = FieldsToJson(task.fields_);
    AddBody(task.body_, &one);
    tasks.push_back(std::move(one));
  }
  return ToJsonText(json);
}

std::string AnswerToJson(const JobAnswer& answer, std::string_view detail) {
  Json json = {{"outcome", Name(answer.outcome_)}};
  if (answer.outcome_ == Outcome::kComplete) {
    Json& tasks = json["tasks"] = Json::array();
    for (const TaskAnswer& task : answer.tasks_) {
      tasks.push_back(TaskAnswerToJson(task));
    }
    return ToJsonText(json);
  }
  json["error"] = Name(static_cast<Errc>(answer.error_.value()));
  json["message"] =
      detail.empty() ? answer.error_.message() : std::string(detail);
  if (answer.retry_after_.ms_ > 0) {
    json["retry_after_ms"] = answer.retry_after_.ms_;
  }
  if (answer.outcome_ == Outcome::kMayHaveRun) {
    if (answer.started_known_) {
      json["started"] = answer.started_;
    } else {
      json["started"] = "unknown";
    }
  }
  // An earlier attempt of this submission may have run, but this one never
  // reached the submission's owner.
  const bool owner_unreachable = answer.error_ == Errc::kOwnerUnreachable;
  if (owner_unreachable) json["this_attempt"] = "not-run";
  return ToJsonText(json);
}

std::error_code ParseAnswer(std::string_view text, JobAnswer* out) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) return Errc::kBadRequest;
  std::string detail;
  ObjectReader reader(json, "", &detail);
  std::string outcome;
  std::string error;
  JobAnswer answer;
  reader.String("outcome", &outcome);
  reader.String("error", &error);
  reader.Integer("retry_after_ms", 0, kMaxDurationMs, &answer.retry_after_.ms_);
  if (!reader.ok() || !ReadOutcome(outcome, &answer.outcome_)) {
    return Errc::kBadRequest;
  }
  if (!error.empty()) answer.error_ = ErrcFromName(error);
  const Json* tasks = reader.Find("tasks");
  if (tasks != nullptr) {
    for (const Json& task : *tasks) {
      if (!ReadTaskAnswer(task, &answer.tasks_.emplace_back())) {
        return Errc::kBadRequest;
      }
    }
  }
  const Json* started = reader.Find("started");
  if (started != nullptr && !ReadStarted(*started, &answer)) {
    return Errc::kBadRequest;
  }
  *out = std::move(answer);
  return {};
}

std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

int HttpStatus(const JobAnswer& answer) {
  if (answer.outcome_ == Outcome::kComplete) return 200;
  const auto code = static_cast<Errc>(answer.error_.value());
  if (answer.outcome_ == Outcome::kMayHaveRun) {
    const bool timed_out =
        code == Errc::kWorkerTimeout || code == Errc::kDeadlinePassed;
    return timed_out ? 504 : 502;
  }
  switch (code) {
    case Errc::kBadRequest:
    case Errc::kBadClientId:
    case Errc::kUnknownTeam:
      return 400;
    case Errc::kBodyTooLarge:
      return 413;
    case Errc::kNeverRunnable:
    case Errc::kSubmissionMismatch:
      return 422;
    case Errc::kRateLimited:
    case Errc::kQuotaExceeded:
    case Errc::kWindowFull:
      return 429;
    default:
      return 503;
  }
}

}  // namespace gentiandeal
