#include <algorithm>
#include <tuple>
#include <utility>

#include "job_coordinator.h"
#include "wait_estimate.h"

/// Where the tasks of accepted jobs go: which owners are asked, and what
/// follows when one of them refuses.
namespace gentiandeal {
namespace {

/// A task that has to wait goes to another data centre only if its expected
/// wait there is shorter by this much.
constexpr Duration kRemoteDataCentrePenalty{30};
/// Costs added by `SelectOwner`, in milliseconds of expected wait. They count a
/// tenth where the task fits into free resources.
constexpr double kRemoteOwnerPenalty = 0.5;
constexpr double kSameOwnerPenalty = 20;
/// Added where the task has to wait, so that free resources are preferred.
constexpr double kWaitPenalty = 10;
/// Owners that may refuse a job's tasks before the job is refused: a second one
/// is asked since load reports are old, a third would answer too late.
constexpr size_t kMaxRefusals = 2;
/// The same while another owner reports free resources for all of them: with
/// few workers an owner, these are often all that is free.
constexpr size_t kMaxRefusalsIfFree = 5;
/// An owner that refused a batch isn't asked again for a part of the wait that
/// it expected, within these bounds. Load reports come that often.
constexpr Duration kMinRefusalMemory{20};
constexpr Duration kMaxRefusalMemory{100};
/// Lower bound of `AssignTasks::give_up_after_`.
constexpr Duration kMinGiveUp{50};
/// Added to expected waits when owners are weighed by them: load reports are at
/// least that old, so that smaller differences say nothing.
constexpr Duration kWaitResolution{20};
/// Steps of a draw among owners.
constexpr size_t kTickets = 1U << 20U;
uint64_t FreeCpu(const PoolLoad& load) {
  uint64_t milli = 0;
  for (const Resources& free : load.free_) {
    milli += static_cast<uint64_t>(std::max(0, free.cpu_milli_));
  }
  return milli;
}

template <typename Load>
auto FindPool(Load* load, const std::string& pool)
    -> decltype(load->pools_.data()) {
  for (auto& candidate : load->pools_) {
    if (candidate.pool_ == pool) return &candidate;
  }
  return nullptr;
}

}  // namespace

std::optional<double> JobCoordinator::OwnerCost(
    const HostedJob& job, uint32_t step_index, const TaskRecord& task,
    const Placement& placement, Time now, const std::string& name,
    Owner* owner) const {
  const HostedJobStep& step = job.steps_[step_index];
  PoolLoad* load = FindPool(&owner->load_, job.pool_);
  if (owner->load_.draining_ || now < owner->full_until_ || load == nullptr) {
    return std::nullopt;
  }
  const bool near = owner->data_centre_ == data_centre_;
  double cost = near ? 0 : static_cast<double>(kRemoteDataCentrePenalty.ms_);
  if (name != self_.value_) {
    cost += kRemoteOwnerPenalty;
    // Further tasks of a step go along in the same message.
    const bool sent = placement.assigns_.count({name, step_index}) > 0;
    if (!sent) {
      // Sent by this instance and received by the owner, whose link isn't
      // known.
      const auto bytes = static_cast<int64_t>(job.payload_.size());
      cost += 2 * static_cast<double>(link_rate_.TimeFor(bytes).ms_);
    }
  }
  // A task that an owner returned goes to another owner if possible.
  if (task.reassignments_ > 0 && name == task.owner_.value_) {
    cost += kSameOwnerPenalty;
  }
  const Resources* free = FindBestFit(&load->free_, step.need_);
  if (free != nullptr) {
    return cost / 10 +
           static_cast<double>(free->cpu_milli_ - step.need_.cpu_milli_) /
               std::max(1, step.need_.cpu_milli_);
  }
  const Duration wait = ExpectedWait({load}, {1, step.need_, Slack(job)});
  return cost + kWaitPenalty + static_cast<double>(wait.ms_);
}

JobCoordinator::Owner* JobCoordinator::SelectOwner(
    const HostedJob& job, uint32_t step_index, const TaskRecord& task,
    const Placement& placement, Time now, std::string* name) {
  Owner* best = nullptr;
  double best_cost = 0;
  for (auto& [key, owner] : owners_) {
    const auto cost =
        OwnerCost(job, step_index, task, placement, now, key, &owner);
    if (cost && (best == nullptr || *cost < best_cost)) {
      best = &owner;
      best_cost = *cost;
      *name = key;
    }
  }
  return best;
}

bool JobCoordinator::FitsOneOwner(const HostedJob& job, Time now) const {
  const HostedJobStep& first = job.steps_[0];
  PlacementRequest request;
  request.count_ = first.count_;
  request.need_ = first.need_;
  const Duration slack = Slack(job);
  for (const PoolLoad* load : PoolLoads(job.pool_, now)) {
    PoolLoad unqueued = *load;
    unqueued.queued_cpu_milli_ = {};
    if (ExpectedWait({&unqueued}, request) <= slack) return true;
  }
  return false;
}

// In order of preference: one owner of this data centre that can start all
// tasks; several of them; one of another data centre; all of them; one of those
// that are expected to start them in time. Several owners may refuse their
// shares, so that work of the others is lost: one is better.
JobCoordinator::BatchPlan JobCoordinator::PlanBatch(
    const HostedJob& job, uint32_t step_index, size_t tasks,
    const std::set<std::string>& excluded, Time now) const {
  using Candidate = BatchCandidate;
  const HostedJobStep& step = job.steps_[step_index];
  const auto count = static_cast<uint32_t>(tasks);
  BatchPlan plan;
  std::vector<Candidate>& candidates = plan.candidates_;
  for (const auto& [name, owner] : owners_) {
    const PoolLoad* load = FindPool(&owner.load_, job.pool_);
    if (owner.load_.draining_ || now < owner.full_until_ || load == nullptr ||
        excluded.count(name) > 0) {
      continue;
    }
    const bool near = owner.data_centre_ == data_centre_;
    Candidate candidate{
        &name, load, near, CountFitting(load->free_, step.need_, count),
        ExpectedWait({load}, {count, step.need_, Slack(job), job.band_})};
    const RefusedBatch& refused = owner.refused_[job.band_];
    if (now < refused.asked_again_at_ &&
        count * int64_t{step.need_.cpu_milli_} >= refused.cpu_milli_) {
      candidate.refused_lately_ = true;
      candidate.fitting_ = 0;
      candidate.wait_ = std::max(candidate.wait_, Slack(job) + Duration{1});
    }
    if (!near) candidate.wait_ = candidate.wait_ + kRemoteDataCentrePenalty;
    candidates.push_back(candidate);
  }
  if (candidates.empty()) return plan;
  // Instances that see the same reports must not all choose the same owner:
  // each takes a share of the jobs that follows its free resources.
  const auto choose = [&](bool near) -> const Candidate* {
    const auto able = [&](const Candidate& one) {
      return one.near_ == near && one.fitting_ >= tasks;
    };
    uint64_t total = 0;
    for (const Candidate& one : candidates) {
      if (able(one)) total += FreeCpu(*one.load_);
    }
    if (total == 0) return nullptr;
    uint64_t ticket = std::hash<std::string>{}(job.id_ + self_.value_) % total;
    for (const Candidate& one : candidates) {
      if (!able(one)) continue;
      const uint64_t free = FreeCpu(*one.load_);
      if (ticket < free) return &one;
      ticket -= free;
    }
    return nullptr;
  };
  const auto send_to = [&](const Candidate& one, BatchRule rule) {
    plan.rule_ = rule;
    plan.shares_.push_back({*one.name_, tasks, rule != BatchRule::kInTime});
  };
  const auto split = [&](bool near_only) {
    std::vector<Candidate> parts;
    size_t fitting = 0;
    for (const Candidate& one : candidates) {
      if (one.fitting_ == 0 || (near_only && !one.near_)) continue;
      parts.push_back(one);
      fitting += one.fitting_;
    }
    if (fitting < tasks) return false;
    plan.rule_ = near_only ? BatchRule::kSplitNear : BatchRule::kSplitAnywhere;
    std::sort(parts.begin(), parts.end(),
              [](const Candidate& a, const Candidate& b) {
                return std::tuple(!a.near_, b.fitting_, *a.name_) <
                       std::tuple(!b.near_, a.fitting_, *b.name_);
              });
    size_t left = tasks;
    for (const Candidate& one : parts) {
      if (left == 0) break;
      const size_t taken = std::min(left, one.fitting_);
      plan.shares_.push_back({*one.name_, taken, true});
      left -= taken;
    }
    return true;
  };
  if (const Candidate* one = choose(/*near=*/true)) {
    send_to(*one, BatchRule::kOneNear);
    return plan;
  }
  if (split(/*near_only=*/true)) return plan;
  const Candidate& soonest = *std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.wait_ < b.wait_; });
  if (soonest.wait_ > kRemoteDataCentrePenalty) {
    if (const Candidate* one = choose(/*near=*/false)) {
      send_to(*one, BatchRule::kOneAnywhere);
      return plan;
    }
    if (split(/*near_only=*/false)) return plan;
  }
  // The one with the shortest wait would get the jobs of all instances until
  // its next report, while others still have time.
  std::vector<double> weights;
  double total = 0;
  for (const Candidate& one : candidates) {
    const bool in_time = one.wait_ <= Slack(job) || &one == &soonest;
    total += in_time
                 ? 1 / static_cast<double>((one.wait_ + kWaitResolution).ms_)
                 : 0;
    weights.push_back(total);
  }
  const double ticket =
      total *
      static_cast<double>(std::hash<std::string>{}(job.id_ + self_.value_) %
                          kTickets) /
      static_cast<double>(kTickets);
  const auto drawn = static_cast<size_t>(
      std::upper_bound(weights.begin(), weights.end(), ticket) -
      weights.begin());
  const Candidate& asked = candidates[std::min(drawn, candidates.size() - 1)];
  send_to(asked, BatchRule::kInTime);
  plan.expected_wait_ = asked.wait_;
  return plan;
}

