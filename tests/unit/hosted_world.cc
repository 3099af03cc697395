#include "unit/hosted_world.h"

#include <algorithm>
#include <tuple>

#include "late_request.h"

namespace gentiandeal {
namespace {

constexpr int64_t kPauseMs = 450;    // as `HostedInstance` takes it for one
constexpr int64_t kStallMs = 60;     // as `HostedInstance` takes it for a stall
constexpr int64_t kResendMs = 1300;  // of the callers
constexpr uint32_t kMaxAttempts = 3;
constexpr int64_t kMaxDeadlineMs = 10000;
/// Until all attempts of the last job have been answered, and some more.
constexpr int64_t kSettleMs =
    kMaxAttempts * (kMaxDeadlineMs + kResendMs) + 2000;

}  // namespace

HostedWorld::HostedWorld(uint64_t seed, HostedBreakage breakage,
                         const HostedTroubles& troubles,
                         const HostedFleet& fleet)
    : random_(seed),
      breakage_(breakage),
      troubles_(troubles),
      instances_(fleet.instances_),
      workers_(fleet.workers_),
      cut_until_(fleet.instances_, std::vector<Time>(fleet.instances_)),
      listed_(fleet.workers_) {
  for (size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    worker.info_.id_.value_ = "w" + std::to_string(i);
    worker.info_.address_ = {"127.0.0.1", static_cast<uint16_t>(9000 + i)};
    worker.info_.data_centre_ = i % 2 == 0 ? "east" : "west";
    worker.info_.pool_ = i % 6 == 5 ? "side" : "main";
    worker.info_.labels_ = {i % 3 == 0 ? "fast" : "plain"};
    worker.info_.capacity_ = {kCpuMilli, 4096, 0};
    worker.info_.started_ms_ = now_.ms_ + static_cast<int64_t>(i);
    worker.accepts_ms_ = worker.info_.started_ms_;
    worker.born_ = now_;
    List(worker, worker.info_);
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    instances_[i].name_.value_ = "i" + std::to_string(i);
    instances_[i].data_centre_ = i % 2 == 0 ? "east" : "west";
    Start(i);
  }
  const auto tick = [this](const auto& self) -> void {
    TickStore();
    TickWorkers();
    for (size_t i = 0; i < instances_.size(); ++i) TickInstance(i);
    Later(kTickMs, [self] { self(self); });
  };
  tick(tick);
}

void HostedWorld::Run(int steps) {
  AdvanceTo(now_ + Duration{2000});
  for (int i = 0; i < steps; ++i) {
    Act();
    Trouble();
    AdvanceTo(now_ + Duration{static_cast<int64_t>(Roll(30))});
  }
  faults_ = false;
  store_down_ = false;
  for (Instance& one : instances_) one.turned_away_ = false;
  AdvanceTo(now_ + Duration{kSettleMs});
  CheckEnd();
}

bool HostedWorld::all_idle() const {
  return std::all_of(
      instances_.begin(), instances_.end(), [](const Instance& one) {
        return one.up_ && one.desk_->idle() && one.owner_->idle();
      });
}

size_t HostedWorld::ownerless() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const Worker& one) {
        return one.up_ &&
               std::none_of(instances_.begin(), instances_.end(),
                            [&](const Instance& instance) {
                              return instance.owner_->Owns(one.info_.id_);
                            });
      }));
}

void HostedWorld::Later(int64_t ms, std::function<void()> run) {
  events_.Add(now_ + Duration{ms}, std::move(run));
}

void HostedWorld::AdvanceTo(Time end) { events_.RunUntil(end, &now_); }

void HostedWorld::Violate(HostedRule rule, const std::string& detail) {
  Note("violation ", static_cast<int>(rule), " ", detail);
  violations_.push_back({rule, detail});
}

// --- What happens from outside ---

