#include "job_coordinator.h"

#include <algorithm>
#include <utility>

#include "wait_estimate.h"

namespace gentiandeal {
namespace {

/// Share of a job's slack. A job is refused when the last task of its first
/// step would have to wait longer than this.
constexpr double kMaxWaitShare = 1.0;
/// Times that a task may be reassigned after it was lost, before its job is
/// abandoned.
constexpr uint32_t kMaxReassignments = 4;
constexpr Duration kRetryAfter{1000};
/// Beyond this, the length of a backlog says little: overload rarely lasts.
constexpr Duration kMaxRetryAfter{8000};
/// An owner that was full gets no tasks for this long. Load reports come about
/// that often.
constexpr Duration kFullOwnerMemory{100};
/// About as many tasks that wait for room are assigned in one tick: an owner
/// that is still full returns them all.
constexpr uint64_t kMaxAwaitingPerTick = config::kMaxTasksPerJob;
/// Reason of a job that failed since a task of it crashes workers.
constexpr std::string_view kCrashesWorkers = "crashes-workers";
/// Reason of a job that was given up since too many workers were lost under a
/// task of it, which isn't known to have crashed them.
constexpr std::string_view kLostTooOften = "lost-too-often";
/// Age from which a job counts as long open: well below the delay after which a
/// caller that lost it submits it again, so that other instances know by then.
constexpr Duration kLongOpenAge{500};
/// Time after which the runs of an instance that reports nothing have ended.
constexpr Duration kOpenElsewhereMemory{1450};
/// Time after which no run of a job that was given up is left, even if its stop
/// got no answer: the lease, on a clock that is 2 % slow, and the stop timeout.
constexpr Duration kEndingTime{1000};

/// When the present backlog will have shrunk enough for the job.
Duration RetryAfter(Duration wait, Duration slack) {
  return std::clamp(wait - slack, kRetryAfter, kMaxRetryAfter);
}

}  // namespace

Duration CriticalPathTime(const HostedJob& job) {
  std::vector<int64_t> end(job.steps_.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < job.steps_.size(); ++i) {
    int64_t begin = 0;
    for (const uint32_t dependency : job.steps_[i].depends_on_) {
      begin = std::max(begin, end[dependency]);
    }
    end[i] = begin + job.steps_[i].expected_.ms_;
    longest = std::max(longest, end[i]);
  }
  return {longest};
}

/// Each task of a step takes its label along to an owner.
constexpr size_t kMaxLabelBytes = 4000;

bool HasValidSteps(const HostedJob& job) {
  uint64_t tasks = 0;
  for (size_t i = 0; i < job.steps_.size(); ++i) {
    const HostedJobStep& step = job.steps_[i];
    tasks += step.count_;
    if (step.count_ == 0 || tasks > config::kMaxTasksPerJob) return false;
    if (step.label_.size() > kMaxLabelBytes) return false;
    if (step.need_.cpu_milli_ < 0 || step.need_.memory_mb_ < 0) return false;
    if (std::any_of(step.depends_on_.begin(), step.depends_on_.end(),
                    [&](uint32_t dependency) { return dependency >= i; })) {
      return false;
    }
  }
  return !job.steps_.empty();
}

std::string_view Name(HostedJobOutcome outcome) {
  switch (outcome) {
    case HostedJobOutcome::kComplete:
      return "complete";
    case HostedJobOutcome::kFailed:
      return "failed";
    case HostedJobOutcome::kNotRun:
      return "not-run";
    case HostedJobOutcome::kInterrupted:
      return "interrupted";
    case HostedJobOutcome::kTimedOut:
      return "timed-out";
  }
  return "unknown";
}

Duration JobCoordinator::Slack(const HostedJob& job) {
  return std::max(Duration{0}, job.objective_ - CriticalPathTime(job));
}

std::string JobCoordinator::StepName(const HostedJob& job, uint32_t step) {
  return job.id_ + ".0." + std::to_string(step);
}

std::optional<WorkerLosses> JobCoordinator::FindExhausted(
    const HostedJob& job) const {
  std::optional<WorkerLosses> exhausted;
  if (losses_.empty()) return exhausted;
  for (uint32_t step = 0; step < job.steps_.size(); ++step) {
    for (uint32_t i = 0; i < job.steps_[step].count_; ++i) {
      const WorkerLosses losses =
          losses_.Find(TaskName(StepName(job, step), i));
      if (IsToBlame(losses)) return losses;
      if (IsExhausted(losses)) exhausted = losses;
    }
  }
  return exhausted;
}

void JobCoordinator::NoteLosses(const std::vector<TaskLosses>& losses,
                                Time now) {
  for (const TaskLosses& one : losses) losses_.Merge(one, now);
}

bool JobCoordinator::FitsSomewhere(const HostedJob& job) const {
  const auto pool = workers_.find(job.pool_);
  if (pool == workers_.end()) return false;
  return std::all_of(
      job.steps_.begin(), job.steps_.end(), [&](const HostedJobStep& step) {
        return std::any_of(pool->second.begin(), pool->second.end(),
                           [&](const LeasedWorkerRef& worker) {
                             return Fits(step.need_, worker->capacity_) &&
                                    HasLabel(*worker, step.label_);
                           });
      });
}

std::vector<const PoolLoad*> JobCoordinator::PoolLoads(const std::string& pool,
                                                       Time now) const {
  std::vector<const PoolLoad*> loads;
  for (const auto& [name, owner] : owners_) {
    if (owner.load_.draining_ || now < owner.full_until_) continue;
    for (const PoolLoad& load : owner.load_.pools_) {
      if (load.pool_ == pool) loads.push_back(&load);
    }
  }
  return loads;
}

bool JobCoordinator::HasFullOwner(const std::string& pool, Time now) const {
  return std::any_of(owners_.begin(), owners_.end(), [&](const auto& entry) {
    const Owner& owner = entry.second;
    return !owner.load_.draining_ && now < owner.full_until_ &&
           std::any_of(
               owner.load_.pools_.begin(), owner.load_.pools_.end(),
               [&](const PoolLoad& load) { return load.pool_ == pool; });
  });
}

void JobCoordinator::Refuse(RequestId request, std::string_view reason,
                            Duration wait, Duration slack,
                            CoordinatorOutbox* out) {
  ++stats_.refused_;
  out->push_back(AnswerHostedJob{request, HostedJobOutcome::kNotRun, reason,
                                 RetryAfter(wait, slack), wait, slack});
}

void JobCoordinator::On(const SubmitHostedJob& submit, Time now,
                        CoordinatorOutbox* out) {
  ++stats_.jobs_;
  const HostedJob& spec = submit.job_;
  const auto existing = jobs_by_id_.find(spec.id_);
  if (existing != jobs_by_id_.end()) {
    // The caller sent the job again before this instance noticed that the
    // earlier connection was lost, if it was.
    Job& job = jobs_[existing->second];
    job.requests_.push_back(submit.request_);
    job.deadline_ =
        std::min(job.deadline_, now - submit.waited_ + spec.deadline_);
    jobs_by_request_[submit.request_.value_] = existing->second;
    out->push_back(JobRejoined{spec.id_, now - job.accepted_});
    return;
  }
  if (const auto exhausted = FindExhausted(spec)) {
    const bool blamed = IsToBlame(*exhausted);
    ++(blamed ? stats_.failed_ : stats_.timed_out_);
    ++stats_.crashing_;
    out->push_back(AnswerHostedJob{
        submit.request_,
        blamed ? HostedJobOutcome::kFailed : HostedJobOutcome::kTimedOut,
        blamed ? kCrashesWorkers : kLostTooOften,
        {},
        {},
        {}});
    return;
  }
  if (const std::string* coordinator = FindOpenElsewhere(spec.id_, now)) {
    // Its tasks may still run there. They have ended when the job comes again.
    if (*coordinator != self_.value_) {
      out->push_back(SendRecall{{*coordinator}, spec.id_});
    }
    ++stats_.interrupted_;
    out->push_back(AnswerHostedJob{submit.request_,
                                   HostedJobOutcome::kInterrupted,
                                   "open-elsewhere",
                                   kRetryAfter,
                                   {},
                                   Slack(spec)});
    return;
  }
  if (!accepts_) return Refuse(submit.request_, "stopping", {}, {}, out);
  const std::vector<const PoolLoad*> loads = PoolLoads(spec.pool_, now);
  if (loads.empty()) {
    const bool full = HasFullOwner(spec.pool_, now);
    return Refuse(submit.request_, full ? "overloaded" : "no-workers", {}, {},
                  out);
  }
  if (!FitsSomewhere(spec)) {
    return Refuse(submit.request_, "never-runnable", {}, {}, out);
  }
  if (submit.waited_ >= spec.deadline_) {
    return Refuse(submit.request_, "deadline", {}, {}, out);
  }
  const HostedJobStep& first = spec.steps_[0];
  const Duration slack = Slack(spec);
  const bool by_owners = spec.admitted_by_owners_ && FitsOneOwner(spec, now);
  if (by_owners) {
    // Even if reports promise no start in time: only owners know what is free.
    if (PlanBatch(spec, 0, first.count_, {}, now).shares_.empty()) {
      return Refuse(submit.request_, "no-workers", {}, slack, out);
    }
  } else {
    const Duration wait =
        ExpectedWait(loads, {first.count_, first.need_, slack});
    if (static_cast<double>(wait.ms_) >
        kMaxWaitShare * static_cast<double>(slack.ms_)) {
      return Refuse(submit.request_, "overloaded", wait, slack, out);
    }
  }
  const uint64_t id = ++last_job_;
  Job& job = jobs_[id];
  job.requests_ = {submit.request_};
  job.by_owners_ = by_owners;
  job.spec_ = std::make_shared<const HostedJob>(spec);
  job.accepted_ = now - submit.waited_;
  job.deadline_ = job.accepted_ + spec.deadline_;
  for (const HostedJobStep& step : spec.steps_) {
    job.steps_.emplace_back(step.count_);
    job.remaining_.push_back(step.count_);
  }
  jobs_by_request_[submit.request_.value_] = id;
  jobs_by_id_[spec.id_] = id;
  PlaceReady(id, now, out);
}

void JobCoordinator::On(const InstanceName& owner, const TaskEnded& ended,
                        Time now, CoordinatorOutbox* out) {
  const auto found = tasks_.find(ended.serial_.value_);
  if (found == tasks_.end()) return;
  const TaskRef ref = found->second;
  Job& job = jobs_[ref.job_];
  TaskRecord& task = job.steps_[ref.step_][ref.index_];
  if (task.owner_ != owner) return;
  tasks_.erase(found);
  --job.assigned_;
  task.state_ = TaskState::kWaiting;
  job.started_ = job.started_ || ended.started_;
  if (job.abandoned_) return FinishIfNoneAssigned(ref.job_, out);
  switch (ended.end_) {
    case TaskEnd::kDone:
      task.state_ = TaskState::kDone;
      if (--job.remaining_[ref.step_] > 0) return;
      if (std::all_of(job.remaining_.begin(), job.remaining_.end(),
                      [](uint32_t left) { return left == 0; })) {
        return Finish(ref.job_, HostedJobOutcome::kComplete, "done", out);
      }
      return PlaceReady(ref.job_, now, out);
    case TaskEnd::kFailed:
      if (++task.failures_ >= job.spec_->max_failures_) {
        CancelAssigned(&job, now, out);
        return Finish(ref.job_, HostedJobOutcome::kFailed, "task-failed", out);
      }
      break;
    case TaskEnd::kUnknown:
    case TaskEnd::kCancelled:  // A run may be in progress still.
      CancelAssigned(&job, now, out);
      return Finish(ref.job_, HostedJobOutcome::kInterrupted, "worker-lost",
                    out);
    case TaskEnd::kExpired:
      // A job that has started goes on while its answer is still useful.
      if (job.started_ && now < UsefulUntil(job)) break;
      return Abandon(ref.job_, "too-late", now, out);
    case TaskEnd::kLost:
      ++task.reassignments_;
      break;
    case TaskEnd::kRefused: {
      // The own workers' scheduler answers within the same pass, and its load
      // is reported once a pass.
      const auto known = owners_.find(owner.value_);
      if (owner != self_ || known == owners_.end()) break;
      const uint64_t report = known->second.report_;
      if (std::exchange(task.returned_report_, report) != report) break;
      return AwaitRoom(ref.job_, owner, ended.end_, out);
    }
    case TaskEnd::kNoRoom: {
      const auto known = owners_.find(owner.value_);
      if (known != owners_.end()) {
        known->second.full_until_ = now + kFullOwnerMemory;
      }
      if (!job.started_) return Abandon(ref.job_, "overloaded", now, out);
      return AwaitRoom(ref.job_, owner, ended.end_, out);
    }
    case TaskEnd::kCrashes:
      CancelAssigned(&job, now, out);
      ++stats_.crashing_;
      return Finish(ref.job_, HostedJobOutcome::kFailed, kCrashesWorkers, out);
    case TaskEnd::kLostTooOften:
      CancelAssigned(&job, now, out);
      ++stats_.crashing_;
      return Finish(ref.job_, HostedJobOutcome::kTimedOut, kLostTooOften, out);
  }
  if (task.reassignments_ > kMaxReassignments) {
    return Abandon(ref.job_, "moved-often", now, out);
  }
  ++stats_.tasks_reassigned_;
  out->push_back(
      TaskReassigned{job.spec_->id_, ref.step_, ref.index_, owner, ended.end_});
  PlaceReady(ref.job_, now, out);
}

void JobCoordinator::AwaitRoom(uint64_t id, const InstanceName& owner,
                               TaskEnd end, CoordinatorOutbox* out) {
  Job& job = jobs_[id];
  awaiting_room_.insert({job.spec_->band_, id});
  if (std::exchange(job.awaited_room_, true)) return;
  ++stats_.awaited_room_;
  out->push_back(JobAwaitsRoom{job.spec_->id_, owner, end});
}

void JobCoordinator::PlaceAwaitingRoom(Time now, CoordinatorOutbox* out) {
  const uint64_t limit = stats_.tasks_assigned_ + kMaxAwaitingPerTick;
  std::map<std::string, bool> full_pools;
  // Placing or ending a job changes its own entry.
  for (const auto& [band, id] :
       std::vector(awaiting_room_.begin(), awaiting_room_.end())) {
    const Job& job = jobs_.at(id);
    if (now >= UsefulUntil(job)) {
      Abandon(id, "too-late", now, out);
      continue;
    }
    const std::string& pool = job.spec_->pool_;
    const auto [full, added] = full_pools.try_emplace(pool);
    if (added) {
      full->second = PoolLoads(pool, now).empty() && HasFullOwner(pool, now);
    }
    if (!full->second && stats_.tasks_assigned_ < limit) {
      PlaceReady(id, now, out);
    }
  }
}

Time JobCoordinator::UsefulUntil(const Job& job) {
  const Duration within =
      std::min(job.spec_->useful_within_, job.spec_->deadline_);
  return job.accepted_ + within - CriticalPathTime(*job.spec_);
}

std::vector<PoolLoad> JobCoordinator::RemotePoolsWithCapacity() const {
  std::vector<PoolLoad> pools;
  for (const auto& [name, owner] : owners_) {
    if (name == self_.value_ || owner.load_.draining_) continue;
    for (const PoolLoad& load : owner.load_.pools_) {
      if (!load.free_.empty()) pools.push_back(load);
    }
  }
  return pools;
}

void JobCoordinator::CancelAssigned(Job* job, Time now,
                                    CoordinatorOutbox* out) {
  if (job->assigned_ > 0 && now - job->accepted_ >= kLongOpenAge) {
    ending_[job->spec_->id_] = now + kEndingTime;
  }
  std::map<std::string, CancelTasks> by_owner;
  for (auto& step : job->steps_) {
    for (TaskRecord& task : step) {
      if (task.state_ != TaskState::kAssigned) continue;
      by_owner[task.owner_.value_].tasks_.push_back(task.serial_);
    }
  }
  for (auto& [name, withdraw] : by_owner) {
    out->push_back(SendCancel{{name}, std::move(withdraw), job->spec_->id_});
  }
}

void JobCoordinator::Abandon(uint64_t id, std::string_view reason, Time now,
                             CoordinatorOutbox* out) {
  Job& job = jobs_[id];
  if (!job.abandoned_) {
    job.abandoned_ = true;
    job.reason_ = reason;
    awaiting_room_.erase({job.spec_->band_, id});
    CancelAssigned(&job, now, out);
  }
  FinishIfNoneAssigned(id, out);
}

// Only the owners know whether a task has started, so the job is answered once
// all of them have reported their tasks.
void JobCoordinator::FinishIfNoneAssigned(uint64_t id, CoordinatorOutbox* out) {
  const Job& job = jobs_[id];
  if (job.assigned_ > 0) return;
  Finish(id,
         job.started_ ? HostedJobOutcome::kTimedOut : HostedJobOutcome::kNotRun,
         job.reason_, out);
}

void JobCoordinator::Finish(uint64_t id, HostedJobOutcome outcome,
                            std::string_view reason, CoordinatorOutbox* out) {
  const auto found = jobs_.find(id);
  Job& job = found->second;
  for (const auto& step : job.steps_) {
    for (const TaskRecord& task : step) {
      if (task.state_ != TaskState::kAssigned) continue;
      tasks_.erase(task.serial_.value_);
    }
  }
  switch (outcome) {
    case HostedJobOutcome::kComplete:
      ++stats_.complete_;
      break;
    case HostedJobOutcome::kFailed:
      ++stats_.failed_;
      break;
    case HostedJobOutcome::kNotRun:
      ++stats_.refused_;
      break;
    case HostedJobOutcome::kInterrupted:
      ++stats_.interrupted_;
      break;
    case HostedJobOutcome::kTimedOut:
      ++stats_.timed_out_;
      break;
  }
  const Duration slack = Slack(*job.spec_);
  for (const RequestId request : job.requests_) {
    out->push_back(AnswerHostedJob{request, outcome, reason,
                                   RetryAfter(job.expected_wait_, slack),
                                   job.expected_wait_, slack});
    jobs_by_request_.erase(request.value_);
  }
  jobs_by_id_.erase(job.spec_->id_);
  awaiting_room_.erase({job.spec_->band_, id});
  jobs_.erase(found);
}

void JobCoordinator::On(const CallerDisconnected& gone, Time now,
                        CoordinatorOutbox* out) {
  const auto found = jobs_by_request_.find(gone.request_.value_);
  if (found == jobs_by_request_.end()) return;
  const uint64_t id = found->second;
  Job& job = jobs_[id];
  const bool latest = job.requests_.back() == gone.request_;
  std::erase(job.requests_, gone.request_);
  jobs_by_request_.erase(found);
  // A caller that has sent the job again awaits it on its latest connection.
  if (!latest) return;
  ++stats_.caller_disconnected_;
  CancelAssigned(&job, now, out);
  Finish(id, HostedJobOutcome::kInterrupted, "caller-gone", out);
}

std::vector<std::string> JobCoordinator::LongOpenJobs(Time now) const {
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (now - job.accepted_ >= kLongOpenAge) ids.push_back(job.spec_->id_);
  }
  for (const auto& [id, until] : ending_) ids.push_back(id);
  if (ids.size() > config::kMaxOpenJobsPerReport) {
    ids.resize(config::kMaxOpenJobsPerReport);
  }
  return ids;
}