void JobCoordinator::PlaceBatch(uint64_t id, Job* job, uint32_t step,
                                const std::vector<uint32_t>& tasks, Time now,
                                Placement* placement) {
  if (tasks.empty()) return;
  const HostedJob& spec = *job->spec_;
  const HostedJobStep& step_spec = spec.steps_[step];
  std::set<std::string> excluded = job->refused_by_;
  // A task that was lost goes to another owner if possible.
  for (const uint32_t index : tasks) {
    const TaskRecord& task = job->steps_[step][index];
    if (task.reassignments_ > 0) excluded.insert(task.owner_.value_);
  }
  BatchPlan plan = PlanBatch(spec, step, tasks.size(), excluded, now);
  if (plan.shares_.empty()) {
    plan = PlanBatch(spec, step, tasks.size(), job->refused_by_, now);
  }
  const auto cpu = static_cast<uint32_t>(step_spec.need_.cpu_milli_);
  auto next = tasks.begin();
  for (const BatchShare& share : plan.shares_) {
    PoolLoad* load = FindPool(&owners_.at(share.owner_).load_, spec.pool_);
    for (size_t i = 0; i < share.tasks_; ++i) {
      Resources* free = FindBestFit(&load->free_, step_spec.need_);
      if (free != nullptr) {
        *free -= step_spec.need_;
        load->released_cpu_milli_per_s_ +=
            cpu * 1000ULL / step_spec.expected_.ms_;
      } else {
        load->queued_cpu_milli_[QueueClass(spec.band_, Slack(spec))] += cpu;
      }
      Assign(id, job, step, *next++, now, share.owner_, placement);
    }
  }
  // With one owner, it alone knows whether any has started.
  placement->any_immediate_ = plan.shares_.size() > 1;
}

