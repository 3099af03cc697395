#ifndef GENTIANDEAL_SRC_CALLER_REQUEST_H_
#define GENTIANDEAL_SRC_CALLER_REQUEST_H_

#include <strings.h>

#include "gentiandeal_p.h"

/// Parsing of callers' requests. Independent of sockets.
namespace gentiandeal {

/// Header fields of this system's protocols with callers and workers.
inline constexpr char kClientField[] = "Gentiandeal-Client";
inline constexpr char kSequenceField[] = "Gentiandeal-Sequence";
inline constexpr char kAcknowledgedField[] = "Gentiandeal-Acknowledged";
inline constexpr char kTeamField[] = "Gentiandeal-Team";
inline constexpr char kDeadlineField[] = "Gentiandeal-Deadline";
inline constexpr char kRunField[] = "Gentiandeal-Run";
inline constexpr char kSizeField[] = "Gentiandeal-Size";
inline constexpr char kKindField[] = "Gentiandeal-Kind";
inline constexpr char kOutcomeField[] = "Gentiandeal-Outcome";
inline constexpr char kTaskField[] = "Gentiandeal-Task";
inline constexpr char kNotRunField[] = "Gentiandeal-Not-Run";
inline constexpr char kLeavingField[] = "Gentiandeal-Leaving";
inline constexpr char kRenewClientField[] = "Gentiandeal-Renew-Client";

/// An HTTP request as received.
struct CallerRequest {
  std::string method_;
  std::string path_;  ///< Path and query.
  std::vector<HttpField> fields_;
  std::string body_;
  /// Whether the body was discarded, since it wasn't going to be used.
  bool body_discarded_ = false;
};

/// Compares header names without regard to case.
inline bool SameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// @returns the value of the first field called `name`, or null.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Whether a header field applies to a single connection and is not forwarded.
bool IsHopByHop(std::string_view name);

/// Whether `text` is valid as a method or a header name.
bool IsToken(std::string_view text);

/// How the end of a request's body is found.
struct Framing {
  uint64_t body_bytes_ = 0;
  bool chunked_ = false;
  std::string detail_;  ///< On failure, what is wrong.
};

/// Parses Content-Length and Transfer-Encoding, and checks Host.
///
/// @param http11 Whether the request is HTTP/1.1, which requires a Host.
/// @returns `Errc::kBadRequest` when they are invalid or ambiguous, or
/// `Errc::kBodyTooLarge` when the length is above `config::kMaxBodyBytes`.
std::error_code ReadFraming(const std::vector<HttpField>& fields, bool http11,
                            Framing* out);

/// Parses the headers that identify a submission.
///
/// @param out Unchanged when the request has none of them.
/// @param detail On failure, what is wrong and how to fix it.
std::error_code ParseSubmissionId(const std::vector<HttpField>& fields,
                                  std::optional<SubmissionId>* out,
                                  std::string* detail);

/// Builds a job of one task from a request that is passed through to a worker.
/// Hop-by-hop fields and those of this system are left out of the task.
///
/// @param detail On failure, what is wrong and how to fix it.
std::error_code ParsePassthrough(CallerRequest request, JobSpec* out,
                                 std::string* detail);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CALLER_REQUEST_H_
