#include <algorithm>
#include <utility>

#include "wait_estimate.h"
#include "worker_scheduler.h"

/// Waiting tasks of an owner: where each one starts, which ones expire or are
/// returned for other owners, and the load that is reported to other instances.
namespace gentiandeal {
namespace {

/// Waiting tasks returned to the instances that assigned them, at a time.
constexpr size_t kMaxOffloadedTasks = 8;

/// Cost, for a task that crashes workers, of each run that it would take with
/// it, above all other costs.
constexpr double kSuspectRunCost = 10;

/// Time that starts may take the link in one piece: short compared to latency
/// objectives and to the interval of heartbeats. More of them would hold up
/// everything else on the link.
constexpr Duration kStartWindow{20};
/// Times that the payload of a returned task crosses a link before it can start
/// elsewhere: from its coordinator to the other owner, and out of the way of
/// what waits there.
constexpr int64_t kReturnTransfers = 4;

constexpr double kMilliPerCore = 1000;
/// Share of the slack that a batch of a lower band may be expected to wait when
/// it is accepted. The rest is for what higher bands take in the meantime: a
/// refusal on arrival leaves the caller more time than one after a wait.
constexpr double kAcceptedShareOfSlack = 0.7;

/// A waiting batch is shed if it would miss its objective by more than this:
/// about the error of the estimate.
constexpr Duration kShedMargin{20};

/// Batches found unable to begin as a whole in the choice of one start: each
/// check searches all workers.
constexpr size_t kMaxHeldBatches = 2;

/// Tasks of a job that has not started expire when they are late by this share
/// of their slack. Until then, they use resources that no other waiting task
/// can use.
constexpr double kLateStartShare = 0.5;

/// Headers of a start and of its packets, and its body without the payload.
constexpr int64_t kStartOverheadBytes = 400;

}  // namespace

double WorkerScheduler::Work(const AssignTasks& assign) {
  return static_cast<double>(assign.need_.cpu_milli_) / kMilliPerCore *
         static_cast<double>(assign.expected_run_time_.ms_);
}

std::shared_ptr<WorkerScheduler::TaskBatch> WorkerScheduler::Receive(
    SessionId session, const AssignTasks& assign, Time now,
    SchedulerOutbox* out) {
  auto batch = std::make_shared<TaskBatch>();
  batch->id_ = {++last_batch_};
  batch->session_ = session;
  batch->assign_ = assign;
  batch->payload_ =
      std::make_shared<const std::string>(std::move(batch->assign_.payload_));
  batch->job_started_ = assign.job_started_;
  batch->start_by_ = now + assign.start_within_;
  batch->give_up_at_ = now + assign.give_up_after_;
  const Duration grace{static_cast<int64_t>(
      kLateStartShare *
      static_cast<double>(std::max<int64_t>(0, assign.start_within_.ms_)))};
  batch->first_start_by_ =
      std::min(batch->give_up_at_, batch->start_by_ + grace);
  shares_.Offer(assign.band_,
                static_cast<double>(assign.tasks_.size()) * Work(assign), now);
  admits_ = admits_ || assign.refusable_;
  UpdateReservations(now, out);
  return batch;
}

void WorkerScheduler::Enqueue(Task task, Time now) {
  const TaskBatch& batch = *task.batch_;
  WaitingBatch entry;
  entry.id_ = batch.id_;
  entry.band_ = batch.assign_.band_;
  entry.started_ = batch.job_started_;
  entry.pool_ = batch.assign_.pool_;
  entry.label_ = batch.assign_.label_;
  entry.need_ = batch.assign_.need_;
  entry.count_ = 1;
  entry.start_by_ = batch.start_by_;
  entry.expires_at_ =
      batch.job_started_ ? batch.give_up_at_ : batch.first_start_by_;
  backlog_.Add(entry, now);
  waiting_serials_[{task.session_.value_, task.serial_.value_}] = batch.id_;
  WaitingTasks& waiting = waiting_[batch.id_.value_];
  waiting.batch_ = task.batch_;
  waiting.tasks_.push_back(std::move(task));
  ++load_version_;
}

std::vector<WorkerScheduler::Task> WorkerScheduler::TakeWaiting(
    BatchId id, const std::function<bool(const Task&)>& matches) {
  std::vector<Task> taken;
  const auto found = waiting_.find(id.value_);
  if (found == waiting_.end()) return taken;
  std::vector<Task>& tasks = found->second.tasks_;
  const auto first =
      std::stable_partition(tasks.begin(), tasks.end(),
                            [&](const Task& task) { return !matches(task); });
  taken.assign(std::make_move_iterator(first),
               std::make_move_iterator(tasks.end()));
  tasks.erase(first, tasks.end());
  for (const Task& task : taken) {
    waiting_serials_.erase({task.session_.value_, task.serial_.value_});
  }
  backlog_.Remove(id, static_cast<uint32_t>(taken.size()));
  if (tasks.empty()) waiting_.erase(found);
  if (!taken.empty()) ++load_version_;
  return taken;
}

std::vector<WorkerScheduler::Task> WorkerScheduler::TakeAllWaiting() {
  std::vector<BatchId> ids;
  for (const auto& [id, waiting] : waiting_) ids.push_back({id});
  std::sort(ids.begin(), ids.end());
  std::vector<Task> all;
  for (const BatchId id : ids) {
    for (Task& task : TakeWaiting(id)) {
      all.push_back(std::move(task));
    }
    LapseIfGone(id, LapseReason::kRefused);
  }
  return all;
}

void WorkerScheduler::Requeue(Task task, const Worker& worker, Time now,
                              SchedulerOutbox* out) {
  if (IsExhausted(losses_.Find(task.name_))) {
    return GiveUp(task, out);
  }
  if (now >= task.batch_->give_up_at_) {
    return Report(task, TaskEnd::kExpired, out);
  }
  if (draining_) return Report(task, TaskEnd::kLost, out);
  task.avoid_worker_ = worker.info_->id_.value_;
  Enqueue(std::move(task), now);
  requeued_ = true;
}

void WorkerScheduler::Report(const Task& task, TaskEnd end,
                             SchedulerOutbox* out) {
  out->push_back(ReportTask{task.session_, {task.serial_, end, task.started_}});
}

Duration WorkerScheduler::TypicalTime(const AssignTasks& assign) const {
  const auto found = run_times_.find(assign.pool_);
  return found == run_times_.end()
             ? assign.expected_run_time_
             : found->second.Expected(assign.expected_run_time_);
}

TaskDemand WorkerScheduler::DemandOf(const TaskBatch& batch, Duration typical,
                                     Time now) {
  return {typical, batch.start_by_ - now + batch.assign_.expected_run_time_,
          static_cast<uint32_t>(batch.assign_.tasks_.size())};
}

WorkerOffer WorkerScheduler::OfferOf(const Worker& worker,
                                     const Resources& need, Time now) {
  WorkerOffer offer;
  offer.ratio_ = worker.speed_.Ratio(now);
  offer.spread_ = worker.speed_.spread();
  offer.left_over_ =
      static_cast<double>(worker.free_.cpu_milli_ - need.cpu_milli_) /
      std::max(1, need.cpu_milli_);
  return offer;
}

WorkerScheduler::Worker* WorkerScheduler::PickWorker(const Task& task,
                                                     Time now) {
  Worker* best = nullptr;
  double best_cost = 0;
  const AssignTasks& assign = task.batch_->assign_;
  const TaskDemand demand = DemandOf(*task.batch_, TypicalTime(assign), now);
  const bool suspect = losses_.Find(task.name_).crashes_ > 0;
  for (auto& [id, worker] : workers_) {
    if (!Fits(assign.need_, worker.free_) || !Usable(worker, now) ||
        !MayStart(task, worker, now) ||
        !KeepsReservations(*task.batch_, worker, now)) {
      continue;
    }
    WorkerOffer offer = OfferOf(worker, assign.need_, now);
    offer.avoided_ = id == task.avoid_worker_;
    if (PrefersToWait(task, worker, now)) continue;
    double cost = PlacementCost(demand, offer) +
                  ColdCost(limits_.warm_up_, worker.info_->cold_until_ - now,
                           demand.expected_);
    // What a task that crashes workers takes with it should be little.
    if (suspect) {
      cost += kSuspectRunCost * static_cast<double>(worker.runs_.size());
    }
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
}

bool WorkerScheduler::MayStart(const Task& task, const Worker& worker,
                               Time now) const {
  const AssignTasks& assign = task.batch_->assign_;
  return CanLease(worker, task.session_, now) &&
         worker.info_->pool_ == assign.pool_ &&
         HasLabel(*worker.info_, assign.label_);
}

std::array<uint8_t, kPriorityBands> WorkerScheduler::BandOrder() const {
  std::array<uint8_t, kPriorityBands> order{};
  for (size_t i = 0; i < order.size(); ++i) order[i] = static_cast<uint8_t>(i);
  std::stable_sort(order.begin(), order.end(), [this](uint8_t a, uint8_t b) {
    return shares_.BelowShare(a) && !shares_.BelowShare(b);
  });
  return order;
}

WaitEstimate WorkerScheduler::ExpectedWaitOf(const AssignTasks& assign,
                                             Time now) const {
  const OwnerLoad own = load(now);
  const auto found = std::find_if(
      own.pools_.begin(), own.pools_.end(),
      [&](const PoolLoad& one) { return one.pool_ == assign.pool_; });
  PlacementRequest request;
  request.count_ = static_cast<uint32_t>(assign.tasks_.size());
  request.need_ = assign.need_;
  request.slack_ = assign.start_within_;
  if (found == own.pools_.end()) return EstimateWait({}, request);
  PoolLoad ordered = *found;
  const auto order = BandOrder();
  for (size_t rank = 0; rank < order.size(); ++rank) {
    const uint8_t band = order[rank];
    if (band == assign.band_) request.band_ = static_cast<uint8_t>(rank);
    ordered.started_cpu_milli_per_s_[rank] =
        found->started_cpu_milli_per_s_[band];
    std::copy_n(found->queued_cpu_milli_.begin() + band * kUrgencyClasses,
                kUrgencyClasses,
                ordered.queued_cpu_milli_.begin() + rank * kUrgencyClasses);
  }
  return EstimateWait({&ordered}, request);
}

bool WorkerScheduler::FitsSlowWorkers(const TaskBatch& batch, Time now) const {
  const AssignTasks& assign = batch.assign_;
  const Time useless_at = batch.give_up_at_ + assign.expected_run_time_;
  const auto wanted = static_cast<uint32_t>(assign.tasks_.size());
  uint32_t fitting = 0;
  for (const auto& [id, worker] : workers_) {
    if (fitting >= wanted) break;
    if (!worker.slow_ || !Usable(worker, now) ||
        worker.info_->pool_ != assign.pool_ ||
        !HasLabel(*worker.info_, assign.label_) ||
        !CanLease(worker, batch.session_, now) ||
        now + ExpectedRunTime(worker, assign.expected_run_time_, now) >=
            useless_at) {
      continue;
    }
    fitting += CountFitting({worker.free_}, assign.need_, wanted - fitting);
  }
  return fitting >= wanted;
}

bool WorkerScheduler::PrefersToWait(const Task& task, const Worker& worker,
                                    Time now) const {
  const TaskBatch& batch = *task.batch_;
  return !batch.any_speed_ &&
         RatherWaits(DemandOf(batch, TypicalTime(batch.assign_), now),
                     OfferOf(worker, batch.assign_.need_, now));
}

BatchAdmission WorkerScheduler::Judge(const TaskBatch& batch, Time now) {
  const AssignTasks& assign = batch.assign_;
  BatchAdmission admission;
  admission.queue_ = ExpectedWaitOf(assign, now);
  // The rate at which runs end says nothing about fragments, and the plan
  // doesn't count batches without a reservation.
  admission.planned_wait_ = PlannedWait(batch, now);
  admission.wait_ = std::max(admission.queue_.wait_, admission.planned_wait_);
  admission.max_wait_ = AcceptedWait(assign);
  if (admission.wait_.ms_ == 0 || admission.wait_ <= admission.max_wait_) {
    return admission;
  }
  admission.on_slow_workers_ = FitsSlowWorkers(batch, now);
  admission.accepted_ = admission.on_slow_workers_;
  return admission;
}

Duration WorkerScheduler::AcceptedWait(const AssignTasks& assign) {
  if (assign.band_ == 0) return assign.start_within_;
  const auto slack = static_cast<double>(assign.start_within_.ms_);
  return {static_cast<int64_t>(kAcceptedShareOfSlack * slack)};
}

bool WorkerScheduler::RefuseBatch(TaskBatch* batch, Time now,
                                  SchedulerOutbox* out) {
  const AssignTasks& assign = batch->assign_;
  const BatchAdmission admission = Judge(*batch, now);
  batch->any_speed_ = admission.on_slow_workers_;
  if (admission.accepted_) return false;
  ++stats_.batches_refused_;
  ReportRefused report{batch->session_, {{}, admission.wait_}, assign.name_,
                       assign.band_,    assign.start_within_,  false};
  for (const AssignedTask& task : assign.tasks_) {
    report.refused_.tasks_.push_back(task.serial_);
  }
  out->push_back(std::move(report));
  return true;
}

void WorkerScheduler::StartBatch(BatchId id, Time now, SchedulerOutbox* out) {
  const WaitingBatch* batch = backlog_.Find(id);
  if (batch == nullptr || !MayBegin(*batch, now)) return;
  for (;;) {
    const auto found = waiting_.find(id.value_);
    if (found == waiting_.end() || StartsHeldBack()) return;
    Worker* worker = PickWorker(found->second.tasks_.front(), now);
    // The tasks of a batch need the same resources: if one can't be placed,
    // none can.
    if (worker == nullptr) return;
    const TaskSerial next = found->second.tasks_.front().serial_;
    std::vector<Task> tasks =
        TakeWaiting(id, [&](const Task& task) { return task.serial_ == next; });
    Start(worker, std::move(tasks.front()), now, out);
  }
}

void WorkerScheduler::FillWorker(Worker* worker, Time now,
                                 SchedulerOutbox* out) {
  const auto order = BandOrder();
  while (!backlog_.empty() && !StartsHeldBack() && Usable(*worker, now) &&
         worker->free_.cpu_milli_ >= 0) {
    const auto startable = [&](const WaitingBatch& batch) -> const Task* {
      const WaitingTasks& waiting = waiting_.at(batch.id_.value_);
      if (now >= batch.expires_at_ ||
          !KeepsReservations(*waiting.batch_, *worker, now)) {
        return nullptr;
      }
      for (const Task& task : waiting.tasks_) {
        if (!MayStart(task, *worker, now)) continue;
        if (PrefersToWait(task, *worker, now)) continue;
        // Another worker is tried first after a failure, and fewer other runs
        // are put at risk by a task that may crash workers.
        const bool elsewhere =
            task.avoid_worker_ == worker->info_->id_.value_ ||
            losses_.Find(task.name_).crashes_ > 0;
        if (elsewhere && PickWorker(task, now) != worker) continue;
        return &task;
      }
      return nullptr;
    };
    const WaitingBatch* batch = ReservedBatch(*worker, now);
    const Task* next = batch == nullptr ? nullptr : startable(*batch);
    if (next == nullptr) {
      // Batches that may not begin yet. Beyond the limit, only batches that
      // need no such check are considered.
      std::vector<BatchId> held;
      const auto allowed = [&](const WaitingBatch& one) {
        if (std::find(held.begin(), held.end(), one.id_) != held.end()) {
          return false;
        }
        return (held.size() < kMaxHeldBatches || !MustBeginWhole(one, now)) &&
               startable(one) != nullptr;
      };
      for (;;) {
        batch = backlog_.Select(worker->info_->pool_, worker->free_, order, now,
                                allowed);
        if (batch == nullptr || MayBegin(*batch, now)) break;
        held.push_back(batch->id_);
      }
      if (batch == nullptr) return;
      next = startable(*batch);
    }
    const TaskSerial serial = next->serial_;
    const BatchId id = batch->id_;
    const bool begins = MustBeginWhole(*batch, now);
    std::vector<Task> tasks = TakeWaiting(
        id, [&](const Task& task) { return task.serial_ == serial; });
    Start(worker, std::move(tasks.front()), now, out);
    // Its other tasks may have room on other workers, which stayed free.
    if (begins) StartBatch(id, now, out);
  }
}

void WorkerScheduler::StartWaiting(Time now, SchedulerOutbox* out) {
  requeued_ = false;
  UpdateReservations(now, out);
  for (auto& [id, worker] : workers_) {
    if (backlog_.empty() || StartsHeldBack()) return;
    FillWorker(&worker, now, out);
  }
}

void WorkerScheduler::StartWaitingOn(Worker* worker, Time now,
                                     SchedulerOutbox* out) {
  if (requeued_) return StartWaiting(now, out);
  UpdateReservations(now, out);
  FillWorker(worker, now, out);
}

void WorkerScheduler::ExpireWaiting(Time now, SchedulerOutbox* out) {
  for (const BatchId id : backlog_.Expired(now)) {
    for (const Task& task : TakeWaiting(id)) {
      ++stats_.expired_;
      Report(task, TaskEnd::kExpired, out);
    }
    LapseIfGone(id, LapseReason::kTooLate);
  }
}

void WorkerScheduler::ShedWaiting(Time now, SchedulerOutbox* out) {
  backlog_.Refresh(now);
  const OwnerLoad own = load(now);
  const auto order = BandOrder();
  std::vector<BatchId> for_slow;
  for (const PoolLoad& pool : own.pools_) {
    if (pool.released_cpu_milli_per_s_ == 0) continue;
    std::array<double, kPriorityBands> milli_per_ms{};
    double left = static_cast<double>(pool.released_cpu_milli_per_s_) / 1000 *
                  kPackingEfficiency;
    const double least = left * kLeastShareOfRelease;
    for (const uint8_t band : order) {
      milli_per_ms[band] = std::max(left, least);
      left -= pool.started_cpu_milli_per_s_[band] / 1000.0;
    }
    double ahead_milli = 0;
    for (const WaitingBatch* batch : backlog_.InOrder(pool.pool_, order, now)) {
      const double own_milli =
          static_cast<double>(batch->need_.cpu_milli_) * batch->count_;
      const Duration wait{static_cast<int64_t>((ahead_milli + own_milli) /
                                               milli_per_ms[batch->band_])};
      const TaskBatch& tasks = *waiting_.at(batch->id_.value_).batch_;
      const AssignTasks& assign = tasks.assign_;
      const bool whole = batch->count_ == assign.tasks_.size();
      if (!assign.refusable_ || batch->started_ || !whole ||
          now + wait <= batch->start_by_ + kShedMargin) {
        ahead_milli += own_milli;
        continue;
      }
      TaskBatch* whole_batch = waiting_.at(batch->id_.value_).batch_.get();
      if (for_slow.empty() && FitsSlowWorkers(*whole_batch, now)) {
        whole_batch->any_speed_ = true;
        for_slow.push_back(batch->id_);
        continue;
      }
      ++stats_.batches_shed_;
      ReportRefused report{tasks.session_,         {{}, wait},
                           assign.name_,           assign.band_,
                           batch->start_by_ - now, true};
      const BatchId id = batch->id_;
      for (const Task& task : TakeWaiting(id)) {
        report.refused_.tasks_.push_back(task.serial_);
      }
      LapseIfGone(id, LapseReason::kRefused);
      out->push_back(std::move(report));
    }
  }
  for (const BatchId id : for_slow) StartBatch(id, now, out);
}

void WorkerScheduler::OffloadWaiting(std::vector<PoolLoad> elsewhere, Time now,
                                     SchedulerOutbox* out) {
  // Tasks that wait for the link start sooner here than they can be sent
  // elsewhere.
  if (StartsHeldBack()) return;
  size_t offloaded = 0;
  const OwnerLoad own = load(now);
  const auto waits_longer = [&](const Task& task) {
    const AssignTasks& assign = task.batch_->assign_;
    const Duration needed = ReturnTime(task);
    if (needed.ms_ == 0) return true;
    return std::any_of(
        own.pools_.begin(), own.pools_.end(), [&](const PoolLoad& pool) {
          return pool.pool_ == assign.pool_ &&
                 ExpectedWait({&pool},
                              {1, assign.need_, task.batch_->start_by_ - now,
                               assign.band_}) > needed;
        });
  };
  const auto fits_elsewhere = [&](const Task& task) {
    const AssignTasks& assign = task.batch_->assign_;
    if (offloaded >= kMaxOffloadedTasks ||
        now >= task.batch_->first_start_by_ || !waits_longer(task)) {
      return false;
    }
    for (PoolLoad& load : elsewhere) {
      if (load.pool_ != assign.pool_) continue;
      Resources* room = FindBestFit(&load.free_, assign.need_);
      if (room == nullptr) continue;
      *room -= assign.need_;
      ++offloaded;
      return true;
    }
    return false;
  };
  for (const std::string& pool : backlog_.pools()) {
    for (const WaitingBatch* batch : backlog_.InOrder(pool, BandOrder(), now)) {
      // A batch that this owner has accepted is expected to start in time.
      if (waiting_.at(batch->id_.value_).batch_->assign_.refusable_) continue;
      const BatchId id = batch->id_;
      for (const Task& task : TakeWaiting(id, fits_elsewhere)) {
        Report(task, TaskEnd::kRefused, out);
      }
      LapseIfGone(id, LapseReason::kRefused);
      if (offloaded >= kMaxOffloadedTasks) return;
    }
  }
}

void WorkerScheduler::Start(Worker* worker, Task task, Time now,
                            SchedulerOutbox* out) {
  Run& run = worker->runs_.emplace_back();
  run.key_ = ++last_run_;
  run.name_ = task.name_;
  run.number_ = ++task.run_count_;
  run.need_ = task.batch_->assign_.need_;
  run.expected_run_time_ = task.batch_->assign_.expected_run_time_;
  if (!std::exchange(task.batch_->job_started_, true)) {
    backlog_.SetStarted(task.batch_->id_, task.batch_->give_up_at_);
  }
  const AssignTasks& assign = task.batch_->assign_;
  shares_.Serve(assign.band_, Work(assign), now);
  start_rates_[assign.pool_].Add(assign.band_, assign.need_.cpu_milli_, now);
  ++load_version_;
  run.sent_at_ = now;
  worker->free_ -= run.need_;
  PlanStart(*worker, run, {task.batch_->id_.value_}, now);
  ++stats_.starts_;
  StartRun start;
  start.call_ = NewCall(CallKind::kStart, *worker, run.key_, now);
  Call& call = calls_[start.call_.value_];
  call.start_bytes_ =
      static_cast<int64_t>(task.batch_->payload_->size()) + kStartOverheadBytes;
  start_bytes_ += call.start_bytes_;
  start.worker_ = worker->info_;
  start.task_ = run.name_;
  start.run_ = run.number_;
  start.payload_ = task.batch_->payload_;
  start.fence_ = worker->fence_;
  start.session_ = task.session_;
  run.task_ = std::move(task);
  run.start_valid_until_ms_ = start.lease_until_ms_ = RenewLease(worker, now);
  start.lease_ = LeaseFor(*worker, now);
  out->emplace_back(std::move(start));
}

bool WorkerScheduler::StartsHeldBack() const {
  return catching_up_ ||
         (limits_.link_rate_.known() &&
          limits_.link_rate_.TimeFor(start_bytes_) >= kStartWindow);
}

Duration WorkerScheduler::ReturnTime(const Task& task) const {
  const auto bytes = static_cast<int64_t>(task.batch_->payload_->size());
  return {limits_.link_rate_.TimeFor(bytes).ms_ * kReturnTransfers};
}

OwnerLoad WorkerScheduler::load(Time now) const {
  OwnerLoad load;
  load.draining_ = draining_;
  const auto pool_load = [&](const std::string& pool) -> PoolLoad& {
    for (PoolLoad& one : load.pools_) {
      if (one.pool_ == pool) return one;
    }
    load.pools_.emplace_back().pool_ = pool;
    return load.pools_.back();
  };
  // Free resources that nothing can be sent to are of no use to others.
  const bool free_usable = backlog_.empty() || !StartsHeldBack();
  for (const auto& [id, worker] : workers_) {
    if (!Usable(worker, now) || worker.ejections_ > 0) continue;
    PoolLoad& pool = pool_load(worker.info_->pool_);
    // Most tasks wait rather than start on a slow worker.
    if (worker.free_.cpu_milli_ > 0 && free_usable && !worker.slow_) {
      pool.free_.push_back(worker.free_);
    }
    for (const Run& run : worker.runs_) {
      if (!run.task_) continue;
      const Duration takes =
          std::max(worker.speed_.ExpectedTime(
                       TypicalTime(run.task_->batch_->assign_), now),
                   now - run.sent_at_);
      pool.released_cpu_milli_per_s_ += static_cast<uint64_t>(
          run.need_.cpu_milli_ * 1000LL / std::max<int64_t>(1, takes.ms_));
    }
  }
  // Without a worker in service there is nothing to wait for.
  for (PoolLoad& pool : load.pools_) {
    pool.queued_cpu_milli_ = backlog_.queued(pool.pool_);
    const auto rates = start_rates_.find(pool.pool_);
    if (rates == start_rates_.end()) continue;
    for (uint8_t band = 0; band < kPriorityBands; ++band) {
      const double rate = rates->second.PerSecond(band, now);
      pool.started_cpu_milli_per_s_[band] = static_cast<uint32_t>(rate);
    }
  }
  return load;
}

}  // namespace gentiandeal
