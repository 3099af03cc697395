#ifndef GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_
#define GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_

#include <algorithm>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Load reports that an owner sends in a second, at most, whatever the number
/// of instances that assign tasks to it.
inline constexpr int64_t kLoadReportsPerSecond = 800;
inline constexpr Duration kMinLoadReportInterval{20};
/// Other data centres take only what doesn't fit into their own, and are told
/// this many times less often.
inline constexpr int64_t kRemoteLoadReportFactor = 4;

/// Returns the least time between two load reports over one connection.
/// @param sessions Number of connected instances.
/// @param near Whether the receiver is in the owner's data centre.
constexpr Duration LoadReportInterval(size_t sessions, bool near) {
  const Duration interval{
      std::max(kMinLoadReportInterval.ms_,
               static_cast<int64_t>(sessions) * 1000 / kLoadReportsPerSecond)};
  return near ? interval : Duration{interval.ms_ * kRemoteLoadReportFactor};
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_
