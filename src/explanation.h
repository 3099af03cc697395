#ifndef GENTIANDEAL_SRC_EXPLANATION_H_
#define GENTIANDEAL_SRC_EXPLANATION_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leased_worker.h"
#include "wait_estimate.h"

/// Why a job would be placed where it would be placed, for operators. Filled by
/// `JobCoordinator::Explain` and `WorkerScheduler::Explain`.
namespace gentiandeal {

/// Why a coordinator would send tasks to an owner, or not.
enum class OwnerVerdict : uint8_t {
  kStartsAll,       ///< Selected: has free resources for all tasks.
  kStartsPart,      ///< Selected: has free resources for some of them.
  kInTime,          ///< Selected: none has free resources for all tasks.
  kLowestCost,      ///< Selected for single tasks.
  kNotDrawn,        ///< Another owner that starts all tasks in time was drawn.
  kNotNeeded,       ///< Other owners start all tasks.
  kTooLittleFree,   ///< Can't start all tasks, and others can.
  kOtherCentre,     ///< Owners of this data centre start all tasks.
  kLongerWait,      ///< The tasks would start too late.
  kHigherCost,      ///< Other owners cost less for each task.
  kRefusedLately,   ///< Refused as much a moment ago.
  kDraining,        ///< Accepts no tasks.
  kNoWorkers,       ///< Reports no usable worker of the pool.
  kRefusedAtEntry,  ///< The job would be refused before an owner is asked.
};

/// Stable name for JSON, such as `starts-all`.
std::string_view Name(OwnerVerdict verdict);

/// An owner, as the coordinator sees it.
struct OwnerExplanation {
  InstanceName owner_;
  std::string data_centre_;
  OwnerVerdict verdict_ = OwnerVerdict::kRefusedAtEntry;
  uint32_t tasks_ = 0;  ///< Tasks that would be sent to it.
  Resources free_;      ///< Sum over its workers with free CPU.
  uint32_t workers_with_free_cpu_ = 0;
  uint32_t fitting_ = 0;  ///< Tasks that fit into its free resources.
  /// Includes the penalty of another data centre. Absent without a usable
  /// worker.
  std::optional<Duration> expected_wait_;
  /// Where tasks are placed one by one: that of the first one.
  std::optional<double> cost_;
  std::optional<Duration> report_age_;  ///< Absent if unknown.
};

/// What a coordinator would do with a job.
struct PlacementExplanation {
  bool refused_ = false;
  std::string_view reason_;  ///< Of a refusal.
  Duration retry_after_;
  Duration expected_wait_;
  Duration slack_;
  bool by_owners_ = false;  ///< Owners accept or refuse the tasks as a batch.
  std::vector<OwnerExplanation> owners_;
  AssignTasks batch_;  ///< All tasks of the first step, as for one owner.
};

/// How an owner judges a batch on its arrival.
struct BatchAdmission {
  WaitEstimate queue_;     ///< From what waits and runs.
  Duration planned_wait_;  ///< Until runs and reservations leave room.
  Duration wait_;          ///< The longer of the two.
  Duration max_wait_;      ///< A batch that may be refused waits no longer.
  bool accepted_ = true;
  bool on_slow_workers_ = false;  ///< Accepted since slow workers can take it.
};

/// A task that would start at once.
struct TaskStart {
  uint32_t index_ = 0;
  WorkerId worker_;
};

/// A reservation that keeps tasks from starting.
struct BlockingReservation {
  std::string step_;  ///< Name of the tasks that hold it, without their index.
  Duration begins_in_;
};

/// What an owner would do with a batch.
struct BatchExplanation {
  bool accepted_ = false;
  /// `accepted`, `accepted-for-slow-workers`, `not-refusable`, `overloaded`,
  /// `draining`, `no-workers` or `queue-full`.
  std::string_view reason_;
  BatchAdmission admission_;
  uint32_t waiting_tasks_ = 0;     ///< Before the batch.
  std::vector<TaskStart> starts_;  ///< The other tasks wait.
  /// Usable workers with room for a task on which a start would delay a
  /// reservation.
  uint32_t workers_reserved_ = 0;
  /// The batch has to wait until all of its tasks can start in time.
  bool held_as_a_whole_ = false;
  std::vector<BlockingReservation> reservations_;
};

/// What one instance would do with a job.
struct InstanceExplanation {
  InstanceName instance_;
  std::string data_centre_;
  PlacementExplanation placement_;
  std::optional<BatchExplanation> own_;  ///< If it is an owner.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_EXPLANATION_H_
