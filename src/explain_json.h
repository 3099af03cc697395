#ifndef GENTIANDEAL_SRC_EXPLAIN_JSON_H_
#define GENTIANDEAL_SRC_EXPLAIN_JSON_H_

#include <string>

#include "job_coordinator.h"

namespace gentiandeal {

/// Encodes an explanation of `job` as the body of a reply to `/explain`; the
/// members are listed in docs/operators/explain.md.
std::string ExplanationToJson(const HostedJob& job,
                              const InstanceExplanation& explanation);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_EXPLAIN_JSON_H_
