#include <algorithm>

#include "mesh_link.h"
#include "unit/hosted_world.h"

/// Links between instances, and what an instance commands.
namespace gentiandeal {
namespace {

constexpr uint64_t kBreakEvery = 10;  // breakages that need not be constant
constexpr int64_t kReconnectMs = 200;
constexpr int64_t kLinkIntervalMs = 200;
constexpr size_t kFewCommands = 10000;  // always allowed in a pass
constexpr size_t kMaxCommandsPerTask = 10;

}  // namespace

size_t HostedWorld::IndexOf(const InstanceName& name) const {
  size_t index = 0;
  while (index < instances_.size() && instances_[index].name_ != name) ++index;
  return index;
}

std::vector<uint64_t> HostedWorld::LinksOf(size_t index) const {
  std::vector<uint64_t> ids;
  for (const auto& [id, link] : links_) {
    if (link.from_ == index || link.to_ == index) ids.push_back(id);
  }
  return ids;
}

HostedWorld::LinkEnd* HostedWorld::OpenEnd(uint64_t id, Side side) {
  const auto found = links_.find(id);
  if (found == links_.end()) return nullptr;
  Link& link = found->second;
  LinkEnd& end = side == Side::kDesk ? link.desk_ : link.owner_;
  return end.open_ ? &end : nullptr;
}

void HostedWorld::ForgetClosed(uint64_t id) {
  const auto found = links_.find(id);
  if (found != links_.end() && !found->second.desk_.open_ &&
      !found->second.owner_.open_) {
    links_.erase(found);
  }
}

void HostedWorld::Enqueue(uint64_t id, Side to, int64_t ms,
                          const std::function<void()>& arrive) {
  Link& link = links_[id];
  LinkEnd& end = to == Side::kDesk ? link.desk_ : link.owner_;
  Time at = std::max(end.next_, now_ + Duration{ms});
  if (faults_) {
    at = std::max({at, end.held_until_, cut_until_[link.from_][link.to_]});
  }
  end.next_ = at;
  Later((at - now_).ms_, arrive);
}

void HostedWorld::Send(uint64_t id, Side to,
                       const std::function<void()>& read) {
  SendLate(id, to, Between(1, 3), read);
}

void HostedWorld::SendLate(uint64_t id, Side to, int64_t ms,
                           const std::function<void()>& read) {
  const Link& link = links_[id];
  const bool held =
      (to == Side::kDesk ? link.desk_ : link.owner_).held_until_ > now_;
  Enqueue(id, to, ms, [this, id, to, held, read] {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const Link& one = found->second;
    const bool to_desk = to == Side::kDesk;
    DeliverFrame(to_desk ? one.from_ : one.to_,
                 to_desk ? one.desk_life_ : one.owner_life_,
                 [this, id, to, held, read] {
                   LinkEnd* end = OpenEnd(id, to);
                   if (end == nullptr) return;
                   if (held) ++seen_.read_late_;
                   end->heard_ = now_;
                   read();
                 });
  });
}

void HostedWorld::Connect(size_t from, size_t to, Incarnation wanted) {
  Instance& desk = instances_[from];
  if (from == to || desk.links_[to] != 0 || desk.connect_at_[to] > now_) return;
  desk.connect_at_[to] = now_ + Duration{kReconnectMs};
  const uint64_t id = ++last_link_;
  desk.links_[to] = id;
  Link& link = links_[id];
  link.from_ = from;
  link.to_ = to;
  link.desk_life_ = desk.life_;
  link.wanted_ = wanted;
  link.desk_.open_ = true;
  link.desk_.liveness_ = PeerLiveness(now_);
  link.desk_.heard_ = now_;
  Enqueue(id, Side::kOwner, Between(2, 6), [this, id] {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    Link& one = found->second;
    one.owner_life_ = instances_[one.to_].life_;
    if (!instances_[one.to_].up_) {
      Send(id, Side::kDesk, [this, id] { Close(id, Side::kDesk); });
      return;
    }
    Deliver(one.to_, one.owner_life_, [this, id] { Accept(id); });
  });
}

void HostedWorld::Accept(uint64_t id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Link& link = found->second;
  Instance& owner = instances_[link.to_];
  link.owner_.open_ = true;
  link.owner_.liveness_ = PeerLiveness(now_);
  link.owner_.heard_ = now_;
  link.session_ = {++last_session_};
  owner.sessions_.insert(link.session_.value_);
  Note("session ", link.session_.value_, " from ",
       instances_[link.from_].name_.value_, " at ", owner.name_.value_);
  const Incarnation incarnation = owner.incarnation_;
  Send(id, Side::kDesk, [this, id, incarnation] {
    Link& one = links_[id];
    if (one.wanted_ != incarnation) return Close(id, Side::kDesk);
    one.ready_ = true;
  });
  SendLoad(id);
  const auto suspects = owner.desk_->SuspectTasks();
  if (!suspects.empty()) SendLosses(id, Side::kDesk, suspects);
}

void HostedWorld::SendLoad(uint64_t id) {
  const size_t index = links_[id].to_;
  const OwnerLoad load = instances_[index].owner_->load(now_);
  SendFrame(id, Side::kDesk, Between(1, 3), [this, id, index, load] {
    Link& link = links_[id];
    Instance& desk = instances_[link.from_];
    const Instance& owner = instances_[index];
    if (!link.reported_) {
      link.reported_ = true;
      desk.claims_->SetReachable(owner.name_, true);
      const auto suspects = desk.desk_->SuspectTasks();
      if (!suspects.empty()) SendLosses(id, Side::kOwner, suspects);
    }
    desk.desk_->OwnerLoadReported(owner.name_, owner.data_centre_, load);
  });
}

void HostedWorld::ShareLoad(size_t index) {
  Instance& instance = instances_[index];
  if (instance.owner_->load_version() == instance.shared_version_) return;
  instance.shared_version_ = instance.owner_->load_version();
  for (const uint64_t id : LinksOf(index)) {
    if (links_[id].to_ == index && links_[id].owner_.open_) SendLoad(id);
  }
}

void HostedWorld::TickLinks(size_t index) {
  Instance& instance = instances_[index];
  if (instance.claims_->plan_version() != instance.linked_plan_ ||
      now_ - instance.links_refreshed_at_ >= Duration{kLinkIntervalMs}) {
    instance.linked_plan_ = instance.claims_->plan_version();
    instance.links_refreshed_at_ = now_;
    instance.targets_.clear();
    const auto awaited = [&](const InstanceName& owner) {
      return instance.desk_->AwaitsTasksAt(owner);
    };
    for (const InstanceRecord& peer : instance.claims_->LinkTargets(awaited)) {
      instance.targets_[peer.name_.value_] = peer.incarnation_;
    }
  }
  const auto& peers = instance.targets_;
  for (const uint64_t id : LinksOf(index)) {
    const bool desk = links_[id].from_ == index;
    const Side self = desk ? Side::kDesk : Side::kOwner;
    LinkEnd* end = OpenEnd(id, self);
    if (end == nullptr) continue;
    if (desk) {
      const std::string& name = instances_[links_[id].to_].name_.value_;
      const auto peer = peers.find(name);
      if (peer == peers.end() || peer->second != links_[id].wanted_) {
        instance.connect_at_[links_[id].to_] = now_;
        Close(id, self);
        continue;
      }
    }
    end->liveness_.EchoReceived();
    const Time alive_at = breakage_ == HostedBreakage::kAliveOnArrival
                              ? end->heard_
                              : end->liveness_.alive_at();
    if (now_ - alive_at > MeshLink::kSilenceTimeout) {
      ++seen_.silent_links_;
      Close(id, self);
      continue;
    }
    const bool ready = !desk || links_[id].ready_;
    if (ready &&
        now_ - end->liveness_.sent_at() >= MeshLink::kHeartbeatInterval) {
      SendHeartbeat(id, desk ? Side::kOwner : Side::kDesk);
    }
  }
  for (size_t to = 0; to < instances_.size(); ++to) {
    const auto peer = peers.find(instances_[to].name_.value_);
    if (peer != peers.end()) Connect(index, to, peer->second);
  }
}

void HostedWorld::SendHeartbeat(uint64_t id, Side to) {
  LinkEnd* self = OpenEnd(id, to == Side::kDesk ? Side::kOwner : Side::kDesk);
  if (self == nullptr) return;
  const MeshHeartbeat heartbeat = self->liveness_.MakeHeartbeat(now_);
  Send(id, to, [this, id, to, heartbeat] {
    PeerLiveness& liveness = OpenEnd(id, to)->liveness_;
    const bool later = liveness.On(heartbeat, now_);
    const bool on_arrival = breakage_ == HostedBreakage::kAliveOnArrival;
    if (to == Side::kDesk || (!later && !on_arrival)) return;
    const Link& link = links_[id];
    instances_[link.to_].owner_->NoteSessionAlive(
        link.session_, on_arrival ? now_ : liveness.alive_at());
  });
}

void HostedWorld::SendFrame(uint64_t id, Side to, int64_t ms,
                            const std::function<void()>& read) {
  const LinkEnd* self =
      OpenEnd(id, to == Side::kDesk ? Side::kOwner : Side::kDesk);
  if (self == nullptr) return;
  if (now_ - self->liveness_.sent_at() >= MeshLink::kMinHeartbeatInterval) {
    SendHeartbeat(id, to);
  }
  SendLate(id, to, ms, read);
}

void HostedWorld::Close(uint64_t id, Side side) {
  LinkEnd* end = OpenEnd(id, side);
  if (end == nullptr) return;
  end->open_ = false;
  Link& link = links_[id];
  const Side other = side == Side::kDesk ? Side::kOwner : Side::kDesk;
  const bool held =
      (other == Side::kDesk ? link.desk_ : link.owner_).held_until_ > now_;
  Send(id, other, [this, id, other, held] {
    if (held) ++seen_.closed_late_;
    Close(id, other);
  });
  const size_t index = side == Side::kDesk ? link.from_ : link.to_;
  Instance& instance = instances_[index];
  if (side == Side::kDesk) {
    const InstanceName owner = instances_[link.to_].name_;
    Note("owner lost ", owner.value_, " at ", instance.name_.value_);
    if (instance.links_[link.to_] == id) instance.links_[link.to_] = 0;
    if (link.reported_) {
      instance.claims_->SetReachable(owner, false);
      instance.desk_->OwnerLost(owner, now_, &instance.desk_out_);
    }
  } else if (breakage_ != HostedBreakage::kKeepSessions) {
    Note("session ended ", link.session_.value_, " at ", instance.name_.value_);
    instance.sessions_.erase(link.session_.value_);
    instance.owner_->EndSession(link.session_, now_, &instance.owner_out_);
  }
  ForgetClosed(id);
  CarryOut(index);
}

void HostedWorld::CloseAll(size_t index) {
  for (const uint64_t id : LinksOf(index)) {
    Close(id, links_[id].from_ == index ? Side::kDesk : Side::kOwner);
  }
}

void HostedWorld::Hold(uint64_t id, Side to, int64_t ms) {
  const Link& link = links_[id];
  LinkEnd& end = to == Side::kDesk ? links_[id].desk_ : links_[id].owner_;
  end.held_until_ = std::max(end.held_until_, now_ + Duration{ms});
  Disturb(link.from_, end.held_until_);
  Disturb(link.to_, end.held_until_);
  Note("hold session ", link.session_.value_,
       (to == Side::kDesk ? " to desk " : " to owner "),
       instances_[to == Side::kDesk ? link.from_ : link.to_].name_.value_,
       " until ", end.held_until_.ms_);
}

void HostedWorld::HoldOneLink(size_t index) {
  const std::vector<uint64_t> ids = LinksOf(index);
  if (ids.empty()) return;
  // One draw a statement: the order of arguments depends on the processor, and
  // the seeds in the tests were found with the last argument drawn first.
  const int64_t ms = Between(100, 2500);
  const Side to = Roll(2) == 0 ? Side::kDesk : Side::kOwner;
  Hold(ids[Roll(ids.size())], to, ms);
}

void HostedWorld::HoldAllFrom(size_t index) {
  for (const uint64_t id : LinksOf(index)) {
    if (links_[id].from_ != index) continue;
    Hold(id, Side::kOwner,
         Roll(2) == 0 ? Between(100, 2500) : Between(400, 800));
  }
}

void HostedWorld::ToOwner(
    size_t from, size_t to,
    const std::function<void(Instance*, SessionId)>& run) {
  const uint64_t id = instances_[from].links_[to];
  if (OpenEnd(id, Side::kDesk) == nullptr || !links_[id].ready_) return;
  SendFrame(id, Side::kOwner, Chance(3) ? Between(50, 400) : 1,
            [this, id, to, run] { run(&instances_[to], links_[id].session_); });
}

void HostedWorld::CarryOut(size_t index) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.carrying_) return;
  instance.carrying_ = true;
  size_t commands = 0;
  while (!instance.desk_out_.empty() || !instance.owner_out_.empty() ||
         !instance.claims_out_.empty() || !instance.record_out_.empty()) {
    commands += CarryOutAll(index, &instance.claims_out_);
    commands += CarryOutAll(index, &instance.desk_out_);
    commands += CarryOutAll(index, &instance.owner_out_);
    commands += CarryOutAll(index, &instance.record_out_);
    if (commands > kFewCommands && commands > MaxCommandsPerPass()) {
      Violate(HostedRule::kBoundedPass, instance.name_.value_);
      instance.claims_out_.clear();
      instance.desk_out_.clear();
      instance.owner_out_.clear();
      instance.record_out_.clear();
    }
  }
  instance.carrying_ = false;
}

