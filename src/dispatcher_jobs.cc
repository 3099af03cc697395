#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {
namespace {

Duration Scaled(Duration time, double factor) {
  return {static_cast<int64_t>(static_cast<double>(time.ms_) * factor)};
}

/// Id of a task, unique among all instances. A task that is sent to another
/// worker keeps its id.
std::string TaskId(Incarnation instance, JobId job, uint16_t index) {
  return std::to_string(instance.value_) + "-" + std::to_string(job.value_) +
         "-" + std::to_string(index);
}

}  // namespace

void Dispatcher::Impl::StartQueuedTasks(Time now, Outbox* out) {
  while (!attempts_.full()) {
    const WorkerHandle best = workers_.Pick({});
    if (!best.valid()) return;
    const std::optional<QueuedTask> next = queue_.Pop(now);
    if (!next) return;
    Job* job = jobs_.Find(next->job_);
    const Task& task = job->tasks_[next->index_];
    if (!CheckQuota(job->team_, now)) {
      queue_.Requeue(*next, task.expected_run_time_);
      continue;
    }
    const WorkerHandle worker = PickWorker(task.avoid_worker_, best);
    if (!worker.valid()) {
      queue_.Requeue(*next, task.expected_run_time_);
      return;
    }
    Dispatch(job, next->index_, worker, now, out);
  }
}

WorkerHandle Dispatcher::Impl::PickWorker(WorkerHandle avoid,
                                          WorkerHandle fallback) {
  if (avoid != fallback) return fallback;
  if (workers_.placeable() < 2) return fallback;
  return workers_.Pick(avoid);
}

void Dispatcher::Impl::Dispatch(Job* job, uint16_t index, WorkerHandle worker,
                                Time now, Outbox* out) {
  Task& task = job->tasks_[index];
  Team& team = teams_[job->team_.value_];
  task.attempt_ = attempts_.Add(Attempt{job->id_, index, worker, now});
  task.phase_ = TaskPhase::kRunning;
  if (task.dispatched_) {
    ++stats_.task_retries_;
  } else {
    task.dispatched_ = true;
    retry_budget_.OnFirstDispatch(settings_->service_.retry_percent_);
    team.retry_budget_.OnFirstDispatch(team.settings_.retry_percent_);
  }
  ++stats_.task_starts_;
  if (++job->started_tasks_ == 1) ResetTimer(job);
  workers_.OnStart(worker);
  OnTaskStart(job->team_);

  StartTask start;
  start.attempt_ = task.attempt_;
  start.worker_ = worker;
  start.address_ = workers_.info(worker).address_;
  start.job_ = job->spec_;
  start.task_index_ = index;
  start.task_id_ = TaskId(self_.incarnation_, job->id_, index);
  start.timeout_ = TaskTimeout(*job, task, now);
  out->push_back(std::move(start));
}

Duration Dispatcher::Impl::TaskTimeout(const Job& job, const Task& task,
                                       Time now) const {
  const ServiceSettings& service = settings_->service_;
  const auto index = static_cast<uint16_t>(&task - job.tasks_.data());
  const Duration high = P95RunTime(job, index);
  const Duration timeout = std::max(service.min_task_timeout_,
                                    Scaled(high, service.timeout_factor_));
  return std::clamp(timeout, Duration{1}, job.deadline_ - now);
}

void Dispatcher::Impl::HandleAttemptEnd(const AttemptEnded& message, Time now,
                                        Outbox* out) {
  const Attempt* found = attempts_.Find(message.attempt_);
  if (found == nullptr) return;
  const Attempt attempt = *found;
  Job* job = jobs_.Find(attempt.job_);
  Task& task = job->tasks_[attempt.task_index_];
  attempts_.Remove(message.attempt_);
  task.attempt_ = {};
  OnTaskEnd(job->team_);
  if (message.worker_leaving_) health_.OnLeaving(attempt.worker_, now);
  switch (message.result_) {
    case AttemptResult::kAnswered:
      HandleAnswered(job, attempt, message.answer_, now, out);
      return;
    case AttemptResult::kFailed:
    case AttemptResult::kUncertain:
      HandleFailed(job, attempt, message, now, out);
      return;
    case AttemptResult::kRefused:
    case AttemptResult::kNotSent:
      HandleRefused(job, attempt, message.result_, now, out);
      return;
  }
}

Duration Dispatcher::Impl::P95RunTime(const Job& job, uint16_t index) const {
  const Duration declared = job.spec_->tasks_[index].declared_run_time_;
  return run_times_.EstimateP95(job.tasks_[index].kind_, declared);
}

