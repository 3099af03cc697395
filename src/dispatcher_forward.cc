#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {
namespace {

/// Most peers in other data centres tried for one job; the next one is tried
/// only if no byte of the forward was sent.
constexpr int kMaxForwardTries = 2;

ForwardSubmission MakeOwnerForward(const Forward& forward,
                                   const PeerView& owner,
                                   const SubmissionId& submission,
                                   Duration timeout) {
  ForwardSubmission command;
  command.forward_ = forward.id_;
  command.peer_ = owner.id_;
  command.submission_ = submission;
  command.timeout_ = timeout;
  return command;
}

}  // namespace

void Dispatcher::Impl::UpdatePeers(const PeersChanged& message) {
  for (const PeerView& old : peers_) {
    const auto same = [&](const PeerView& peer) {
      return peer.id_.incarnation_ == old.id_.incarnation_;
    };
    if (std::none_of(message.peers_.begin(), message.peers_.end(), same)) {
      workers_.ForgetPeer(old.id_.incarnation_);
      team_limiter_.ForgetPeer(old.id_.incarnation_);
    }
  }
  peers_ = message.peers_;
  const auto live_instances = static_cast<uint32_t>(peers_.size() + 1);
  team_limiter_.SetInstances(message.known_instances_, live_instances);
  uint32_t rank = 0;
  uint32_t local_instances = 1;
  for (const PeerView& peer : peers_) {
    if (peer.id_.data_centre_ != self_.data_centre_) continue;
    ++local_instances;
    if (peer.id_.peer_address_ < self_.peer_address_) ++rank;
  }
  workers_.SetInstanceRank(rank, local_instances);
}

void Dispatcher::Impl::ForwardToOwner(const Submit& message, Time now,
                                      Outbox* out) {
  const Incarnation owner = message.submission_->client_.owner_;
  const PeerView* peer = FindPeer(owner);
  const TeamHandle known_team = FindTeam(message.job_.team_);
  const TeamHandle team = known_team.valid() ? known_team : root_team_;
  const uint64_t bytes = BufferedBytes(message.job_);
  // An earlier attempt with the same submission id may have run at the owner,
  // so no refusal here may say "not run".
  const bool can_forward =
      peer != nullptr && !message.from_peer_ && !aborted_ &&
      !forwards_.full() &&
      EnsureBufferSpace(team, bytes, config::kAdmissionPercent);
  if (!can_forward) {
    AnswerUnknownOutcome(message.request_, Errc::kOwnerUnreachable, out);
    return;
  }
  const Duration deadline = DeadlineOf(message.job_, team);
  Forward* forward = AddForward(now + deadline + config::kForwardGrace);
  forward->peer_ = owner;
  forward->request_ = message.request_;
  forward->team_ = team;
  forward->charged_bytes_ = bytes;
  buffer_account_.Add(team, bytes);
  Request& request = requests_[message.request_.value_];
  request.id_ = message.request_;
  request.forward_ = forward->id_;
  ++stats_.forwards_to_owner_;

  ForwardSubmission command = MakeOwnerForward(
      *forward, *peer, *message.submission_, deadline + config::kForwardGrace);
  command.job_ = std::make_shared<const JobSpec>(message.job_);
  out->push_back(std::move(command));
}

void Dispatcher::Impl::ForwardCancelToOwner(const CancelSubmission& message,
                                            Time now, Outbox* out) {
  const PeerView* peer = FindPeer(message.submission_.client_.owner_);
  const bool can_forward =
      peer != nullptr && !message.from_peer_ && !aborted_ && !forwards_.full();
  if (!can_forward) {
    AnswerUnknownOutcome(message.request_, Errc::kOwnerUnreachable, out);
    return;
  }
  const Duration timeout =
      teams_[root_team_.value_].settings_.default_deadline_;
  Forward* forward = AddForward(now + timeout);
  forward->peer_ = peer->id_.incarnation_;
  forward->request_ = message.request_;
  forward->team_ = root_team_;
  Request& request = requests_[message.request_.value_];
  request.id_ = message.request_;
  request.forward_ = forward->id_;
  ++stats_.forwards_to_owner_;

  ForwardSubmission command =
      MakeOwnerForward(*forward, *peer, message.submission_, timeout);
  command.cancel_ = true;
  out->push_back(std::move(command));
}

bool Dispatcher::Impl::MayForwardRemotely(const Job& job) {
  if (!settings_->service_.forward_to_data_centres_) return false;
  if (forward_credit_ < 1 || forwards_.full()) return false;
  if (job.longest_run_time_ > job.deadline_ - job.arrival_) return false;
  const auto tasks = static_cast<uint32_t>(job.tasks_.size());
  return FindRemotePeer(tasks) != nullptr;
}

