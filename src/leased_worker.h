#ifndef GENTIANDEAL_SRC_LEASED_WORKER_H_
#define GENTIANDEAL_SRC_LEASED_WORKER_H_

#include <algorithm>
#include <array>

#include "priority_band.h"
#include "task_losses.h"

/// Types for leased workers: workers that don't enforce their own resource
/// limits and accept orders from only one instance, their owner, at a time.
namespace gentiandeal {

/// Identifier held as text. `Tag` makes identifiers of different kinds
/// distinct types.
template <typename Tag>
struct TextId {
  std::string value_;
  bool valid() const { return !value_.empty(); }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend auto operator<=>(const TextId&, const TextId&) = default;
};

using WorkerId = TextId<struct WorkerIdTag>;
/// Name of an instance. Stays the same across restarts, unlike its incarnation.
using InstanceName = TextId<struct InstanceNameTag>;

/// Fencing token: increases with each change of a worker's owner. A worker
/// refuses orders with a lower token than the highest it has seen.
using Fence = Id<struct FenceTag, uint64_t, 0>;
/// Identifies one placement of a task by the instance that accepted its job.
using TaskSerial = Id<struct TaskSerialTag, uint64_t, 0>;
/// Identifies a job at the instance that accepted it.
using JobSerial = Id<struct JobSerialTag, uint64_t, 0>;
/// Identifies a connection from an instance that assigns tasks here.
using SessionId = Id<struct SessionTag, uint64_t, 0>;
/// Identifies one call to a worker.
using WorkerCallId = Id<struct WorkerCallTag, uint64_t, 0>;

/// Session of the tasks that this instance assigns to itself.
inline constexpr SessionId kLocalSession{1};

/// Resources that a worker has or that a task needs.
struct Resources {
  int32_t cpu_milli_ = 0;  ///< Thousandths of a core.
  int32_t memory_mb_ = 0;
  int32_t gpu_ = 0;  ///< Number of GPUs.

