#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {
namespace {

Duration Scaled(Duration time, double factor) {
  return {static_cast<int64_t>(static_cast<double>(time.ms_) * factor)};
}

/// Name of a task across the fleet. A task that moved keeps its name.
std::string TaskName(Incarnation instance, JobId job, uint16_t index) {
  return std::to_string(instance.value_) + "-" + std::to_string(job.value_) +
         "-" + std::to_string(index);
}

}  // namespace

void Dispatcher::Impl::Pump(Time now, Outbox* out) {
  while (!attempts_.full()) {
    const WorkerHandle best = workers_.Pick({});
    if (!best.valid()) return;
    const std::optional<QueuedTask> next = queue_.Next(now);
    if (!next) return;
    Job* job = jobs_.Find(next->job_);
    const Task& task = job->tasks_[next->index_];
    if (!MayStart(job->team_, now)) {
      queue_.Return(*next, task.expected_);
      continue;
    }
    const WorkerHandle worker = PickAvoiding(task.avoid_, best);
    if (!worker.valid()) {
      queue_.Return(*next, task.expected_);
      return;
    }
    Dispatch(job, next->index_, worker, now, out);
  }
}

WorkerHandle Dispatcher::Impl::PickAvoiding(WorkerHandle avoid,
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
    retries_.OnFirstDispatch(settings_->service_.retry_percent_);
    team.retries_.OnFirstDispatch(team.settings_.retry_percent_);
  }
  ++stats_.task_starts_;
  if (++job->started_ == 1) SetTimer(job);
  workers_.OnStart(worker);
  CountStart(job->team_);

  StartTask start;
  start.attempt_ = task.attempt_;
  start.worker_ = worker;
  start.address_ = workers_.info(worker).address_;
  start.job_ = job->spec_;
  start.task_index_ = index;
  start.task_id_ = TaskName(self_.incarnation_, job->id_, index);
  start.timeout_ = TaskTimeout(*job, task, now);
  out->push_back(std::move(start));
}

Duration Dispatcher::Impl::TaskTimeout(const Job& job, const Task& task,
                                       Time now) const {
  const ServiceSettings& service = settings_->service_;
  const auto index = static_cast<uint16_t>(&task - job.tasks_.data());
  const Duration high = HighEstimate(job, index);
  const Duration timeout = std::max(service.min_task_timeout_,
                                    Scaled(high, service.timeout_factor_));
  return std::clamp(timeout, Duration{1}, job.deadline_ - now);
}

void Dispatcher::Impl::EndAttempt(const AttemptEnded& message, Time now,
                                  Outbox* out) {
  const Attempt* found = attempts_.Find(message.attempt_);
  if (found == nullptr) return;
  const Attempt attempt = *found;
  Job* job = jobs_.Find(attempt.job_);
  Task& task = job->tasks_[attempt.index_];
  attempts_.Remove(message.attempt_);
  task.attempt_ = {};
  CountEnd(job->team_);
  if (message.worker_leaving_) health_.OnLeaving(attempt.worker_, now);
  switch (message.verdict_) {
    case Verdict::kAnswered:
      EndAnswered(job, attempt, message.answer_, now, out);
      return;
    case Verdict::kFailed:
    case Verdict::kUncertain:
      EndFailed(job, attempt, message, now, out);
      return;
    case Verdict::kRefused:
    case Verdict::kNotSent:
      EndRefused(job, attempt, message.verdict_, now, out);
      return;
  }
}

Duration Dispatcher::Impl::HighEstimate(const Job& job, uint16_t index) const {
  const Duration declared = job.spec_->tasks_[index].declared_run_;
  return run_times_.ExpectHigh(job.tasks_[index].kind_, declared);
}

// The slot counts as used until the attempt is `busy` old.
void Dispatcher::Impl::ReleaseWorker(const Attempt& attempt, Time now,
                                     Duration busy) {
  const Duration elapsed = now - attempt.sent_;
  workers_.OnEnd(attempt.worker_, now, std::max(busy - elapsed, Duration{0}));
}

void Dispatcher::Impl::EndAnswered(Job* job, const Attempt& attempt,
                                   const TaskAnswer& answer, Time now,
                                   Outbox* out) {
  Task& task = job->tasks_[attempt.index_];
  const TaskSpec& spec = job->spec_->tasks_[attempt.index_];
  const Duration run = now - attempt.sent_;
  health_.OnAnswered(attempt.worker_, task.kind_, now);
  workers_.OnServiceTime(attempt.worker_, run, task.expected_);
  run_times_.Observe(task.kind_, spec.declared_run_, run);
  ReleaseWorker(attempt, now, Duration{0});

  const uint64_t bytes = BufferedBytes(answer);
  const bool fits = job->answer_bytes_ + bytes <= config::kMaxJobAnswerBytes;
  if (!fits || !MakeRoom(job->team_, bytes, 100)) {
    task.phase_ = TaskPhase::kLost;
    FailJob(job, Errc::kAnswerTooLarge, now, out);
    return;
  }
  account_.Add(job->team_, bytes);
  job->bytes_ += bytes;
  job->answer_bytes_ += bytes;
  task.phase_ = TaskPhase::kAnswered;
  job->answers_.resize(job->tasks_.size());
  job->answers_[attempt.index_] = answer;
  if (++job->answered_ == job->tasks_.size()) CompleteJob(job, out);
}

