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

/// Control traffic sent by one instance, bytes a second.
inline constexpr uint32_t kControlBytesPerSecond = 9 * 1024;

}  // namespace gentiandeal::config

#endif  // GENTIANDEAL_SRC_CONFIG_H_
