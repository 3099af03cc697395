#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "worker_scheduler.h"

/// How an owner handles the answers of workers: ends of runs, progress, and
/// starts whose outcome is uncertain.
namespace gentiandeal {
namespace {

/// Delay before a failed poll is repeated; doubles up to the limit.
constexpr Duration kPollBackoff{40};
constexpr Duration kMaxPollBackoff{320};

/// An order that got no answer may be carried out up to this much later.
constexpr Duration kLateOrderLimit{15000};

/// Longest time that a start and the listing of its end are in transit. What
/// exceeds it is the delay of this process.
constexpr Duration kMaxTransitTime{20};
/// Added to the workers' stop timeout to allow for slow clocks and late timers.
constexpr Duration kStopTimeoutMargin{30};

/// Consecutive failures of a worker, of different tasks, after which it is
/// ejected.
constexpr uint32_t kFailuresToEject = 2;

/// Progress below which a hopeless run is taken for one of a worker that
/// carries out nothing.
constexpr double kNoProgressPercent = 1;

/// Share of its expected run time that a run takes at least.
constexpr double kMinRunTimeShare = 0.5;

RunOverReason ToReason(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return RunOverReason::kDone;
    case RunEnd::kFailed:
      return RunOverReason::kFailed;
    case RunEnd::kStopped:
      return RunOverReason::kStopped;
    case RunEnd::kLeaseExpired:
      return RunOverReason::kLeaseExpired;
    case RunEnd::kBroken:
      break;
  }
  return RunOverReason::kBroken;
}

/// Returns the key of a run within a list of runs.
std::string RunKey(const std::string& task, uint32_t run) {
  return task + "#" + std::to_string(run);
}

}  // namespace

Duration WorkerScheduler::StopSettleTime() const {
  return limits_.stop_timeout_ + kStopTimeoutMargin;
}

void WorkerScheduler::On(const StartEnded& ended, Time now,
                         SchedulerOutbox* out) {
  Call call;
  const bool held_back = StartsHeldBack();
  if (!TakeCall(ended.call_, &call)) return;
  Worker* worker = FindWorker(call.worker_);
  if (worker == nullptr) return;
  if (ended.result_ != StartResult::kUnanswered &&
      std::exchange(worker->unresponsive_, false)) {
    ++load_version_;
  }
  if (ended.result_ == StartResult::kStaleFence) {
    return LoseWorker(call.worker_, "stale-fence", now, out);
  }
  ProcessStartEnd(worker, call.run_, ended, now, out);
  // Tasks may have waited only for this call to end.
  if (held_back && !StartsHeldBack()) StartWaiting(now, out);
}

void WorkerScheduler::ProcessStartEnd(Worker* worker, uint64_t run_key,
                                      const StartEnded& ended, Time now,
                                      SchedulerOutbox* out) {
  const auto found =
      std::find_if(worker->runs_.begin(), worker->runs_.end(),
                   [&](const Run& run) { return run.key_ == run_key; });
  if (found == worker->runs_.end()) return;
  Run& run = *found;
  if (ended.clock_ms_ && !worker->clock_known_) {
    worker->clock_ms_ = *ended.clock_ms_;
    worker->clock_read_ = now;
  }
  if (ended.result_ == StartResult::kStarted) {
    if (!run.start_seen_at_) run.start_seen_at_ = now;
    if (!run.start_clock_ms_) run.start_clock_ms_ = ended.clock_ms_;
    if (run.task_) run.task_->started_ = true;
    if (run.state_ == RunState::kStarting) run.state_ = RunState::kRunning;
    return;
  }
  if (ended.result_ == StartResult::kUnanswered) {
    ++stats_.starts_unanswered_;
    if (run.task_) run.task_->started_ = true;
    run.start_uncertain_since_ = now;
    SendPoll(worker, /*immediate=*/true, now, out);
    return;
  }
  // The worker refused the start or never saw it: nothing runs.
  ++stats_.starts_refused_;
  std::optional<Task> task = std::move(run.task_);
  RemoveRun(worker, run_key);
  if (ended.result_ == StartResult::kUnavailable &&
      ++worker->consecutive_failures_ >= kFailuresToEject) {
    Eject(worker, now);
  }
  if (ended.result_ == StartResult::kOtherIncarnation) {
    worker->confirmed_ = false;
  }
  if (ended.result_ == StartResult::kNotSent) worker->disconnected_ = true;
  if (task) {
    if (ended.result_ == StartResult::kRejected) {
      Report(*task, TaskEnd::kFailed, out);
    } else {
      Requeue(std::move(*task), *worker, now, out);
    }
  }
  SendPoll(worker, /*immediate=*/true, now, out);
  StartWaitingOn(worker, now, out);
}