void Dispatcher::Impl::EndFailed(Job* job, const Attempt& attempt,
                                 const AttemptEnded& message, Time now,
                                 Outbox* out) {
  Task& task = job->tasks_[attempt.index_];
  health_.OnFailed(attempt.worker_, task.kind_, now);
  const bool failed = message.verdict_ == Verdict::kFailed;
  // After a lost answer the worker may go on with the task.
  const Duration busy =
      failed ? task.expected_ : HighEstimate(*job, attempt.index_);
  ReleaseWorker(attempt, now, busy);
  task.phase_ = TaskPhase::kLost;
  std::error_code error = message.error_;
  if (!error) error = failed ? Errc::kWorkerFailed : Errc::kWorkerLinkLost;
  const bool passed_on = failed && job->spec_->passthrough_;
  if (passed_on && MakeRoom(job->team_, BufferedBytes(message.answer_), 100)) {
    // The caller of a passed-through request gets the worker's own response.
    job->answers_.assign(1, message.answer_);
  }
  FailJob(job, error, now, out);
}

void Dispatcher::Impl::EndRefused(Job* job, const Attempt& attempt,
                                  Verdict verdict, Time now, Outbox* out) {
  Task& task = job->tasks_[attempt.index_];
  if (verdict == Verdict::kRefused) {
    ++stats_.dispatches_refused_;
    health_.OnRefused(attempt.worker_, attempt.sent_, now);
  } else {
    ++stats_.connects_failed_;
    health_.OnUnreachable(attempt.worker_, attempt.sent_, now);
  }
  ReleaseWorker(attempt, now, Duration{0});
  task.phase_ = TaskPhase::kWaiting;
  task.avoid_ = attempt.worker_;
  if (--job->started_ == 0) SetTimer(job);
  if (!TakeRetry(job->team_)) {
    FailJob(job, Errc::kRetryBudgetSpent, now, out);
    return;
  }
  queue_.Return({job->id_, attempt.index_}, task.expected_);
}

bool Dispatcher::Impl::TakeRetry(TeamHandle team) {
  RetryBudget& own = teams_[team.value_].retries_;
  if (!own.Available() || !retries_.Available()) return false;
  own.Take();
  retries_.Take();
  return true;
}

void Dispatcher::Impl::SetTimer(Job* job) {
  job_timers_.erase(job_timers_.iterator_to(*job));
  job->wake_ = job->started_ == 0 ? job->latest_start() : job->deadline_;
  job_timers_.insert(*job);
}

void Dispatcher::Impl::FailJob(Job* job, std::error_code error, Time now,
                               Outbox* out) {
  std::shared_ptr<JobAnswer> answer = Failure(job, error);
  for (Task& task : job->tasks_) {
    if (task.phase_ != TaskPhase::kRunning) continue;
    const Attempt attempt = *attempts_.Find(task.attempt_);
    attempts_.Remove(task.attempt_);
    CountEnd(job->team_);
    // The worker may go on with it.
    ReleaseWorker(attempt, now, HighEstimate(*job, attempt.index_));
    out->emplace_back(AbandonAttempt{task.attempt_});
  }
  if (Forward* forward = forwards_.Find(job->forward_)) {
    out->emplace_back(AbandonForward{forward->id_});
    DropForward(forward);
  }
  stats_.answers_unused_ += job->started_;
  EndJob(job, std::move(answer), out);
}

std::shared_ptr<JobAnswer> Dispatcher::Impl::Failure(
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
    Answer(request, answer, out);
  }
  account_.Release(job->team_, job->bytes_);
  if (job->submission_) {
    submissions_.Finish(*job->submission_, job->team_, std::move(answer));
  }
  queue_.Remove(job->id_);
  TellWaiting(job->team_);
  if (job->timer_.is_linked()) {
    job_timers_.erase(job_timers_.iterator_to(*job));
  }
  --teams_[job->team_.value_].jobs_;
  jobs_.Remove(job->id_);
}

void Dispatcher::Impl::Wait(RequestId request, Job* job) {
  Request& entry = requests_[request.value_];
  entry.id_ = request;
  entry.job_ = job->id_;
  job->waiters_.push_back(entry);
}

void Dispatcher::Impl::Answer(RequestId request,
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

void Dispatcher::Impl::LoseCaller(RequestId request, Time now, Outbox* out) {
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
    out->emplace_back(AbandonForward{forward->id_});
    DropForward(forward);
  }
  // A submission with an id goes on: a retry may ask for its answer.
  if (job == nullptr || job->submission_) return;
  ++stats_.jobs_cancelled_;
  FailJob(job, Errc::kCancelled, now, out);
}

}  // namespace gentiandeal
