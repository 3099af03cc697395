#ifndef GENTIANDEAL_SRC_SCHEDULER_COMMANDS_H_
#define GENTIANDEAL_SRC_SCHEDULER_COMMANDS_H_

#include "leased_worker.h"
#include "reservations.h"

/// What the owner of workers tells its instance to do, and reports to it.
namespace gentiandeal {

/// Starts one run of a task on a worker.
struct StartRun {
  WorkerCallId call_;
  LeasedWorkerRef worker_;
  std::string task_;
  uint32_t run_ = 1;  ///< Number of the run; increases with each run of a task.
  std::shared_ptr<const std::string> payload_;
  Fence fence_;
  int64_t lease_until_ms_ = 0;  ///< On the worker's clock.
  SessionId session_;           ///< That assigned the task; for logs.
  Duration lease_;              ///< Granted with the start; for logs.
};

/// Stops a run. If its start has not arrived yet, the worker will refuse it.
struct StopRun {
  WorkerCallId call_;
  LeasedWorkerRef worker_;
  std::string task_;
  uint32_t run_ = 1;
  Fence fence_;
  std::string_view reason_;  ///< Why the run is stopped; for logs.
};

/// Poll: a long poll that lists the runs of a worker and renews the lease of
/// all of them.
struct PollWorker {
  WorkerCallId call_;
  LeasedWorkerRef worker_;
  Fence fence_;
  uint64_t last_seen_ = 0;  ///< Acknowledges ends of runs up to this number.
  /// On the worker's clock; absent if the lease must not be renewed, or while
  /// that clock is not known.
  std::optional<int64_t> lease_until_ms_;
  Duration wait_;  ///< The worker answers when a run ends, or after this.
};

/// Reports that a task has ended at this owner.
struct ReportTask {
  SessionId session_;
  TaskEnded ended_;
};

/// Refuses a batch that can't start in time here.
struct ReportRefused {
  SessionId session_;
  BatchRefused refused_;
  std::string step_;  ///< Name of the tasks, without the index; for logs.
  uint8_t band_ = 0;
  Duration slack_;       ///< Time in which the tasks would have had to start.
  bool queued_ = false;  ///< Refused after it had waited.
};

/// The worker takes orders from another owner now, or no longer exists.
struct WorkerLost {
  WorkerId worker_;
  std::string_view reason_;
};

/// A worker's answer to a poll.
enum class PollResult : uint8_t {
  kListed,
  kStaleFence,
  kOtherIncarnation,
  kUnanswered,    ///< No answer in time, or a malformed one.
  kDisconnected,  ///< The connection ended before the answer.
  kRefused,       ///< The connection was refused: nothing listens there.
};

/// Stable name for logs, such as `unanswered`.
std::string_view Name(PollResult result);

/// Why a run no longer counts as using its worker.
enum class RunOverReason : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken,
  kMissing,       ///< Lists that would have to show it don't.
  kNeverStarted,  ///< The worker can't carry out its start any more.
  kLeaseOver,     ///< Its worker is silent and the lease has ended here.
  kCrashed,       ///< Its worker crashed and the lease has ended here.
  kOutOfReach,    ///< Its worker was lost or released while it may run.
};

/// Stable name for logs, such as `lease-expired`.
std::string_view Name(RunOverReason reason);

/// Tells that a run no longer counts as using its worker; for logs and metrics.
struct RunOver {
  WorkerId worker_;
  std::string task_;
  uint32_t run_ = 0;
  RunOverReason reason_ = RunOverReason::kDone;
};

/// Tells that a poll ended without a list; for logs.
struct PollFailed {
  WorkerCallId call_;
  WorkerId worker_;
  PollResult result_ = PollResult::kUnanswered;
  uint32_t failures_ = 0;  ///< Consecutive ones, this one included.
  size_t runs_ = 0;        ///< Runs that count as using the worker.
};

/// Tells that a worker's incarnation has changed; for logs and metrics.
struct WorkerRestarted {
  WorkerId worker_;
  int64_t from_ms_ = 0;  ///< Start time of the incarnation known before.
  int64_t to_ms_ = 0;
  size_t runs_ = 0;  ///< Runs that were counted as using it.
  /// Whether the entry of the present incarnation, and with it its kind, is
  /// known.
  bool described_ = true;
};

/// Tells that the entry of a worker's incarnation that was already known has
/// been read, so that the worker can be used; for logs.
struct WorkerDescribed {
  WorkerId worker_;
  int64_t started_ms_ = 0;
  Duration after_;  ///< Since the incarnation is known.
};

/// Tells that a worker was lost while it ran tasks, so that no instance starts
/// them too often.
struct LossesCharged {
  WorkerId worker_;
  LossCause cause_ = LossCause::kSilence;
  std::vector<TaskLosses> tasks_;
};

/// Tells that waiting tasks were returned because of an evacuation; for logs.
struct TasksEvacuated {
  size_t tasks_ = 0;
  size_t waiting_ = 0;       ///< Tasks that still wait.
  bool list_known_ = false;  ///< Whether evacuations are known at all.
};

/// Tells that a worker has become much slower than its pool, or that it is not
/// any more; for logs.
struct WorkerSpeedChanged {
  WorkerId worker_;
  bool slow_ = false;
  double ratio_ = 1;       ///< Of its run times to those of a typical worker.
  double pool_ratio_ = 1;  ///< Of the typical run times to the declared ones.
};

/// Tells that a reservation was made or has ended; for logs.
struct ReservationChanged {
  std::string step_;  ///< Name of the tasks, without the index.
  ReservationChange change_;
};

using SchedulerCommand =
    std::variant<StartRun, StopRun, PollWorker, ReportTask, ReportRefused,
                 WorkerLost, RunOver, WorkerRestarted, WorkerDescribed,
                 PollFailed, LossesCharged, TasksEvacuated, WorkerSpeedChanged,
                 ReservationChanged>;
using SchedulerOutbox = std::vector<SchedulerCommand>;

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SCHEDULER_COMMANDS_H_
