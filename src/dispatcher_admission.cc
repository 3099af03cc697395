#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {
namespace {

/// Retry delay told to clients where no better estimate exists.
constexpr Duration kDefaultRetryAfter{1000};

std::optional<JobDigest> DigestOf(const Submit& message) {
  if (!message.submission_) return std::nullopt;
  return Digest(message.job_);
}

/// Expected waits are scaled by this percentage: run times are estimates, but
/// an admitted job has to end in time.
constexpr int64_t kWaitMarginPercent = 125;

Duration PerSlot(Duration work, uint32_t slots) {
  return {work.ms_ / std::max<int64_t>(slots, 1)};
}

}  // namespace

void Dispatcher::Impl::HandleSubmission(const Submit& message, Time now,
                                        Outbox* out) {
  forward_credit_ =
      std::min(forward_credit_ + settings_->service_.max_forward_percent_ / 100,
               kMaxForwardCredit);
  // A job that runs here for another data centre keeps its submission id and
  // its answer there.
  if (!message.submission_ || message.remote_execution_) {
    Admit(message, std::nullopt, std::nullopt, now, out);
    return;
  }
  HandleIdentifiedSubmission(message, now, out);
}

void Dispatcher::Impl::HandleIdentifiedSubmission(const Submit& message,
                                                  Time now, Outbox* out) {
  const SubmissionId& id = *message.submission_;
  if (id.client_.owner_ != self_.incarnation_) {
    ForwardToOwner(message, now, out);
    return;
  }
  if (!client_ids_.IsAuthentic(id.client_)) {
    Reject(message.request_, {}, {}, root_team_, {Errc::kBadClientId, {}}, out);
    return;
  }
  const std::optional<JobDigest> digest = DigestOf(message);
  const SubmissionLookup lookup = submissions_.Lookup(id, digest, now);
  switch (lookup.state_) {
    case SubmissionState::kNew:
      Admit(message, id, digest, now, out);
      return;
    case SubmissionState::kRunning:
      ++stats_.duplicates_joined_;
      AddWaiter(message.request_, jobs_.Find(lookup.job_));
      return;
    case SubmissionState::kFinished:
      ++stats_.duplicates_joined_;
      out->emplace_back(SendAnswer{message.request_, lookup.answer_});
      return;
    case SubmissionState::kForgotten:
      AnswerUnknownOutcome(message.request_, Errc::kSubmissionForgotten, out);
      return;
    case SubmissionState::kMismatch:
      Reject(message.request_, {}, {}, root_team_,
             {Errc::kSubmissionMismatch, {}}, out);
      return;
    case SubmissionState::kWindowFull:
      Reject(message.request_, {}, {}, root_team_,
             {Errc::kWindowFull, config::kMinRetryAfter}, out);
      return;
    case SubmissionState::kTooManyClients:
      Reject(message.request_, {}, {}, root_team_,
             {Errc::kQueueFull, kDefaultRetryAfter}, out);
      return;
  }
}

void Dispatcher::Impl::HandleCancellation(const CancelSubmission& message,
                                          Time now, Outbox* out) {
  const SubmissionId& id = message.submission_;
  if (id.client_.owner_ != self_.incarnation_) {
    ForwardCancelToOwner(message, now, out);
    return;
  }
  if (!client_ids_.IsAuthentic(id.client_)) {
    Reject(message.request_, {}, {}, root_team_, {Errc::kBadClientId, {}}, out);
    return;
  }
  const SubmissionLookup lookup = submissions_.Lookup(id, std::nullopt, now);
  switch (lookup.state_) {
    case SubmissionState::kNew:
      // The submission itself may still arrive; it must find this answer.
      Reject(message.request_, id, std::nullopt, root_team_,
             {Errc::kCancelled, {}}, out);
      return;
    case SubmissionState::kRunning: {
      Job* job = jobs_.Find(lookup.job_);
      ++stats_.jobs_cancelled_;
      AddWaiter(message.request_, job);
      FailJob(job, Errc::kCancelled, now, out);
      return;
    }
    case SubmissionState::kFinished:
      out->emplace_back(SendAnswer{message.request_, lookup.answer_});
      return;
    case SubmissionState::kWindowFull:
      Reject(message.request_, {}, {}, root_team_, {Errc::kWindowFull, {}},
             out);
      return;
    case SubmissionState::kTooManyClients:
      Reject(message.request_, {}, {}, root_team_,
             {Errc::kQueueFull, kDefaultRetryAfter}, out);
      return;
    case SubmissionState::kForgotten:
    case SubmissionState::kMismatch:
      AnswerUnknownOutcome(message.request_, Errc::kSubmissionForgotten, out);
      return;
  }
}

