#include "dispatcher.h"

#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {

Dispatcher::Impl::Impl(const InstanceId& self, const ClientSecret& secret,
                       uint64_t seed)
    : self_(self),
      client_ids_(self.incarnation_, secret),
      workers_(seed),
      health_(&workers_),
      submissions_(&buffer_account_),
      jobs_(config::kMaxJobs),
      attempts_(config::kMaxAttempts),
      forwards_(config::kMaxForwards) {
  teams_.reserve(config::kMaxTeams);
  auto initial = std::make_shared<Settings>();
  initial->teams_.emplace_back().name_ = std::string(kRootBranch);
  ApplySettings(std::move(initial));
}

Dispatcher::Impl::~Impl() {
  job_timers_.clear();
  forward_timers_.clear();
  for (const JobId id : jobs_.Ids()) jobs_.Find(id)->waiters_.clear();
}

void Dispatcher::Impl::ObserveTime(Time now, Outbox* out) {
  const bool paused = last_time_ && now - *last_time_ > config::kPauseThreshold;
  last_time_ = now;
  if (paused) FailJobsAfterPause(now, out);
}

void Dispatcher::Impl::ApplySettings(std::shared_ptr<const Settings> settings) {
  settings_ = std::move(settings);
  for (Team& team : teams_) team.settings_handle_ = {};
  team_by_name_.clear();
  for (size_t i = 0; i < settings_->teams_.size(); ++i) {
    const TeamHandle handle = AddTeam(settings_->teams_[i]);
    if (!handle.valid()) break;
    teams_[handle.value_].settings_handle_ = {static_cast<uint16_t>(i)};
    team_by_name_[settings_->teams_[i].name_] = handle;
    if (i == 0) root_team_ = handle;
  }
  health_.SetSettings(settings_->service_);
  team_limiter_.SetSettings(*settings_);
}

void Dispatcher::Impl::UpdateWorkers(const WorkersListed& message, Time now) {
  workers_.SetWorkers(message.workers_);
  health_.OnListed(message.workers_, now);
  workers_may_return_ = AnyWorkerMayReturn();
}

void Dispatcher::Impl::UpdatePeerLoad(const PeerLoad& message) {
  for (const PeerLoad::Entry& entry : message.entries_) {
    workers_.SetPeerLoad(message.peer_, entry.worker_, entry.in_use_);
  }
}

void Dispatcher::Impl::Tick(Time now, Outbox* out) {
  workers_.Tick(now);
  health_.Tick(now);
  workers_may_return_ = AnyWorkerMayReturn();
  submissions_.Tick(now);
  UnblockTeams(now);
  while (!job_timers_.empty() && job_timers_.begin()->wake_time_ <= now) {
    HandleJobTimer(&*job_timers_.begin(), now, out);
  }
  ExpireForwards(now, out);
}

void Dispatcher::Impl::HandleJobTimer(Job* job, Time now, Outbox* out) {
  if (now >= job->deadline_) {
    FailJob(job, Errc::kDeadlinePassed, now, out);
    return;
  }
  Errc error = Errc::kDeadlineTooShort;
  if (teams_[job->team_.value_].blocked_) error = Errc::kQuotaExceeded;
  if (workers_.placeable() == 0) error = Errc::kWorkersRefused;
  if (workers_.size() == 0) error = Errc::kNoWorkers;
  FailJob(job, error, now, out);
}

void Dispatcher::Impl::FailJobsAfterPause(Time now, Outbox* out) {
  ++stats_.pauses_;
  for (const JobId id : jobs_.Ids()) {
    Job* job = jobs_.Find(id);
    if (now >= job->deadline_) {
      FailJob(job, Errc::kDeadlinePassed, now, out);
    } else if (job->started_tasks_ == 0 && !job->forward_.valid()) {
      FailJob(job, Errc::kResumedAfterPause, now, out);
    }
  }
}

bool Dispatcher::Impl::AnyWorkerMayReturn() const {
  if (workers_.placeable() > 0) return true;
  bool any = false;
  workers_.ForEach([&](WorkerHandle worker) {
    any = any || workers_.state(worker) != WorkerState::kLeaving;
  });
  return any;
}

void Dispatcher::Impl::AbortAll(Time now, Outbox* out) {
  aborted_ = true;
  stats_.cut_at_exit_ += requests_.size();
  for (const JobId id : jobs_.Ids()) {
    FailJob(jobs_.Find(id), Errc::kDraining, now, out);
  }
  for (const ForwardId id : forwards_.Ids()) {
    Forward* forward = forwards_.Find(id);
    const RequestId request = forward->request_;
    out->emplace_back(CancelForward{id});
    RemoveForward(forward);
    AnswerUnknownOutcome(request, Errc::kDraining, out);
  }
}

DispatcherLoad Dispatcher::Impl::load() const {
  DispatcherLoad load;
  load.queued_tasks_ = queue_.size();
  load.running_tasks_ = attempts_.size();
  load.free_slots_ = workers_.free_slots();
  load.buffered_bytes_ = buffer_account_.total();
  load.idle_ = jobs_.size() == 0 && forwards_.size() == 0;
  return load;
}

Stats Dispatcher::Impl::stats() const {
  Stats stats = stats_;
  stats.workers_set_aside_ = health_.ejections();
  stats.answers_expired_ = submissions_.answers_dropped();
  stats.queued_tasks_now_ = queue_.size();
  stats.running_tasks_now_ = attempts_.size();
  stats.buffered_bytes_now_ = buffer_account_.total();
  return stats;
}

Dispatcher::Dispatcher(const InstanceId& self, std::array<uint8_t, 32> secret,
                       uint64_t seed)
    : impl_(std::make_unique<Impl>(self, secret, seed)) {}

Dispatcher::~Dispatcher() = default;

ClientId Dispatcher::IssueClient(Time now) {
  return impl_->client_ids().Issue(now);
}

void Dispatcher::On(const Submit& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->HandleSubmission(message, now, out); });
}

void Dispatcher::On(const CallerDisconnected& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] {
    impl_->HandleCallerDisconnect(message.request_, now, out);
  });
}

void Dispatcher::On(const CancelSubmission& message, Time now, Outbox* out) {
  impl_->RunStep(now, out,
                 [&] { impl_->HandleCancellation(message, now, out); });
}

void Dispatcher::On(const AttemptEnded& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->HandleAttemptEnd(message, now, out); });
}

void Dispatcher::On(const ForwardEnded& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->HandleForwardEnd(message, now, out); });
}

void Dispatcher::On(const WorkersListed& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->UpdateWorkers(message, now); });
}

void Dispatcher::On(const PeerLoad& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->UpdatePeerLoad(message); });
}

void Dispatcher::On(const PeersChanged& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->UpdatePeers(message); });
}

void Dispatcher::On(const SettingsChanged& message, Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->ApplySettings(message.settings_); });
}

void Dispatcher::On(const DrainRequested&, Time now, Outbox* out) {
  impl_->ObserveTime(now, out);
  impl_->Drain();
}

void Dispatcher::Tick(Time now, Outbox* out) {
  impl_->RunStep(now, out, [&] { impl_->Tick(now, out); });
}

void Dispatcher::AbortAll(Time now, Outbox* out) {
  impl_->ObserveTime(now, out);
  impl_->AbortAll(now, out);
}

const WorkerTable& Dispatcher::workers() const { return impl_->workers(); }

TeamLimiter& Dispatcher::team_limiter() { return impl_->team_limiter(); }

Stats Dispatcher::stats() const { return impl_->stats(); }

DispatcherLoad Dispatcher::load() const { return impl_->load(); }

}  // namespace gentiandeal