void HostedWorld::Act() {
  const uint64_t roll = Roll(1000);
  const size_t one = Roll(instances_.size());
  const size_t other =
      (one + 1 + Roll(instances_.size() - 1)) % instances_.size();
  if (roll < 700) {
    // Jobs that are sent again must find room to show a second run.
    if (!troubles_.any() || Roll(2) == 0) SubmitNew();
    return;
  }
  if (roll < 706) return Kill(one, /*silent=*/Roll(2) == 0);
  if (roll < 712) return Pause(one, Between(100, 2500));
  if (roll < 716) return Drain(one);
  if (roll < 726) {
    const Time until = now_ + Duration{Between(800, 4000)};
    Note("cut ", instances_[one].name_.value_, " ",
         instances_[other].name_.value_);
    cut_until_[one][other] = cut_until_[other][one] = until;
    Disturb(one, until);
    Disturb(other, until);
    return;
  }
  if (roll < 730) {
    store_down_ = true;
    store_leases_pause_ = Roll(2) == 0;
    Later(Between(300, 3000), [this] { store_down_ = false; });
    return;
  }
  if (roll < 736) {
    instances_[one].turned_away_ = true;
    if (Roll(2) == 0) records_.erase(instances_[one].name_.value_);
    Later(Between(500, 4000),
          [this, one] { instances_[one].turned_away_ = false; });
    return;
  }
  if (roll < 745) {
    Worker* worker = &workers_[Roll(workers_.size())];
    return Crash(worker, Between(200, 8000),
                 troubles_.restarts_ && Roll(2) == 0);
  }
  if (roll < 755) {
    // A caller leaves.
    if (requests_.empty()) return;
    auto found = requests_.lower_bound(last_request_ - Roll(20));
    if (found == requests_.end() || found->second.answers_ > 0) return;
    const RequestId id{found->first};
    jobs_[found->second.job_].attempts_ = kMaxAttempts;
    LoseCaller(id.value_, 0);
  }
}

void HostedWorld::Trouble() {
  const uint64_t roll = Roll(1000);
  const size_t one = Roll(instances_.size());
  Worker& worker = workers_[Roll(workers_.size())];
  if (roll < 15) {
    if (!troubles_.holds_) return;
    if (Roll(2) == 0) return HoldOneLink(one);
    HoldAllFrom(one);
    // What it has sent by then outlasts it.
    const bool silent = Roll(2) == 0;
    Later(Between(0, 300), [this, one, silent] { Kill(one, silent); });
  } else if (roll < 27) {
    if (troubles_.stalls_) Stall(one, Roll(6) + 1);
  } else if (roll < 52) {
    if (!troubles_.callers_ || requests_.empty()) return;
    const auto found = requests_.lower_bound(last_request_ - Roll(20));
    if (found == requests_.end() || found->second.answers_ > 0) return;
    ++seen_.callers_lost_;
    LoseCaller(found->first, Roll(3) == 0 ? Between(1, 4) : Between(100, 400));
  } else if (roll < 67) {
    if (!troubles_.store_) return;
    instances_[one].watch_held_until_ = now_ + Duration{Between(200, 3000)};
  } else if (roll < 82) {
    if (!troubles_.mutes_) return;
    worker.mute_until_ = now_ + Duration{Between(200, 2500)};
    worker.mutes_polls_ = Roll(2) == 0;
    Note("mute ", worker.info_.id_.value_, " until ", worker.mute_until_.ms_,
         (worker.mutes_polls_ ? " all" : " orders"));
  } else if (roll < 94) {
    if (!troubles_.restarts_ || !worker.up_) return;
    ++seen_.quick_restarts_;
    Crash(&worker, Between(5, 300), /*under_its_id=*/true);
  } else if (roll < 106) {
    if (!troubles_.shrinks_) return;
    // One that runs something, if there is any.
    const auto busy = std::find_if(
        workers_.begin(), workers_.end(), [](const Worker& busy_one) {
          return busy_one.up_ && !busy_one.runs_.empty();
        });
    Worker* shrinks = busy == workers_.end() ? &worker : &*busy;
    if (shrinks->up_) Shrink(shrinks);
  } else if (roll < 114) {
    if (!troubles_.wide_) return;
    SubmitWide(one, static_cast<uint32_t>(Between(20, 60)));
  }
}

