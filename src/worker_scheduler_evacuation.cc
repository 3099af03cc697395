#include <algorithm>
#include <utility>

#include "worker_scheduler.h"

/// Evacuated data centres: which workers an owner may start tasks on, and what
/// becomes of the tasks that wait for the others.
namespace gentiandeal {

bool WorkerScheduler::StartsAllowed(const Worker& worker) const {
  return evacuated_ && evacuated_->count(worker.info_->data_centre_) == 0;
}

void WorkerScheduler::SetEvacuated(const std::set<std::string>& data_centres,
                                   Time now, SchedulerOutbox* out) {
  if (evacuated_ == data_centres) return;
  evacuated_ = data_centres;
  ++load_version_;
  for (auto& [id, worker] : workers_) {
    if (!StartsAllowed(worker)) WithdrawStarts(&worker, now, out);
  }
  StartWaiting(now, out);
  ReturnEvacuated(/*begins=*/true, out);
}

void WorkerScheduler::WithdrawStarts(Worker* worker, Time now,
                                     SchedulerOutbox* out) {
  std::vector<uint64_t> unsent;
  for (Run& run : worker->runs_) {
    if (!run.task_ || !TakeBackStart(run, out)) continue;
    --run.task_->run_count_;
    Enqueue(std::move(*run.task_), now);
    unsent.push_back(run.key_);
  }
  for (const uint64_t key : unsent) RemoveRun(worker, key);
}

// An owner whose load report has no entry for a pool is assigned none of its
// tasks, so that those which are returned can't come back. An owner that still
// has workers for the pool elsewhere would get them again at once: it returns
// tasks when the evacuation begins, and lets later ones wait.
void WorkerScheduler::ReturnEvacuated(bool begins, SchedulerOutbox* out) {
  const auto is_evacuated = [this](const auto& entry) {
    return !StartsAllowed(entry.second);
  };
  if (backlog_.empty() ||
      std::none_of(workers_.begin(), workers_.end(), is_evacuated)) {
    return;
  }
  std::vector<BatchId> returned;
  for (const auto& [id, waiting] : waiting_) {
    if (ReturnsEvacuated(waiting.batch_->assign_, begins)) {
      returned.push_back({id});
    }
  }
  if (returned.empty()) return;
  std::sort(returned.begin(), returned.end());
  TasksEvacuated evacuated;
  for (const BatchId id : returned) {
    for (const Task& task : TakeWaiting(id)) {
      ++evacuated.tasks_;
      Report(task, TaskEnd::kRefused, out);
    }
    LapseIfGone(id, LapseReason::kWorkerEvacuated);
  }
  evacuated.waiting_ = backlog_.tasks();
  evacuated.list_known_ = evacuated_.has_value();
  stats_.evacuated_ += evacuated.tasks_;
  out->emplace_back(evacuated);
}

bool WorkerScheduler::ReturnsEvacuated(const AssignTasks& assign,
                                       bool begins) const {
  bool evacuated = false;
  bool reported = false;  // The load report has an entry for the pool.
  bool fits = false;
  for (const auto& [id, worker] : workers_) {
    if (worker.info_->pool_ != assign.pool_) continue;
    evacuated = evacuated || !StartsAllowed(worker);
    if (!InService(worker)) continue;
    reported = reported || worker.ejections_ == 0;
    fits = fits || (Fits(assign.need_, worker.info_->capacity_) &&
                    HasLabel(*worker.info_, assign.label_));
  }
  return evacuated && !fits && (begins || !reported);
}

}  // namespace gentiandeal
