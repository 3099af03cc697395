#include "caller_request.h"

#include <algorithm>
#include <charconv>

namespace gentiandeal {
namespace {

constexpr std::string_view kHopByHopFields[] = {"Connection",
                                                "Keep-Alive",
                                                "Proxy-Authenticate",
                                                "Proxy-Authorization",
                                                "Proxy-Connection",
                                                "TE",
                                                "Trailer",
                                                "Transfer-Encoding",
                                                "Upgrade",
                                                "Content-Length",
                                                "Expect"};
constexpr std::string_view kOwnFieldPrefix = "Gentiandeal-";
constexpr uint64_t kMaxDurationMs = 24ULL * 3600 * 1000;
constexpr uint64_t kMaxDeclaredSlots = 4096;
constexpr uint64_t kMaxSequence = 1ULL << 62;

std::error_code InvalidField(std::string_view field, std::string_view what,
                             std::string* detail) {
  *detail = std::string(field) + " " + std::string(what);
  return Errc::kBadRequest;
}

bool ParseUint64(std::string_view text, uint64_t* out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *out);
  return error == std::errc() && stop == end && !text.empty();
}

// Parses an optional field as a number. @param out Unchanged without the field.
std::error_code ReadNumber(const std::vector<HttpField>& fields,
                           std::string_view name, uint64_t max, uint64_t* out,
                           std::string* detail) {
  const std::string* text = FindField(fields, name);
  if (text == nullptr) return {};
  if (ParseUint64(*text, out) && *out <= max) return {};
  return InvalidField(
      name, "must be a whole number up to " + std::to_string(max), detail);
}

std::error_code ReadLength(const std::string& text, Framing* out) {
  if (!ParseUint64(text, &out->body_bytes_)) {
    return InvalidField("Content-Length", "must be one whole number",
                        &out->detail_);
  }
  if (out->body_bytes_ <= config::kMaxBodyBytes) return {};
  out->detail_ = "body must be at most " +
                 std::to_string(config::kMaxBodyBytes) + " bytes";
  return Errc::kBodyTooLarge;
}

}  // namespace

const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (SameFieldName(field, name)) return &value;
  }
  return nullptr;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      std::begin(kHopByHopFields), std::end(kHopByHopFields),
      [&](std::string_view other) { return SameFieldName(name, other); });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  if (text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) != 0 ||
           kTokenSymbols.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

std::error_code ReadFraming(const std::vector<HttpField>& fields, bool http11,
                            Framing* out) {
  int framings = 0;
  int hosts = 0;
  for (const auto& [name, value] : fields) {
    if (SameFieldName(name, "Host")) ++hosts;
    if (SameFieldName(name, "Content-Length")) {
      ++framings;
      if (const auto error = ReadLength(value, out)) return error;
    }
    if (SameFieldName(name, "Transfer-Encoding")) {
      ++framings;
      out->chunked_ = SameFieldName(value, "chunked");
      if (!out->chunked_) {
        return InvalidField("Transfer-Encoding", "must be chunked",
                            &out->detail_);
      }
    }
  }
  if (framings > 1) {
    return InvalidField("Content-Length",
                        "and Transfer-Encoding: send exactly one of them, once",
                        &out->detail_);
  }
  if ((http11 && hosts == 0) || hosts > 1) {
    return InvalidField("Host", "must be sent exactly once", &out->detail_);
  }
  return {};
}

std::error_code ParseSubmissionId(const std::vector<HttpField>& fields,
                                  std::optional<SubmissionId>* out,
                                  std::string* detail) {
  const std::string* client = FindField(fields, kClientField);
  const std::string* sequence = FindField(fields, kSequenceField);
  if (client == nullptr && sequence == nullptr) return {};
  if (client == nullptr || sequence == nullptr) {
    return InvalidField(kClientField,
                        "and Gentiandeal-Sequence: send both or none", detail);
  }
  SubmissionId id;
  if (const auto error = ParseClientId(*client, &id.client_)) {
    *detail = error.message();
    return error;
  }
  if (const auto error = ReadNumber(fields, kSequenceField, kMaxSequence,
                                    &id.sequence_, detail)) {
    return error;
  }
  if (id.sequence_ == 0) {
    return InvalidField(kSequenceField, "must be 1 or more", detail);
  }
  if (const auto error = ReadNumber(fields, kAcknowledgedField, kMaxSequence,
                                    &id.acknowledged_, detail)) {
    return error;
  }
  *out = id;
  return {};
}

std::error_code ParsePassthrough(CallerRequest request, JobSpec* out,
                                 std::string* detail) {
  uint64_t deadline = 0;
  uint64_t run = 0;
  uint64_t size = 1;
  const auto& fields = request.fields_;
  if (const auto error = ReadNumber(fields, kDeadlineField, kMaxDurationMs,
                                    &deadline, detail)) {
    return error;
  }
  if (const auto error =
          ReadNumber(fields, kRunField, kMaxDurationMs, &run, detail)) {
    return error;
  }
  if (const auto error =
          ReadNumber(fields, kSizeField, kMaxDeclaredSlots, &size, detail)) {
    return error;
  }
  const std::string* team = FindField(fields, kTeamField);
  const std::string* kind = FindField(fields, kKindField);
  JobSpec job;
  job.passthrough_ = true;
  job.deadline_.ms_ = static_cast<int64_t>(deadline);
  if (team != nullptr) job.team_ = *team;
  TaskSpec& task = job.tasks_.emplace_back();
  task.declared_run_time_.ms_ = static_cast<int64_t>(run);
  task.declared_slots_ = static_cast<uint32_t>(std::max<uint64_t>(size, 1));
  if (kind != nullptr) task.kind_ = *kind;
  task.method_ = std::move(request.method_);
  task.path_ = std::move(request.path_);
  task.body_ = std::move(request.body_);
  for (auto& field : request.fields_) {
    const std::string_view name = field.first;
    const bool own =
        SameFieldName(name.substr(0, kOwnFieldPrefix.size()), kOwnFieldPrefix);
    if (!own && !IsHopByHop(name)) task.fields_.push_back(std::move(field));
  }
  *out = std::move(job);
  return {};
}

}  // namespace gentiandeal