// The slot counts as used until `busy` has passed since the attempt was sent.
void Dispatcher::Impl::ReleaseSlot(const Attempt& attempt, Time now,
                                   Duration busy) {
  const Duration elapsed = now - attempt.sent_time_;
  workers_.OnEnd(attempt.worker_, now, std::max(busy - elapsed, Duration{0}));
}

void Dispatcher::Impl::HandleAnswered(Job* job, const Attempt& attempt,
                                      const TaskAnswer& answer, Time now,
                                      Outbox* out) {
  Task& task = job->tasks_[attempt.task_index_];
  const TaskSpec& spec = job->spec_->tasks_[attempt.task_index_];
  const Duration run = now - attempt.sent_time_;
  health_.OnAnswered(attempt.worker_, task.kind_, now);
  workers_.OnServiceTime(attempt.worker_, run, task.expected_run_time_);
  run_times_.Observe(task.kind_, spec.declared_run_time_, run);
  ReleaseSlot(attempt, now, Duration{0});

  const uint64_t bytes = BufferedBytes(answer);
  const bool fits = job->answer_bytes_ + bytes <= config::kMaxJobAnswerBytes;
  if (!fits || !EnsureBufferSpace(job->team_, bytes, 100)) {
    task.phase_ = TaskPhase::kNoAnswer;
    FailJob(job, Errc::kAnswerTooLarge, now, out);
    return;
  }
  buffer_account_.Add(job->team_, bytes);
  job->charged_bytes_ += bytes;
  job->answer_bytes_ += bytes;
  task.phase_ = TaskPhase::kAnswered;
  job->answers_.resize(job->tasks_.size());
  job->answers_[attempt.task_index_] = answer;
  if (++job->answered_tasks_ == job->tasks_.size()) CompleteJob(job, out);
}

void Dispatcher::Impl::HandleFailed(Job* job, const Attempt& attempt,
                                    const AttemptEnded& message, Time now,
                                    Outbox* out) {
  Task& task = job->tasks_[attempt.task_index_];
  health_.OnFailed(attempt.worker_, task.kind_, now);
  const bool failed = message.result_ == AttemptResult::kFailed;
  // The worker may still run a task whose answer was lost.
  const Duration busy =
      failed ? task.expected_run_time_ : P95RunTime(*job, attempt.task_index_);
  ReleaseSlot(attempt, now, busy);
  task.phase_ = TaskPhase::kNoAnswer;
  std::error_code error = message.error_;
  if (!error) error = failed ? Errc::kWorkerFailed : Errc::kWorkerLinkLost;
  const bool passes_through = failed && job->spec_->passthrough_;
  if (passes_through &&
      EnsureBufferSpace(job->team_, BufferedBytes(message.answer_), 100)) {
    // The caller of a passed-through request gets the worker's own response.
    job->answers_.assign(1, message.answer_);
  }
  FailJob(job, error, now, out);
}

void Dispatcher::Impl::HandleRefused(Job* job, const Attempt& attempt,
                                     AttemptResult verdict, Time now,
                                     Outbox* out) {
  Task& task = job->tasks_[attempt.task_index_];
  if (verdict == AttemptResult::kRefused) {
    ++stats_.dispatches_refused_;
    health_.OnRefused(attempt.worker_, attempt.sent_time_, now);
  } else {
    ++stats_.connects_failed_;
    health_.OnUnreachable(attempt.worker_, attempt.sent_time_, now);
  }
  ReleaseSlot(attempt, now, Duration{0});
  task.phase_ = TaskPhase::kWaiting;
  task.avoid_worker_ = attempt.worker_;
  if (--job->started_tasks_ == 0) ResetTimer(job);
  if (!TryTakeRetry(job->team_)) {
    FailJob(job, Errc::kRetryBudgetSpent, now, out);
    return;
  }
  queue_.Requeue({job->id_, attempt.task_index_}, task.expected_run_time_);
}

bool Dispatcher::Impl::TryTakeRetry(TeamHandle team) {
  RetryBudget& own = teams_[team.value_].retry_budget_;
  if (!own.Available() || !retry_budget_.Available()) return false;
  own.Take();
  retry_budget_.Take();
  return true;
}

void Dispatcher::Impl::ResetTimer(Job* job) {
  job_timers_.erase(job_timers_.iterator_to(*job));
  job->wake_time_ =
      job->started_tasks_ == 0 ? job->latest_start() : job->deadline_;
  job_timers_.insert(*job);
}

