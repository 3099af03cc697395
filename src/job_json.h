#ifndef GENTIANDEAL_SRC_JOB_JSON_H_
#define GENTIANDEAL_SRC_JOB_JSON_H_

#include "gentiandeal_p.h"

/// JSON encoding of jobs and answers, as documented in docs/API.md.
namespace gentiandeal {

/// Parses a job.
///
/// @param text The request body.
/// @param out Set on success only.
/// @param detail On failure, what is wrong and how to fix it.
/// @param max_expanded_bytes Limit of `ExpandedJsonBytes`.
/// @returns `Errc::kBadRequest` for anything but a valid job; unknown members
/// are errors, too.
std::error_code ParseJob(std::string_view text, JobSpec* out,
                         std::string* detail,
                         size_t max_expanded_bytes = SIZE_MAX);

/// Encodes a job so that `ParseJob` restores it unchanged.
std::string JobToJson(const JobSpec& job);

/// Encodes an answer.
///
/// @param detail Replaces the error's general message unless empty.
std::string AnswerToJson(const JobAnswer& answer, std::string_view detail = {});

/// Parses an answer that `AnswerToJson` encoded. @returns `Errc::kBadRequest`
/// for anything else.
std::error_code ParseAnswer(std::string_view text, JobAnswer* out);

/// Name of an outcome in bodies and headers, such as `not-run`.
std::string_view Name(Outcome outcome);

/// HTTP status of an answer to `POST /v1/jobs`.
int HttpStatus(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_JSON_H_
