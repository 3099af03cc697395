#ifndef GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_
#define GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_

#include <algorithm>

#include "link_rate.h"

namespace gentiandeal {

/// Load reports that an owner sends in a second, at most, whatever the number
/// of instances that assign tasks to it.
inline constexpr int64_t kLoadReportsPerSecond = 800;
inline constexpr Duration kMinLoadReportInterval{20};
/// Other data centres take only what doesn't fit into their own, and are told
/// this many times less often.
inline constexpr int64_t kRemoteLoadReportFactor = 4;
/// Part of an owner's link that load reports may use, as a divisor. The rest is
/// for the tasks themselves.
inline constexpr int64_t kLoadReportLinkDivisor = 10;
/// Headers of TCP and IP around a report, and the heartbeat before it.
inline constexpr int64_t kLoadReportOverheadBytes = 80;

/// Instances that receive an owner's load reports.
struct LoadReportSessions {
  int64_t near_ = 0;  ///< In the owner's data centre.
  int64_t remote_ = 0;
};

/// Returns the least time between two load reports over one connection.
/// @param bytes Size of the last report.
/// @param link Of the owner.
/// @param near Whether the receiver is in the owner's data centre.
constexpr Duration LoadReportInterval(const LoadReportSessions& sessions,
                                      int64_t bytes, LinkRate link, bool near) {
  const int64_t all = sessions.near_ + sessions.remote_;
  int64_t interval =
      std::max(kMinLoadReportInterval.ms_, all * 1000 / kLoadReportsPerSecond);
  if (link.bytes_per_s_ > 0) {
    // Bytes of one report to each near instance, and as many of the remote ones
    // as are due in the same time.
    const int64_t round =
        (sessions.near_ + sessions.remote_ / kRemoteLoadReportFactor) *
        (bytes + kLoadReportOverheadBytes);
    interval = std::max(
        interval, round * 1000 * kLoadReportLinkDivisor / link.bytes_per_s_);
  }
  return near ? Duration{interval}
              : Duration{interval * kRemoteLoadReportFactor};
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LOAD_REPORT_INTERVAL_H_