void JobCoordinator::JobsOpenElsewhere(const InstanceName& coordinator,
                                       const std::vector<std::string>& ids,
                                       Time now) {
  open_elsewhere_[coordinator.value_] = {{ids.begin(), ids.end()}, now};
}

const std::string* JobCoordinator::FindOpenElsewhere(const std::string& id,
                                                     Time now) const {
  if (ending_.count(id) > 0) return &self_.value_;
  for (const auto& [coordinator, open] : open_elsewhere_) {
    if (now - open.at_ <= kOpenElsewhereMemory && open.ids_.count(id) > 0) {
      return &coordinator;
    }
  }
  return nullptr;
}

void JobCoordinator::Recall(const std::string& id, Time now,
                            CoordinatorOutbox* out) {
  const auto found = jobs_by_id_.find(id);
  if (found == jobs_by_id_.end()) return;
  ++stats_.recalled_;
  const uint64_t job = found->second;
  CancelAssigned(&jobs_[job], now, out);
  Finish(job, HostedJobOutcome::kInterrupted, "submitted-elsewhere", out);
}

void JobCoordinator::OwnerLoadReported(const InstanceName& owner,
                                       const std::string& data_centre,
                                       const OwnerLoad& load) {
  Owner& known = owners_[owner.value_];
  known.data_centre_ = data_centre;
  known.load_ = load;
  known.report_ = ++last_report_;
}

