#ifndef GENTIANDEAL_SRC_JOB_JSON_H_
#define GENTIANDEAL_SRC_JOB_JSON_H_

#include "gentiandeal_p.h"

/// JSON forms of jobs and answers, as documented in docs/API.md.
namespace gentiandeal {

/// Reads a job.
///
/// @param text The request body.
/// @param out Filled on success.
/// @param detail What is wrong and how to mend it, on failure.
/// @returns `Errc::kBadRequest` for anything that is not exactly a job.
std::error_code ParseJob(std::string_view text, JobSpec* out,
                         std::string* detail);

/// Writes a job; `ParseJob` reads it back unchanged.
std::string JobToJson(const JobSpec& job);

/// Writes an answer. @param detail Replaces the error's general message when
/// not empty.
std::string AnswerToJson(const JobAnswer& answer, std::string_view detail = {});

/// Reads an answer that `AnswerToJson` wrote. @returns `Errc::kBadRequest` for
/// anything else.
std::error_code ParseAnswer(std::string_view text, JobAnswer* out);

/// Name of an outcome in bodies and headers, such as `not-run`.
std::string_view Name(Outcome outcome);

/// HTTP status of an answer to `POST /v1/jobs`.
int HttpStatus(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_JSON_H_