void WorkerScheduler::On(const StopEnded& ended, Time now,
                         SchedulerOutbox* out) {
  Call call;
  if (!TakeCall(ended.call_, &call)) return;
  Worker* worker = FindWorker(call.worker_);
  if (worker == nullptr) return;
  for (Run& run : worker->runs_) {
    if (run.key_ != call.run_) continue;
    // An earlier incarnation may have answered, whose stops are forgotten.
    if (call.sent_ < worker->incarnation_since_) return;
    run.stop_pending_ = false;
    if (!ended.answered_) return;
    run.stop_answered_ = true;
    run.stop_answered_at_ = now;
    run.next_stop_at_ = now + StopSettleTime();  // Lists the runs again then.
    // This poll shows the end of a run that had started. One that never started
    // is recognised by its absence from a later list.
    SendPoll(worker, /*immediate=*/true, now, out);
    return;
  }
}

void WorkerScheduler::On(const PollEnded& ended, Time now,
                         SchedulerOutbox* out) {
  Call call;
  if (!TakeCall(ended.call_, &call)) return;
  Worker* worker = FindWorker(call.worker_);
  if (worker == nullptr) return;
  (call.kind_ == CallKind::kImmediatePoll ? worker->immediate_poll_pending_
                                          : worker->poll_pending_) = false;
  if (ended.result_ == PollResult::kStaleFence) {
    return LoseWorker(call.worker_, "stale-fence", now, out);
  }
  if (ended.result_ != PollResult::kListed) {
    return NotePollFailure(worker, ended, now, out);
  }
  if (worker->info_->started_ms_ != 0 && ended.started_ms_ != 0 &&
      worker->info_->started_ms_ != ended.started_ms_) {
    // The answer may come from the previous incarnation.
    if (call.sent_ < worker->incarnation_since_) return;
    NoteIncarnation(worker, ended.started_ms_, now, out);
  }
  const uint64_t version = load_version_;
  const bool was_usable = Usable(*worker, now);
  worker->poll_failures_ = 0;
  worker->disconnected_ = worker->unresponsive_ = false;
  worker->connection_ended_at_.reset();
  // Answers on two connections may arrive out of order.
  const bool newest =
      !worker->clock_known_ || ended.clock_ms_ >= worker->clock_ms_;
  if (newest) {
    worker->clock_ms_ = ended.clock_ms_;
    worker->clock_read_ = now;
    worker->clock_known_ = true;
    worker->listed_at_ = now;
  }
  ProcessFinished(worker, ended, now, out);
  if (newest) {
    ProcessRunning(worker, ended, call.sent_, now, out);
    // Runs that the previous owner was stopping use resources but are not
    // listed, so the worker is confirmed only after they must have ended.
    if (!worker->fenced_since_) {
      worker->fenced_since_ = now;
      worker->next_poll_at_ = now + StopSettleTime();
    }
    worker->confirmed_ =
        worker->confirmed_ ||
        call.sent_ >= *worker->fenced_since_ + StopSettleTime();
  }
  if (!worker->poll_pending_) SendPoll(worker, /*immediate=*/false, now, out);
  if (Usable(*worker, now) != was_usable) ++load_version_;
  if (!was_usable || load_version_ != version) {
    StartWaitingOn(worker, now, out);
  }
}

void WorkerScheduler::NotePollFailure(Worker* worker, const PollEnded& ended,
                                      Time now, SchedulerOutbox* out) {
  ++stats_.polls_failed_;
  const uint32_t doublings = std::min<uint32_t>(worker->poll_failures_++, 3);
  out->push_back(PollFailed{ended.call_, worker->info_->id_, ended.result_,
                            worker->poll_failures_, worker->runs_.size()});
  worker->next_poll_at_ =
      now + std::min(Duration{kPollBackoff.ms_ << doublings}, kMaxPollBackoff);
  ++load_version_;
  if (ended.result_ == PollResult::kUnanswered) return;
  worker->disconnected_ = true;
  if (ended.result_ == PollResult::kOtherIncarnation) {
    return ChargeLoss(worker, LossCause::kRestart, now, now, out);
  }
  // Only both tell that its process is gone: connections end and are refused
  // for other reasons as well.
  if (ended.result_ == PollResult::kDisconnected) {
    if (!worker->connection_ended_at_) worker->connection_ended_at_ = now;
  } else if (worker->connection_ended_at_) {
    ChargeLoss(worker, LossCause::kCrash, *worker->connection_ended_at_, now,
               out);
  }
}