bool JobCoordinator::AwaitsTasksAt(const InstanceName& owner) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    const TaskRef& ref = entry.second;
    return jobs_.at(ref.job_).steps_[ref.step_][ref.index_].owner_ == owner;
  });
}

void JobCoordinator::OwnerLost(const InstanceName& owner, Time now,
                               CoordinatorOutbox* out) {
  owners_.erase(owner.value_);
  std::vector<uint64_t> affected;
  for (const auto& [id, job] : jobs_) {
    for (const auto& step : job.steps_) {
      for (const TaskRecord& task : step) {
        if (task.state_ == TaskState::kAssigned && task.owner_ == owner &&
            (affected.empty() || affected.back() != id)) {
          affected.push_back(id);
        }
      }
    }
  }
  for (const uint64_t id : affected) {
    CancelAssigned(&jobs_[id], now, out);
    Finish(id, HostedJobOutcome::kInterrupted, "owner-lost", out);
  }
}

void JobCoordinator::Tick(Time now, CoordinatorOutbox* out) {
  losses_.Expire(now);
  std::erase_if(ending_,
                [now](const auto& entry) { return now >= entry.second; });
  std::vector<uint64_t> expired;
  for (const auto& [id, job] : jobs_) {
    if (now >= job.deadline_) expired.push_back(id);
  }
  for (const uint64_t id : expired) {
    CancelAssigned(&jobs_[id], now, out);
    Finish(id, HostedJobOutcome::kTimedOut, "deadline", out);
  }
  if (!awaiting_room_.empty()) PlaceAwaitingRoom(now, out);
}

void JobCoordinator::Resume(Time now, CoordinatorOutbox* out) {
  std::vector<uint64_t> ids;
  for (const auto& [id, job] : jobs_) ids.push_back(id);
  for (const uint64_t id : ids) {
    CancelAssigned(&jobs_[id], now, out);
    Finish(id, HostedJobOutcome::kInterrupted, "resumed-after-pause", out);
  }
}

}  // namespace gentiandeal