size_t HostedWorld::MaxCommandsPerPass() const {
  size_t tasks = 0;
  for (const auto& [id, request] : requests_) {
    if (request.answers_ > 0) continue;
    for (const HostedJobStep& step : jobs_.at(request.job_).spec_.steps_) {
      tasks += step.count_;
    }
  }
  return kFewCommands + kMaxCommandsPerTask * tasks;
}

template <typename Outbox>
size_t HostedWorld::CarryOutAll(size_t index, Outbox* outbox) {
  Outbox commands;
  commands.swap(*outbox);
  for (const auto& command : commands) {
    std::visit([&](const auto& one) { Do(index, one); }, command);
  }
  return commands.size();
}

void HostedWorld::Do(size_t, const AnswerHostedJob& answer) {
  const auto found = requests_.find(answer.request_.value_);
  if (found == requests_.end()) return;
  Request& request = found->second;
  Note("answer ", request.job_, " request ", answer.request_.value_,
       " outcome ", Name(answer.outcome_), " ", answer.reason_);
  if (request.broken_) return;
  if (++request.answers_ > 1) {
    return Violate(HostedRule::kAnsweredOnce, request.job_);
  }
  if (breakage_ == HostedBreakage::kRepeatAnswer && Roll(kBreakEvery) == 0) {
    Later(1, [this, answer] { Do(0, answer); });
  }
  CallerJob& job = jobs_[request.job_];
  HostedJobOutcome outcome = answer.outcome_;
  if (breakage_ == HostedBreakage::kMaybeLooksNotRun &&
      outcome == HostedJobOutcome::kInterrupted) {
    outcome = HostedJobOutcome::kNotRun;
  }
  switch (outcome) {
    case HostedJobOutcome::kComplete: {
      ++seen_.complete_;
      uint32_t tasks = 0;
      for (const HostedJobStep& step : job.spec_.steps_) tasks += step.count_;
      if (job.done_.size() < tasks) {
        Violate(HostedRule::kCompleteIsTrue, request.job_);
      }
      if (job.wide_) ++seen_.wide_complete_;
      break;
    }
    case HostedJobOutcome::kFailed:
      ++seen_.failed_;
      CheckFailed(request.job_);
      if (!job.deadly_.empty()) ++seen_.failed_deadly_;
      break;
    case HostedJobOutcome::kNotRun:
      ++seen_.not_run_;
      ++job.refusals_;
      break;
    case HostedJobOutcome::kInterrupted:
    case HostedJobOutcome::kTimedOut:
      ++seen_.interrupted_;
      Resend(request.job_);
      break;
  }
}

