#ifndef GENTIANDEAL_SRC_CONFIG_H_
#define GENTIANDEAL_SRC_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "gentiandeal/gentiandeal.h"

/// Named limits and intervals. Everything an operator may change is in the
/// settings instead (docs/SETTINGS.md).
namespace gentiandeal::config {

inline constexpr uint32_t kMaxTasksPerJob = 260;
inline constexpr uint32_t kMaxWorkers = 1024;
inline constexpr uint32_t kMaxTeams = 256;
inline constexpr uint32_t kMaxPeers = 64;
inline constexpr uint32_t kMaxJobs = 8192;
inline constexpr uint32_t kMaxKinds = 1024;
inline constexpr uint32_t kMaxSlotsPerWorker = 64;
/// Tasks in one message between instances about leased workers.
inline constexpr uint32_t kMaxRoomTasks = 4096;
/// Pools of leased workers in one report of an owner.
inline constexpr uint32_t kMaxPools = 64;

/// Largest request head and body taken from a caller, in bytes.
inline constexpr size_t kMaxHeadBytes = 16 * 1024;
inline constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
/// Largest response body taken from a worker, in bytes.
inline constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
/// Largest settings document, in bytes; the platform's values end at 1 MB.
inline constexpr size_t kMaxSettingsBytes = 900 * 1024;
/// Largest control datagram, in bytes; below the usual path MTU.
inline constexpr size_t kMaxDatagramBytes = 1400;
/// Largest frame on a peer link, in bytes.
inline constexpr size_t kMaxFrameBytes = 16 * 1024 * 1024;

/// Remembered answers a client may leave unacknowledged.
inline constexpr uint32_t kResultWindow = 64;
/// Lifetime of a client id since its issue.
inline constexpr Duration kClientIdLifetime{3600 * 1000};
/// A gap between two ticks longer than this is treated as a pause.
inline constexpr Duration kPauseGap{1000};
inline constexpr Duration kTickInterval{5};

/// Clients with remembered submissions; older ids are forgotten first.
inline constexpr uint32_t kMaxActiveClients = 16384;
/// Submissions handed to peers and not yet answered.
inline constexpr uint32_t kMaxForwards = 8192;
/// Requests to workers that are under way.
inline constexpr uint32_t kMaxAttempts = 65536;
/// Largest answer of a whole job, in bytes; fits a frame on a peer link.
inline constexpr size_t kMaxJobAnswerBytes = 12 * 1024 * 1024;
/// Part of a byte bound that new work may fill; the rest is for answers of
/// jobs already accepted.
inline constexpr uint32_t kAdmissionPercent = 75;
/// How much longer than a job's deadline its forward may take, so that the
/// peer's own exact answer arrives first.
inline constexpr Duration kForwardGrace{50};

/// Back-off after a worker refused a task or a connection; doubles.
inline constexpr Duration kRefusalBackoff{10};
inline constexpr Duration kMaxRefusalBackoff{5000};
/// How long a worker's own leaving mark outweighs a list that shows it active.
inline constexpr Duration kLeavingMemory{60 * 1000};
/// Longest stay of a failing worker that was set aside.
inline constexpr Duration kMaxSetAside{60 * 1000};

/// Bounds of the `retry_after_` that accompanies refusals.
inline constexpr Duration kMinRetryAfter{100};
inline constexpr Duration kMaxRetryAfter{10 * 1000};

/// Control traffic sent by one instance, bytes a second.
inline constexpr uint32_t kControlBytesPerSecond = 9 * 1024;

}  // namespace gentiandeal::config

#endif  // GENTIANDEAL_SRC_CONFIG_H_
