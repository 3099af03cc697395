#include <algorithm>
#include <utility>

#include "worker_scheduler.h"

/// Keeps the reservations of an owner in step with its workers, runs and
/// waiting batches.
namespace gentiandeal {
namespace {

/// A run is taken to last this much longer than expected when it starts beside
/// a reservation: declared run times are off by up to 40 %.
constexpr double kRunTimeSpread = 1.4;

Duration Scale(Duration time, double factor) {
  return {static_cast<int64_t>(static_cast<double>(time.ms_) * factor)};
}

void AddTo(ReservationStats* sum, const ReservationStats& stats) {
  sum->made_ += stats.made_;
  sum->kept_ += stats.kept_;
  for (size_t i = 0; i < kLapseReasons; ++i) {
    sum->lapsed_[i] += stats.lapsed_[i];
  }
  sum->backfills_ += stats.backfills_;
  sum->late_ms_ += stats.late_ms_;
  sum->early_ms_ += stats.early_ms_;
}

}  // namespace

Duration WorkerScheduler::ExpectedRunTime(const Worker& worker,
                                          Duration declared, Time now) const {
  const auto found = run_times_.find(worker.info_->pool_);
  return worker.speed_.ExpectedTime(
      found == run_times_.end() ? declared : found->second.Expected(declared),
      now);
}

ReservationRequest WorkerScheduler::PlanRequest(const TaskBatch& batch,
                                                uint32_t count) const {
  const AssignTasks& assign = batch.assign_;
  return {{batch.id_.value_},
          count,
          assign.need_,
          assign.expected_run_time_,
          batch.start_by_ - assign.start_within_,
          batch.start_by_};
}

void WorkerScheduler::UpdateReservations(Time now, SchedulerOutbox* out) {
  if (limits_.max_reservations_ == 0 || !admits_) return;
  for (auto& [id, worker] : workers_) PlanService(&worker, now);
  for (auto& [pool, plan] : plans_) UpdatePlan(pool, &plan, now);
  TellReservations(out);
}

void WorkerScheduler::PlanService(Worker* worker, Time now) {
  PoolPlan& pool = plans_[worker->info_->pool_];
  if (worker->plan_ != &pool) {
    Unplan(worker);
    if (pool.workers_ == 0) {
      ReservationSettings settings;
      settings.max_reservations_ = limits_.max_reservations_;
      pool.plan_ = ReservationPlan(settings);
    }
    if (pool.unused_.empty()) pool.unused_.push_back({pool.workers_++});
    worker->plan_ = &pool;
    worker->plan_id_ = pool.unused_.back();
    pool.unused_.pop_back();
    pool.plan_.SetWorker(worker->plan_id_, worker->info_->capacity_);
    pool.plan_.LapseWorker(worker->plan_id_, LapseReason::kWorkerLost);
    for (const Run& run : worker->runs_) PlanStart(*worker, run, {}, now);
  }
  const Resources& capacity = worker->info_->capacity_;
  if (Usable(*worker, now)) {
    if (worker->planned_ == capacity) return;
    // Reservations that a smaller worker can't hold are made again.
    if (worker->planned_ && !Fits(*worker->planned_, capacity)) {
      pool.plan_.LapseWorker(worker->plan_id_, LapseReason::kWorkerLost);
    }
    worker->planned_ = capacity;
    pool.plan_.SetWorker(worker->plan_id_, capacity);
    return;
  }
  if (!std::exchange(worker->planned_, {})) return;
  LapseReason reason = LapseReason::kWorkerLost;
  if (!StartsAllowed(*worker)) {
    reason = LapseReason::kWorkerEvacuated;
  } else if (worker->draining_ || worker->info_->leaving_) {
    reason = LapseReason::kWorkerLeft;
  }
  pool.plan_.LapseWorker(worker->plan_id_, reason);
}

void WorkerScheduler::UpdatePlan(const std::string& pool, PoolPlan* plan,
                                 Time now) {
  std::vector<ReservationRequest> waiting;
  for (const PlanBatchId id : plan->plan_.batches()) {
    const WaitingBatch* batch = backlog_.Find({id.value_});
    if (batch == nullptr) {
      plan->plan_.Lapse(id, LapseReason::kCancelled);
      continue;
    }
    waiting.push_back(
        PlanRequest(*waiting_.at(id.value_).batch_, batch->count_));
  }
  if (!backlog_.empty() && !draining_) {
    for (const WaitingBatch* batch :
         backlog_.LargestFirst(pool, BandOrder(), now)) {
      if (waiting.size() >= limits_.max_reservations_) break;
      // A plan doesn't know the labels of its workers.
      if (!batch->label_.empty()) continue;
      const ReservationRequest request =
          PlanRequest(*waiting_.at(batch->id_.value_).batch_, batch->count_);
      if (plan->plan_.ReservedStart(request.batch_) ||
          !plan->plan_.WorthReserving(request, now)) {
        continue;
      }
      waiting.push_back(request);
    }
  }
  plan->plan_.Update(waiting, now);
}

void WorkerScheduler::PlanStart(const Worker& worker, const Run& run,
                                PlanBatchId batch, Time now) const {
  if (worker.plan_ == nullptr) return;
  const Time end =
      run.sent_at_ + ExpectedRunTime(worker, run.expected_run_time_, now);
  worker.plan_->plan_.RunStarted(worker.plan_id_, {run.key_}, batch, run.need_,
                                 end, now);
}

void WorkerScheduler::PlanEnd(const Worker& worker, uint64_t run) {
  if (worker.plan_ != nullptr) {
    worker.plan_->plan_.RunEnded(worker.plan_id_, {run});
  }
}

void WorkerScheduler::PlanStop(const Worker& worker, const Run& run, Time end) {
  if (worker.plan_ != nullptr) {
    worker.plan_->plan_.RunExpected(worker.plan_id_, {run.key_}, end);
  }
}

void WorkerScheduler::Unplan(Worker* worker) {
  if (worker->plan_ == nullptr) return;
  const bool left = worker->draining_ || worker->info_->leaving_;
  worker->plan_->plan_.LapseWorker(
      worker->plan_id_,
      left ? LapseReason::kWorkerLeft : LapseReason::kWorkerLost);
  for (const Run& run : worker->runs_) PlanEnd(*worker, run.key_);
  worker->plan_->unused_.push_back(worker->plan_id_);
  worker->plan_ = nullptr;
  worker->planned_.reset();
}

bool WorkerScheduler::LapseIfGone(BatchId id, LapseReason reason) {
  if (backlog_.Find(id) != nullptr) return false;
  for (auto& [pool, plan] : plans_) {
    if (!plan.plan_.ReservedStart({id.value_})) continue;
    plan.plan_.Lapse({id.value_}, reason);
    return true;
  }
  return false;
}

void WorkerScheduler::TellReservations(SchedulerOutbox* out) {
  ReservationStats sum;
  for (auto& [pool, plan] : plans_) {
    for (const ReservationChange& change : plan.plan_.TakeChanges()) {
      const uint64_t id = change.batch_.value_;
      if (change.state_ == ReservationState::kMade) {
        plan.steps_[id] = waiting_.at(id).batch_->assign_.name_;
      }
      out->push_back(ReservationChanged{plan.steps_[id], change});
      if (change.state_ != ReservationState::kMade) plan.steps_.erase(id);
    }
    AddTo(&sum, plan.plan_.stats());
  }
  stats_.reservations_ = sum;
}

bool WorkerScheduler::KeepsReservations(const TaskBatch& batch,
                                        const Worker& worker, Time now) const {
  if (worker.plan_ == nullptr || worker.plan_->plan_.size() == 0) return true;
  const AssignTasks& assign = batch.assign_;
  const Duration expected =
      ExpectedRunTime(worker, assign.expected_run_time_, now);
  return worker.plan_->plan_.MayStart(
      worker.plan_id_, {batch.id_.value_}, assign.need_,
      now + Scale(expected, kRunTimeSpread), now);
}

const WaitingBatch* WorkerScheduler::ReservedBatch(const Worker& worker,
                                                   Time now) const {
  if (worker.plan_ == nullptr) return nullptr;
  const auto id = worker.plan_->plan_.ReservedFor(worker.plan_id_, now);
  return id ? backlog_.Find({id->value_}) : nullptr;
}

bool WorkerScheduler::MustBeginWhole(const WaitingBatch& batch,
                                     Time now) const {
  if (plans_.empty() || batch.count_ <= 1 || batch.start_by_ <= now) {
    return false;
  }
  const AssignTasks& assign = waiting_.at(batch.id_.value_).batch_->assign_;
  return assign.refusable_ && assign.label_.empty() &&
         batch.count_ == assign.tasks_.size();
}

bool WorkerScheduler::MayBegin(const WaitingBatch& batch, Time now) {
  if (!MustBeginWhole(batch, now)) return true;
  const auto plan = plans_.find(batch.pool_);
  if (plan == plans_.end()) return true;
  // Absent for a batch that needs more than all workers have at a time.
  const auto start = plan->second.plan_.EarliestStart(
      PlanRequest(*waiting_.at(batch.id_.value_).batch_, batch.count_), now);
  return !start || *start <= batch.start_by_;
}

Duration WorkerScheduler::PlannedWait(const TaskBatch& batch, Time now) {
  const AssignTasks& assign = batch.assign_;
  const auto plan = plans_.find(assign.pool_);
  if (plan == plans_.end() || !assign.label_.empty()) return {0};
  const auto start = plan->second.plan_.EarliestStart(
      PlanRequest(batch, static_cast<uint32_t>(assign.tasks_.size())), now);
  return start ? *start - now : Duration{0};
}

}  // namespace gentiandeal