void JobCoordinator::PlaceReady(uint64_t id, Time now, CoordinatorOutbox* out) {
  Job& job = jobs_[id];
  awaiting_room_.erase({job.spec_->band_, id});
  Placement placement;
  bool any_left = false;
  for (uint32_t step = 0; step < job.steps_.size(); ++step) {
    const auto& after = job.spec_->steps_[step].depends_on_;
    if (std::any_of(after.begin(), after.end(), [&](uint32_t dependency) {
          return job.remaining_[dependency] > 0;
        })) {
      continue;
    }
    std::vector<uint32_t> waiting;
    for (uint32_t index = 0; index < job.steps_[step].size(); ++index) {
      if (job.steps_[step][index].state_ != TaskState::kWaiting) continue;
      waiting.push_back(index);
    }
    if (job.by_owners_) {
      PlaceBatch(id, &job, step, waiting, now, &placement);
    } else {
      for (const uint32_t index : waiting) {
        Place(id, &job, step, index, now, &placement);
      }
    }
    any_left = any_left ||
               std::any_of(waiting.begin(), waiting.end(), [&](uint32_t index) {
                 return job.steps_[step][index].state_ == TaskState::kWaiting;
               });
  }
  for (auto& [owner_and_step, assign] : placement.assigns_) {
    assign.job_started_ = placement.any_immediate_ || job.started_;
    assign.refusable_ = job.by_owners_ && !job.started_ && !job.committed_;
    out->push_back(SendAssign{{owner_and_step.first}, std::move(assign)});
  }
  if (any_left && HasFullOwner(job.spec_->pool_, now)) {
    awaiting_room_.insert({job.spec_->band_, id});
  } else if (job.assigned_ == 0) {
    Abandon(id, "no-workers", now, out);
  }
}