void HostedWorld::Disturb(size_t index, Time until) {
  Time& since = instances_[index].undisturbed_since_;
  since = std::max(since, until);
}

void HostedWorld::Stall(size_t index, uint64_t times) {
  const int64_t ms = Between(100, kPauseMs - 1);
  if (instances_[index].up_ && instances_[index].paused_until_ <= now_) {
    ++seen_.stalls_;
  }
  Pause(index, ms);
  if (times <= 1) return;
  Later(ms + Between(1, 120),
        [this, index, times] { Stall(index, times - 1); });
}

void HostedWorld::Start(size_t index) {
  Instance& instance = instances_[index];
  Note("up ", instance.name_.value_);
  ++instance.life_;
  instance.up_ = true;
  instance.draining_ = false;
  instance.catching_up_ = false;
  instance.incarnation_ = {++last_incarnation_};
  instance.paused_until_ = instance.last_tick_ = now_;
  instance.renew_at_ = now_;
  InstanceRecord record;
  record.name_ = instance.name_;
  record.incarnation_ = instance.incarnation_;
  record.data_centre_ = instance.data_centre_;
  record.peer_address_ = {"127.0.0.1", static_cast<uint16_t>(7000 + index)};
  const bool large = instances_.size() > 4 && index / 2 % 3 == 0;
  record.cpu_milli_ = large ? 500 : 125;
  instance.written_ = record;
  instance.claims_ =
      std::make_unique<WorkerOwnership>(record, now_ + Duration{150});
  WorkerSchedulerLimits limits;
  if (troubles_.reservations_) limits.max_reservations_ = 1;
  instance.owner_ = std::make_unique<WorkerScheduler>(limits);
  instance.desk_ =
      std::make_unique<JobCoordinator>(instance.name_, instance.data_centre_);
  instance.claims_out_.clear();
  instance.owner_out_.clear();
  instance.desk_out_.clear();
  instance.carrying_ = false;
  instance.shared_version_ = instance.own_version_ = 0;
  instance.sessions_.clear();
  instance.unwritten_.reset();
  instance.record_ = std::make_unique<LeasedRecord>(kRecordLease);
  instance.record_out_.clear();
  instance.withdrawing_ = false;
  if (troubles_.answers_) {
    instance.record_->Publish(ToJson(record), now_, &instance.record_out_);
  }
  instance.seen_records_.clear();
  instance.seen_workers_.clear();
  instance.entries_read_ = 0;
  instance.workers_read_ = false;
  instance.watch_held_until_ = now_;
  instance.store_read_since_ = now_;
  Disturb(index, now_);
  instance.linked_plan_ = 0;
  instance.targets_.clear();
  instance.links_.assign(instances_.size(), 0);
  instance.connect_at_.assign(instances_.size(), now_);
  instance.deferred_.clear();
}

void HostedWorld::Kill(size_t index, bool silent) {
  Instance& instance = instances_[index];
  if (!instance.up_) return;
  Note("kill ", instance.name_.value_, (silent ? " silent" : ""));
  if (std::any_of(
          instances_.begin(), instances_.end(), [&](const Instance& one) {
            return one.up_ && &one != &instance && one.paused_until_ > now_;
          })) {
    ++seen_.stalled_at_kill_;
  }
  instance.up_ = false;
  ++instance.life_;
  for (const uint64_t id : LinksOf(index)) {
    Link& link = links_[id];
    const Side side = link.from_ == index ? Side::kDesk : Side::kOwner;
    LinkEnd& end = side == Side::kDesk ? link.desk_ : link.owner_;
    const bool was_open = end.open_;
    end.open_ = false;
    if (!silent && was_open) {
      const Side other = side == Side::kDesk ? Side::kOwner : Side::kDesk;
      const bool held =
          (other == Side::kDesk ? link.desk_ : link.owner_).held_until_ > now_;
      Send(id, other, [this, id, other, held] {
        if (held) ++seen_.closed_late_;
        Close(id, other);
      });
    }
    ForgetClosed(id);
  }
  BreakCallers(index);
  Later(Between(200, 3000), [this, index] { Start(index); });
}