void Dispatcher::Impl::FailJob(Job* job, std::error_code error, Time now,
                               Outbox* out) {
  std::shared_ptr<JobAnswer> answer = BuildFailure(job, error);
  for (Task& task : job->tasks_) {
    if (task.phase_ != TaskPhase::kRunning) continue;
    const Attempt attempt = *attempts_.Find(task.attempt_);
    attempts_.Remove(task.attempt_);
    OnTaskEnd(job->team_);
    // The worker may still run the task.
    ReleaseSlot(attempt, now, P95RunTime(*job, attempt.task_index_));
    out->emplace_back(CancelAttempt{task.attempt_});
  }
  if (Forward* forward = forwards_.Find(job->forward_)) {
    out->emplace_back(CancelForward{forward->id_});
    RemoveForward(forward);
  }
  stats_.answers_unused_ += job->started_tasks_;
  EndJob(job, std::move(answer), out);
}

std::shared_ptr<JobAnswer> Dispatcher::Impl::BuildFailure(
    Job* job, std::error_code error) const {
  auto answer = std::make_shared<JobAnswer>();
  answer->error_ = error;
  for (size_t i = 0; i < job->tasks_.size(); ++i) {
    if (job->tasks_[i].phase_ == TaskPhase::kWaiting) continue;
    answer->started_.push_back(static_cast<uint16_t>(i));
  }
  answer->started_known_ = !job->forward_.valid();
  const bool not_run = answer->started_.empty() && answer->started_known_;
  answer->outcome_ = not_run ? Outcome::kNotRun : Outcome::kMayHaveRun;
  if (not_run && error != Errc::kCancelled) {
    answer->retry_after_ = RetryAfter();
  }
  if (job->spec_->passthrough_ && error == Errc::kWorkerFailed) {
    answer->tasks_ = std::move(job->answers_);
  }
  return answer;
}

void Dispatcher::Impl::CompleteJob(Job* job, Outbox* out) {
  auto answer = std::make_shared<JobAnswer>();
  answer->outcome_ = Outcome::kComplete;
  answer->tasks_ = std::move(job->answers_);
  EndJob(job, std::move(answer), out);
}

void Dispatcher::Impl::EndJob(Job* job, std::shared_ptr<const JobAnswer> answer,
                              Outbox* out) {
  switch (answer->outcome_) {
    case Outcome::kComplete:
      ++stats_.jobs_complete_;
      break;
    case Outcome::kNotRun:
      ++stats_.jobs_not_run_;
      break;
    case Outcome::kMayHaveRun:
      ++stats_.jobs_may_have_run_;
      break;
  }
  while (!job->waiters_.empty()) {
    const RequestId request = job->waiters_.front().id_;
    AnswerRequest(request, answer, out);
  }
  buffer_account_.Release(job->team_, job->charged_bytes_);
  if (job->submission_) {
    submissions_.Finish(*job->submission_, job->team_, std::move(answer));
  }
  queue_.Remove(job->id_);
  ReportWaitingTasks(job->team_);
  if (job->timer_.is_linked()) {
    job_timers_.erase(job_timers_.iterator_to(*job));
  }
  --teams_[job->team_.value_].open_jobs_;
  jobs_.Remove(job->id_);
}

void Dispatcher::Impl::AddWaiter(RequestId request, Job* job) {
  Request& entry = requests_[request.value_];
  entry.id_ = request;
  entry.job_ = job->id_;
  job->waiters_.push_back(entry);
}

void Dispatcher::Impl::AnswerRequest(RequestId request,
                                     std::shared_ptr<const JobAnswer> answer,
                                     Outbox* out) {
  const auto found = requests_.find(request.value_);
  if (found == requests_.end()) return;
  if (Job* job = jobs_.Find(found->second.job_)) {
    job->waiters_.erase(job->waiters_.iterator_to(found->second));
  }
  requests_.erase(found);
  out->emplace_back(SendAnswer{request, std::move(answer)});
}

void Dispatcher::Impl::HandleCallerDisconnect(RequestId request, Time now,
                                              Outbox* out) {
  const auto found = requests_.find(request.value_);
  if (found == requests_.end()) return;
  const Request& entry = found->second;
  Job* job = jobs_.Find(entry.job_);
  Forward* forward = forwards_.Find(entry.forward_);
  if (job != nullptr) {
    job->waiters_.erase(job->waiters_.iterator_to(entry));
  }
  requests_.erase(found);
  if (forward != nullptr) {
    out->emplace_back(CancelForward{forward->id_});
    RemoveForward(forward);
  }
  // A submission with an id continues, since a retry may ask for its answer.
  if (job == nullptr || job->submission_) return;
  ++stats_.jobs_cancelled_;
  FailJob(job, Errc::kCancelled, now, out);
}

}  // namespace gentiandeal
