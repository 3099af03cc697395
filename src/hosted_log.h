#ifndef GENTIANDEAL_SRC_HOSTED_LOG_H_
#define GENTIANDEAL_SRC_HOSTED_LOG_H_

#include "evacuation.h"
#include "job_coordinator.h"
#include "worker_ownership.h"
#include "worker_scheduler.h"

/// Log lines of what the decision logic of a hosted instance does; listed in
/// docs/OPERATIONS.md.
namespace gentiandeal {

void Log(const SendAssign& send);
void Log(const SendCancel& send);
void Log(const TaskReassigned& task);
void Log(const BatchReassigned& batch);
void Log(const ReportRefused& report);
void Log(const JobAwaitsRoom& job);
void Log(const JobRejoined& job);
/// @param entries_age Since the entries of workers were known to be up to date.
void Log(const StartRun& start, Duration entries_age);
void Log(const StopRun& stop);
void Log(const WorkerLost& lost);
void Log(const RunOver& over);
void Log(const PollFailed& poll);
void Log(const LossesCharged& charged);
void Log(const WorkerRestarted& worker);
void Log(const WorkerDescribed& worker);
void Log(const WorkerSpeedChanged& worker);
void Log(const PublishRecord& publish);
void Log(const EvacuationUpdate& update);
void Log(const TasksEvacuated& evacuated);
void Log(const ReservationChanged& changed);
void Log(const AcquireWorker& acquired);
void Log(const ReleaseWorker& released);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_LOG_H_
