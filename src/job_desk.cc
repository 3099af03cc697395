#include "job_desk.h"

#include <algorithm>
#include <utility>

#include "room_wait.h"

namespace gentiandeal {
namespace {

/// A job is refused when its last task would have to wait longer than this
/// share of the time after which the answer is late.
constexpr double kMaxWaitShare = 1.0;
/// Another data centre must be this much faster to be given a waiting task.
constexpr Duration kHopAdvantage{30};
/// Times a task is placed again before its job is given up.
constexpr uint32_t kMaxMoves = 4;
constexpr Duration kRetryAfter{1000};
constexpr Duration kMinGiveUp{50};

Duration Slack(const RoomJob& job) {
  return std::max(Duration{0}, job.objective_ - LongestChain(job));
}

PoolLoad* FindPool(OwnerLoad* load, const std::string& pool) {
  for (PoolLoad& one : load->pools_) {
    if (one.pool_ == pool) return &one;
  }
  return nullptr;
}

}  // namespace

Duration LongestChain(const RoomJob& job) {
  std::vector<int64_t> until(job.steps_.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < job.steps_.size(); ++i) {
    int64_t begin = 0;
    for (const uint32_t before : job.steps_[i].after_) {
      begin = std::max(begin, until[before]);
    }
    until[i] = begin + job.steps_[i].expected_.ms_;
    longest = std::max(longest, until[i]);
  }
  return {longest};
}

bool HasValidSteps(const RoomJob& job) {
  uint64_t tasks = 0;
  for (size_t i = 0; i < job.steps_.size(); ++i) {
    const RoomStep& step = job.steps_[i];
    tasks += step.count_;
    if (step.count_ == 0 || tasks > config::kMaxRoomTasks) return false;
    if (step.need_.cpu_milli_ < 0 || step.need_.memory_mb_ < 0) return false;
    if (std::any_of(step.after_.begin(), step.after_.end(),
                    [&](uint32_t before) { return before >= i; })) {
      return false;
    }
  }
  return !job.steps_.empty();
}

std::string_view Name(RoomOutcome outcome) {
  switch (outcome) {
    case RoomOutcome::kComplete:
      return "complete";
    case RoomOutcome::kFailed:
      return "failed";
    case RoomOutcome::kNotRun:
      return "not-run";
    case RoomOutcome::kInterrupted:
      return "interrupted";
    case RoomOutcome::kTimedOut:
      return "timed-out";
  }
  return "unknown";
}

bool JobDesk::FitsSomewhere(const RoomJob& job) const {
  const auto pool = workers_.find(job.pool_);
  if (pool == workers_.end()) return false;
  return std::all_of(
      job.steps_.begin(), job.steps_.end(), [&](const RoomStep& step) {
        return std::any_of(pool->second.begin(), pool->second.end(),
                           [&](const LeasedWorkerRef& worker) {
                             return Fits(step.need_, worker->capacity_) &&
                                    HasLabel(*worker, step.label_);
                           });
      });
}

std::vector<const PoolLoad*> JobDesk::PoolLoads(const std::string& pool) const {
  std::vector<const PoolLoad*> loads;
  for (const auto& [name, owner] : owners_) {
    if (owner.load_.draining_) continue;
    for (const PoolLoad& load : owner.load_.pools_) {
      if (load.pool_ == pool) loads.push_back(&load);
    }
  }
  return loads;
}

void JobDesk::Refuse(RequestId request, std::string_view reason, Duration wait,
                     Duration slack, DeskOutbox* out) {
  ++stats_.refused_;
  out->push_back(AnswerRoomJob{request, RoomOutcome::kNotRun, reason,
                               kRetryAfter, wait, slack});
}

void JobDesk::On(const SubmitRoomJob& submit, Time now, DeskOutbox* out) {
  ++stats_.jobs_;
  const RoomJob& spec = submit.job_;
  const auto known = by_id_.find(spec.id_);
  if (known != by_id_.end()) {
    // Sent again before the loss of the first connection was seen here.
    Job& job = jobs_[known->second];
    by_request_.erase(job.request_.value_);
    job.request_ = submit.request_;
    by_request_[submit.request_.value_] = known->second;
    return;
  }
  const std::vector<const PoolLoad*> loads = PoolLoads(spec.pool_);
  if (loads.empty()) {
    return Refuse(submit.request_, "no-workers", {}, {}, out);
  }
  if (!FitsSomewhere(spec)) {
    return Refuse(submit.request_, "never-runnable", {}, {}, out);
  }
  const RoomStep& first = spec.steps_[0];
  const Duration slack = Slack(spec);
  const Duration wait = ExpectedWait(loads, {first.count_, first.need_, slack});
  if (static_cast<double>(wait.ms_) >
      kMaxWaitShare * static_cast<double>(slack.ms_)) {
    return Refuse(submit.request_, "overloaded", wait, slack, out);
  }
  const uint64_t id = ++last_job_;
  Job& job = jobs_[id];
  job.request_ = submit.request_;
  job.spec_ = std::make_shared<const RoomJob>(spec);
  job.accepted_ = now;
  for (const RoomStep& step : spec.steps_) {
    job.steps_.emplace_back(step.count_);
    job.left_.push_back(step.count_);
  }
  by_request_[submit.request_.value_] = id;
  by_id_[spec.id_] = id;
  PlaceReady(id, now, out);
}

JobDesk::Owner* JobDesk::PickOwner(const RoomJob& job, const RoomStep& step,
                                   const DeskTask& task, std::string* name) {
  Owner* best = nullptr;
  double best_cost = 0;
  for (auto& [key, owner] : owners_) {
    PoolLoad* load = FindPool(&owner.load_, job.pool_);
    if (owner.load_.draining_ || load == nullptr) continue;
    const bool near = owner.data_centre_ == data_centre_;
    double cost = near ? 0 : static_cast<double>(kHopAdvantage.ms_);
    if (key != self_.value_) cost += 0.5;
    // A task that an owner gave back goes elsewhere if it can.
    if (task.moves_ > 0 && key == task.owner_.value_) cost += 20;
    const Room* room = TightestRoom(&load->free_, step.need_);
    if (room != nullptr) {
      cost = cost / 10 +
             static_cast<double>(room->cpu_milli_ - step.need_.cpu_milli_) /
                 std::max(1, step.need_.cpu_milli_);
    } else {
      const Duration wait = ExpectedWait({load}, {1, step.need_, Slack(job)});
      cost += 10 + static_cast<double>(wait.ms_);
    }
    if (best == nullptr || cost < best_cost) {
      best = &owner;
      best_cost = cost;
      *name = key;
    }
  }
  return best;
}

void JobDesk::PlaceReady(uint64_t id, Time now, DeskOutbox* out) {
  Job& job = jobs_[id];
  Placed placed;
  for (uint32_t step = 0; step < job.steps_.size(); ++step) {
    const auto& after = job.spec_->steps_[step].after_;
    if (std::any_of(after.begin(), after.end(),
                    [&](uint32_t one) { return job.left_[one] > 0; })) {
      continue;
    }
    for (uint32_t index = 0; index < job.steps_[step].size(); ++index) {
      if (job.steps_[step][index].state_ != TaskState::kWaiting) continue;
      Place(id, &job, step, index, now, &placed);
    }
  }
  for (auto& [where, assign] : placed.assigns_) {
    assign.begun_ = placed.any_room_ || job.started_;
    out->push_back(SendAssign{{where.first}, std::move(assign)});
  }
  if (job.assigned_ == 0) GiveUp(id, "no-workers", out);
}

void JobDesk::Place(uint64_t id, Job* job, uint32_t step, uint32_t index,
                    Time now, Placed* placed) {
  const RoomJob& spec = *job->spec_;
  const RoomStep& kind = spec.steps_[step];
  DeskTask& task = job->steps_[step][index];
  std::string name;
  Owner* owner = PickOwner(spec, kind, task, &name);
  if (owner == nullptr) return;
  PoolLoad* load = FindPool(&owner->load_, spec.pool_);
  Room* room = TightestRoom(&load->free_, kind.need_);
  const auto cpu = static_cast<uint32_t>(kind.need_.cpu_milli_);
  if (room != nullptr) {
    *room -= kind.need_;
    placed->any_room_ = true;
    load->release_milli_per_s_ += cpu * 1000ULL / kind.expected_.ms_;
  } else {
    load->queued_milli_[UrgencyClass(Slack(spec))] += cpu;
  }
  AssignTasks& assign = placed->assigns_[{name, step}];
  if (assign.tasks_.empty()) {
    const Duration age = now - job->accepted_;
    assign.name_ = spec.id_ + ".0." + std::to_string(step);
    assign.pool_ = spec.pool_;
    assign.label_ = kind.label_;
    assign.payload_ = spec.payload_;
    assign.need_ = kind.need_;
    assign.expected_ = kind.expected_;
    assign.start_within_ = Slack(spec) - age;
    assign.give_up_ =
        std::max(kMinGiveUp, std::min(spec.useful_within_, spec.deadline_) -
                                 age - kind.expected_);
  }
  task.state_ = TaskState::kAssigned;
  task.serial_ = {++last_serial_};
  task.owner_ = {name};
  ++job->assigned_;
  ++stats_.tasks_assigned_;
  tasks_[task.serial_.value_] = {id, step, index};
  assign.tasks_.push_back({task.serial_, index});
}

void JobDesk::On(const InstanceName& owner, const TaskEnded& ended, Time now,
                 DeskOutbox* out) {
  const auto found = tasks_.find(ended.serial_.value_);
  if (found == tasks_.end()) return;
  const TaskRef ref = found->second;
  Job& job = jobs_[ref.job_];
  DeskTask& task = job.steps_[ref.step_][ref.index_];
  if (task.owner_ != owner) return;
  tasks_.erase(found);
  --job.assigned_;
  task.state_ = TaskState::kWaiting;
  job.started_ = job.started_ || ended.started_;
  if (job.closing_) return Settle(ref.job_, out);
  switch (ended.end_) {
    case TaskEnd::kDone:
      task.state_ = TaskState::kDone;
      if (--job.left_[ref.step_] > 0) return;
      if (std::all_of(job.left_.begin(), job.left_.end(),
                      [](uint32_t left) { return left == 0; })) {
        return Finish(ref.job_, RoomOutcome::kComplete, "done", out);
      }
      return PlaceReady(ref.job_, now, out);
    case TaskEnd::kFailed:
      if (++task.failures_ >= job.spec_->max_failures_) {
        Withdraw(&job, out);
        return Finish(ref.job_, RoomOutcome::kFailed, "task-failed", out);
      }
      break;
    case TaskEnd::kUnknown:
      Withdraw(&job, out);
      return Finish(ref.job_, RoomOutcome::kInterrupted, "worker-lost", out);
    case TaskEnd::kExpired:
      // What has begun goes on while its answer is of use.
      if (job.started_ && now < UsefulUntil(job)) break;
      return GiveUp(ref.job_, "too-late", out);
    case TaskEnd::kWithdrawn:
    case TaskEnd::kLost:
      ++task.moves_;
      break;
    case TaskEnd::kRefused:
      break;
  }
  if (task.moves_ > kMaxMoves) return GiveUp(ref.job_, "moved-often", out);
  ++stats_.tasks_moved_;
  PlaceReady(ref.job_, now, out);
}

Time JobDesk::UsefulUntil(const Job& job) {
  const Duration within =
      std::min(job.spec_->useful_within_, job.spec_->deadline_);
  return job.accepted_ + within - LongestChain(*job.spec_);
}

std::vector<PoolLoad> JobDesk::RoomsElsewhere() const {
  std::vector<PoolLoad> rooms;
  for (const auto& [name, owner] : owners_) {
    if (name == self_.value_ || owner.load_.draining_) continue;
    for (const PoolLoad& load : owner.load_.pools_) {
      if (!load.free_.empty()) rooms.push_back(load);
    }
  }
  return rooms;
}

void JobDesk::Withdraw(Job* job, DeskOutbox* out) {
  std::map<std::string, WithdrawTasks> by_owner;
  for (auto& step : job->steps_) {
    for (DeskTask& task : step) {
      if (task.state_ != TaskState::kAssigned) continue;
      by_owner[task.owner_.value_].tasks_.push_back(task.serial_);
    }
  }
  for (auto& [name, withdraw] : by_owner) {
    out->push_back(SendWithdraw{{name}, std::move(withdraw)});
  }
}

void JobDesk::GiveUp(uint64_t id, std::string_view reason, DeskOutbox* out) {
  Job& job = jobs_[id];
  if (!job.closing_) {
    job.closing_ = true;
    job.reason_ = reason;
    Withdraw(&job, out);
  }
  Settle(id, out);
}

// Only the owners know whether a task began: the answer waits for all of them.
void JobDesk::Settle(uint64_t id, DeskOutbox* out) {
  const Job& job = jobs_[id];
  if (job.assigned_ > 0) return;
  Finish(id, job.started_ ? RoomOutcome::kTimedOut : RoomOutcome::kNotRun,
         job.reason_, out);
}

void JobDesk::Finish(uint64_t id, RoomOutcome outcome, std::string_view reason,
                     DeskOutbox* out) {
  const auto found = jobs_.find(id);
  Job& job = found->second;
  for (const auto& step : job.steps_) {
    for (const DeskTask& task : step) {
      if (task.state_ != TaskState::kAssigned) continue;
      tasks_.erase(task.serial_.value_);
    }
  }
  switch (outcome) {
    case RoomOutcome::kComplete:
      ++stats_.complete_;
      break;
    case RoomOutcome::kFailed:
      ++stats_.failed_;
      break;
    case RoomOutcome::kNotRun:
      ++stats_.refused_;
      break;
    case RoomOutcome::kInterrupted:
      ++stats_.interrupted_;
      break;
    case RoomOutcome::kTimedOut:
      ++stats_.timed_out_;
      break;
  }
  if (job.request_.valid()) {
    out->push_back(AnswerRoomJob{
        job.request_, outcome, reason, kRetryAfter, {}, Slack(*job.spec_)});
  }
  by_request_.erase(job.request_.value_);
  by_id_.erase(job.spec_->id_);
  jobs_.erase(found);
}

void JobDesk::On(const CallerGone& gone, Time /*now*/, DeskOutbox* out) {
  const auto found = by_request_.find(gone.request_.value_);
  if (found == by_request_.end()) return;
  ++stats_.caller_gone_;
  const uint64_t id = found->second;
  Job& job = jobs_[id];
  Withdraw(&job, out);
  job.request_ = RequestId{};
  by_request_.erase(found);
  Finish(id, RoomOutcome::kInterrupted, "caller-gone", out);
}

void JobDesk::OwnerReports(const InstanceName& owner,
                           const std::string& data_centre,
                           const OwnerLoad& load) {
  owners_[owner.value_] = {data_centre, load};
}

void JobDesk::OwnerLost(const InstanceName& owner, Time /*now*/,
                        DeskOutbox* out) {
  owners_.erase(owner.value_);
  std::vector<uint64_t> hit;
  for (const auto& [id, job] : jobs_) {
    for (const auto& step : job.steps_) {
      for (const DeskTask& task : step) {
        if (task.state_ == TaskState::kAssigned && task.owner_ == owner &&
            (hit.empty() || hit.back() != id)) {
          hit.push_back(id);
        }
      }
    }
  }
  for (const uint64_t id : hit) {
    Withdraw(&jobs_[id], out);
    Finish(id, RoomOutcome::kInterrupted, "owner-lost", out);
  }
}

void JobDesk::Tick(Time now, DeskOutbox* out) {
  std::vector<uint64_t> over;
  for (const auto& [id, job] : jobs_) {
    if (now >= job.accepted_ + job.spec_->deadline_) over.push_back(id);
  }
  for (const uint64_t id : over) {
    Withdraw(&jobs_[id], out);
    Finish(id, RoomOutcome::kTimedOut, "deadline", out);
  }
}

void JobDesk::Resume(Time /*now*/, DeskOutbox* out) {
  std::vector<uint64_t> all;
  for (const auto& [id, job] : jobs_) all.push_back(id);
  for (const uint64_t id : all) {
    Withdraw(&jobs_[id], out);
    Finish(id, RoomOutcome::kInterrupted, "resumed-after-pause", out);
  }
}

}  // namespace gentiandeal
