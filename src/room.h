#ifndef GENTIANDEAL_SRC_ROOM_H_
#define GENTIANDEAL_SRC_ROOM_H_

#include <algorithm>
#include <array>

#include "gentiandeal_p.h"

/// Vocabulary of leased workers: workers with room for tasks that don't guard
/// it themselves, and take orders from one instance at a time.
namespace gentiandeal {

/// Text that names one thing. `Tag` keeps names of different things apart.
template <typename Tag>
struct TextId {
  std::string value_;
  bool valid() const { return !value_.empty(); }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend auto operator<=>(const TextId&, const TextId&) = default;
};

using WorkerId = TextId<struct WorkerIdTag>;
/// Name of an instance; kept over restarts, unlike its incarnation.
using InstanceName = TextId<struct InstanceNameTag>;

/// Number that rises with each change of a worker's owner. A worker ignores
/// orders with a lower one than it has seen.
using Fence = Id<struct FenceTag, uint64_t, 0>;
/// One placement of one task by the instance that took its job.
using TaskSerial = Id<struct TaskSerialTag, uint64_t, 0>;
/// One job at the instance that took it.
using JobSerial = Id<struct JobSerialTag, uint64_t, 0>;
/// One connection from an instance that assigns tasks here.
using SessionId = Id<struct SessionTag, uint64_t, 0>;
/// One call to a worker.
using WorkerCallId = Id<struct WorkerCallTag, uint64_t, 0>;

/// Tasks that this instance assigns to itself.
inline constexpr SessionId kOwnSession{1};

/// Resources of a worker, or those that a task asks for.
struct Room {
  int32_t cpu_milli_ = 0;  ///< Thousandths of a core.
  int32_t memory_mb_ = 0;
  int32_t gpu_ = 0;

  friend bool operator==(const Room&, const Room&) = default;
  Room& operator+=(const Room& other) {
    cpu_milli_ += other.cpu_milli_;
    memory_mb_ += other.memory_mb_;
    gpu_ += other.gpu_;
    return *this;
  }
  Room& operator-=(const Room& other) {
    cpu_milli_ -= other.cpu_milli_;
    memory_mb_ -= other.memory_mb_;
    gpu_ -= other.gpu_;
    return *this;
  }
};

/// Whether `need` fits into `free`.
inline bool Fits(const Room& need, const Room& free) {
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
  Room capacity_;
  bool leaving_ = false;
  int64_t born_ms_ = 0;  ///< Start of this life; changes when it restarts.
  friend bool operator==(const LeasedWorker&, const LeasedWorker&) = default;
};

using LeasedWorkerRef = std::shared_ptr<const LeasedWorker>;

/// Whether a worker carries a label; the empty label is carried by all.
inline bool HasLabel(const LeasedWorker& worker, const std::string& label) {
  return label.empty() ||
         std::find(worker.labels_.begin(), worker.labels_.end(), label) !=
             worker.labels_.end();
}

/// Task of a job as handed to the owner of workers.
struct AssignedTask {
  TaskSerial serial_;
  uint32_t index_ = 0;  ///< Within its step.
};

/// Tasks of one step of one job, alike but for their index.
struct AssignTasks {
  std::string name_;  ///< Of the tasks, without the index.
  std::string pool_;
  std::string label_;  ///< The worker must carry it; empty for any worker.
  std::string payload_;
  Room need_;              ///< Of each task.
  Duration expected_;      ///< Run time on an average worker, estimated.
  Duration start_within_;  ///< To meet the job's latency objective.
  Duration give_up_;       ///< After this a start would be useless.
  bool begun_ = false;     ///< Other tasks of the job have begun, or will.
  std::vector<AssignedTask> tasks_;
};

/// Takes tasks back: waiting ones are dropped, running ones are stopped.
struct WithdrawTasks {
  std::vector<TaskSerial> tasks_;
};

/// How a task ended at the owner of its worker. But for `kUnknown` and
/// `kWithdrawn`, nothing of the task runs any more when this is told.
enum class TaskEnd : uint8_t {
  kDone,
  kFailed,     ///< The run ended with a fault of the task or the worker.
  kLost,       ///< The run was cut short: worker gone, lease lapsed, stalled.
  kExpired,    ///< Never started within its time.
  kUnknown,    ///< Out of reach; may run on until its lease ends.
  kWithdrawn,  ///< Taken back; a run of it is being stopped.
  kRefused,    ///< Not taken: this owner is leaving or has no such worker.
};

struct TaskEnded {
  TaskSerial serial_;
  TaskEnd end_ = TaskEnd::kLost;
  bool started_ = false;  ///< Whether any run of it began.
};

/// Upper bounds of the urgency classes of waiting tasks, in milliseconds until
/// they should start. The last class also holds tasks that are late: they wait
/// behind all others.
inline constexpr std::array<int64_t, 7> kUrgencyBounds = {25,  50,  100, 200,
                                                          400, 800, 1600};
inline constexpr size_t kUrgencyClasses = kUrgencyBounds.size() + 1;

/// Class of a task that should start within `slack`.
inline size_t UrgencyClass(Duration slack) {
  if (slack.ms_ < 0) return kUrgencyClasses - 1;
  const auto bound =
      std::lower_bound(kUrgencyBounds.begin(), kUrgencyBounds.end(), slack.ms_);
  return static_cast<size_t>(bound - kUrgencyBounds.begin());
}

/// Room and backlog of the usable workers of one pool.
struct PoolLoad {
  std::string pool_;
  std::vector<Room> free_;  ///< Of each worker that has any.
  /// Cores that running tasks give back, thousandths of a core a second.
  uint64_t release_milli_per_s_ = 0;
  /// Cores that waiting tasks ask for, thousandths, by urgency class.
  std::array<uint32_t, kUrgencyClasses> queued_milli_{};
};

/// Room and backlog of the workers of one owner.
struct OwnerLoad {
  bool draining_ = false;
  std::vector<PoolLoad> pools_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_ROOM_H_
