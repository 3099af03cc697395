#ifndef GENTIANDEAL_SRC_CALLER_REQUEST_H_
#define GENTIANDEAL_SRC_CALLER_REQUEST_H_

#include <strings.h>

#include "gentiandeal_p.h"

/// Reading of callers' requests, apart from sockets.
namespace gentiandeal {

/// Header fields with meaning to this system.
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
inline constexpr char kRenewField[] = "Gentiandeal-Renew-Client";

/// One request as read from the wire.
struct CallerRequest {
  std::string method_;
  std::string path_;  ///< With its query.
  std::vector<HttpField> fields_;
  std::string body_;
};

/// Compares header names, which ignore case.
inline bool SameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Value of a field, or null. @param fields Searched in order.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Whether a field belongs to one connection and is never passed on.
bool IsHopByHop(std::string_view name);

/// Whether a text may stand as a method or a header name.
bool IsToken(std::string_view text);

/// Where the body of a request ends.
struct Framing {
  uint64_t body_bytes_ = 0;
  bool chunked_ = false;
  std::string detail_;  ///< What is wrong, on failure.
};

/// Reads the framing fields of a request head.
///
/// @param http11 Whether the request is HTTP/1.1, which needs a Host.
/// @returns `Errc::kBadRequest` when they are ambiguous, or
/// `Errc::kBodyTooLarge` when the length is above the limit.
std::error_code ReadFraming(const std::vector<HttpField>& fields, bool http11,
                            Framing* out);

/// Reads the identity headers. @param out Left empty when there are none.
std::error_code ParseSubmissionId(const std::vector<HttpField>& fields,
                                  std::optional<SubmissionId>* out,
                                  std::string* detail);

/// Makes the job of one task for a request passed through.
std::error_code ParsePassthrough(CallerRequest request, JobSpec* out,
                                 std::string* detail);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CALLER_REQUEST_H_
