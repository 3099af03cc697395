#include <algorithm>

#include "unit/hosted_world.h"

/// Workers as the users' protocol tells, and the rules that their starts keep.
namespace gentiandeal {
namespace {

constexpr int64_t kMaxLeaseMs = 1000;    // of the workers' platform
constexpr int64_t kStopMs = 50;          // longest time a stop takes
constexpr int64_t kCallTimeoutMs = 250;  // of the worker calls
constexpr int64_t kHeartbeatMs = 1500;   // of the workers' entries
constexpr int64_t kHeartbeatsMs = 4500;  // silence until a worker is unlisted
constexpr int64_t kContactMs = 3000;     // of the users' rules
constexpr uint32_t kMaxCrashes = 3;      // of the users' rules
constexpr uint32_t kMaxStartsAfterCrashes = 2;

uint32_t StepOf(const std::string& task) {
  const size_t last = task.rfind('.');
  const size_t before = task.rfind('.', last - 1);
  return static_cast<uint32_t>(
      std::stoul(task.substr(before + 1, last - before - 1)));
}

}  // namespace

std::string HostedWorld::JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// Each worker's clock starts with its life and is up to 2 % slow.
int64_t HostedWorld::WorkerClock(const Worker& worker) const {
  const int64_t age = (now_ - worker.born_).ms_;
  return 5000 + age - age * (worker.info_.address_.port_ % 3) / 100;
}

HostedWorld::Worker* HostedWorld::FindWorker(const WorkerId& id) {
  for (Worker& worker : workers_) {
    if (worker.info_.id_ == id) return &worker;
  }
  return nullptr;
}

bool HostedWorld::Mute(const Worker& worker, bool poll) {
  if (!faults_ || worker.mute_until_ <= now_) return false;
  if (poll && !worker.mutes_polls_) return false;
  ++seen_.muted_calls_;
  return true;
}

// What an earlier life had received is gone with it, and a call that was given
// up before this life was there ended with its connection.
bool HostedWorld::Accepts(const Worker& worker, const LeasedWorker& addressed,
                          Time sent) {
  if (addressed.started_ms_ < worker.accepts_ms_) return false;
  if (addressed.started_ms_ < worker.info_.started_ms_ &&
      sent + Duration{kCallTimeoutMs} < worker.born_) {
    ++seen_.orders_of_earlier_lives_;
    return false;
  }
  if (addressed.started_ms_ < worker.info_.started_ms_) {
    ++seen_.inherited_orders_;
  }
  return true;
}

void HostedWorld::Do(size_t index, const RunOver& over) {
  Note("run over ", over.task_, " run ", over.run_, " ", over.worker_.value_,
       " at ", instances_[index].name_.value_, " ", Name(over.reason_));
}

void HostedWorld::Do(size_t index, const WorkerRestarted& worker) {
  Note("restarted ", worker.worker_.value_, " at ",
       instances_[index].name_.value_);
}

void HostedWorld::Do(size_t index, const WorkerDescribed& worker) {
  Note("described ", worker.worker_.value_, " at ",
       instances_[index].name_.value_);
}

void HostedWorld::Do(size_t index, const StartRun& start) {
  const uint64_t life = instances_[index].life_;
  const auto answer = [this, index, life, call = start.call_](
                          StartResult result, std::optional<int64_t> clock) {
    Deliver(index, life, [this, index, call, result, clock] {
      instances_[index].owner_->On(StartEnded{call, result, clock}, now_,
                                   &instances_[index].owner_out_);
    });
  };
  const bool unanswered =
      Mute(*FindWorker(start.worker_->id_), /*poll=*/false) || Chance(3);
  const bool never = unanswered && Roll(3) == 0;
  Note("start ", start.task_, " run ", start.run_, " ",
       start.worker_->id_.value_, " by ", instances_[index].name_.value_,
       " session ", start.session_.value_, " lease ", start.lease_.ms_,
       (never ? " lost" : (unanswered ? " unanswered" : "")));
  const int64_t delay = unanswered && !never && Roll(2) == 0
                            ? Between(kCallTimeoutMs, 6000)
                            : Between(1, 3);
  if (delay > kCallTimeoutMs) ++seen_.late_orders_;
  if (unanswered) {
    Later(kCallTimeoutMs,
          [answer] { answer(StartResult::kUnanswered, std::nullopt); });
  }
  if (never) return;
  Later(delay, [this, start, answer, unanswered, index, order = ++last_order_,
                sent = now_] {
    Worker* worker = FindWorker(start.worker_->id_);
    if (!worker->up_) {
      if (unanswered) return;
      if (troubles_.deadly_ && !worker->dark_) {
        return answer(StartResult::kNotSent, std::nullopt);
      }
      return answer(StartResult::kUnanswered, std::nullopt);
    }
    const StartResult result = CarryOutStart(worker, start, order, sent, index);
    Note("start carried out ", start.task_, " run ", start.run_, " ",
         start.worker_->id_.value_, " ", Name(result), " lease left ",
         worker->lease_ms_ - WorkerClock(*worker));
    if (unanswered) return;
    const int64_t clock = WorkerClock(*worker);
    Later(Between(1, 3), [answer, result, clock] { answer(result, clock); });
  });
}

StartResult HostedWorld::CarryOutStart(Worker* worker, const StartRun& start,
                                       uint64_t order, Time sent,
                                       size_t owner) {
  if (!Accepts(*worker, *start.worker_, sent)) {
    return StartResult::kOtherIncarnation;
  }
  if (start.fence_.value_ < worker->fence_) {
    ++seen_.stale_fences_;
    return StartResult::kStaleFence;
  }
  worker->fence_ = start.fence_.value_;
  if (start.lease_until_ms_ <= WorkerClock(*worker)) return StartResult::kLate;
  Renew(worker, start.lease_until_ms_);
  const auto running = worker->runs_.find(start.task_);
  if (running != worker->runs_.end() && running->second.number_ == start.run_) {
    return StartResult::kStarted;
  }
  const auto over = worker->over_.find(start.task_);
  if (running != worker->runs_.end() ||
      (over != worker->over_.end() && start.run_ <= over->second)) {
    return StartResult::kOldRun;
  }
  CheckStart(*worker, start, order, owner);
  const CallerJob& job = jobs_[JobOf(start.task_)];
  const HostedJobStep& step = job.spec_.steps_[StepOf(start.task_)];
  WorkerRun run;
  run.number_ = start.run_;
  run.began_ = now_;
  const bool hangs = Chance(3);
  run.ends_ =
      now_ +
      Duration{hangs ? 60000 : step.expected_.ms_ * Between(70, 140) / 100};
  run.fails_ = job.poison_ || Chance(2);
  worker->runs_[start.task_] = run;
  if (job.deadly_ == start.task_) CrashSoon(worker, start.task_);
  return StartResult::kStarted;
}

void HostedWorld::CrashSoon(Worker* worker, const std::string& task) {
  const int64_t life = worker->info_.started_ms_;
  const int64_t after = Roll(4) == 0 ? Between(10, 400) : Between(1, 10);
  Later(after, [this, worker, task, life] {
    if (worker->info_.started_ms_ != life || worker->runs_.count(task) == 0) {
      return;
    }
    ++seen_.crashes_by_tasks_;
    worker->dark_ = Roll(5) == 0;
    Crash(worker, Between(2500, 4000),
          /*under_its_id=*/troubles_.restarts_ && Roll(2) == 0);
  });
}

void HostedWorld::Shrink(Worker* worker) {
  ++seen_.shrunk_;
  SetCapacity(worker, static_cast<int32_t>(Between(0, kCpuMilli)));
  const int64_t life = worker->info_.started_ms_;
  Later(Between(1000, 15000), [this, worker, life] {
    if (worker->up_ && worker->info_.started_ms_ == life) {
      SetCapacity(worker, kCpuMilli);
    }
  });
}

void HostedWorld::SetCapacity(Worker* worker, int32_t cpu_milli) {
  int32_t used = 0;
  for (const auto& [name, run] : worker->runs_) {
    used += jobs_[JobOf(name)].spec_.steps_[StepOf(name)].need_.cpu_milli_;
  }
  if (cpu_milli < used) ++seen_.shrunk_below_use_;
  Note("capacity ", worker->info_.id_.value_, " ", cpu_milli);
  worker->earlier_capacities_.emplace_back(now_, worker->info_.capacity_);
  worker->info_.capacity_.cpu_milli_ = cpu_milli;
  Later(Between(0, kHeartbeatMs), [this, worker] {
    if (worker->up_) List(*worker, worker->info_);
  });
}

Resources HostedWorld::CountedCapacity(const Worker& worker) const {
  Resources counted = worker.info_.capacity_;
  for (const auto& [until, capacity] : worker.earlier_capacities_) {
    if (until + Duration{kContactMs + kHeartbeatMs} < now_) continue;
    counted.cpu_milli_ = std::max(counted.cpu_milli_, capacity.cpu_milli_);
  }
  return counted;
}

bool HostedWorld::ReadsStore(size_t index) const {
  return now_ - instances_[index].store_read_since_ >= Duration{kContactMs};
}

bool HostedWorld::InTouch(size_t index) const {
  return ReadsStore(index) &&
         now_ - instances_[index].undisturbed_since_ >= Duration{kContactMs};
}

void HostedWorld::CheckStart(const Worker& worker, const StartRun& start,
                             uint64_t order, size_t owner) {
  const std::string& task = start.task_;
  // No owner can know of another kind what a later life makes of its order.
  const bool kind_known = !troubles_.kinds_ || start.worker_->started_ms_ ==
                                                   worker.info_.started_ms_;
  const std::string id = JobOf(task);
  CallerJob& job = jobs_[id];
  const uint32_t number = StepOf(task);
  const HostedJobStep& step = job.spec_.steps_[number];
  ++job.starts_;
  if (number > 0) ++seen_.second_steps_;
  Resources used = step.need_;
  for (const auto& [name, run] : worker.runs_) {
    used += jobs_[JobOf(name)].spec_.steps_[StepOf(name)].need_;
  }
  // An instance can't know of a change while it doesn't read the store.
  const Resources most = ReadsStore(owner) ? CountedCapacity(worker)
                                           : Resources{kCpuMilli, 4096, 0};
  if (kind_known && !Fits(used, most)) {
    Violate(HostedRule::kRoom, task + " at " + worker.info_.id_.value_);
  }
  for (const Worker& other : workers_) {
    if (other.up_ && other.runs_.count(task) > 0) {
      Violate(HostedRule::kOneRun, task + " at " + other.info_.id_.value_ +
                                       " and " + worker.info_.id_.value_);
    }
  }
  if (job.given_up_) {
    Violate(HostedRule::kEndsBeforeResend,
            task + " starts at " + worker.info_.id_.value_);
  }
  for (const uint32_t before : step.depends_on_) {
    for (uint32_t i = 0; i < job.spec_.steps_[before].count_; ++i) {
      const std::string earlier =
          id + ".0." + std::to_string(before) + "." + std::to_string(i);
      if (job.done_.count(earlier) == 0) {
        Violate(HostedRule::kStepOrder, task);
      }
    }
  }
  if (worker.info_.pool_ != job.spec_.pool_ ||
      (kind_known && !HasLabel(worker.info_, step.label_))) {
    Violate(HostedRule::kPlace, task + " at " + worker.info_.id_.value_);
  }
  CheckFailures(task, order);
  CheckCrashes(task, owner);
}

void HostedWorld::CheckCrashes(const std::string& task, size_t owner) {
  CallerJob& job = jobs_[JobOf(task)];
  const auto crashes = job.crashes_.find(task);
  if (crashes == job.crashes_.end() || crashes->second < kMaxCrashes ||
      !InTouch(owner)) {
    return;
  }
  if (++job.starts_after_crashes_[task] > kMaxStartsAfterCrashes) {
    Violate(HostedRule::kCrashes, task);
  }
}

// An end counts from when an owner has read it. One that is lost with its
// worker before counts for nothing.
void HostedWorld::TakeNote(const WorkerId& worker, const PollEnded& ended) {
  for (const FinishedRun& end : ended.finished_) {
    if (end.end_ != RunEnd::kFailed ||
        !read_ends_.emplace(worker.value_, ended.started_ms_, end.number_)
             .second) {
      continue;
    }
    jobs_[JobOf(end.task_)].failures_[end.task_].push_back(++last_order_);
  }
}

void HostedWorld::CheckFailures(const std::string& task, uint64_t start_order) {
  CallerJob& job = jobs_[JobOf(task)];
  if (job.attempts_ != 1) return;  // a job sent again starts anew
  const std::vector<uint64_t>& failures = job.failures_[task];
  const auto before =
      std::count_if(failures.begin(), failures.end(),
                    [&](uint64_t order) { return order < start_order; });
  if (before >= job.spec_.max_failures_) {
    Violate(HostedRule::kFailures, task);
  }
}

void HostedWorld::CheckFailed(const std::string& id) {
  const CallerJob& job = jobs_[id];
  const bool failed = std::any_of(
      job.failures_.begin(), job.failures_.end(), [&](const auto& entry) {
        return entry.second.size() >= job.spec_.max_failures_;
      });
  const bool crashed = std::any_of(
      job.crashes_.begin(), job.crashes_.end(),
      [](const auto& entry) { return entry.second >= kMaxBlamedCrashes; });
  if (!failed && !crashed) Violate(HostedRule::kFailedIsTrue, id);
}

void HostedWorld::Do(size_t index, const StopRun& stop) {
  const uint64_t life = instances_[index].life_;
  const bool lost =
      Mute(*FindWorker(stop.worker_->id_), /*poll=*/false) || Chance(3);
  Note("stop ", stop.task_, " run ", stop.run_, " ", stop.worker_->id_.value_,
       " by ", instances_[index].name_.value_, " ", stop.reason_,
       (lost ? " lost" : ""));
  const auto answer = [this, index, life, call = stop.call_](bool answered) {
    Deliver(index, life, [this, index, call, answered] {
      instances_[index].owner_->On(StopEnded{call, answered}, now_,
                                   &instances_[index].owner_out_);
    });
  };
  const int64_t delay = lost ? Between(1, 3000) : Between(1, 3);
  if (lost) Later(kCallTimeoutMs, [answer] { answer(false); });
  Later(delay, [this, stop, answer, lost, sent = now_] {
    Worker* worker = FindWorker(stop.worker_->id_);
    const bool done = worker->up_ && CarryOutStop(worker, stop, sent);
    if (!lost) Later(Between(1, 3), [answer, done] { answer(done); });
  });
}

bool HostedWorld::CarryOutStop(Worker* worker, const StopRun& stop, Time sent) {
  if (!Accepts(*worker, *stop.worker_, sent) ||
      stop.fence_.value_ < worker->fence_) {
    return false;
  }
  worker->fence_ = stop.fence_.value_;
  uint32_t& over = worker->over_[stop.task_];
  over = std::max(over, stop.run_);
  const auto found = worker->runs_.find(stop.task_);
  if (found == worker->runs_.end() || found->second.number_ > stop.run_ ||
      found->second.stopped_at_) {
    return true;
  }
  Note("stop carried out ", stop.task_, " ", worker->info_.id_.value_);
  found->second.stopped_at_ = now_ + Duration{Between(1, kStopMs - kTickMs)};
  if (breakage_ == HostedBreakage::kFreeAtStop) {
    worker->finished_.push_back({++worker->last_end_, stop.task_,
                                 found->second.number_, RunEnd::kStopped});
  }
  return true;
}

void HostedWorld::Renew(Worker* worker, int64_t until_ms) {
  worker->lease_ms_ =
      std::max(worker->lease_ms_,
               std::min(until_ms, WorkerClock(*worker) + kMaxLeaseMs));
}

void HostedWorld::Do(size_t index, const PollWorker& hold) {
  WaitingHold waiting;
  waiting.instance_ = index;
  waiting.life_ = instances_[index].life_;
  waiting.hold_ = hold;
  waiting.sent_ = now_;
  waiting.lost_ =
      Mute(*FindWorker(hold.worker_->id_), /*poll=*/true) || Chance(3);
  if (waiting.lost_) AnswerLate(waiting);
  Later(waiting.lost_ ? Between(1, 3000) : Between(1, 3), [this, waiting] {
    CarryOutHold(FindWorker(waiting.hold_.worker_->id_), waiting);
  });
}

void HostedWorld::CarryOutHold(Worker* worker, WaitingHold waiting) {
  const PollWorker& hold = waiting.hold_;
  if (!worker->up_) {
    return AnswerHold(
        worker, waiting,
        troubles_.deadly_ ? PollResult::kRefused : PollResult::kUnanswered);
  }
  if (!Accepts(*worker, *hold.worker_, waiting.sent_)) {
    return AnswerHold(worker, waiting, PollResult::kOtherIncarnation);
  }
  if (hold.fence_.value_ < worker->fence_) {
    ++seen_.stale_fences_;
    return AnswerHold(worker, waiting, PollResult::kStaleFence);
  }
  worker->fence_ = hold.fence_.value_;
  if (hold.lease_until_ms_) {
    Renew(worker, *hold.lease_until_ms_);
    Note("renewed ", worker->info_.id_.value_, " by ",
         instances_[waiting.instance_].name_.value_, " lease left ",
         worker->lease_ms_ - WorkerClock(*worker), " sent ", waiting.sent_.ms_);
  }
  std::erase_if(worker->finished_, [&](const FinishedRun& one) {
    return one.number_ <= hold.last_seen_;
  });
  if (!worker->finished_.empty() || hold.wait_.ms_ <= 0) {
    return AnswerHold(worker, waiting, PollResult::kListed);
  }
  waiting.until_ = now_ + hold.wait_;
  worker->waiting_.push_back(waiting);
}

void HostedWorld::AnswerLate(const WaitingHold& waiting) {
  const Time until =
      waiting.sent_ + Duration{kCallTimeoutMs} + waiting.hold_.wait_;
  Later((until - now_).ms_, [this, waiting] {
    PollEnded ended;
    ended.call_ = waiting.hold_.call_;
    Deliver(waiting.instance_, waiting.life_, [this, waiting, ended] {
      instances_[waiting.instance_].owner_->On(
          ended, now_, &instances_[waiting.instance_].owner_out_);
    });
  });
}

void HostedWorld::AnswerHold(Worker* worker, const WaitingHold& waiting,
                             PollResult result) {
  if (waiting.lost_) return;
  if (worker->dark_) return AnswerLate(waiting);
  PollEnded ended;
  ended.call_ = waiting.hold_.call_;
  ended.result_ = result;
  ended.clock_ms_ = WorkerClock(*worker);
  ended.started_ms_ = worker->info_.started_ms_;
  if (result == PollResult::kListed) {
    for (const auto& [name, run] : worker->runs_) {
      // A run that is being stopped is listed nowhere.
      if (run.stopped_at_) continue;
      const int64_t lasts = std::max<int64_t>(1, (run.ends_ - run.began_).ms_);
      ended.running_.push_back({name, run.number_,
                                static_cast<double>((now_ - run.began_).ms_) *
                                    100 / static_cast<double>(lasts)});
    }
    ended.finished_ = worker->finished_;
  }
  Later(Between(1, 3), [this, waiting, ended] {
    Deliver(waiting.instance_, waiting.life_, [this, waiting, ended] {
      const WorkerId& polled = waiting.hold_.worker_->id_;
      TakeNote(polled, ended);
      if (breakage_ == HostedBreakage::kKeepKind) {
        TellEntryAs(waiting.instance_, polled, ended.started_ms_);
      }
      instances_[waiting.instance_].owner_->On(
          ended, now_, &instances_[waiting.instance_].owner_out_);
    });
  });
}

void HostedWorld::EndRun(Worker* worker, const std::string& task, RunEnd end) {
  const auto found = worker->runs_.find(task);
  const uint32_t number = found->second.number_;
  worker->runs_.erase(found);
  Note("end ", task, " run ", number, " ", worker->info_.id_.value_, " ",
       static_cast<int>(end));
  uint32_t& over = worker->over_[task];
  over = std::max(over, number);
  CallerJob& job = jobs_[JobOf(task)];
  if (end == RunEnd::kDone) job.done_.insert(task);
  if (end == RunEnd::kLeaseExpired) ++seen_.lapsed_;
  worker->finished_.push_back({++worker->last_end_, task, number, end});
  std::vector<WaitingHold> waiting;
  waiting.swap(worker->waiting_);
  for (const WaitingHold& one : waiting) {
    AnswerHold(worker, one, PollResult::kListed);
  }
}

void HostedWorld::TickWorkers() {
  for (Worker& worker : workers_) {
    if (!worker.up_) continue;
    const bool lapsed = WorkerClock(worker) >= worker.lease_ms_;
    std::vector<std::pair<std::string, RunEnd>> over;
    for (const auto& [task, run] : worker.runs_) {
      if (run.stopped_at_) {
        if (now_ >= *run.stopped_at_) over.emplace_back(task, RunEnd::kStopped);
      } else if (lapsed) {
        over.emplace_back(task, RunEnd::kLeaseExpired);
      } else if (now_ >= run.ends_) {
        over.emplace_back(task, run.fails_ ? RunEnd::kFailed : RunEnd::kDone);
      }
    }
    for (const auto& [task, end] : over) EndRun(&worker, task, end);
    std::vector<WaitingHold> waiting;
    waiting.swap(worker.waiting_);
    for (const WaitingHold& one : waiting) {
      if (now_ >= one.until_) {
        AnswerHold(&worker, one, PollResult::kListed);
      } else {
        worker.waiting_.push_back(one);
      }
    }
  }
}

void HostedWorld::Crash(Worker* worker, int64_t away, bool under_its_id) {
  if (!worker->up_) return;
  Note("crash ", worker->info_.id_.value_, " for ", away,
       (under_its_id ? " under its id" : ""), (worker->dark_ ? " dark" : ""));
  for (const auto& [task, run] : worker->runs_) {
    ++jobs_[JobOf(task)].crashes_[task];
  }
  worker->up_ = false;
  worker->fence_ = 0;
  worker->lease_ms_ = 0;
  worker->last_end_ = 0;
  worker->runs_.clear();
  worker->over_.clear();
  worker->finished_.clear();
  std::vector<WaitingHold> waiting;
  waiting.swap(worker->waiting_);
  for (const WaitingHold& one : waiting) {
    AnswerHold(worker, one,
               troubles_.deadly_ ? PollResult::kDisconnected
                                 : PollResult::kUnanswered);
  }
  if (away > kHeartbeatsMs) {
    Later(kHeartbeatsMs, [this, worker] {
      if (!worker->up_) List(*worker, std::nullopt);
    });
  }
  Later(away, [this, worker, under_its_id] { Return(worker, under_its_id); });
}

void HostedWorld::Return(Worker* worker, bool under_its_id) {
  const LeasedWorker before = worker->info_;
  worker->up_ = true;
  worker->dark_ = false;
  worker->born_ = now_;
  if (worker->info_.capacity_.cpu_milli_ != kCpuMilli) {
    worker->earlier_capacities_.emplace_back(now_, worker->info_.capacity_);
    worker->info_.capacity_.cpu_milli_ = kCpuMilli;
  }
  ++worker->info_.started_ms_;
  if (troubles_.kinds_ && under_its_id) BecomeOtherKind(worker);
  if (!under_its_id) worker->accepts_ms_ = worker->info_.started_ms_;
  Note("back ", worker->info_.id_.value_, " started ",
       worker->info_.started_ms_);
  if (!troubles_.store_ || !faults_) return List(*worker, worker->info_);
  const int64_t written = Between(0, kHeartbeatMs);
  const auto list_present = [this, worker] {
    if (worker->up_) List(*worker, worker->info_);
  };
  Later(written, list_present);
  if (Roll(3) != 0) return;
  // A write of its earlier life is carried out late, and its next one follows.
  const int64_t again = written + Between(1, 1000);
  Later(again, [this, worker, before] {
    if (worker->up_) List(*worker, before);
  });
  Later(again + Between(1, kHeartbeatMs), list_present);
}

void HostedWorld::BecomeOtherKind(Worker* worker) {
  ++seen_.other_kinds_;
  std::string& kind = worker->info_.labels_.front();
  kind = kind == "fast" ? "plain" : "fast";
  worker->info_.capacity_.cpu_milli_ =
      static_cast<int32_t>(Between(kCpuMilli / 2, kCpuMilli));
  worker->earlier_capacities_.clear();
  Note("other kind ", worker->info_.id_.value_, " ", kind, " ",
       worker->info_.capacity_.cpu_milli_);
}

void HostedWorld::TellEntryAs(size_t index, const WorkerId& worker,
                              int64_t started_ms) {
  Instance& instance = instances_[index];
  const auto seen = instance.seen_workers_.find(worker.value_);
  if (seen == instance.seen_workers_.end()) return;
  LeasedWorker entry = seen->second;
  entry.started_ms_ = started_ms;
  instance.owner_->Update(entry, now_, &instance.owner_out_);
}

void HostedWorld::List(const Worker& worker,
                       std::optional<LeasedWorker> entry) {
  const auto index = static_cast<size_t>(&worker - workers_.data());
  listed_[index] = entry;
  entries_.push_back({index, std::move(entry)});
}

}  // namespace gentiandeal
