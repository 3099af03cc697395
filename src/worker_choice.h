#ifndef GENTIANDEAL_SRC_WORKER_CHOICE_H_
#define GENTIANDEAL_SRC_WORKER_CHOICE_H_

#include <cstdint>

#include "gentiandeal/gentiandeal.h"

/// What it costs to run a task on one of the workers that have room for it.
/// Pure functions of constant cost.
namespace gentiandeal {

/// A task to be placed.
struct TaskDemand {
  Duration expected_;        ///< Run time on a typical worker of its pool.
  Duration until_deadline_;  ///< Until its latest start plus its run time.
  uint32_t tasks_ = 1;       ///< Of its batch. If one is late, so is the job.
};

/// A worker that has room for a task.
struct WorkerOffer {
  /// Ratio of its run times to those of a typical worker, and the mean absolute
  /// deviation of the logarithm of single runs (`WorkerSpeed`).
  double ratio_ = 1;
  double spread_ = 0.3;
  /// CPU left over after the start, as a multiple of the task's need.
  double left_over_ = 0;
  bool avoided_ = false;  ///< The task did not complete there last.
};

/// Returns the probability that the task ends there by its deadline.
double ChanceInTime(const TaskDemand& task, const WorkerOffer& worker);

/// Returns the cost of a start there, in shares of a task that is certainly
/// late. Of several workers for one task, the one of the lowest cost is the
/// best.
double PlacementCost(const TaskDemand& task, const WorkerOffer& worker);

/// Returns by how much the cost exceeds that on a typical worker with the same
/// fit. Of several tasks for one worker with room, the one of the lowest value
/// gains most from that worker, or loses least.
double CostOverTypical(const TaskDemand& task, const WorkerOffer& worker);

/// Returns whether a task that would end in time on a typical worker is almost
/// certainly late there, so that it rather waits for another worker. A task of
/// a wide batch waits where it is as likely late as not.
bool RatherWaits(const TaskDemand& task, const WorkerOffer& worker);

/// A run as its worker lists it.
struct RunProgress {
  Duration expected_;  ///< Run time on a typical worker of its pool.
  Duration elapsed_;
  double share_done_ = 0;  ///< From 0 to 1.
  /// Until the deadline of its task, and until its end is of no use any more.
  Duration until_deadline_;
  Duration until_useless_;
  uint32_t run_ = 1;          ///< Number of the run of its task.
  bool slow_worker_ = false;  ///< As told by `WorkerSpeed`.
};

/// Returns whether a run is old enough for its progress to tell its run time.
bool IsProgressTelling(const RunProgress& run);

/// Returns whether to stop a run and start its task on another worker, as it
/// ends there much sooner than here, and in time to be of use.
bool ShouldRestart(const RunProgress& run);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_CHOICE_H_
