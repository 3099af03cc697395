#ifndef GENTIANDEAL_SRC_WARM_UP_H_
#define GENTIANDEAL_SRC_WARM_UP_H_

#include <algorithm>

#include "gentiandeal/gentiandeal.h"

namespace gentiandeal {

/// How much a worker's warm-up delays a run there.
struct WarmUpBounds {
  double overage_ = 1.5;  ///< Longest run time, relative to a warm worker's.
  Duration slack_{5};     ///< A delay up to this doesn't matter.
};

/// Delay that weighs as much as CPU left over of the size of the task. Tight
/// packing is given up for a delay that is small compared to latency
/// objectives, which allow for 60 ms and more.
inline constexpr double kColdDelayUnitMs = 10;

/// Returns the cost of starting a task on a cold worker; 1 is CPU left over of
/// the size of the task. It grows with the task's expected time: a short task
/// hardly suffers from the warm-up, a long one does in all its course.
/// @param cold_left Time until the worker is warm.
inline double ColdCost(const WarmUpBounds& bounds, Duration cold_left,
                       Duration expected) {
  if (cold_left.ms_ <= 0) return 0;
  const double slowed_ms =
      static_cast<double>(std::min(expected.ms_, cold_left.ms_));
  const double delay_ms = (bounds.overage_ - 1) * slowed_ms;
  return std::max(0.0, delay_ms - static_cast<double>(bounds.slack_.ms_)) /
         kColdDelayUnitMs;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WARM_UP_H_