  friend bool operator==(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& other) {
    cpu_milli_ += other.cpu_milli_;
    memory_mb_ += other.memory_mb_;
    gpu_ += other.gpu_;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_milli_ -= other.cpu_milli_;
    memory_mb_ -= other.memory_mb_;
    gpu_ -= other.gpu_;
    return *this;
  }
};

/// Returns whether `free` covers `need` in every dimension.
inline bool Fits(const Resources& need, const Resources& free) {
  return need.cpu_milli_ <= free.cpu_milli_ &&
         need.memory_mb_ <= free.memory_mb_ && need.gpu_ <= free.gpu_;
}

/// A leased worker as listed by the platform.
struct LeasedWorker {
  WorkerId id_;
  Address address_;
  std::string data_centre_;
  std::string pool_;                 ///< The service whose tasks it runs.
  std::vector<std::string> labels_;  ///< Its kind and its rack.
  Resources capacity_;
  bool leaving_ = false;
  /// Start time of the worker process; identifies its incarnation. 0 when
  /// unknown.
  int64_t started_ms_ = 0;
  /// When its warm-up ends, on this process's clock: it is slow until then.
  Time cold_until_;
  friend bool operator==(const LeasedWorker&, const LeasedWorker&) = default;
};

using LeasedWorkerRef = std::shared_ptr<const LeasedWorker>;

/// Returns whether a worker has a label. Every worker has the empty label.
inline bool HasLabel(const LeasedWorker& worker, const std::string& label) {
  return label.empty() ||
         std::find(worker.labels_.begin(), worker.labels_.end(), label) !=
             worker.labels_.end();
}

/// A task of a job, as assigned to an owner of workers.
struct AssignedTask {
  TaskSerial serial_;
  uint32_t index_ = 0;  ///< Index of the task within its step.
  WorkerLosses losses_{};
};

/// Name of a task, by which workers and owners know it.
inline std::string TaskName(const std::string& step, uint32_t index) {
  return step + "." + std::to_string(index);
}

/// Assigns tasks of one step of one job, which differ only in their index.
struct AssignTasks {
  std::string name_;  ///< Name of the tasks, without the index.
  std::string pool_;
  std::string label_;  ///< Label required of the worker; empty for any worker.
  std::string payload_;
  Resources need_;              ///< Resources needed by each task.
  Duration expected_run_time_;  ///< Estimated run time on an average worker.
  Duration start_within_;   ///< Time to start in to meet the latency objective.
  Duration give_up_after_;  ///< Starting later than this would be useless.
  bool job_started_ = false;  ///< Other tasks of the job have started, or will.
  uint8_t band_ = 0;          ///< Priority band of the job.
  /// The owner may refuse the batch if it can't start in time there.
  bool refusable_ = false;
  std::vector<AssignedTask> tasks_;
};

/// An owner refuses a whole batch: none of its tasks has started or will.
struct BatchRefused {
  std::vector<TaskSerial> tasks_;
  Duration expected_wait_;  ///< Until the last of them could have started.
};

/// Cancels tasks: waiting ones are dropped, running ones are stopped.
struct CancelTasks {
  std::vector<TaskSerial> tasks_;
};

/// How a task ended at the owner of its worker. When an end other than
/// `kUnknown`, `kCancelled`, `kCrashes` or `kLostTooOften` is reported, no run
/// of the task exists any more.
enum class TaskEnd : uint8_t {
  kDone,
  kFailed,     ///< The run ended with a fault of the task or the worker.
  kLost,       ///< Run cut short: worker lost, lease expired or run stalled.
  kExpired,    ///< Not started in time.
  kUnknown,    ///< Worker out of reach; the task may run until its lease ends.
  kCancelled,  ///< Cancelled; if it was running, the run is being stopped.
  /// Not accepted: the owner is leaving or has no such worker. Also a waiting
  /// task that is returned to be assigned to another owner.
  kRefused,
  /// Given up: it crashes workers. If the last one is only cut off, its run is
  /// being stopped.
  kCrashes,
  /// Given up as well: too many workers were lost while it ran there, but it
  /// isn't known to have crashed them.
  kLostTooOften,
  /// Not accepted: as many tasks wait there as an owner takes. It may be
  /// assigned again once there is room.
  kNoRoom,
};

/// Stable name for logs, such as `refused`.
constexpr std::string_view Name(TaskEnd end) {
  switch (end) {
    case TaskEnd::kDone:
      return "done";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kLost:
      return "lost";
    case TaskEnd::kExpired:
      return "expired";
    case TaskEnd::kUnknown:
      return "unknown";
    case TaskEnd::kCancelled:
      return "cancelled";
    case TaskEnd::kRefused:
      return "refused";
    case TaskEnd::kCrashes:
      return "crashes";
    case TaskEnd::kLostTooOften:
      return "lost-too-often";
    case TaskEnd::kNoRoom:
      return "no-room";
  }
  return "unknown";
}

/// Reports the end of a task to the instance that assigned it.
struct TaskEnded {
  TaskSerial serial_;
  TaskEnd end_ = TaskEnd::kLost;
  bool started_ = false;  ///< Whether any run of it may have started.
};

/// Upper bounds of the urgency classes of waiting tasks, in milliseconds until
/// their start is due. The last class has no bound and also holds late tasks,
/// which wait behind all others.
inline constexpr std::array<int64_t, 7> kUrgencyBounds = {25,  50,  100, 200,
                                                          400, 800, 1600};
inline constexpr size_t kUrgencyClasses = kUrgencyBounds.size() + 1;

/// Returns the urgency class of a task whose start is due in `slack`.
inline size_t UrgencyClass(Duration slack) {
  if (slack.ms_ < 0) return kUrgencyClasses - 1;
  const auto bound =
      std::lower_bound(kUrgencyBounds.begin(), kUrgencyBounds.end(), slack.ms_);
  return static_cast<size_t>(bound - kUrgencyBounds.begin());
}

/// Waiting tasks of one band and urgency class are one queue class.
inline constexpr size_t kQueueClasses = kPriorityBands * kUrgencyClasses;

/// Queue class of a task of a band whose start is due in `slack`.
inline size_t QueueClass(uint8_t band, Duration slack) {
  return band * kUrgencyClasses + UrgencyClass(slack);
}

/// CPU that waiting tasks need, in thousandths of a core, by queue class.
using QueuedCpu = std::array<uint32_t, kQueueClasses>;

/// Free resources and backlog of the usable workers of one pool.
struct PoolLoad {
  std::string pool_;
  std::vector<Resources> free_;  ///< One entry per worker with free CPU.
  /// Rate at which running tasks free CPU, in thousandths of a core per second.
  uint64_t released_cpu_milli_per_s_ = 0;
  QueuedCpu queued_cpu_milli_{};
  /// Rate at which tasks of each band have started lately, in thousandths of a
  /// core per second: what is left of the freed CPU is for lower bands.
  std::array<uint32_t, kPriorityBands> started_cpu_milli_per_s_{};
};

/// Free resources and backlog of the workers of one owner.
struct OwnerLoad {
  bool draining_ = false;
  std::vector<PoolLoad> pools_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LEASED_WORKER_H_