void HostedWorld::Pause(size_t index, int64_t ms) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.paused_until_ > now_) return;
  instance.paused_until_ = now_ + Duration{ms};
  Disturb(index, instance.paused_until_);
  Note("pause ", instance.name_.value_, " ", ms);
  const uint64_t life = instance.life_;
  Later(ms, [this, index, life] {
    Instance& one = instances_[index];
    if (one.life_ != life) return;
    // The clock is looked at before anything that has arrived meanwhile.
    TickInstance(index);
    std::vector<std::function<void()>> deferred;
    deferred.swap(one.deferred_);
    for (const auto& run : deferred) run();
    CarryOut(index);
    if (!one.up_ || !one.catching_up_) return;
    TickScheduler(index);
    CarryOut(index);
  });
}

void HostedWorld::Drain(size_t index) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.draining_ || instance.paused_until_ > now_) {
    return;
  }
  instance.draining_ = true;
  instance.drained_since_ = now_;
  instance.owner_->Drain(&instance.owner_out_);
  ReportOwnLoad(index);
  instance.claims_->Drain();
  CarryOut(index);
}

void HostedWorld::Deliver(size_t index, uint64_t life,
                          const std::function<void()>& run) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.life_ != life) return;
  if (instance.paused_until_ > now_) {
    instance.deferred_.emplace_back([this, index, life, run] {
      if (instances_[index].life_ == life) run();
    });
    return;
  }
  run();
  CarryOut(index);
}

void HostedWorld::DeliverFrame(size_t index, uint64_t life,
                               const std::function<void()>& run) {
  const Instance& instance = instances_[index];
  if (instance.paused_until_ > now_) return Deliver(index, life, run);
  if (!instance.up_ || instance.life_ != life) return;
  run();
  Later(0, [this, index] { CarryOut(index); });
}

void HostedWorld::TickInstance(size_t index) {
  Instance& instance = instances_[index];
  if (!instance.up_ || instance.paused_until_ > now_) return;
  if (now_ - instance.last_tick_ > Duration{kPauseMs}) {
    Note("resume ", instance.name_.value_);
    CloseAll(index);
    instance.desk_->Resume(now_, &instance.desk_out_);
    instance.owner_->Resume(now_, &instance.owner_out_);
    CarryOut(index);
  }
  const bool stalled =
      now_ - instance.last_tick_ > Duration{kStallMs} && !instance.catching_up_;
  instance.last_tick_ = now_;
  Sync(index);
  KeepRecord(index);
  if (stalled) {
    instance.catching_up_ = true;
    instance.owner_->CatchUp();
  } else {
    TickScheduler(index);
  }
  ReportOwnLoad(index);
  instance.desk_->Tick(now_, &instance.desk_out_);
  instance.claims_->Tick(
      now_,
      [&](const WorkerId& id) { return instance.owner_->IsWorkerIdle(id); },
      &instance.claims_out_);
  CarryOut(index);
  TickLinks(index);
  CarryOut(index);
  ShareLoad(index);
  if (breakage_ == HostedBreakage::kKeepSessions) {
    for (const uint64_t session : instance.sessions_) {
      instance.owner_->NoteSessionAlive({session}, now_);
    }
  }
  if (!instance.draining_) return;
  const bool over = instance.desk_->idle() && instance.owner_->idle() &&
                    instance.claims_->released() && !instance.unwritten_;
  const Duration age = now_ - instance.drained_since_;
  if ((over && age.ms_ > 2300) || age.ms_ > 5000) {
    if (troubles_.answers_) return Withdraw(index);
    if (StoreReachable(index)) records_.erase(instance.name_.value_);
    Kill(index, /*silent=*/false);
  }
}

void HostedWorld::TickScheduler(size_t index) {
  Instance& instance = instances_[index];
  instance.catching_up_ = false;
  instance.owner_->Tick(now_, &instance.owner_out_);
  if (instance.owner_->waiting() == 0) return;
  instance.owner_->OffloadWaiting(instance.desk_->RemotePoolsWithCapacity(),
                                  now_, &instance.owner_out_);
}

