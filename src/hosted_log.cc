#include "hosted_log.h"

#include <spdlog/spdlog.h>

#include "json_checks.h"

namespace gentiandeal {

void Log(const SendAssign& send) {
  spdlog::info(
      "event=assign step={} owner={} tasks={} cpu_milli={} "
      "expected_ms={} start_within_ms={}",
      send.assign_.name_, send.owner_.value_, send.assign_.tasks_.size(),
      send.assign_.need_.cpu_milli_, send.assign_.expected_run_time_.ms_,
      send.assign_.start_within_.ms_);
}

void Log(const SendCancel& send) {
  spdlog::info("event=cancel request={} owner={} tasks={}", send.job_,
               send.owner_.value_, send.cancel_.tasks_.size());
}

void Log(const TaskReassigned& task) {
  spdlog::info("event=reassign task={}.0.{}.{} owner={} end={}", task.job_,
               task.step_, task.index_, task.owner_.value_, Name(task.end_));
}

void Log(const BatchReassigned& batch) {
  spdlog::info("event=reassign-batch request={} refused_by={} wait_ms={}",
               batch.job_, batch.owner_.value_, batch.expected_wait_.ms_);
}

void Log(const ReportRefused& report) {
  spdlog::info(
      "event=refuse-batch step={} session={} tasks={} band={} wait_ms={} "
      "slack_ms={} queued={}",
      report.step_, report.session_.value_, report.refused_.tasks_.size(),
      report.band_, report.refused_.expected_wait_.ms_, report.slack_.ms_,
      report.queued_);
}

void Log(const JobAwaitsRoom& job) {
  spdlog::info("event=awaits-room request={} owner={} end={}", job.job_,
               job.owner_.value_, Name(job.end_));
}

void Log(const JobRejoined& job) {
  spdlog::info("event=rejoined request={} age_ms={}", job.job_, job.age_.ms_);
}

void Log(const StartRun& start, Duration entries_age) {
  spdlog::info(
      "event=start task={} run={} worker={} fence={} call={} session={} "
      "lease_ms={} entries_age_ms={}",
      start.task_, start.run_, start.worker_->id_.value_, start.fence_.value_,
      start.call_.value_, start.session_.value_, start.lease_.ms_,
      entries_age.ms_);
}

void Log(const StopRun& stop) {
  spdlog::info("event=stop task={} run={} worker={} call={} reason={}",
               stop.task_, stop.run_, stop.worker_->id_.value_,
               stop.call_.value_, stop.reason_);
}

void Log(const WorkerLost& lost) {
  spdlog::warn("event=worker-lost worker={} reason={}", lost.worker_.value_,
               lost.reason_);
}

void Log(const RunOver& over) {
  spdlog::info("event=run-over task={} run={} worker={} reason={}", over.task_,
               over.run_, over.worker_.value_, Name(over.reason_));
}

void Log(const PollFailed& poll) {
  spdlog::warn(
      "event=hold-failed call={} worker={} result={} failures={} runs={}",
      poll.call_.value_, poll.worker_.value_, Name(poll.result_),
      poll.failures_, poll.runs_);
}

void Log(const LossesCharged& charged) {
  for (const TaskLosses& one : charged.tasks_) {
    spdlog::warn(
        "event=task-lost-worker task={} worker={} cause={} lost={} "
        "crashes={}",
        one.task_, charged.worker_.value_, Name(charged.cause_),
        one.losses_.lost_, one.losses_.crashes_);
  }
}

void Log(const WorkerRestarted& worker) {
  spdlog::warn("event=worker-restarted worker={} from={} to={} runs={} kind={}",
               worker.worker_.value_, worker.from_ms_, worker.to_ms_,
               worker.runs_, worker.described_ ? "known" : "unknown");
}

void Log(const WorkerDescribed& worker) {
  spdlog::info("event=worker-kind-known worker={} born={} unknown_ms={}",
               worker.worker_.value_, worker.started_ms_, worker.after_.ms_);
}

void Log(const WorkerSpeedChanged& worker) {
  spdlog::info(
      "event=worker-speed worker={} state={} ratio={:.2f} "
      "pool_ratio={:.2f}",
      worker.worker_.value_, worker.slow_ ? "slow" : "normal", worker.ratio_,
      worker.pool_ratio_);
}

void Log(const PublishRecord& publish) {
  spdlog::info("event=publish workers={} draining={}",
               publish.record_.workers_.size(), publish.record_.draining_);
}

void Log(const EvacuationUpdate& update) {
  spdlog::info("event=evacuations-known data_centres={}",
               update.data_centres_.size());
  for (const EvacuationChange& change : update.changes_) {
    spdlog::warn("event=evacuation data_centre={} state={} revision={}",
                 Printable(change.data_centre_),
                 change.begun_ ? "begun" : "ended", change.revision_);
  }
}

void Log(const TasksEvacuated& evacuated) {
  spdlog::info("event=evacuation-returned tasks={} waiting={} list_known={}",
               evacuated.tasks_, evacuated.waiting_, evacuated.list_known_);
}

void Log(const ReservationChanged& changed) {
  const ReservationChange& change = changed.change_;
  const bool lapsed = change.state_ == ReservationState::kLapsed;
  spdlog::info("event=reservation step={} state={} tasks={} wait_ms={}{}{}",
               changed.step_, Name(change.state_), change.tasks_,
               change.expected_wait_.ms_, lapsed ? " reason=" : "",
               lapsed ? Name(change.reason_) : "");
}

void Log(const AcquireWorker& acquired) {
  spdlog::info("event=own worker={} fence={}", acquired.worker_.id_.value_,
               acquired.fence_.value_);
}

void Log(const ReleaseWorker& released) {
  spdlog::info("event=disown worker={}", released.worker_.value_);
}

}  // namespace gentiandeal
