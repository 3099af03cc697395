#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {
namespace {

/// Time after which a client may look again where no better guess exists.
constexpr Duration kDefaultRetryAfter{1000};

std::optional<JobDigest> DigestOf(const Submit& message) {
  if (!message.submission_) return std::nullopt;
  return Digest(message.job_);
}

/// Expected waits are taken this much longer, since what was admitted has to
/// end in time although run times are estimates.
constexpr int64_t kWaitMarginPercent = 125;

Duration Over(Duration work, uint32_t slots) {
  return {work.ms_ / std::max<int64_t>(slots, 1)};
}

}  // namespace

void Dispatcher::Impl::TakeSubmission(const Submit& message, Time now,
                                      Outbox* out) {
  forward_credit_ =
      std::min(forward_credit_ + settings_->service_.max_forward_percent_ / 100,
               kMaxForwardCredit);
  // The origin keeps identity and result of what it runs abroad.
  if (!message.submission_ || message.foreign_execution_) {
    Admit(message, std::nullopt, std::nullopt, now, out);
    return;
  }
  TakeIdentified(message, now, out);
}

void Dispatcher::Impl::TakeIdentified(const Submit& message, Time now,
                                      Outbox* out) {
  const SubmissionId& id = *message.submission_;
  if (id.client_.owner_ != self_.incarnation_) {
    PassToOwner(message, now, out);
    return;
  }
  if (!client_ids_.Authentic(id.client_)) {
    Reject(message.request_, {}, {}, root_, {Errc::kBadClientId, {}}, out);
    return;
  }
  const std::optional<JobDigest> digest = DigestOf(message);
  const SubmissionLookup known = submissions_.Open(id, digest, now);
  switch (known.state_) {
    case SubmissionState::kNew:
      Admit(message, id, digest, now, out);
      return;
    case SubmissionState::kRunning:
      ++stats_.duplicates_joined_;
      Wait(message.request_, jobs_.Find(known.job_));
      return;
    case SubmissionState::kFinished:
      ++stats_.duplicates_joined_;
      out->emplace_back(SendAnswer{message.request_, known.answer_});
      return;
    case SubmissionState::kForgotten:
      AnswerUnknown(message.request_, Errc::kSubmissionForgotten, out);
      return;
    case SubmissionState::kMismatch:
      Reject(message.request_, {}, {}, root_, {Errc::kSubmissionMismatch, {}},
             out);
      return;
    case SubmissionState::kWindowFull:
      Reject(message.request_, {}, {}, root_,
             {Errc::kWindowFull, config::kMinRetryAfter}, out);
      return;
    case SubmissionState::kTooManyClients:
      Reject(message.request_, {}, {}, root_,
             {Errc::kQueueFull, kDefaultRetryAfter}, out);
      return;
  }
}

void Dispatcher::Impl::TakeCancellation(const CancelSubmission& message,
                                        Time now, Outbox* out) {
  const SubmissionId& id = message.submission_;
  if (id.client_.owner_ != self_.incarnation_) {
    PassCancelToOwner(message, now, out);
    return;
  }
  if (!client_ids_.Authentic(id.client_)) {
    Reject(message.request_, {}, {}, root_, {Errc::kBadClientId, {}}, out);
    return;
  }
  const SubmissionLookup known = submissions_.Open(id, std::nullopt, now);
  switch (known.state_) {
    case SubmissionState::kNew:
      // The submission may still be under way; it must find this answer.
      Reject(message.request_, id, std::nullopt, root_, {Errc::kCancelled, {}},
             out);
      return;
    case SubmissionState::kRunning: {
      Job* job = jobs_.Find(known.job_);
      ++stats_.jobs_cancelled_;
      Wait(message.request_, job);
      FailJob(job, Errc::kCancelled, now, out);
      return;
    }
    case SubmissionState::kFinished:
      out->emplace_back(SendAnswer{message.request_, known.answer_});
      return;
    case SubmissionState::kWindowFull:
      Reject(message.request_, {}, {}, root_, {Errc::kWindowFull, {}}, out);
      return;
    case SubmissionState::kTooManyClients:
      Reject(message.request_, {}, {}, root_,
             {Errc::kQueueFull, kDefaultRetryAfter}, out);
      return;
    case SubmissionState::kForgotten:
    case SubmissionState::kMismatch:
      AnswerUnknown(message.request_, Errc::kSubmissionForgotten, out);
      return;
  }
}