void HostedWorld::ReportOwnLoad(size_t index) {
  Instance& instance = instances_[index];
  if (instance.owner_->load_version() == instance.own_version_) return;
  instance.own_version_ = instance.owner_->load_version();
  instance.desk_->OwnerLoadReported(instance.name_, instance.data_centre_,
                                    instance.owner_->load(now_));
}

// --- Callers ---

void HostedWorld::SubmitNew() {
  const std::string id = "job" + std::to_string(++last_job_);
  CallerJob& job = jobs_[id];
  HostedJob& spec = job.spec_;
  spec.id_ = id;
  spec.queue_ = "queue";
  spec.pool_ = Roll(8) == 0 ? "side" : "main";
  spec.payload_ = id;
  spec.max_failures_ = static_cast<uint32_t>(Roll(3) + 1);
  spec.admitted_by_owners_ = troubles_.priorities_;
  spec.band_ = ToBand(static_cast<uint32_t>(last_job_ % kPriorityBands));
  // Some runs outlast the time after which a lost job is sent again.
  const bool lasting = Roll(troubles_.any() ? 4 : 12) == 0;
  spec.objective_ = {static_cast<int64_t>(100 + Roll(1300))};
  if (lasting) spec.objective_ = {Between(3000, 5000)};
  spec.useful_within_ = {3 * spec.objective_.ms_};
  spec.deadline_ = {lasting ? 6000 : 1500};
  job.poison_ = Roll(20) == 0;
  if (troubles_.deadly_ && Roll(10) == 0) {
    job.deadly_ = id + ".0.0.0";
    // Long enough for many crashes.
    spec.objective_ = {Between(3000, 5000)};
    spec.useful_within_ = {3 * spec.objective_.ms_};
    spec.deadline_ = {kMaxDeadlineMs};
  }
  const bool long_runs = Roll(4) == 0;
  const uint64_t steps = Roll(5) == 0 ? 2 : 1;
  for (uint32_t i = 0; i < steps; ++i) {
    HostedJobStep step;
    step.count_ = static_cast<uint32_t>(Roll(4) + 1);
    step.need_ = {static_cast<int32_t>(4000 + Roll(14000)), 64, 0};
    step.expected_ = {static_cast<int64_t>(20 + Roll(long_runs ? 900 : 250))};
    if (lasting) step.expected_ = {Between(900, 2500)};
    if (spec.pool_ == "main" && Roll(6) == 0) step.label_ = "fast";
    if (i > 0) step.depends_on_ = {0};
    spec.steps_.push_back(step);
  }
  Submit(id);
}

void HostedWorld::SubmitWide(size_t index, uint32_t jobs) {
  for (uint32_t i = 0; i < jobs; ++i) {
    const std::string id = "job" + std::to_string(++last_job_);
    CallerJob& job = jobs_[id];
    job.wide_ = true;
    HostedJob& spec = job.spec_;
    spec.id_ = id;
    spec.queue_ = "queue";
    spec.pool_ = "main";
    spec.payload_ = id;
    spec.max_failures_ = 2;
    spec.admitted_by_owners_ = troubles_.priorities_;
    spec.objective_ = {2000};
    spec.useful_within_ = {3 * spec.objective_.ms_};
    spec.deadline_ = {6000};
    HostedJobStep first;
    first.count_ = 1;
    first.need_ = {1000, 16, 0};
    first.expected_ = {Between(40, 120)};
    HostedJobStep second = first;
    second.count_ = static_cast<uint32_t>(Between(200, 259));
    second.depends_on_ = {0};
    spec.steps_ = {first, second};
    SubmitTo(index, id);
  }
}

void HostedWorld::Submit(const std::string& id) {
  SubmitTo(Roll(instances_.size()), id);
}

