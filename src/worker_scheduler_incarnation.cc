#include <algorithm>
#include <utility>

#include "worker_scheduler.h"

/// Incarnations of workers: which one answers, and what is known of it. A
/// worker may be back under its identifier as another kind, so that nothing
/// that an earlier incarnation told, or that was learnt of it, holds for it.
namespace gentiandeal {
namespace {

/// Earlier incarnations of a worker that are remembered.
constexpr size_t kMaxEarlierIncarnations = 8;

/// Returns what stays the same for all incarnations of a worker.
LeasedWorker Undescribed(const LeasedWorker& worker, int64_t started_ms) {
  LeasedWorker undescribed;
  undescribed.id_ = worker.id_;
  undescribed.address_ = worker.address_;
  undescribed.data_centre_ = worker.data_centre_;
  undescribed.pool_ = worker.pool_;
  undescribed.started_ms_ = started_ms;
  return undescribed;
}

}  // namespace

void WorkerScheduler::Update(const LeasedWorker& entry, Time now,
                             SchedulerOutbox* out) {
  Worker* owned = FindWorker(entry.id_.value_);
  if (owned == nullptr) return;
  owned->entry_ = std::make_shared<const LeasedWorker>(entry);
  if (*owned->info_ == entry && !owned->undescribed_since_) return;
  const auto& earlier = owned->earlier_incarnations_;
  if (std::find(earlier.begin(), earlier.end(), entry.started_ms_) !=
      earlier.end()) {
    return;  // The store has not seen the present incarnation yet.
  }
  const auto undescribed = std::exchange(owned->undescribed_since_, {});
  const bool restarted = ReplaceInfo(owned, owned->entry_, now, out);
  if (undescribed && !restarted) {
    out->push_back(
        WorkerDescribed{entry.id_, entry.started_ms_, now - *undescribed});
  }
  ++load_version_;
  StartWaiting(now, out);
}

// No bound is known for the capacity of another kind, so that without its
// entry nothing can be started there, with or without a label.
void WorkerScheduler::NoteIncarnation(Worker* worker, int64_t started_ms,
                                      Time now, SchedulerOutbox* out) {
  // Whatever the store has listed since, this incarnation answers now.
  std::erase(worker->earlier_incarnations_, started_ms);
  worker->undescribed_since_.reset();
  LeasedWorkerRef info = worker->entry_;
  if (info->started_ms_ != started_ms) {
    worker->undescribed_since_ = now;
    info = std::make_shared<const LeasedWorker>(
        Undescribed(*worker->info_, started_ms));
  }
  ReplaceInfo(worker, std::move(info), now, out);
  ++load_version_;
  StartWaiting(now, out);
}

bool WorkerScheduler::ReplaceInfo(Worker* worker, LeasedWorkerRef info,
                                  Time now, SchedulerOutbox* out) {
  const LeasedWorkerRef before = std::exchange(worker->info_, std::move(info));
  const LeasedWorker& present = *worker->info_;
  worker->free_ += present.capacity_;
  worker->free_ -= before->capacity_;
  if (before->started_ms_ == present.started_ms_ || before->started_ms_ == 0 ||
      present.started_ms_ == 0) {
    return false;
  }
  ChangeIncarnation(worker, before->started_ms_, now, out);
  return true;
}

void WorkerScheduler::ChangeIncarnation(Worker* worker, int64_t earlier_ms,
                                        Time now, SchedulerOutbox* out) {
  ++stats_.workers_restarted_;
  out->push_back(WorkerRestarted{
      worker->info_->id_, earlier_ms, worker->info_->started_ms_,
      worker->runs_.size(), !worker->undescribed_since_});
  auto& earlier = worker->earlier_incarnations_;
  earlier.push_back(earlier_ms);
  if (earlier.size() > kMaxEarlierIncarnations) earlier.erase(earlier.begin());
  worker->last_seen_ = 0;
  ChargeLoss(worker, LossCause::kRestart, now, now, out);
  worker->disconnected_ = worker->unresponsive_ = false;
  worker->connection_ended_at_.reset();
  worker->longest_lease_until_ = now + limits_.longest_lease_;
  worker->incarnation_since_ = now;
  worker->clock_known_ = false;
  worker->confirmed_ = false;
  worker->fenced_since_.reset();
  worker->consecutive_failures_ = worker->ejections_ = 0;
  worker->ejected_until_ = {};
  worker->speed_ = {};
  NoteSpeed(worker, now, out);
  for (Run& run : worker->runs_) {
    // Only lists of this incarnation count from now on.
    if (run.start_seen_at_) run.start_seen_at_ = now;
    run.missing_since_.reset();
    run.stop_answered_at_.reset();
    run.stop_answered_ = run.stop_pending_ = false;
    run.next_stop_at_ = now;
    run.start_valid_until_ms_ = 0;
    run.start_expired_since_.reset();
    // It tells nothing of the speed of this incarnation.
    run.speed_observed_ = true;
    run.start_clock_ms_.reset();
  }
  StopVoidedStarts(worker, now, out);
  SendPoll(worker, /*immediate=*/true, now, out);
}

size_t WorkerScheduler::undescribed_workers() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) {
        return entry.second.undescribed_since_.has_value();
      }));
}

}  // namespace gentiandeal