void Dispatcher::Impl::Admit(const Submit& message,
                             const std::optional<SubmissionId>& id,
                             const std::optional<JobDigest>& digest, Time now,
                             Outbox* out) {
  const JobSpec& spec = message.job_;
  const TeamHandle team = FindTeam(spec.team_);
  const TeamHandle charged = team.valid() ? team : root_;
  const uint64_t bytes = BufferedBytes(spec);
  std::optional<Refusal> refusal = CheckShape(spec);
  if (!refusal) refusal = CheckBounds(spec, team, bytes);
  if (refusal) {
    Reject(message.request_, id, digest, charged, *refusal, out);
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
  Describe(spec, job);
  refusal = Place(message, job, now, out);
  if (refusal) {
    jobs_.Remove(job_id);
    Reject(message.request_, id, digest, team, *refusal, out);
    return;
  }

  ++stats_.jobs_accepted_;
  ++teams_[team.value_].jobs_;
  job->bytes_ = bytes;
  account_.Add(team, bytes);
  if (id) submissions_.Begin(*id, digest, job_id);
  Wait(message.request_, job);
  if (!job->forward_.valid()) Enqueue(job, now);
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::Place(
    const Submit& message, Job* job, Time now, Outbox* out) {
  const std::optional<Refusal> unfit = CheckDeadline(*job, now);
  // What runs here for a peer was counted there, and goes no further.
  if (message.foreign_execution_) return unfit;
  if (unfit && !MayForwardAbroad(*job)) return unfit;
  const std::optional<Refusal> limited = TakeStarts(*job, now);
  if (limited) return limited;
  if (unfit) ForwardAbroad(job, now, out);
  return std::nullopt;
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckShape(
    const JobSpec& spec) const {
  if (cut_) return Refusal{Errc::kDraining, kDefaultRetryAfter};
  if (spec.tasks_.empty()) return Refusal{Errc::kBadRequest, {}};
  if (spec.tasks_.size() > config::kMaxTasksPerJob) {
    return Refusal{Errc::kNeverRunnable, {}};
  }
  const uint32_t largest = workers_.largest_worker();
  if (largest == 0) return std::nullopt;
  for (const TaskSpec& task : spec.tasks_) {
    if (task.declared_size_ > largest) return Refusal{Errc::kNeverRunnable, {}};
  }
  return std::nullopt;
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckBounds(
    const JobSpec& spec, TeamHandle team, uint64_t bytes) {
  if (!team.valid()) return Refusal{Errc::kUnknownTeam, {}};
  const TeamSettings& settings = teams_[team.value_].settings_;
  const size_t tasks = spec.tasks_.size();
  const bool full =
      jobs_.full() ||
      queue_.size() + tasks > settings_->service_.max_queued_tasks_ ||
      queue_.size(team) + tasks > settings.max_queued_tasks_;
  if (full) return Refusal{Errc::kQueueFull, RetryAfter()};
  if (!MakeRoom(team, bytes, config::kAdmissionPercent)) {
    return Refusal{Errc::kQueueFull, RetryAfter()};
  }
  return std::nullopt;
}

void Dispatcher::Impl::Describe(const JobSpec& spec, Job* job) {
  Duration high;
  job->tasks_.resize(spec.tasks_.size());
  for (size_t i = 0; i < spec.tasks_.size(); ++i) {
    const TaskSpec& described = spec.tasks_[i];
    Task& task = job->tasks_[i];
    task.kind_ = run_times_.Find(described.kind_);
    task.expected_ = run_times_.Expect(task.kind_, described.declared_run_);
    job->longest_ = std::max(job->longest_, task.expected_);
    job->total_ = job->total_ + task.expected_;
    high = std::max(high,
                    run_times_.ExpectHigh(task.kind_, described.declared_run_));
  }
  // A poor upper estimate may not eat up the time to wait.
  const Duration half{(job->deadline_ - job->arrival_).ms_ / 2};
  job->reserve_ = std::max(job->longest_, std::min(high, half));
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::CheckDeadline(
    const Job& job, Time now) const {
  const Duration left = job.deadline_ - now;
  if (job.longest_ > left) return Refusal{Errc::kDeadlineTooShort, {}};
  if (workers_.placeable() == 0) {
    if (workers_.size() == 0 || !workers_may_return_) {
      return Refusal{Errc::kNoWorkers, kDefaultRetryAfter};
    }
    return std::nullopt;
  }
  if (ExpectedFinish(job, now) <= left) return std::nullopt;
  const bool blocked = teams_[job.team_.value_].blocked_;
  return Refusal{blocked ? Errc::kQuotaExceeded : Errc::kDeadlineTooShort,
                 RetryAfter()};
}

Duration Dispatcher::Impl::ExpectedFinish(const Job& job, Time now) const {
  const uint32_t slots = SlotsToCountOn(job.team_);
  const Duration ahead = queue_.BacklogAhead(job.team_, now, job.total_);
  const Duration wait{Over(ahead, slots).ms_ * kWaitMarginPercent / 100};
  return wait + std::max(job.reserve_, Over(job.total_, slots));
}

uint32_t Dispatcher::Impl::SlotsToCountOn() const {
  const uint32_t reachable = attempts_.size() + workers_.free_slots();
  const uint32_t slots = std::max(workers_.own_share_slots(), reachable);
  return std::min(slots, workers_.usable_slots());
}

uint32_t Dispatcher::Impl::SlotsToCountOn(TeamHandle handle) const {
  const Team& team = teams_[handle.value_];
  const uint32_t slots = SlotsToCountOn();
  return team.blocked_ ? std::min(slots, team.running_) : slots;
}

Duration Dispatcher::Impl::RetryAfter() const {
  return std::clamp(Over(queue_.backlog(), SlotsToCountOn()),
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
  if (name.empty()) return root_;
  const auto found = team_by_name_.find(name);
  return found == team_by_name_.end() ? TeamHandle{} : found->second;
}

bool Dispatcher::Impl::MakeRoom(TeamHandle team, uint64_t bytes,
                                uint32_t percent) {
  const auto part = [percent](uint64_t bound) { return bound / 100 * percent; };
  const uint64_t own_bound =
      part(teams_[team.value_].settings_.max_buffered_bytes_);
  const uint64_t bound = part(settings_->service_.max_buffered_bytes_);
  while (account_.of(team) + bytes > own_bound) {
    if (!submissions_.DropOldestAnswer(team)) return false;
  }
  while (account_.total() + bytes > bound) {
    if (!submissions_.DropOldestAnswer({})) return false;
  }
  return true;
}

void Dispatcher::Impl::Enqueue(Job* job, Time now) {
  std::vector<Duration> expected;
  expected.reserve(job->tasks_.size());
  for (const Task& task : job->tasks_) expected.push_back(task.expected_);
  queue_.Add(job->id_, job->team_, now, job->deadline_, expected);
  TellWaiting(job->team_);
  job->wake_ = job->latest_start();
  job_timers_.insert(*job);
}

}  // namespace gentiandeal
