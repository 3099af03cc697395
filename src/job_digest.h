#ifndef GENTIANDEAL_SRC_JOB_DIGEST_H_
#define GENTIANDEAL_SRC_JOB_DIGEST_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Hash that tells whether two submissions ask for the same work.
struct JobDigest {
  uint64_t low_ = 0;
  uint64_t high_ = 0;
  friend bool operator==(const JobDigest&, const JobDigest&) = default;
};

/// Digest of everything but the deadline, which a retry may shorten.
JobDigest Digest(const JobSpec& job);

/// Memory that a job's description takes, in bytes.
uint64_t BufferedBytes(const JobSpec& job);
/// Memory that a worker's answer takes, in bytes.
uint64_t BufferedBytes(const TaskAnswer& answer);
/// Memory that a kept answer takes, in bytes.
uint64_t BufferedBytes(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_DIGEST_H_