bool WorkerScheduler::WasRunning(const Run& run, Time at) {
  const double earliest_end =
      kMinRunTimeShare * static_cast<double>(run.expected_run_time_.ms_);
  return run.start_seen_at_ && *run.start_seen_at_ <= at &&
         static_cast<double>((at - run.sent_at_).ms_) < earliest_end;
}

void WorkerScheduler::ChargeLoss(Worker* worker, LossCause cause, Time lost_at,
                                 Time now, SchedulerOutbox* out) {
  std::vector<LostRun> lost;
  for (Run& run : worker->runs_) {
    if (run.charged_) continue;
    run.charged_ = cause;
    lost.push_back({run.name_, run.sent_at_, WasRunning(run, lost_at)});
  }
  if (lost.empty()) return;
  ++(cause == LossCause::kSilence ? stats_.workers_silenced_
                                  : stats_.workers_crashed_);
  out->push_back(LossesCharged{worker->info_->id_, cause,
                               losses_.Charge(lost, cause, lost_at, now)});
  for (Run& run : worker->runs_) {
    if (!run.task_ || !IsExhausted(losses_.Find(run.name_))) continue;
    run.task_->started_ = true;
    GiveUp(*run.task_, out);
    Detach(&run, now);
    RequestStop(worker, &run, "crashes-workers", now, out);
  }
}

void WorkerScheduler::GiveUp(const Task& task, SchedulerOutbox* out) {
  ++stats_.tasks_given_up_;
  Report(task,
         IsToBlame(losses_.Find(task.name_)) ? TaskEnd::kCrashes
                                             : TaskEnd::kLostTooOften,
         out);
}

std::vector<TaskLosses> WorkerScheduler::NoteLosses(
    const std::vector<TaskLosses>& losses, Time now) {
  std::vector<TaskLosses> news;
  for (const TaskLosses& one : losses) {
    if (losses_.Merge(one, now)) news.push_back(one);
  }
  return news;
}

void WorkerScheduler::RememberVoided(Worker* worker, const Run& run, Time now) {
  std::erase_if(worker->voided_starts_, [now](const VoidedStart& start) {
    return now - start.sent_at_ > kLateOrderLimit;
  });
  worker->voided_starts_.push_back({run.name_, run.number_, run.sent_at_});
}

void WorkerScheduler::StopVoidedStarts(Worker* worker, Time now,
                                       SchedulerOutbox* out) {
  std::vector<VoidedStart> starts;
  starts.swap(worker->voided_starts_);
  for (const VoidedStart& start : starts) {
    if (now - start.sent_at_ > kLateOrderLimit) continue;
    Run& run = worker->runs_.emplace_back();
    run.key_ = ++last_run_;
    run.name_ = start.task_;
    run.number_ = start.run_;
    run.sent_at_ = start.sent_at_;
    run.renewed_until_ = now;
    RequestStop(worker, &run, "worker-restarted", now, out);
  }
}

bool WorkerScheduler::MayStartLate(const Worker& worker, const Run& run,
                                   Time now) {
  return !run.start_seen_at_ && run.sent_at_ < worker.incarnation_since_ &&
         now - run.sent_at_ <= kLateOrderLimit;
}

void WorkerScheduler::KeepUnseenStart(Worker* worker, Run run, Time now,
                                      SchedulerOutbox* out) {
  if (run.task_) {
    Report(*run.task_, TaskEnd::kUnknown, out);
    Detach(&run, now);
  }
  worker->free_ -= run.need_;
  worker->runs_.push_back(std::move(run));
  RequestStop(worker, &worker->runs_.back(), "start-unanswered", now, out);
}

void WorkerScheduler::RemoveRun(Worker* worker, uint64_t key) {
  const auto found =
      std::find_if(worker->runs_.begin(), worker->runs_.end(),
                   [&](const Run& run) { return run.key_ == key; });
  if (found == worker->runs_.end()) return;
  worker->free_ += found->need_;
  PlanEnd(*worker, key);
  worker->runs_.erase(found);
  ++load_version_;
}