void HostedWorld::Do(size_t index, const SendAssign& send) {
  AssignTasks assign = send.assign_;
  if (breakage_ == HostedBreakage::kForgetLabel) assign.label_.clear();
  if (send.owner_ == instances_[index].name_) {
    return instances_[index].owner_->On(kLocalSession, assign, now_,
                                        &instances_[index].owner_out_);
  }
  ++seen_.sent_abroad_;
  const size_t to = IndexOf(send.owner_);
  const uint64_t id = instances_[index].links_[to];
  if (OpenEnd(id, Side::kDesk) == nullptr || !links_[id].ready_) {
    for (const AssignedTask& task : assign.tasks_) {
      instances_[index].desk_->On(send.owner_,
                                  {task.serial_, TaskEnd::kRefused, false},
                                  now_, &instances_[index].desk_out_);
    }
    return;
  }
  Note("assign ", assign.name_, " by ", instances_[index].name_.value_, " to ",
       send.owner_.value_, " session ", links_[id].session_.value_);
  ToOwner(index, to, [this, assign](Instance* owner, SessionId session) {
    Note("assigned ", assign.name_, " at ", owner->name_.value_);
    owner->owner_->On(session, assign, now_, &owner->owner_out_);
  });
}

void HostedWorld::Do(size_t index, const SendCancel& send) {
  Note("cancel ", send.job_, " by ", instances_[index].name_.value_, " at ",
       send.owner_.value_);
  if (send.owner_ == instances_[index].name_) {
    return instances_[index].owner_->On(kLocalSession, send.cancel_, now_,
                                        &instances_[index].owner_out_);
  }
  const CancelTasks withdraw = send.cancel_;
  const std::string job = send.job_;
  ToOwner(index, IndexOf(send.owner_),
          [this, withdraw, job](Instance* owner, SessionId session) {
            Note("cancelled ", job, " at ", owner->name_.value_);
            owner->owner_->On(session, withdraw, now_, &owner->owner_out_);
          });
}

