#include "explain_endpoint.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "http_status.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

constexpr std::string_view kPath = "/explain";
constexpr std::string_view kQueueName = "queue";
constexpr size_t kMaxQueueBytes = 200;
constexpr int kMethodNotAllowed = 405;

HttpReply Refusal(int status, const std::string& message) {
  return JsonReply(status, ToJsonText({{"error", message}}));
}

/// Decodes the percent encoding of a URL. @returns false if it is malformed.
bool Decode(std::string_view text, std::string* out) {
  out->clear();
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out->push_back(' ');
      continue;
    }
    if (text[i] != '%') {
      out->push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    if (i + 2 >= text.size()) return false;
    const char* const end = text.data() + i + 3;
    const auto parsed = std::from_chars(text.data() + i + 1, end, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) return false;
    out->push_back(static_cast<char>(byte));
    i += 2;
  }
  return true;
}

std::string Encode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                       c == '_';
    if (plain) {
      encoded.push_back(c);
    } else {
      encoded.append({'%', kDigits[byte >> 4], kDigits[byte & 15]});
    }
  }
  return encoded;
}

std::string AllowedNames() {
  std::string names(kQueueName);
  for (const ExplainNumber& number : kExplainNumbers) {
    names.append(", ").append(number.name_);
  }
  return names;
}

/// Parses one number. @returns what is wrong, or an empty text.
std::string ParseNumber(const ExplainNumber& number, std::string_view text,
                        int64_t* out) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *out);
  if (parsed.ec == std::errc() && parsed.ptr == end && *out >= number.least_ &&
      *out <= number.most_) {
    return {};
  }
  return std::string(number.name_) + " must be an integer from " +
         std::to_string(number.least_) + " to " + std::to_string(number.most_);
}

}  // namespace

std::string ParseExplainQuery(std::string_view query, ExplainQuery* out) {
  out->queue_.clear();
  for (size_t i = 0; i < kExplainNumbers.size(); ++i) {
    out->numbers_[i] = kExplainNumbers[i].default_;
  }
  std::set<std::string> given;
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    const size_t equals = field.find('=');
    std::string name;
    std::string value;
    if (equals == std::string_view::npos ||
        !Decode(field.substr(0, equals), &name) ||
        !Decode(field.substr(equals + 1), &value)) {
      return "the query must consist of NAME=VALUE, separated by &";
    }
    if (!given.insert(name).second) return name + " is given twice";
    if (name == kQueueName) {
      out->queue_ = value;
      continue;
    }
    size_t i = 0;
    while (i < kExplainNumbers.size() && kExplainNumbers[i].name_ != name) ++i;
    if (i == kExplainNumbers.size()) {
      return "unknown parameter " + name + "; allowed: " + AllowedNames();
    }
    std::string error =
        ParseNumber(kExplainNumbers[i], value, &out->numbers_[i]);
    if (!error.empty()) return error;
  }
  if (out->queue_.empty() || out->queue_.size() > kMaxQueueBytes) {
    return "queue must be the name of a queue, of 1 to " +
           std::to_string(kMaxQueueBytes) + " bytes";
  }
  return {};
}

std::string ToQuery(const ExplainQuery& query) {
  std::string text = std::string(kQueueName) + "=" + Encode(query.queue_);
  for (size_t i = 0; i < kExplainNumbers.size(); ++i) {
    text.append("&").append(kExplainNumbers[i].name_).append("=");
    text += std::to_string(query.numbers_[i]);
  }
  return text;
}

HostedJob ToJob(const ExplainQuery& query) {
  const auto [tasks, cpu, memory, gpu, expected, deadline] = query.numbers_;
  HostedJob job;
  job.queue_ = query.queue_;
  HostedJobStep& step = job.steps_.emplace_back();
  step.count_ = static_cast<uint32_t>(tasks);
  step.need_ = {static_cast<int32_t>(cpu), static_cast<int32_t>(memory),
                static_cast<int32_t>(gpu)};
  step.expected_ = {expected};
  job.deadline_ = {deadline};
  return job;
}

bool ExplainEndpoint::Serves(const CallerRequest& request) {
  const std::string_view target = request.path_;
  return target.substr(0, target.find('?')) == kPath;
}

HttpReply ExplainEndpoint::Reply(const CallerRequest& request, Time now,
                                 const ApplyQueue& apply_queue,
                                 const Explain& explain) {
  if (request.method_ != "GET") {
    return Refusal(kMethodNotAllowed, "method must be GET");
  }
  std::string_view query = request.path_;
  query.remove_prefix(std::min(query.size(), kPath.size() + 1));
  ExplainQuery parsed;
  const std::string error = ParseExplainQuery(query, &parsed);
  if (!error.empty()) return Refusal(http_status::kBadRequest, error);
  if (!apply_queue) {
    return Refusal(http_status::kUnavailable, "no configuration yet");
  }
  HostedJob job = ToJob(parsed);
  if (!apply_queue(&job)) {
    return Refusal(http_status::kNotFound,
                   "no queue " + parsed.queue_ + " that takes jobs");
  }
  if (explained_at_ && now - *explained_at_ < kMinInterval) {
    return Refusal(http_status::kTooManyRequests,
                   "explained another job less than " +
                       std::to_string(kMinInterval.ms_) +
                       " ms ago; ask again later");
  }
  explained_at_ = now;
  return JsonReply(http_status::kOk, explain(job));
}

}  // namespace gentiandeal