void WorkerScheduler::ProcessFinished(Worker* worker, const PollEnded& ended,
                                      Time now, SchedulerOutbox* out) {
  uint64_t seen = worker->last_seen_;
  for (const FinishedRun& finished : ended.finished_) {
    if (finished.number_ <= worker->last_seen_) continue;
    seen = std::max(seen, finished.number_);
    const auto found = std::find_if(
        worker->runs_.begin(), worker->runs_.end(), [&](const Run& run) {
          return run.number_ == finished.run_ && run.name_ == finished.task_;
        });
    if (found == worker->runs_.end()) {
      ProcessLateEnd(*worker, finished, out);
      continue;
    }
    const Run run = std::move(*found);
    worker->free_ += run.need_;
    PlanEnd(*worker, run.key_);
    worker->runs_.erase(found);
    ++load_version_;
    NoteOver(*worker, run, ToReason(finished.end_), out);
    EndRun(worker, run, finished.end_, now, out);
  }
  worker->last_seen_ = seen;
  std::erase_if(worker->requeued_runs_, [this](const RequeuedRun& run) {
    return waiting_serials_.count({run.session_.value_, run.serial_.value_}) ==
           0;
  });
}

void WorkerScheduler::ProcessLateEnd(const Worker& worker,
                                     const FinishedRun& finished,
                                     SchedulerOutbox* out) {
  if (finished.end_ != RunEnd::kDone && finished.end_ != RunEnd::kFailed) {
    return;
  }
  for (const RequeuedRun& run : worker.requeued_runs_) {
    if (run.run_ != finished.run_ || run.task_ != finished.task_) continue;
    const auto found =
        waiting_serials_.find({run.session_.value_, run.serial_.value_});
    if (found == waiting_serials_.end()) continue;
    const BatchId batch = found->second;
    const bool done = finished.end_ == RunEnd::kDone;
    for (const Task& task : TakeWaiting(batch, [&](const Task& one) {
           return one.session_ == run.session_ && one.serial_ == run.serial_;
         })) {
      ++(done ? stats_.done_ : stats_.failed_);
      Report(task, done ? TaskEnd::kDone : TaskEnd::kFailed, out);
    }
    LapseIfGone(batch, LapseReason::kCancelled);
  }
}

Duration WorkerScheduler::TimeOnWorker(const Worker& worker, const Run& run,
                                       Time now) {
  const Duration here = now - run.sent_at_;
  if (!run.start_clock_ms_ || !worker.clock_known_) return here;
  const Duration there{worker.clock_ms_ - *run.start_clock_ms_};
  return here - there > kMaxTransitTime ? std::max(there, Duration{0}) : here;
}

void WorkerScheduler::UpdateSpeed(Worker* worker, const Run& run, Time now,
                                  SchedulerOutbox* out) {
  if (!run.task_ || run.speed_observed_) return;
  const AssignTasks& assign = run.task_->batch_->assign_;
  const Duration took = TimeOnWorker(*worker, run, now);
  worker->speed_.Observe(TypicalTime(assign), took, now);
  run_times_[assign.pool_].Observe(assign.expected_run_time_, took);
  NoteSpeed(worker, now, out);
}

void WorkerScheduler::NoteSpeed(Worker* worker, Time now,
                                SchedulerOutbox* out) {
  const bool slow = worker->speed_.IsSlow(now);
  if (slow == worker->slow_) return;
  worker->slow_ = slow;
  if (slow) ++stats_.workers_slowed_;
  ++load_version_;
  const auto pool = run_times_.find(worker->info_->pool_);
  out->push_back(
      WorkerSpeedChanged{worker->info_->id_, slow, worker->speed_.Ratio(now),
                         pool == run_times_.end() ? 1 : pool->second.ratio()});
}

void WorkerScheduler::EndRun(Worker* worker, const Run& run, RunEnd end,
                             Time now, SchedulerOutbox* out) {
  if (end == RunEnd::kDone) {
    ++stats_.done_;
    worker->consecutive_failures_ = worker->ejections_ = 0;
    UpdateSpeed(worker, run, now, out);
  } else if (end == RunEnd::kFailed) {
    ++stats_.failed_;
    if (++worker->consecutive_failures_ >= kFailuresToEject) Eject(worker, now);
  } else if (end == RunEnd::kLeaseExpired) {
    ++stats_.leases_expired_;
  }
  if (!run.task_) return;
  Task task = *run.task_;
  task.started_ = true;
  if (end == RunEnd::kDone) return Report(task, TaskEnd::kDone, out);
  if (end == RunEnd::kFailed) return Report(task, TaskEnd::kFailed, out);
  Requeue(std::move(task), *worker, now, out);
}