void HostedWorld::Do(size_t index, const ReportTask& report) {
  TaskEnded ended = report.ended_;
  if (breakage_ == HostedBreakage::kForgetFailures &&
      ended.end_ == TaskEnd::kFailed) {
    ended.end_ = TaskEnd::kLost;
  }
  if (breakage_ == HostedBreakage::kForgetLosses &&
      ended.end_ == TaskEnd::kCrashes) {
    ended.end_ = TaskEnd::kLost;
  }
  if (breakage_ == HostedBreakage::kLostLooksDone &&
      ended.end_ == TaskEnd::kLost) {
    ended.end_ = TaskEnd::kDone;
  }
  if (ended.end_ == TaskEnd::kNoRoom) {
    ++seen_.without_room_;
    if (breakage_ == HostedBreakage::kFullLooksExpired) {
      ended.end_ = TaskEnd::kExpired;
    }
  }
  Instance& instance = instances_[index];
  if (report.session_ == kLocalSession) {
    return instance.desk_->On(instance.name_, ended, now_, &instance.desk_out_);
  }
  for (const auto& [id, link] : links_) {
    if (link.session_ != report.session_ || !link.owner_.open_) continue;
    SendFrame(id, Side::kDesk, Between(1, 3), [this, id = id, index, ended] {
      Instance& desk = instances_[links_[id].from_];
      desk.desk_->On(instances_[index].name_, ended, now_, &desk.desk_out_);
    });
    return;
  }
}