void Dispatcher::Impl::Admit(const Submit& message,
                             const std::optional<SubmissionId>& id,
                             const std::optional<JobDigest>& digest, Time now,
                             Outbox* out) {
  const JobSpec& spec = message.job_;
  const TeamHandle team = FindTeam(spec.team_);
  const TeamHandle charged_team = team.valid() ? team : root_team_;
  const uint64_t bytes = BufferedBytes(spec);
  std::optional<Refusal> refusal = CheckSpec(spec);
  if (!refusal) refusal = CheckCapacity(spec, team, bytes);
  if (refusal) {
    Reject(message.request_, id, digest, charged_team, *refusal, out);
    return;
  }

  const JobId job_id = jobs_.Add();
  Job* job = jobs_.Find(job_id);
  job->id_ = job_id;
  job->submission_ = id;
  job->team_ = team;
  job->arrival_ = now;
  job->deadline_ = now + DeadlineOf(spec, team);
  job->spec_ = std::make_shared<const JobSpec>(spec);
  InitTasks(spec, job);
  refusal = Place(message, job, now, out);
  if (refusal) {
    jobs_.Remove(job_id);
    Reject(message.request_, id, digest, team, *refusal, out);
    return;
  }

  ++stats_.jobs_accepted_;
  ++teams_[team.value_].open_jobs_;
  job->charged_bytes_ = bytes;
  buffer_account_.Add(team, bytes);
  if (id) submissions_.Begin(*id, digest, job_id);
  AddWaiter(message.request_, job);
  if (!job->forward_.valid()) Enqueue(job, now);
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::Place(
    const Submit& message, Job* job, Time now, Outbox* out) {
  const std::optional<Refusal> refusal_here = CheckDeadline(*job, now);
  // A job run for a peer was charged to the rate limit there, and is not
  // forwarded again.
  if (message.remote_execution_) return refusal_here;
  if (refusal_here && !MayForwardRemotely(*job)) return refusal_here;
  const std::optional<Refusal> rate_refusal = ChargeRateLimit(*job, now);
  if (rate_refusal) return rate_refusal;
  if (refusal_here) ForwardRemotely(job, now, out);
  return std::nullopt;
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckSpec(
    const JobSpec& spec) const {
  if (aborted_) return Refusal{Errc::kDraining, kDefaultRetryAfter};
  if (spec.tasks_.empty()) return Refusal{Errc::kBadRequest, {}};
  if (spec.tasks_.size() > config::kMaxTasksPerJob) {
    return Refusal{Errc::kNeverRunnable, {}};
  }
  const uint32_t largest = workers_.max_worker_slots();
  if (largest == 0) return std::nullopt;
  for (const TaskSpec& task : spec.tasks_) {
    if (task.declared_slots_ > largest) {
      return Refusal{Errc::kNeverRunnable, {}};
    }
  }
  return std::nullopt;
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckCapacity(
    const JobSpec& spec, TeamHandle team, uint64_t bytes) {
  if (!team.valid()) return Refusal{Errc::kUnknownTeam, {}};
  const TeamSettings& settings = teams_[team.value_].settings_;
  const size_t tasks = spec.tasks_.size();
  const bool full =
      jobs_.full() ||
      queue_.size() + tasks > settings_->service_.max_queued_tasks_ ||
      queue_.size(team) + tasks > settings.max_queued_tasks_;
  if (full) return Refusal{Errc::kQueueFull, RetryAfter()};
  if (!EnsureBufferSpace(team, bytes, config::kAdmissionPercent)) {
    return Refusal{Errc::kQueueFull, RetryAfter()};
  }
  return std::nullopt;
}

void Dispatcher::Impl::InitTasks(const JobSpec& spec, Job* job) {
  Duration high;
  job->tasks_.resize(spec.tasks_.size());
  for (size_t i = 0; i < spec.tasks_.size(); ++i) {
    const TaskSpec& task_spec = spec.tasks_[i];
    Task& task = job->tasks_[i];
    task.kind_ = run_times_.FindOrAdd(task_spec.kind_);
    task.expected_run_time_ =
        run_times_.Estimate(task.kind_, task_spec.declared_run_time_);
    job->longest_run_time_ =
        std::max(job->longest_run_time_, task.expected_run_time_);
    job->total_run_time_ = job->total_run_time_ + task.expected_run_time_;
    high = std::max(
        high, run_times_.EstimateP95(task.kind_, task_spec.declared_run_time_));
  }
  // Limits the margin, so that a poor upper estimate still leaves time to wait.
  const Duration half{(job->deadline_ - job->arrival_).ms_ / 2};
  job->start_margin_ = std::max(job->longest_run_time_, std::min(high, half));
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckDeadline(
    const Job& job, Time now) const {
  const Duration time_left = job.deadline_ - now;
  if (job.longest_run_time_ > time_left) {
    return Refusal{Errc::kDeadlineTooShort, {}};
  }
  if (workers_.placeable() == 0) {
    if (workers_.size() == 0 || !workers_may_return_) {
      return Refusal{Errc::kNoWorkers, kDefaultRetryAfter};
    }
    return std::nullopt;
  }
  if (ExpectedFinish(job, now) <= time_left) return std::nullopt;
  const bool blocked = teams_[job.team_.value_].blocked_;
  return Refusal{blocked ? Errc::kQuotaExceeded : Errc::kDeadlineTooShort,
                 RetryAfter()};
}

Duration Dispatcher::Impl::ExpectedFinish(const Job& job, Time now) const {
  const uint32_t slots = ExpectedSlots(job.team_);
  const Duration ahead =
      queue_.BacklogAhead(job.team_, now, job.total_run_time_);
  const Duration wait{PerSlot(ahead, slots).ms_ * kWaitMarginPercent / 100};
  return wait +
         std::max(job.start_margin_, PerSlot(job.total_run_time_, slots));
}

uint32_t Dispatcher::Impl::ExpectedSlots() const {
  const uint32_t reachable = attempts_.size() + workers_.free_slots();
  const uint32_t slots = std::max(workers_.own_share_slots(), reachable);
  return std::min(slots, workers_.usable_slots());
}

uint32_t Dispatcher::Impl::ExpectedSlots(TeamHandle handle) const {
  const Team& team = teams_[handle.value_];
  const uint32_t slots = ExpectedSlots();
  return team.blocked_ ? std::min(slots, team.running_tasks_) : slots;
}

Duration Dispatcher::Impl::RetryAfter() const {
  return std::clamp(PerSlot(queue_.backlog(), ExpectedSlots()),
                    config::kMinRetryAfter, config::kMaxRetryAfter);
}

void Dispatcher::Impl::Reject(RequestId request,
                              const std::optional<SubmissionId>& id,
                              const std::optional<JobDigest>& digest,
                              TeamHandle team, const Refusal& refusal,
                              Outbox* out) {
  auto answer = std::make_shared<JobAnswer>();
  answer->error_ = refusal.error_;
  answer->retry_after_ = refusal.retry_after_;
  ++stats_.jobs_not_run_;
  if (id) {
    submissions_.Begin(*id, digest, {});
    submissions_.Finish(*id, team, answer);
  }
  out->emplace_back(SendAnswer{request, std::move(answer)});
}

Duration Dispatcher::Impl::DeadlineOf(const JobSpec& spec,
                                      TeamHandle team) const {
  const TeamSettings& settings = teams_[team.value_].settings_;
  if (spec.deadline_.ms_ <= 0) return settings.default_deadline_;
  return std::min(spec.deadline_, settings.max_deadline_);
}

TeamHandle Dispatcher::Impl::FindTeam(const std::string& name) const {
  if (name.empty()) return root_team_;
  const auto found = team_by_name_.find(name);
  return found == team_by_name_.end() ? TeamHandle{} : found->second;
}

bool Dispatcher::Impl::EnsureBufferSpace(TeamHandle team, uint64_t bytes,
                                         uint32_t percent) {
  const auto share_of = [percent](uint64_t bound) {
    return bound / 100 * percent;
  };
  const uint64_t own_bound =
      share_of(teams_[team.value_].settings_.max_buffered_bytes_);
  const uint64_t bound = share_of(settings_->service_.max_buffered_bytes_);
  while (buffer_account_.team_total(team) + bytes > own_bound) {
    if (!submissions_.DropOldestAnswer(team)) return false;
  }
  while (buffer_account_.total() + bytes > bound) {
    if (!submissions_.DropOldestAnswer({})) return false;
  }
  return true;
}

void Dispatcher::Impl::Enqueue(Job* job, Time now) {
  std::vector<Duration> expected;
  expected.reserve(job->tasks_.size());
  for (const Task& task : job->tasks_) {
    expected.push_back(task.expected_run_time_);
  }
  queue_.Add(job->id_, job->team_, now, job->deadline_, expected);
  ReportWaitingTasks(job->team_);
  job->wake_time_ = job->latest_start();
  job_timers_.insert(*job);
}

}  // namespace gentiandeal
