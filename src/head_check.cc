#include "head_check.h"

#include <algorithm>

#include "caller_request.h"

namespace gentiandeal {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kMethods[] = {"GET",    "HEAD",    "POST", "PUT",
                                         "DELETE", "OPTIONS", "PATCH"};
constexpr size_t kMaxTargetBytes = 8 * 1024;

HeadCheck Invalid(int status, std::string detail) {
  HeadCheck check;
  check.state_ = HeadCheck::State::kInvalid;
  check.status_ = status;
  check.detail_ = std::move(detail);
  if (status == 413) check.error_ = Errc::kBodyTooLarge;
  return check;
}

bool HasControlByte(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t') || c == 0x7f;
  });
}

// Removes the text up to and including `end` from the front of `text`.
// @returns the text before `end`; empty, with `text` unchanged, without `end`.
std::string_view TakeUntil(std::string_view* text, std::string_view end) {
  const size_t at = text->find(end);
  if (at == std::string_view::npos) return {};
  const std::string_view taken = text->substr(0, at);
  text->remove_prefix(at + end.size());
  return taken;
}

std::string_view Trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

// Validates `METHOD TARGET HTTP/1.x`.
HeadCheck CheckRequestLine(std::string_view line) {
  HeadCheck valid;
  valid.state_ = HeadCheck::State::kValid;
  const std::string_view method = TakeUntil(&line, " ");
  const std::string_view target = TakeUntil(&line, " ");
  const bool known = std::find(std::begin(kMethods), std::end(kMethods),
                               method) != std::end(kMethods);
  if (method.empty() || target.empty()) {
    return Invalid(400, "request line must be METHOD TARGET HTTP/1.1");
  }
  if (!known) {
    return Invalid(
        501, "method must be GET, HEAD, POST, PUT, DELETE, OPTIONS or PATCH");
  }
  if (target.size() > kMaxTargetBytes) {
    return Invalid(414, "target must be at most 8192 bytes");
  }
  if (target[0] != '/' || HasControlByte(target)) {
    return Invalid(400,
                   "target must start with '/' and hold no control character");
  }
  valid.method_ = method;
  valid.target_ = target;
  valid.http11_ = line == "HTTP/1.1";
  if (!valid.http11_ && line != "HTTP/1.0") {
    return Invalid(505, "version must be HTTP/1.1 or HTTP/1.0");
  }
  return valid;
}

// Parses `name: value`. @returns false when the line is not a header field.
bool ReadField(std::string_view line, HttpField* out) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name) || HasControlByte(line)) return false;
  out->first = name;
  out->second = Trim(line.substr(colon + 1));
  return true;
}

HeadCheck CheckWholeHead(std::string_view head, const RequestSizes& sizes) {
  HeadCheck check = CheckRequestLine(TakeUntil(&head, kLineEnd));
  if (check.state_ != HeadCheck::State::kValid) return check;
  while (!head.empty()) {
    const std::string_view line = TakeUntil(&head, kLineEnd);
    if (check.fields_.size() == sizes.max_head_fields_) {
      return Invalid(431, "request head must have at most " +
                              std::to_string(sizes.max_head_fields_) +
                              " header fields");
    }
    if (!ReadField(line, &check.fields_.emplace_back())) {
      return Invalid(400, "header lines must be 'Name: value', one a line");
    }
  }
  Framing framing;
  if (const auto error = ReadFraming(check.fields_, check.http11_, &framing)) {
    return Invalid(error == Errc::kBodyTooLarge ? 413 : 400, framing.detail_);
  }
  if (framing.body_bytes_ > sizes.max_body_bytes_) {
    return Invalid(413, "body must be at most " +
                            std::to_string(sizes.max_body_bytes_) + " bytes");
  }
  check.body_bytes_ = framing.body_bytes_;
  check.chunked_ = framing.chunked_;
  return check;
}

}  // namespace

HeadCheck CheckHead(std::string_view bytes, const RequestSizes& sizes) {
  const size_t end = bytes.find(kHeadEnd);
  const size_t head_bytes =
      end == std::string_view::npos ? bytes.size() : end + kHeadEnd.size();
  if (head_bytes > sizes.max_head_bytes_) {
    return Invalid(431, "request head must be at most " +
                            std::to_string(sizes.max_head_bytes_) + " bytes");
  }
  if (end == std::string_view::npos) return {};
  HeadCheck check =
      CheckWholeHead(bytes.substr(0, end + kLineEnd.size()), sizes);
  check.head_bytes_ = head_bytes;
  return check;
}

}  // namespace gentiandeal