void HostedWorld::Do(size_t index, const ReportRefused& report) {
  Instance& instance = instances_[index];
  const BatchRefused refused = report.refused_;
  Note("refused ", report.step_, " at ", instance.name_.value_);
  if (report.session_ == kLocalSession) {
    return instance.desk_->On(instance.name_, refused, now_,
                              &instance.desk_out_);
  }
  for (const auto& [id, link] : links_) {
    if (link.session_ != report.session_ || !link.owner_.open_) continue;
    SendFrame(id, Side::kDesk, Between(1, 3), [this, id = id, index, refused] {
      Instance& desk = instances_[links_[id].from_];
      desk.desk_->On(instances_[index].name_, refused, now_, &desk.desk_out_);
    });
    return;
  }
}

void HostedWorld::Do(size_t index, const LossesCharged& charged) {
  for (const TaskLosses& one : charged.tasks_) {
    Note("lost worker ", one.task_, " ", charged.worker_.value_, " at ",
         instances_[index].name_.value_, " ", Name(charged.cause_), " lost ",
         static_cast<int>(one.losses_.lost_), " crashes ",
         static_cast<int>(one.losses_.crashes_));
  }
  if (breakage_ == HostedBreakage::kForgetLosses) return;
  instances_[index].desk_->NoteLosses(charged.tasks_, now_);
  for (const uint64_t id : LinksOf(index)) {
    SendLosses(id, links_[id].from_ == index ? Side::kOwner : Side::kDesk,
               charged.tasks_);
  }
}