void JobCoordinator::Place(uint64_t id, Job* job, uint32_t step, uint32_t index,
                           Time now, Placement* placement) {
  const HostedJob& spec = *job->spec_;
  const HostedJobStep& step_spec = spec.steps_[step];
  TaskRecord& task = job->steps_[step][index];
  std::string name;
  Owner* owner = SelectOwner(spec, step, task, *placement, now, &name);
  if (owner == nullptr) return;
  PoolLoad* load = FindPool(&owner->load_, spec.pool_);
  Resources* free = FindBestFit(&load->free_, step_spec.need_);
  const auto cpu = static_cast<uint32_t>(step_spec.need_.cpu_milli_);
  if (free != nullptr) {
    *free -= step_spec.need_;
    placement->any_immediate_ = true;
    load->released_cpu_milli_per_s_ += cpu * 1000ULL / step_spec.expected_.ms_;
  } else {
    load->queued_cpu_milli_[UrgencyClass(Slack(spec))] += cpu;
  }
  Assign(id, job, step, index, now, name, placement);
}

AssignTasks JobCoordinator::MakeAssign(const HostedJob& job, uint32_t step,
                                       Duration age) {
  const HostedJobStep& step_spec = job.steps_[step];
  AssignTasks assign;
  assign.name_ = StepName(job, step);
  assign.pool_ = job.pool_;
  assign.band_ = job.band_;
  assign.label_ = step_spec.label_;
  assign.payload_ = job.payload_;
  assign.need_ = step_spec.need_;
  assign.expected_run_time_ = step_spec.expected_;
  assign.start_within_ = Slack(job) - age;
  assign.give_up_after_ =
      std::max(kMinGiveUp, std::min(job.useful_within_, job.deadline_) - age -
                               step_spec.expected_);
  return assign;
}

void JobCoordinator::Assign(uint64_t id, Job* job, uint32_t step,
                            uint32_t index, Time now, const std::string& owner,
                            Placement* placement) {
  TaskRecord& task = job->steps_[step][index];
  AssignTasks& assign = placement->assigns_[{owner, step}];
  if (assign.tasks_.empty()) {
    assign = MakeAssign(*job->spec_, step, now - job->accepted_);
  }
  task.state_ = TaskState::kAssigned;
  task.serial_ = {++last_serial_};
  task.owner_ = {owner};
  ++job->assigned_;
  ++stats_.tasks_assigned_;
  tasks_[task.serial_.value_] = {id, step, index};
  assign.tasks_.push_back(
      {task.serial_, index, losses_.Find(TaskName(assign.name_, index))});
}

void JobCoordinator::On(const InstanceName& owner, const BatchRefused& refused,
                        Time now, CoordinatorOutbox* out) {
  uint64_t id = 0;
  uint32_t step = 0;
  for (const TaskSerial serial : refused.tasks_) {
    const auto found = tasks_.find(serial.value_);
    if (found == tasks_.end()) continue;
    const TaskRef ref = found->second;
    Job& job = jobs_[ref.job_];
    TaskRecord& task = job.steps_[ref.step_][ref.index_];
    if (task.owner_ != owner) continue;
    tasks_.erase(found);
    --job.assigned_;
    task.state_ = TaskState::kWaiting;
    id = ref.job_;
    step = ref.step_;
  }
  if (id == 0) return;
  ++stats_.batches_refused_;
  Job& job = jobs_[id];
  const auto known = owners_.find(owner.value_);
  if (known != owners_.end()) {
    const Time again =
        now + std::clamp(Duration{refused.expected_wait_.ms_ / 2},
                         kMinRefusalMemory, kMaxRefusalMemory);
    const int64_t cpu_milli = static_cast<int64_t>(refused.tasks_.size()) *
                              job.spec_->steps_[step].need_.cpu_milli_;
    // It has no time for lower bands either.
    for (size_t band = job.spec_->band_; band < kPriorityBands; ++band) {
      known->second.refused_[band] = {cpu_milli, again};
    }
  }
  if (job.abandoned_) return FinishIfNoneAssigned(id, out);
  job.refused_by_.insert(owner.value_);
  job.expected_wait_ = refused.expected_wait_;
  const Duration left = Slack(*job.spec_) - (now - job.accepted_);
  if (job.refused_by_.size() < kMaxRefusalsIfFree && left > Duration{0}) {
    const BatchPlan plan = PlanBatch(*job.spec_, step, refused.tasks_.size(),
                                     job.refused_by_, now);
    const bool asks =
        plan.expected_wait_.ms_ == 0 ||
        (job.refused_by_.size() < kMaxRefusals && plan.expected_wait_ <= left);
    if (!plan.shares_.empty() && asks) {
      out->push_back(
          BatchReassigned{job.spec_->id_, owner, refused.expected_wait_});
      // The work of the other owners would be lost.
      job.committed_ = job.assigned_ > 0;
      return PlaceReady(id, now, out);
    }
  }
  Abandon(id, "overloaded", now, out);
}

}  // namespace gentiandeal
