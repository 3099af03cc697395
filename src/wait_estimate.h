#ifndef GENTIANDEAL_SRC_WAIT_ESTIMATE_H_
#define GENTIANDEAL_SRC_WAIT_ESTIMATE_H_

#include "leased_worker.h"

/// Estimates how long tasks wait for free resources, from the load reports of
/// owners. Performs no I/O and keeps no state.
namespace gentiandeal {

/// Share of the released cores that waiting tasks can use. A worker holds two
/// or three tasks, and the cores left over are too few for another.
inline constexpr double kPackingEfficiency = 0.85;

/// Share of the released cores that is left for any band.
inline constexpr double kLeastShareOfRelease = 0.1;

/// Identical tasks that are to be placed together.
struct PlacementRequest {
  uint32_t count_ = 1;
  Resources need_;  ///< Resources requested by each task.
  Duration slack_;  ///< Time until they should start.
  uint8_t band_ = 0;
};

/// Number of tasks, at most `limit`, that fit into the free resources of the
/// workers at the same time.
uint32_t CountFitting(const std::vector<Resources>& free, const Resources& need,
                      uint32_t limit);

/// Best fit: of the workers that can hold `need`, the one with the fewest free
/// cores. @returns its free resources, or null if the task fits none.
Resources* FindBestFit(std::vector<Resources>* free, const Resources& need);

/// Components of an estimated wait. CPU in thousandths of a core.
struct WaitEstimate {
  uint32_t fitting_ = 0;          ///< Tasks that fit into free resources.
  uint64_t ahead_milli_ = 0;      ///< Of the tasks that are served before.
  uint64_t requested_milli_ = 0;  ///< Of the tasks that don't fit.
  double released_per_s_ = 0;     ///< CPU that running tasks free.
  double taken_per_s_ = 0;        ///< CPU that higher bands take of it.
  double usable_per_s_ = 0;       ///< What is left, after packing losses.
  Duration wait_;
};

/// Estimates the time until the last of the tasks can start; zero if all fit
/// into free resources. Adds the cores requested by those that don't fit to the
/// backlog of higher bands, and of the same band and the same or greater
/// urgency, and divides the sum by the rate at which running tasks release
/// cores, without those that tasks of higher bands take.
WaitEstimate EstimateWait(const std::vector<const PoolLoad*>& loads,
                          const PlacementRequest& request);

inline Duration ExpectedWait(const std::vector<const PoolLoad*>& loads,
                             const PlacementRequest& request) {
  return EstimateWait(loads, request).wait_;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WAIT_ESTIMATE_H_
