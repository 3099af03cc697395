#include <algorithm>
#include <charconv>
#include <utility>

#include "worker_scheduler.h"

/// Explains what an owner would do with a batch.
namespace gentiandeal {
namespace {

/// Serials of the tasks of an explained batch: from here on, beyond those of
/// tasks.
constexpr uint64_t kFirstSerial = uint64_t{1} << 63;

/// Returns the index in the name of a task; absent if it is of another step.
std::optional<uint32_t> IndexOf(std::string_view task, std::string_view step) {
  if (task.substr(0, step.size()) != step) return std::nullopt;
  task.remove_prefix(step.size());
  if (task.empty() || task[0] != '.') return std::nullopt;
  uint32_t index = 0;
  const char* const end = task.data() + task.size();
  const auto parsed = std::from_chars(task.data() + 1, end, index);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return index;
}

}  // namespace

WorkerScheduler WorkerScheduler::Copy() const {
  WorkerScheduler copy(*this);
  copy.calls_.clear();
  for (const auto& [pool, plan] : plans_) {
    for (auto& [id, worker] : copy.workers_) {
      if (worker.plan_ == &plan) worker.plan_ = &copy.plans_.at(pool);
    }
  }
  // Batches are shared by their tasks and change when a task starts.
  std::unordered_map<const TaskBatch*, std::shared_ptr<TaskBatch>> batches;
  const auto detach = [&](std::shared_ptr<TaskBatch>* batch) {
    std::shared_ptr<TaskBatch>& own = batches[batch->get()];
    if (own == nullptr) own = std::make_shared<TaskBatch>(**batch);
    *batch = own;
  };
  for (auto& [id, waiting] : copy.waiting_) {
    detach(&waiting.batch_);
    for (Task& task : waiting.tasks_) detach(&task.batch_);
  }
  for (auto& [id, worker] : copy.workers_) {
    for (Run& run : worker.runs_) {
      if (run.task_) detach(&run.task_->batch_);
    }
  }
  return copy;
}

void WorkerScheduler::ExplainReservations(
    const std::shared_ptr<TaskBatch>& batch, Time now, BatchExplanation* out) {
  const AssignTasks& assign = batch->assign_;
  Task task;
  task.session_ = batch->session_;
  task.batch_ = batch;
  for (const auto& [id, worker] : workers_) {
    if (Fits(assign.need_, worker.free_) && Usable(worker, now) &&
        MayStart(task, worker, now) &&
        !KeepsReservations(*batch, worker, now)) {
      ++out->workers_reserved_;
    }
  }
  const WaitingBatch* waiting = backlog_.Find(batch->id_);
  out->held_as_a_whole_ = waiting != nullptr && !MayBegin(*waiting, now);
  const bool blocked = out->workers_reserved_ > 0 || out->held_as_a_whole_ ||
                       out->admission_.planned_wait_ > Duration{0};
  const auto found = plans_.find(assign.pool_);
  if (!blocked || found == plans_.end()) return;
  const PoolPlan& plan = found->second;
  for (const PlanBatchId id : plan.plan_.batches()) {
    const auto step = plan.steps_.find(id.value_);
    out->reservations_.push_back(
        {step == plan.steps_.end() ? std::string() : step->second,
         *plan.plan_.ReservedStart(id) - now});
  }
}

BatchExplanation WorkerScheduler::Explain(const AssignTasks& assign,
                                          Time now) const {
  WorkerScheduler scratch = Copy();
  AssignTasks explained = assign;
  uint64_t serial = kFirstSerial;
  for (AssignedTask& task : explained.tasks_) task.serial_ = {serial++};
  SchedulerOutbox out;
  const auto batch = scratch.Receive(kLocalSession, explained, now, &out);
  BatchExplanation explanation;
  explanation.waiting_tasks_ = static_cast<uint32_t>(waiting());
  explanation.admission_ = scratch.Judge(*batch, now);
  scratch.Decide(batch, now, &out);
  explanation.accepted_ = !draining_;
  explanation.reason_ = explained.refusable_ ? "accepted" : "not-refusable";
  if (batch->any_speed_) explanation.reason_ = "accepted-for-slow-workers";
  if (draining_) explanation.reason_ = "draining";
  const auto refuse = [&](std::string_view reason) {
    explanation.accepted_ = false;
    if (!draining_) explanation.reason_ = reason;
  };
  for (const SchedulerCommand& command : out) {
    if (const auto* start = std::get_if<StartRun>(&command)) {
      if (const auto index = IndexOf(start->task_, explained.name_)) {
        explanation.starts_.push_back({*index, start->worker_->id_});
      }
    } else if (const auto* refused = std::get_if<ReportRefused>(&command)) {
      if (refused->refused_.tasks_.front().value_ >= kFirstSerial) {
        refuse("overloaded");
      }
    } else if (const auto* report = std::get_if<ReportTask>(&command)) {
      if (report->ended_.serial_.value_ < kFirstSerial) continue;
      refuse(report->ended_.end_ == TaskEnd::kNoRoom ? "queue-full"
                                                     : "no-workers");
    }
  }
  scratch.ExplainReservations(batch, now, &explanation);
  return explanation;
}

}  // namespace gentiandeal
