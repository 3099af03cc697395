#include "worker_scheduler.h"

#include <algorithm>
#include <utility>

namespace gentiandeal {
namespace {

/// How long a run may outlast its lease: the worker's clock may be 2 % slow,
/// ending a run takes up to the stop timeout of 50 ms, and a worker that has
/// restarted meanwhile grants the longest lease, 100 ms more.
constexpr Duration kLeaseOverrun{200};

/// Workers answer a start within milliseconds. A start unanswered for this long
/// is checked with a poll, and the run is stopped if it isn't listed.
constexpr Duration kStartAnswerTimeout{60};

/// Lowest rate of a worker's clock relative to the clock here. A lease of this
/// share of a time span certainly ends within the span.
constexpr double kMinClockRate = 0.98;

/// Interval at which the stop of a run is repeated.
constexpr Duration kStopInterval{120};

/// Consecutive failed polls after which a worker gets no more tasks.
constexpr uint32_t kPollFailuresToSuspend = 2;

/// A run that exceeds its expected time by this factor plus this slack is
/// checked with an extra poll, at most once per interval.
constexpr double kOverdueFactor = 1.7;
/// On a slow worker, an earlier check shows sooner whether a run is hopeless.
constexpr double kOverdueFactorIfSlow = 0.5;
constexpr Duration kOverdueSlack{40};
constexpr Duration kListingInterval{90};

/// How long a failing worker gets no tasks; doubles each time in a row.
constexpr Duration kEjectionTime{1500};
constexpr uint32_t kMaxEjectionDoublings = 2;

/// Longest queue of an owner; more tasks could not start in time.
constexpr size_t kMaxWaitingTasks = 4096;

/// Interval at which waiting batches that can't start in time are refused:
/// short compared to the slack of short tasks.
constexpr Duration kShedInterval{40};

}  // namespace

std::string_view Name(StartResult result) {
  switch (result) {
    case StartResult::kStarted:
      return "started";
    case StartResult::kStaleFence:
      return "stale-fence";
    case StartResult::kOldRun:
      return "old-run";
    case StartResult::kLate:
      return "late";
    case StartResult::kNoRoom:
      return "no-room";
    case StartResult::kUnavailable:
      return "unavailable";
    case StartResult::kOtherIncarnation:
      return "other-life";
    case StartResult::kRejected:
      return "rejected";
    case StartResult::kUnanswered:
      return "unanswered";
    case StartResult::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

std::string_view Name(RunOverReason reason) {
  switch (reason) {
    case RunOverReason::kDone:
      return "done";
    case RunOverReason::kFailed:
      return "failed";
    case RunOverReason::kStopped:
      return "stopped";
    case RunOverReason::kLeaseExpired:
      return "lease-expired";
    case RunOverReason::kBroken:
      return "broken";
    case RunOverReason::kMissing:
      return "missing";
    case RunOverReason::kNeverStarted:
      return "never-started";
    case RunOverReason::kLeaseOver:
      return "lease-over";
    case RunOverReason::kCrashed:
      return "worker-crashed";
    case RunOverReason::kOutOfReach:
      return "out-of-reach";
  }
  return "unknown";
}

std::string_view Name(PollResult result) {
  switch (result) {
    case PollResult::kListed:
      return "listed";
    case PollResult::kStaleFence:
      return "stale-fence";
    case PollResult::kOtherIncarnation:
      return "other-life";
    case PollResult::kUnanswered:
      return "unanswered";
    case PollResult::kDisconnected:
      return "disconnected";
    case PollResult::kRefused:
      return "refused";
  }
  return "unknown";
}

WorkerScheduler::Worker* WorkerScheduler::FindWorker(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

WorkerCallId WorkerScheduler::NewCall(CallKind kind, const Worker& worker,
                                      uint64_t run, Time now) {
  const WorkerCallId id{++last_call_};
  calls_[id.value_] = {kind, worker.info_->id_.value_, run, now};
  return id;
}

bool WorkerScheduler::TakeCall(WorkerCallId id, Call* out) {
  const auto found = calls_.find(id.value_);
  if (found == calls_.end()) return false;
  *out = std::move(found->second);
  start_bytes_ -= out->start_bytes_;
  calls_.erase(found);
  return true;
}

std::optional<Time> WorkerScheduler::SessionLeaseLimit(
    SessionId session) const {
  if (session == kLocalSession) return std::nullopt;
  const auto alive = last_alive_.find(session.value_);
  if (alive == last_alive_.end()) return Time{};
  return ResubmissionLimit(alive->second);
}

Time WorkerScheduler::ResubmissionLimit(Time lost_at) const {
  const double limit =
      kMinClockRate *
      static_cast<double>((limits_.resend_delay_ - limits_.stop_timeout_).ms_);
  return lost_at + Duration{static_cast<int64_t>(limit)};
}

void WorkerScheduler::Detach(Run* run, Time now) const {
  // The caller may have been lost for a while, so the lease lasts only as long
  // as others need it to be renewed until the end of the stopped run is listed.
  const Time limit = now + limits_.renew_below_ + StopSettleTime();
  run->renewed_until_ =
      std::min(SessionLeaseLimit(run->task_->session_).value_or(limit), limit);
  run->task_.reset();
}

// A worker has one lease for all its runs, so the session that has been silent
// longest limits it.
Duration WorkerScheduler::LeaseFor(const Worker& worker, Time now) const {
  Duration lease = limits_.lease_;
  for (const Run& run : worker.runs_) {
    const auto until =
        run.task_ ? SessionLeaseLimit(run.task_->session_) : run.renewed_until_;
    if (until) lease = std::min(lease, *until - now);
  }
  // What was granted before can be granted again.
  return std::max({lease, worker.lease_until_ - now, Duration{0}});
}

bool WorkerScheduler::CanLease(const Worker& worker, SessionId session,
                               Time now) const {
  if (LeaseFor(worker, now) < limits_.renew_below_) return false;
  const auto until = SessionLeaseLimit(session);
  if (!until) return true;
  // A lease never shortens, so the run could last until its end, or that of the
  // longest one that an earlier owner granted before the first list.
  Time granted = worker.lease_until_;
  if (worker.fenced_since_) {
    granted = std::max(granted, *worker.fenced_since_ + limits_.longest_lease_);
  }
  return granted <= *until && *until - now >= limits_.renew_below_;
}

// `clock_ms_` is older than `clock_read_` by the transit time of the answer,
// and the worker's clock may be slow since, so that it is ahead of this
// estimate: a lease may end early but never late.
int64_t WorkerScheduler::RenewLease(Worker* worker, Time now) const {
  const Duration lease = LeaseFor(*worker, now);
  worker->lease_until_ = std::max(worker->lease_until_, now + lease);
  worker->longest_lease_until_ =
      std::max(worker->longest_lease_until_, now + limits_.lease_);
  const double elapsed =
      kMinClockRate * static_cast<double>((now - worker->clock_read_).ms_);
  return worker->clock_ms_ + static_cast<int64_t>(elapsed) + lease.ms_;
}

bool WorkerScheduler::HasInheritedRun(const Worker& worker) {
  return std::any_of(worker.runs_.begin(), worker.runs_.end(),
                     [](const Run& run) { return run.inherited_; });
}

bool WorkerScheduler::IsLeaseOver(const Worker& worker, Time now) {
  return now > std::max(worker.lease_until_, worker.longest_lease_until_) +
                   kLeaseOverrun;
}

bool WorkerScheduler::InService(const Worker& worker) const {
  return StartsAllowed(worker) && worker.confirmed_ &&
         !worker.undescribed_since_ && !worker.draining_ &&
         !worker.info_->leaving_ &&
         worker.poll_failures_ < kPollFailuresToSuspend &&
         !worker.disconnected_ && !worker.unresponsive_ &&
         !HasInheritedRun(worker);
}

bool WorkerScheduler::Usable(const Worker& worker, Time now) const {
  return InService(worker) && now >= worker.ejected_until_;
}

void WorkerScheduler::Acquire(const LeasedWorker& worker, Fence fence, Time now,
                              SchedulerOutbox* out) {
  Worker& owned = workers_[worker.id_.value_];
  if (owned.info_ == nullptr) {
    owned.info_ = std::make_shared<const LeasedWorker>(worker);
    owned.entry_ = owned.info_;
    owned.free_ = worker.capacity_;
  }
  owned.fence_ = fence;
  owned.confirmed_ = false;
  owned.fenced_since_.reset();
  owned.draining_ = false;
  SendPoll(&owned, /*immediate=*/true, now, out);
  ++load_version_;
}

void WorkerScheduler::DrainWorker(const WorkerId& worker) {
  Worker* owned = FindWorker(worker.value_);
  if (owned == nullptr || owned->draining_) return;
  owned->draining_ = true;
  ++load_version_;
}

bool WorkerScheduler::IsWorkerIdle(const WorkerId& worker) const {
  const auto found = workers_.find(worker.value_);
  return found == workers_.end() || found->second.runs_.empty();
}

void WorkerScheduler::Release(const WorkerId& worker, Time now,
                              SchedulerOutbox* out) {
  Worker* owned = FindWorker(worker.value_);
  if (owned == nullptr) return;
  DropRuns(owned,
           IsLeaseOver(*owned, now) ? RunOverReason::kLeaseOver
                                    : RunOverReason::kOutOfReach,
           now, out);
  Unplan(owned);
  workers_.erase(worker.value_);
  ++load_version_;
}

void WorkerScheduler::Drain(SchedulerOutbox* out) {
  draining_ = true;
  for (const Task& task : TakeAllWaiting()) {
    Report(task, TaskEnd::kRefused, out);
  }
  ++load_version_;
}

bool WorkerScheduler::idle() const {
  if (!backlog_.empty()) return false;
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
    return entry.second.runs_.empty();
  });
}

void WorkerScheduler::On(SessionId session, const AssignTasks& assign, Time now,
                         SchedulerOutbox* out) {
  Decide(Receive(session, assign, now, out), now, out);
}

void WorkerScheduler::Decide(const std::shared_ptr<TaskBatch>& batch, Time now,
                             SchedulerOutbox* out) {
  const AssignTasks& assign = batch->assign_;
  if (assign.refusable_ && !draining_ && RefuseBatch(batch.get(), now, out)) {
    return;
  }
  for (const AssignedTask& assigned : assign.tasks_) {
    Task task;
    task.session_ = batch->session_;
    task.serial_ = assigned.serial_;
    task.name_ = TaskName(assign.name_, assigned.index_);
    task.batch_ = batch;
    if (draining_) {
      Report(task, TaskEnd::kRefused, out);
      continue;
    }
    losses_.Merge({task.name_, assigned.losses_}, now);
    if (IsExhausted(losses_.Find(task.name_))) {
      GiveUp(task, out);
      continue;
    }
    if (backlog_.tasks() >= kMaxWaitingTasks) {
      ++stats_.without_room_;
      Report(task, TaskEnd::kNoRoom, out);
      continue;
    }
    Enqueue(std::move(task), now);
  }
  StartBatch(batch->id_, now, out);
  ReturnEvacuated(/*begins=*/false, out);
}

void WorkerScheduler::On(SessionId session, const CancelTasks& cancel, Time now,
                         SchedulerOutbox* out) {
  const auto wanted = [&](const Task& task) {
    return task.session_ == session &&
           std::find(cancel.tasks_.begin(), cancel.tasks_.end(),
                     task.serial_) != cancel.tasks_.end();
  };
  bool lapsed = false;
  stats_.cancelled_ += cancel.tasks_.size();
  for (const TaskSerial serial : cancel.tasks_) {
    const auto found = waiting_serials_.find({session.value_, serial.value_});
    if (found == waiting_serials_.end()) continue;
    const BatchId batch = found->second;
    for (const Task& task : TakeWaiting(batch, wanted)) {
      Report(task, TaskEnd::kCancelled, out);
    }
    lapsed = LapseIfGone(batch, LapseReason::kCancelled) || lapsed;
  }
  for (auto& [id, worker] : workers_) {
    std::vector<uint64_t> unsent;
    for (Run& run : worker.runs_) {
      if (!run.task_ || !wanted(*run.task_)) continue;
      if (TakeBackStart(run, out)) {
        Report(*run.task_, TaskEnd::kCancelled, out);
        unsent.push_back(run.key_);
        continue;
      }
      run.task_->started_ = true;
      Report(*run.task_, TaskEnd::kCancelled, out);
      Detach(&run, now);
      RequestStop(&worker, &run, "cancelled", now, out);
    }
    for (const uint64_t key : unsent) RemoveRun(&worker, key);
  }
  if (lapsed) StartWaiting(now, out);
  ++load_version_;
}

bool WorkerScheduler::TakeBackStart(const Run& run, SchedulerOutbox* out) {
  if (run.state_ != RunState::kStarting) return false;
  const auto found = std::find_if(
      out->begin(), out->end(), [&](const SchedulerCommand& command) {
        const auto* start = std::get_if<StartRun>(&command);
        return start != nullptr && start->task_ == run.name_ &&
               start->run_ == run.number_;
      });
  if (found == out->end()) return false;
  Call call;
  TakeCall(std::get<StartRun>(*found).call_, &call);
  --stats_.starts_;
  out->erase(found);
  return true;
}

void WorkerScheduler::NoteSessionAlive(SessionId session, Time alive_at) {
  Time& last = last_alive_[session.value_];
  last = std::max(last, alive_at);
}

void WorkerScheduler::EndSession(SessionId session, Time now,
                                 SchedulerOutbox* out) {
  CancelTasks all;
  for (const auto& [key, batch] : waiting_serials_) {
    if (key.first == session.value_) all.tasks_.push_back({key.second});
  }
  for (const auto& [id, worker] : workers_) {
    for (const Run& run : worker.runs_) {
      if (run.task_ && run.task_->session_ == session) {
        all.tasks_.push_back(run.task_->serial_);
      }
    }
  }
  if (!all.tasks_.empty()) On(session, all, now, out);
  last_alive_.erase(session.value_);
}

void WorkerScheduler::SendPoll(Worker* worker, bool immediate, Time now,
                               SchedulerOutbox* out) {
  bool& open =
      immediate ? worker->immediate_poll_pending_ : worker->poll_pending_;
  if (open) return;
  open = true;
  ++stats_.polls_;
  PollWorker poll;
  poll.call_ = NewCall(immediate ? CallKind::kImmediatePoll : CallKind::kPoll,
                       *worker, 0, now);
  poll.worker_ = worker->info_;
  poll.fence_ = worker->fence_;
  poll.last_seen_ = worker->last_seen_;
  // The lease is not renewed before takeover is confirmed, so that runs of an
  // earlier owner are not kept alive. Nor is it renewed after a failed poll, as
  // the runs of an unresponsive worker must end at a known time.
  if (!catching_up_ && worker->clock_known_ && worker->confirmed_ &&
      worker->poll_failures_ == 0 && LeaseFor(*worker, now) > Duration{0}) {
    poll.lease_until_ms_ = RenewLease(worker, now);
  }
  poll.wait_ = immediate ? Duration{0} : limits_.poll_wait_;
  out->emplace_back(std::move(poll));
}

void WorkerScheduler::RequestStop(Worker* worker, Run* run,
                                  std::string_view reason, Time now,
                                  SchedulerOutbox* out) {
  if (run->state_ == RunState::kStopping) return;
  run->state_ = RunState::kStopping;
  run->stop_reason_ = reason;
  PlanStop(*worker, *run, now + StopSettleTime());
  SendStop(worker, run, now, out);
}

void WorkerScheduler::SendStop(Worker* worker, Run* run, Time now,
                               SchedulerOutbox* out) {
  run->stop_pending_ = true;
  run->stop_answered_at_.reset();
  run->next_stop_at_ = now + kStopInterval;
  ++stats_.stops_;
  StopRun stop;
  stop.call_ = NewCall(CallKind::kStop, *worker, run->key_, now);
  stop.worker_ = worker->info_;
  stop.task_ = run->name_;
  stop.run_ = run->number_;
  stop.fence_ = worker->fence_;
  stop.reason_ = run->stop_reason_;
  out->emplace_back(std::move(stop));
}

void WorkerScheduler::Eject(Worker* worker, Time now) {
  const uint32_t doublings =
      std::min(worker->ejections_++, kMaxEjectionDoublings);
  worker->ejected_until_ = now + Duration{kEjectionTime.ms_ << doublings};
  ++stats_.ejections_;
  ++load_version_;
}

void WorkerScheduler::NoteOver(const Worker& worker, const Run& run,
                               RunOverReason reason, SchedulerOutbox* out) {
  out->push_back(RunOver{worker.info_->id_, run.name_, run.number_, reason});
}

void WorkerScheduler::DropRuns(Worker* worker, RunOverReason reason, Time now,
                               SchedulerOutbox* out) {
  if (reason == RunOverReason::kLeaseOver) {
    ChargeLoss(worker, LossCause::kSilence, now, now, out);
  }
  std::vector<Run> runs;
  runs.swap(worker->runs_);
  worker->free_ = worker->info_->capacity_;
  for (Run& run : runs) {
    if (reason == RunOverReason::kLeaseOver &&
        MayStartLate(*worker, run, now)) {
      KeepUnseenStart(worker, std::move(run), now, out);
      continue;
    }
    PlanEnd(*worker, run.key_);
    const bool crashed = reason == RunOverReason::kLeaseOver && run.charged_ &&
                         run.charged_ != LossCause::kSilence;
    NoteOver(*worker, run, crashed ? RunOverReason::kCrashed : reason, out);
    if (!run.start_seen_at_) RememberVoided(worker, run, now);
    if (reason != RunOverReason::kOutOfReach) ++stats_.runs_inferred_over_;
    if (!run.task_) continue;
    // A worker that has restarted may yet carry out a start that wasn't seen.
    if (reason == RunOverReason::kOutOfReach || !run.start_seen_at_) {
      Report(*run.task_, TaskEnd::kUnknown, out);
    } else {
      worker->requeued_runs_.push_back(
          {run.name_, run.number_, run.task_->session_, run.task_->serial_});
      Requeue(std::move(*run.task_), *worker, now, out);
    }
  }
  ++load_version_;
}

void WorkerScheduler::LoseWorker(const std::string& id, std::string_view reason,
                                 Time now, SchedulerOutbox* out) {
  out->push_back(WorkerLost{{id}, reason});
  Release({id}, now, out);
}

void WorkerScheduler::Tick(Time now, SchedulerOutbox* out) {
  catching_up_ = false;
  losses_.Expire(now);
  if (StartsHeldBack()) {
    // A start that is unanswered for so long has left the link: its worker is
    // slow or gone, and must not hold back the starts on others.
    for (auto& [id, call] : calls_) {
      if (now - call.sent_ <= kStartAnswerTimeout) continue;
      start_bytes_ -= std::exchange(call.start_bytes_, 0);
    }
  }
  for (auto& [id, worker] : workers_) {
    const bool had_runs = !worker.runs_.empty();
    if (worker.slow_) NoteSpeed(&worker, now, out);
    if (worker.poll_failures_ > 0 && had_runs && IsLeaseOver(worker, now)) {
      worker.confirmed_ = false;
      DropRuns(&worker, RunOverReason::kLeaseOver, now, out);
    }
    if (now >= worker.next_poll_at_) {
      if (worker.poll_failures_ > 0 || !worker.confirmed_) {
        SendPoll(&worker, /*immediate=*/true, now, out);
      }
      // One poll at a time is enough to find that connections are refused.
      if (!worker.poll_pending_ && !worker.disconnected_) {
        SendPoll(&worker, /*immediate=*/false, now, out);
      }
    }
    bool needs_listing =
        had_runs && worker.lease_until_ - now < limits_.renew_below_;
    for (Run& run : worker.runs_) {
      if (run.state_ == RunState::kStopping && !run.stop_pending_ &&
          now >= run.next_stop_at_) {
        if (run.stop_answered_) {
          needs_listing = true;
          run.next_stop_at_ = now + kStopInterval;
        } else {
          SendStop(&worker, &run, now, out);
        }
      }
      needs_listing =
          needs_listing || ((run.missing_since_ || run.start_expired_since_) &&
                            now - worker.listed_at_ > kListingInterval);
      if (run.state_ == RunState::kStarting &&
          now - run.sent_at_ > kStartAnswerTimeout) {
        if (!run.start_uncertain_since_) run.start_uncertain_since_ = now;
        if (!worker.unresponsive_) {
          worker.unresponsive_ = true;
          ++load_version_;
        }
        needs_listing = true;
      }
      if (run.state_ != RunState::kRunning || !run.task_) continue;
      const auto overdue =
          static_cast<int64_t>(
              (worker.slow_ ? kOverdueFactorIfSlow : kOverdueFactor) *
              static_cast<double>(
                  TypicalTime(run.task_->batch_->assign_).ms_)) +
          kOverdueSlack.ms_;
      needs_listing =
          needs_listing || ((now - run.sent_at_).ms_ > overdue &&
                            now - worker.listed_at_ > kListingInterval);
    }
    if (needs_listing && now >= worker.next_poll_at_) {
      SendPoll(&worker, /*immediate=*/true, now, out);
    }
  }
  UpdateReservations(now, out);
  if (backlog_.empty()) return;
  ExpireWaiting(now, out);
  if (now - shed_at_ >= kShedInterval) {
    shed_at_ = now;
    ShedWaiting(now, out);
  }
  StartWaiting(now, out);
  ReturnEvacuated(/*begins=*/false, out);
}

void WorkerScheduler::Resume(Time now, SchedulerOutbox* out) {
  for (const Task& task : TakeAllWaiting()) {
    Report(task, TaskEnd::kUnknown, out);
  }
  for (auto& [id, worker] : workers_) {
    worker.confirmed_ = false;
    for (Run& run : worker.runs_) {
      if (run.task_) {
        Report(*run.task_, TaskEnd::kUnknown, out);
        Detach(&run, now);
      }
      RequestStop(&worker, &run, "resumed-after-pause", now, out);
    }
    SendPoll(&worker, /*immediate=*/true, now, out);
  }
  ++load_version_;
}

}  // namespace gentiandeal