void WorkerScheduler::ProcessRunning(Worker* worker, const PollEnded& ended,
                                     Time sent, Time now,
                                     SchedulerOutbox* out) {
  std::unordered_map<std::string, double> listed;
  for (const RunningRun& running : ended.running_) {
    listed.emplace(RunKey(running.task_, running.run_), running.percent_);
  }
  std::vector<uint64_t> ended_keys;
  for (Run& run : worker->runs_) {
    const auto found = listed.find(RunKey(run.name_, run.number_));
    if (found != listed.end()) {
      run.missing_since_.reset();
      if (!run.start_seen_at_) run.start_seen_at_ = now;
      run.start_uncertain_since_.reset();
      if (run.task_) run.task_->started_ = true;
      if (run.state_ == RunState::kStarting) run.state_ = RunState::kRunning;
      CheckProgress(worker, &run, found->second, now, out);
      listed.erase(found);
      continue;
    }
    if (run.start_uncertain_since_ && sent >= *run.start_uncertain_since_) {
      // The start was lost or is late; a stop keeps it from being carried out.
      run.start_uncertain_since_.reset();
      RequestStop(worker, &run, "start-unanswered", now, out);
    }
    // A started run that isn't listed may be in the middle of a stop, which a
    // new owner or a delayed order of this one may have caused.
    if (run.start_seen_at_ && sent >= *run.start_seen_at_ &&
        !run.missing_since_) {
      run.missing_since_ = now;
    }
    const bool expired = run.start_valid_until_ms_ > 0 &&
                         ended.clock_ms_ > run.start_valid_until_ms_ &&
                         run.state_ == RunState::kStopping;
    if (expired && !run.start_expired_since_) run.start_expired_since_ = now;
    if (IsSettled(run, sent)) ended_keys.push_back(run.key_);
  }
  for (const uint64_t key : ended_keys) {
    const auto found =
        std::find_if(worker->runs_.begin(), worker->runs_.end(),
                     [&](const Run& run) { return run.key_ == key; });
    ++stats_.runs_inferred_over_;
    NoteOver(*worker, *found,
             found->start_seen_at_ ? RunOverReason::kMissing
                                   : RunOverReason::kNeverStarted,
             out);
    if (!found->start_seen_at_) RememberVoided(worker, *found, now);
    // An earlier incarnation may have run it, and can't be asked any more.
    const bool may_have_run = found->sent_at_ <= worker->incarnation_since_;
    std::optional<Task> task = std::move(found->task_);
    RemoveRun(worker, key);
    if (task && may_have_run) task->started_ = true;
    if (task) Requeue(std::move(*task), *worker, now, out);
  }
  // The remaining runs were started by an earlier owner. Their resources are
  // unknown, so nothing is started beside them.
  for (const RunningRun& running : ended.running_) {
    if (listed.count(RunKey(running.task_, running.run_)) == 0) continue;
    ++stats_.foreign_runs_;
    Run& run = worker->runs_.emplace_back();
    run.key_ = ++last_run_;
    run.name_ = running.task_;
    run.number_ = running.run_;
    run.start_seen_at_ = now;
    run.inherited_ = true;
    worker->longest_lease_until_ =
        std::max(worker->longest_lease_until_, now + limits_.longest_lease_);
    run.renewed_until_ = now;  // Its callers count from before.
    RequestStop(worker, &run, "inherited", now, out);
  }
}

bool WorkerScheduler::IsSettled(const Run& run, Time listed_after) const {
  const auto settled_since = [&](const std::optional<Time>& since) {
    return since && listed_after >= *since + StopSettleTime();
  };
  if (run.start_seen_at_) return settled_since(run.missing_since_);
  return settled_since(run.stop_answered_at_) ||
         settled_since(run.start_expired_since_);
}

void WorkerScheduler::CheckProgress(Worker* worker, Run* run, double percent,
                                    Time now, SchedulerOutbox* out) {
  if (run->state_ != RunState::kRunning || !run->task_) return;
  const TaskBatch& batch = *run->task_->batch_;
  const RunProgress progress{
      TypicalTime(batch.assign_),
      now - run->sent_at_,
      percent / 100,
      batch.start_by_ - now + batch.assign_.expected_run_time_,
      batch.give_up_at_ - now,
      run->number_,
      worker->slow_};
  if (!IsProgressTelling(progress)) return;
  if (!run->speed_observed_) {
    run->speed_observed_ = true;
    worker->speed_.ObserveProgress(progress.expected_, progress.elapsed_,
                                   progress.share_done_, now);
    run_times_[batch.assign_.pool_].Observe(
        batch.assign_.expected_run_time_,
        RunTimeByProgress(progress.elapsed_, progress.share_done_));
    NoteSpeed(worker, now, out);
  }
  if (!ShouldRestart(progress)) return;
  ++stats_.stalled_;
  // A long run doesn't tell against its worker; a slow one is known by its
  // speed.
  if (percent < kNoProgressPercent && now >= worker->ejected_until_) {
    Eject(worker, now);
  }
  RequestStop(worker, run, "stalled", now, out);
}

}  // namespace gentiandeal
