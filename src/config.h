#ifndef GENTIANDEAL_SRC_CONFIG_H_
#define GENTIANDEAL_SRC_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "gentiandeal/gentiandeal.h"

/// Fixed limits and intervals. What operators can change is in the settings
/// instead (docs/SETTINGS.md).
namespace gentiandeal::config {

inline constexpr uint32_t kMaxTasksPerJob = 260;
inline constexpr uint32_t kMaxWorkers = 1024;
inline constexpr uint32_t kMaxTeams = 256;
inline constexpr uint32_t kMaxPeers = 64;
inline constexpr uint32_t kMaxJobs = 8192;
inline constexpr uint32_t kMaxKinds = 1024;
inline constexpr uint32_t kMaxSlotsPerWorker = 64;
/// Most tasks in one message between instances about leased workers.
inline constexpr uint32_t kMaxTasksPerMessage = 4096;
/// Most pools of leased workers in one load report of an owner.
inline constexpr uint32_t kMaxPoolsPerReport = 64;
/// Most leased workers of one pool in a load report of an owner.
inline constexpr uint32_t kMaxWorkersPerReport = 16384;
/// Most coordinators whose long open jobs are listed in one message.
inline constexpr uint32_t kMaxListsPerReport = 4096;
/// Most jobs in one list of the long open jobs of an instance.
inline constexpr uint32_t kMaxOpenJobsPerReport = 1024;

/// Largest request head and body accepted from a caller, in bytes.
inline constexpr size_t kMaxHeadBytes = 16 * 1024;
inline constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
/// Largest response body accepted from a worker, in bytes.
inline constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
/// Largest settings document, in bytes; the platform's store accepts values of
/// up to 1 MB.
inline constexpr size_t kMaxSettingsBytes = 900 * 1024;
/// Largest control datagram, in bytes; below the usual path MTU, so that
/// datagrams are not fragmented.
inline constexpr size_t kMaxDatagramBytes = 1400;
/// Largest frame on a peer link, in bytes.
inline constexpr size_t kMaxFrameBytes = 16 * 1024 * 1024;

/// Largest frame between hosted instances, in bytes. The largest ones are the
/// lists of 1,024 long open jobs of each of 64 instances, 1.3 MB.
inline constexpr size_t kMaxMeshFrameBytes = 2 * 1024 * 1024;
/// Largest first frame on such a link, which only names the other side.
inline constexpr size_t kMaxHelloFrameBytes = 4 * 1024;

/// Most unacknowledged answers kept for one client.
inline constexpr uint32_t kAnswerWindow = 64;
/// Time from issue after which a client id expires.
inline constexpr Duration kClientIdLifetime{3600 * 1000};
/// A longer gap between two ticks counts as a pause of the process.
inline constexpr Duration kPauseThreshold{1000};
inline constexpr Duration kTickInterval{5};

/// Most clients whose submissions are kept; older client ids are dropped first.
inline constexpr uint32_t kMaxActiveClients = 16384;
/// Most forwards to peers that are not yet answered.
inline constexpr uint32_t kMaxForwards = 8192;
/// Most requests to workers in flight.
inline constexpr uint32_t kMaxAttempts = 65536;
/// Largest answer of a whole job, in bytes; fits into `kMaxFrameBytes`.
inline constexpr size_t kMaxJobAnswerBytes = 12 * 1024 * 1024;
/// Share of a buffer limit that new jobs may use; the rest is for the answers
/// of jobs already accepted.
inline constexpr uint32_t kAdmissionPercent = 75;
/// Time past a job's deadline until its forward expires, so that the exact
/// answer of the peer arrives first.
inline constexpr Duration kForwardGrace{50};

/// First back-off after a worker refused a task or a connection; doubles with
/// each further refusal in a row.
inline constexpr Duration kRefusalBackoff{10};
inline constexpr Duration kMaxRefusalBackoff{5000};
/// How long a worker's own statement that it is leaving overrides a list that
/// shows it as active.
inline constexpr Duration kLeavingMarkLifetime{60 * 1000};
/// Longest ejection of a failing worker.
inline constexpr Duration kMaxEjectionTime{60 * 1000};

/// Bounds of the `JobAnswer::retry_after_` of refusals.
inline constexpr Duration kMinRetryAfter{100};
inline constexpr Duration kMaxRetryAfter{10 * 1000};

/// Limit of the control traffic sent by one instance, in bytes per second.
inline constexpr uint32_t kControlBytesPerSecond = 9 * 1024;

}  // namespace gentiandeal::config

#endif  // GENTIANDEAL_SRC_CONFIG_H_