void Dispatcher::Impl::ForwardRemotely(Job* job, Time now, Outbox* out) {
  const auto tasks = static_cast<uint32_t>(job->tasks_.size());
  PeerView* peer = FindRemotePeer(tasks);
  forward_credit_ -= 1;
  peer->free_slots_ -= tasks;
  ++job->forwards_tried_;
  Forward* forward = AddForward(job->deadline_ + config::kForwardGrace);
  forward->peer_ = peer->id_.incarnation_;
  forward->job_ = job->id_;
  forward->team_ = job->team_;
  job->forward_ = forward->id_;
  ++stats_.forwards_to_data_centre_;

  ForwardSubmission command;
  command.forward_ = forward->id_;
  command.peer_ = peer->id_;
  command.remote_execution_ = true;
  command.job_ = job->spec_;
  command.timeout_ = job->deadline_ - now;
  out->push_back(std::move(command));
}

void Dispatcher::Impl::HandleForwardEnd(const ForwardEnded& message, Time now,
                                        Outbox* out) {
  Forward* found = forwards_.Find(message.forward_);
  if (found == nullptr) return;
  const RequestId request = found->request_;
  const Incarnation peer = found->peer_;
  Job* job = jobs_.Find(found->job_);
  RemoveForward(found);
  if (!message.request_sent_) {
    for (PeerView& view : peers_) {
      if (view.id_.incarnation_ == peer) view.free_slots_ = 0;
    }
  }
  if (job == nullptr) {
    if (message.request_sent_) {
      auto answer = std::make_shared<const JobAnswer>(message.answer_);
      AnswerRequest(request, std::move(answer), out);
    } else {
      AnswerUnknownOutcome(request, Errc::kOwnerUnreachable, out);
    }
    return;
  }
  job->forward_ = {};
  if (!message.request_sent_) {
    HandleUnsentForward(job, now, out);
    return;
  }
  auto answer = std::make_shared<JobAnswer>(message.answer_);
  const bool is_whole = answer->tasks_.size() == job->tasks_.size();
  if (answer->outcome_ == Outcome::kComplete && !is_whole) {
    *answer = JobAnswer{};
    answer->outcome_ = Outcome::kMayHaveRun;
    answer->error_ = Errc::kPeerLinkLost;
    answer->started_known_ = false;
  }
  EndJob(job, std::move(answer), out);
}

void Dispatcher::Impl::HandleUnsentForward(Job* job, Time now, Outbox* out) {
  const bool may_retry = job->forwards_tried_ < kMaxForwardTries;
  if (may_retry && MayForwardRemotely(*job)) {
    ForwardRemotely(job, now, out);
    return;
  }
  const std::optional<Refusal> refusal = CheckDeadline(*job, now);
  if (refusal) {
    FailJob(job, refusal->error_, now, out);
    return;
  }
  Enqueue(job, now);
}

void Dispatcher::Impl::ExpireForwards(Time now, Outbox* out) {
  while (!forward_timers_.empty() &&
         forward_timers_.begin()->wake_time_ <= now) {
    Forward* forward = &*forward_timers_.begin();
    const RequestId request = forward->request_;
    if (Job* job = jobs_.Find(forward->job_)) {
      FailJob(job, Errc::kDeadlinePassed, now, out);
      continue;
    }
    out->emplace_back(CancelForward{forward->id_});
    RemoveForward(forward);
    AnswerUnknownOutcome(request, Errc::kDeadlinePassed, out);
  }
}

Forward* Dispatcher::Impl::AddForward(Time wake) {
  const ForwardId id = forwards_.Add();
  Forward* forward = forwards_.Find(id);
  forward->id_ = id;
  forward->wake_time_ = wake;
  forward_timers_.insert(*forward);
  return forward;
}

void Dispatcher::Impl::RemoveForward(Forward* forward) {
  if (forward->charged_bytes_ > 0) {
    buffer_account_.Release(forward->team_, forward->charged_bytes_);
  }
  forward_timers_.erase(forward_timers_.iterator_to(*forward));
  forwards_.Remove(forward->id_);
}

const PeerView* Dispatcher::Impl::FindPeer(Incarnation incarnation) const {
  for (const PeerView& peer : peers_) {
    if (peer.id_.incarnation_ == incarnation) return &peer;
  }
  return nullptr;
}

PeerView* Dispatcher::Impl::FindRemotePeer(uint32_t tasks) {
  PeerView* best = nullptr;
  for (PeerView& peer : peers_) {
    const bool abroad = peer.id_.data_centre_ != self_.data_centre_;
    if (!abroad || peer.draining_ || peer.free_slots_ < tasks) continue;
    if (best == nullptr || peer.free_slots_ > best->free_slots_) best = &peer;
  }
  return best;
}

void Dispatcher::Impl::AnswerUnknownOutcome(RequestId request, Errc error,
                                            Outbox* out) {
  auto answer = std::make_shared<JobAnswer>();
  answer->outcome_ = Outcome::kMayHaveRun;
  answer->error_ = error;
  answer->started_known_ = false;
  ++stats_.jobs_may_have_run_;
  requests_.erase(request.value_);
  out->emplace_back(SendAnswer{request, std::move(answer)});
}

}  // namespace gentiandeal
