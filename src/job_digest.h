#ifndef GENTIANDEAL_SRC_JOB_DIGEST_H_
#define GENTIANDEAL_SRC_JOB_DIGEST_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// 128-bit hash that shows whether two submissions describe the same work.
struct JobDigest {
  uint64_t low_ = 0;
  uint64_t high_ = 0;
  friend bool operator==(const JobDigest&, const JobDigest&) = default;
};

/// Hashes the team of a job, its `passthrough_` flag, and of each task the
/// method, path, fields, body and kind. The deadline is left out, because a
/// retry may shorten it.
JobDigest Digest(const JobSpec& job);

/// Approximate memory use of a job's description, in bytes.
uint64_t BufferedBytes(const JobSpec& job);
/// Approximate memory use of a worker's answer, in bytes.
uint64_t BufferedBytes(const TaskAnswer& answer);
/// Approximate memory use of the answer to a job, in bytes.
uint64_t BufferedBytes(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_DIGEST_H_
