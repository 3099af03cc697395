#include <algorithm>

#include "unit/hosted_world.h"

/// Links between instances, and what an instance commands.
namespace gentiandeal {
namespace {

constexpr uint64_t kBreakEvery = 10;  // breakages that need not be constant

}  // namespace

void HostedWorld::Connect(size_t from, size_t to) {
  Link& link = links_[from][to];
  if (from == to || link.desk_end_ || Cut(from, to)) return;
  if (!instances_[to].up_ || instances_[to].paused_until_ > now_) return;
  if (link.owner_end_) LoseOwnerEnd(from, to, link.id_);
  link = {};
  link.id_ = ++last_link_;
  link.desk_end_ = link.owner_end_ = true;
  link.session_ = {++last_session_};
  instances_[to].sessions_.insert(link.session_.value_);
  instances_[to].shared_version_ = 0;  // reports at its next tick
}

void HostedWorld::LoseDeskEnd(size_t from, size_t to, uint64_t id) {
  Deliver(from, instances_[from].life_, [this, from, to, id] {
    Link& link = links_[from][to];
    if (link.id_ != id || !link.desk_end_) return;
    link.desk_end_ = false;
    Instance& desk = instances_[from];
    desk.claims_->SetReachable(instances_[to].name_, false);
    desk.desk_->OwnerLost(instances_[to].name_, now_, &desk.desk_out_);
  });
}

void HostedWorld::LoseOwnerEnd(size_t from, size_t to, uint64_t id) {
  Link& link = links_[from][to];
  if (link.id_ != id || !link.owner_end_) return;
  link.owner_end_ = false;
  const SessionId session = link.session_;
  Deliver(to, instances_[to].life_, [this, to, session] {
    Instance& owner = instances_[to];
    if (breakage_ == HostedBreakage::kKeepSessions) return;
    if (owner.sessions_.erase(session.value_) == 0) return;
    owner.owner_->EndSession(session, now_, &owner.owner_out_);
  });
}

// Each end notices the loss by itself.
void HostedWorld::LoseLinks(size_t index, int64_t least, int64_t most) {
  for (size_t other = 0; other < kInstances; ++other) {
    if (other == index) continue;
    const bool all = !instances_[index].up_ || least == 0 ||
                     instances_[index].paused_until_ > now_;
    if (!all && !Cut(index, other)) continue;
    for (const auto& [from, to] :
         {std::pair(index, other), std::pair(other, index)}) {
      const uint64_t id = links_[from][to].id_;
      const auto desk_end = [this, from = from, to = to, id] {
        LoseDeskEnd(from, to, id);
      };
      const auto owner_end = [this, from = from, to = to, id] {
        LoseOwnerEnd(from, to, id);
      };
      if (least == 0 && from == index) {
        desk_end();
      } else {
        Later(Between(least, most), desk_end);
      }
      if (least == 0 && to == index) {
        owner_end();
      } else {
        Later(Between(least, most), owner_end);
      }
    }
  }
}

void HostedWorld::ToOwner(
    size_t from, size_t to,
    const std::function<void(Instance*, SessionId)>& run) {
  Link& link = links_[from][to];
  if (!link.desk_end_ || !link.owner_end_ || Cut(from, to)) return;
  link.to_owner_ = std::max(link.to_owner_,
                            now_ + Duration{Chance(3) ? Between(50, 400) : 1});
  const uint64_t id = link.id_;
  Later((link.to_owner_ - now_).ms_, [this, from, to, id, run] {
    Deliver(to, instances_[to].life_, [this, from, to, id, run] {
      const Link& one = links_[from][to];
      if (one.id_ != id || !one.owner_end_) return;
      run(&instances_[to], one.session_);
    });
  });
}

void HostedWorld::CarryOut(size_t index) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.carrying_) return;
  instance.carrying_ = true;
  while (!instance.desk_out_.empty() || !instance.owner_out_.empty() ||
         !instance.claims_out_.empty()) {
    CarryOutAll(index, &instance.claims_out_);
    CarryOutAll(index, &instance.desk_out_);
    CarryOutAll(index, &instance.owner_out_);
  }
  instance.carrying_ = false;
}

