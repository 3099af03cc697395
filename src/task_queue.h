#ifndef GENTIANDEAL_SRC_TASK_QUEUE_H_
#define GENTIANDEAL_SRC_TASK_QUEUE_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// One task waiting for a worker.
struct QueuedTask {
  JobId job_;
  uint16_t index_ = 0;
};

/// Tasks waiting at this instance, and the choice of the next one: weighted
/// fair between teams, within a team shortest expected job first with ageing,
/// within a job longest expected task first. A job holds its place, also when
/// none of its tasks waits, until `Remove`.
class TaskQueue {
 public:
  TaskQueue();
  ~TaskQueue();

  /// Sets a team's weight (above 0). Known teams keep their place.
  void SetTeam(TeamHandle team, double weight);

  /// Adds a job with one expected run time for each task.
  /// @returns false when `kMaxJobs` are known, or the job or team is not
  /// acceptable (job known already, team above `kMaxTeams`).
  bool Add(JobId job, TeamHandle team, Time arrival, Time deadline,
           const std::vector<Duration>& expected);

  /// Takes the next task, or nothing when none waits. A team that is blocked
  /// is passed over.
  std::optional<QueuedTask> Next(Time now);

  /// Puts back a task that provably did not start; it goes first in its job.
  void Return(const QueuedTask& task, Duration expected);

  /// Forgets a job and drops its waiting tasks, in constant time for each.
  /// Call it for every job once it has ended; unknown jobs are ignored.
  void Remove(JobId job);

  /// Holds back or releases a team that is at its quota.
  void SetBlocked(TeamHandle team, bool blocked);

  /// Tasks waiting, in all and of one team.
  uint32_t size() const;
  uint32_t size(TeamHandle team) const;
  /// Sum of the expected run times of all waiting tasks.
  Duration backlog() const;
  /// Expected run times ahead of a job of `team` with this much work that
  /// arrives now.
  Duration BacklogAhead(TeamHandle team, Time now, Duration work) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TASK_QUEUE_H_
