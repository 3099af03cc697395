#ifndef GENTIANDEAL_SRC_TASK_QUEUE_H_
#define GENTIANDEAL_SRC_TASK_QUEUE_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// A task that waits for a worker.
struct QueuedTask {
  JobId job_;
  uint16_t index_ = 0;  ///< Position of the task in its job.
};

/// Queue of the tasks that wait at this instance. Between teams it schedules by
/// weighted fair queueing, within a team by shortest expected job first with
/// ageing, and within a job by longest expected task first. A job counts
/// towards `kMaxJobs` until `Remove`, also while none of its tasks waits.
class TaskQueue {
 public:
  TaskQueue();
  ~TaskQueue();

  /// Sets a team's weight (above 0). A team with waiting tasks keeps its
  /// position in the fair order.
  void SetTeam(TeamHandle team, double weight);

  /// Adds a job.
  /// @param expected Expected run time of each task, by task index.
  /// @returns false if the queue already holds `kMaxJobs` jobs or this job, if
  /// `team` is not below `kMaxTeams`, or if `expected` is empty.
  bool Add(JobId job, TeamHandle team, Time arrival, Time deadline,
           const std::vector<Duration>& expected);

  /// Removes the next task from the queue and returns it. Blocked teams are
  /// skipped. @returns nothing when no other team has a waiting task.
  std::optional<QueuedTask> Pop(Time now);

  /// Puts back a task that provably did not start. It becomes the next task of
  /// its job. No effect for a removed job.
  void Requeue(const QueuedTask& task, Duration expected);

  /// Removes a job and its waiting tasks, in constant time per task. Must be
  /// called for every job once it has ended. Unknown jobs are ignored.
  void Remove(JobId job);

  /// Blocks a team that has reached its quota, or unblocks it.
  void SetBlocked(TeamHandle team, bool blocked);

  /// Number of waiting tasks, in total and of one team.
  uint32_t size() const;
  uint32_t size(TeamHandle team) const;
  /// Sum of the expected run times of all waiting tasks.
  Duration backlog() const;
  /// Sum of the expected run times that are scheduled before a job of `team`
  /// that arrives now with `work` as the sum of its expected run times.
  Duration BacklogAhead(TeamHandle team, Time now, Duration work) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TASK_QUEUE_H_