void HostedWorld::SubmitTo(size_t index, const std::string& id) {
  Instance& instance = instances_[index];
  CallerJob& job = jobs_[id];
  if (!instance.up_) {
    if (job.attempts_ > 0) Resend(id);
    return;
  }
  ++job.attempts_;
  const RequestId request{++last_request_};
  Request& sent = requests_[request.value_];
  sent.job_ = id;
  sent.instance_ = index;
  sent.life_ = instance.life_;
  const bool late = troubles_.requests_ && Chance(5);
  sent.arrives_ = now_ + Duration{late ? Between(100, 2500) : 0};
  Note("submit ", id, " request ", request.value_, " to ",
       instance.name_.value_, " arrives ", sent.arrives_.ms_);
  HostedJob spec = job.spec_;
  if (breakage_ == HostedBreakage::kForgetOrder) {
    for (HostedJobStep& step : spec.steps_) step.depends_on_.clear();
  }
  const auto arrive = [this, request, spec] { Read(request.value_, spec); };
  if (!late) {
    arrive();
  } else {
    ++seen_.late_requests_;
    const Duration wait = sent.arrives_ - now_;
    const Duration known = troubles_.kept_ ? Duration{0} : wait;
    const bool held = MayBeGivenUp(known, Duration{kResendMs});
    Later((held ? wait + kCloseGrace : wait).ms_, arrive);
  }
  if (!troubles_.callers_ && !troubles_.requests_) return;
  // The caller's own deadline.
  Later(spec.deadline_.ms_,
        [this, request] { LoseCaller(request.value_, Between(1, 4)); });
}

void HostedWorld::Read(uint64_t id, const HostedJob& spec) {
  const Request& request = requests_[id];
  const size_t index = request.instance_;
  Deliver(index, request.life_, [this, id, index, spec] {
    const std::optional<Time> closes_at = requests_[id].closes_at_;
    if (closes_at && *closes_at < now_) return;
    instances_[index].desk_->On(SubmitHostedJob{{id}, spec}, now_,
                                &instances_[index].desk_out_);
  });
}

void HostedWorld::LoseCaller(uint64_t id, int64_t noticed_after) {
  Request& request = requests_[id];
  if (request.answers_ > 0 || request.broken_) return;
  request.broken_ = true;
  Note("caller lost ", request.job_, " request ", id, " noticed after ",
       noticed_after);
  Resend(request.job_);
  const size_t index = request.instance_;
  const uint64_t life = request.life_;
  const auto arrive = [this, index, life, id] {
    Deliver(index, life, [this, index, id] {
      instances_[index].desk_->On(CallerDisconnected{{id}}, now_,
                                  &instances_[index].desk_out_);
    });
  };
  // The end of a connection arrives after the request.
  const Time at = std::max(now_ + Duration{noticed_after}, request.arrives_);
  request.closes_at_ = at;
  if (at <= now_) return arrive();
  Later((at - now_).ms_, arrive);
}

void HostedWorld::Resend(const std::string& id) {
  Later(kResendMs, [this, id] {
    CheckEnded(id);
    CallerJob& job = jobs_[id];
    job.given_up_ = job.attempts_ >= kMaxAttempts;
    if (job.given_up_) return;
    ++seen_.resent_;
    Submit(id);
  });
}

void HostedWorld::CheckEnded(const std::string& id) {
  for (const Worker& worker : workers_) {
    for (const auto& [task, run] : worker.runs_) {
      if (JobOf(task) != id) continue;
      Violate(HostedRule::kEndsBeforeResend,
              task + " at " + worker.info_.id_.value_);
    }
  }
}

void HostedWorld::BreakCallers(size_t index) {
  for (auto& [id, request] : requests_) {
    if (request.instance_ != index || request.answers_ > 0 || request.broken_) {
      continue;
    }
    request.broken_ = true;
    Resend(request.job_);
  }
}

void HostedWorld::CheckEnd() {
  for (const auto& [id, request] : requests_) {
    if (request.answers_ == 0 && !request.broken_) {
      Violate(HostedRule::kAnsweredOnce, "no answer for " + request.job_);
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (job.attempts_ > 0 && job.refusals_ == job.attempts_ &&
        job.starts_ > 0) {
      Violate(HostedRule::kNotRunIsTrue, id);
    }
  }
}

}  // namespace gentiandeal