void HostedWorld::SendLosses(uint64_t id, Side to,
                             const std::vector<TaskLosses>& losses) {
  SendFrame(id, to, 2, [this, id, to, losses] { ReadLosses(id, to, losses); });
}

void HostedWorld::ReadLosses(uint64_t id, Side side,
                             const std::vector<TaskLosses>& losses) {
  const Link& link = links_[id];
  const size_t index = side == Side::kDesk ? link.from_ : link.to_;
  Instance& instance = instances_[index];
  instance.desk_->NoteLosses(losses, now_);
  const std::vector<TaskLosses> news =
      instance.owner_->NoteLosses(losses, now_);
  if (side == Side::kDesk || news.empty()) return;
  for (const uint64_t other : LinksOf(index)) {
    const Link& session = links_[other];
    if (session.to_ == index &&
        instances_[session.from_].data_centre_ == instance.data_centre_) {
      SendLosses(other, Side::kDesk, news);
    }
  }
}

void HostedWorld::Do(size_t index, const WorkerLost& lost) {
  instances_[index].claims_->OwnershipLost(lost.worker_);
}

void HostedWorld::Do(size_t index, const PublishRecord& publish) {
  Instance& instance = instances_[index];
  if (troubles_.answers_) {
    return instance.record_->Publish(ToJson(publish.record_), now_,
                                     &instance.record_out_);
  }
  instance.unwritten_ = publish.record_;
}

void HostedWorld::Do(size_t index, const AcquireWorker& own) {
  Instance& instance = instances_[index];
  Note("own ", own.worker_.id_.value_, " at ", instance.name_.value_);
  const std::string who =
      instance.name_.value_ + "/" + std::to_string(instance.life_);
  const auto [held, first] = fences_.emplace(
      std::pair(own.worker_.id_.value_, own.fence_.value_), who);
  if (!first && held->second != who) {
    Violate(HostedRule::kOneOwner,
            own.worker_.id_.value_ + " of " + who + " and " + held->second);
  }
  instance.owner_->Acquire(own.worker_, own.fence_, now_, &instance.owner_out_);
}

void HostedWorld::Do(size_t index, const UpdateWorker& update) {
  LeasedWorker worker = update.worker_;
  if (breakage_ == HostedBreakage::kKeepCapacity) {
    worker.capacity_.cpu_milli_ = kCpuMilli;
  }
  instances_[index].owner_->Update(worker, now_, &instances_[index].owner_out_);
}

void HostedWorld::Do(size_t index, const DrainWorker& retire) {
  instances_[index].owner_->DrainWorker(retire.worker_);
}

void HostedWorld::Do(size_t index, const ReleaseWorker& disown) {
  instances_[index].owner_->Release(disown.worker_, now_,
                                    &instances_[index].owner_out_);
}

}  // namespace gentiandeal