template <typename Outbox>
void HostedWorld::CarryOutAll(size_t index, Outbox* outbox) {
  Outbox commands;
  commands.swap(*outbox);
  for (const auto& command : commands) {
    std::visit([&](const auto& one) { Do(index, one); }, command);
  }
}

void HostedWorld::Do(size_t, const AnswerHostedJob& answer) {
  const auto found = requests_.find(answer.request_.value_);
  if (found == requests_.end()) return;
  Request& request = found->second;
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
      break;
    }
    case HostedJobOutcome::kFailed:
      ++seen_.failed_;
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
  for (size_t to = 0; to < kInstances; ++to) {
    if (instances_[to].name_ != send.owner_) continue;
    if (!links_[index][to].desk_end_ || !links_[index][to].reported_) {
      for (const AssignedTask& task : assign.tasks_) {
        instances_[index].desk_->On(send.owner_,
                                    {task.serial_, TaskEnd::kRefused, false},
                                    now_, &instances_[index].desk_out_);
      }
      return;
    }
    ToOwner(index, to, [this, assign](Instance* owner, SessionId session) {
      owner->owner_->On(session, assign, now_, &owner->owner_out_);
    });
  }
}

void HostedWorld::Do(size_t index, const SendCancel& send) {
  if (send.owner_ == instances_[index].name_) {
    return instances_[index].owner_->On(kLocalSession, send.cancel_, now_,
                                        &instances_[index].owner_out_);
  }
  for (size_t to = 0; to < kInstances; ++to) {
    if (instances_[to].name_ != send.owner_) continue;
    const CancelTasks withdraw = send.cancel_;
    ToOwner(index, to, [this, withdraw](Instance* owner, SessionId session) {
      owner->owner_->On(session, withdraw, now_, &owner->owner_out_);
    });
  }
}

void HostedWorld::Do(size_t index, const ReportTask& report) {
  TaskEnded ended = report.ended_;
  if (breakage_ == HostedBreakage::kForgetFailures &&
      ended.end_ == TaskEnd::kFailed) {
    ended.end_ = TaskEnd::kLost;
  }
  if (breakage_ == HostedBreakage::kLostLooksDone &&
      ended.end_ == TaskEnd::kLost) {
    ended.end_ = TaskEnd::kDone;
  }
  Instance& instance = instances_[index];
  if (report.session_ == kLocalSession) {
    return instance.desk_->On(instance.name_, ended, now_, &instance.desk_out_);
  }
  for (size_t from = 0; from < kInstances; ++from) {
    Link& link = links_[from][index];
    if (link.session_ != report.session_ || !link.owner_end_) continue;
    if (Cut(from, index)) return;
    link.to_desk_ = std::max(link.to_desk_, now_ + Duration{Between(1, 3)});
    const uint64_t id = link.id_;
    Later((link.to_desk_ - now_).ms_, [this, from, index, id, ended] {
      Deliver(from, instances_[from].life_, [this, from, index, id, ended] {
        if (links_[from][index].id_ != id || !links_[from][index].desk_end_) {
          return;
        }
        instances_[from].desk_->On(instances_[index].name_, ended, now_,
                                   &instances_[from].desk_out_);
      });
    });
  }
}

void HostedWorld::Do(size_t index, const WorkerLost& lost) {
  instances_[index].claims_->OwnershipLost(lost.worker_);
}

void HostedWorld::Do(size_t index, const PublishRecord& publish) {
  instances_[index].unwritten_ = publish.record_;
}

void HostedWorld::Do(size_t index, const AcquireWorker& own) {
  Instance& instance = instances_[index];
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
  instances_[index].owner_->Update(update.worker_, now_,
                                   &instances_[index].owner_out_);
}

void HostedWorld::Do(size_t index, const DrainWorker& retire) {
  instances_[index].owner_->DrainWorker(retire.worker_);
}

void HostedWorld::Do(size_t index, const ReleaseWorker& disown) {
  instances_[index].owner_->Release(disown.worker_, now_,
                                    &instances_[index].owner_out_);
}

}  // namespace gentiandeal
