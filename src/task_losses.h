#ifndef GENTIANDEAL_SRC_TASK_LOSSES_H_
#define GENTIANDEAL_SRC_TASK_LOSSES_H_

#include <optional>
#include <unordered_map>

#include "gentiandeal_p.h"

/// Bounds how many workers one task can take down: a "query of death" that is
/// retried on worker after worker. Counts are kept by the name of the task, so
/// that they outlast an owner, a coordinator, and the job's being sent again.
namespace gentiandeal {

/// Workers that were lost while a task ran there.
struct WorkerLosses {
  uint8_t lost_ = 0;
  uint8_t crashes_ = 0;  ///< Of these, crashes that the task is blamed for.

  friend bool operator==(const WorkerLosses&, const WorkerLosses&) = default;
};

/// Crashes that a task may be blamed for, and workers that may be lost under it
/// for any reason, before it is given up.
inline constexpr uint8_t kMaxBlamedCrashes = 2;
inline constexpr uint8_t kMaxLostWorkers = 3;

/// Returns whether workers have crashed under a task so often that its job
/// fails.
constexpr bool IsToBlame(const WorkerLosses& losses) {
  return losses.crashes_ >= kMaxBlamedCrashes;
}

/// Returns whether a task has to be given up.
constexpr bool IsExhausted(const WorkerLosses& losses) {
  return IsToBlame(losses) || losses.lost_ >= kMaxLostWorkers;
}

/// Losses of one task, as instances tell each other.
struct TaskLosses {
  std::string task_;
  WorkerLosses losses_;
};

/// What is known of a worker that was lost.
enum class LossCause : uint8_t {
  kCrash,    ///< Its connections ended, and nothing listens at its address.
  kRestart,  ///< Another incarnation answers; what it ran then isn't known.
  kSilence,  ///< It doesn't answer; it may have crashed or be cut off.
};

/// Stable name for logs, such as `crash`.
constexpr std::string_view Name(LossCause cause) {
  switch (cause) {
    case LossCause::kCrash:
      return "crash";
    case LossCause::kRestart:
      return "restart";
    case LossCause::kSilence:
      break;
  }
  return "silence";
}

/// Run on a worker that was lost.
struct LostRun {
  std::string task_;
  Time sent_at_;          ///< When its start was sent.
  bool running_ = false;  ///< Known to have been in progress at the loss.
};

/// Losses of tasks, each kept for a while after it last changed.
class TaskLossLedger {
 public:
  /// Callers send a lost job again within seconds.
  static constexpr Duration kMemory{60000};
  static constexpr size_t kMaxTasks = 16384;

  bool empty() const { return tasks_.empty(); }
  /// Number of tasks that were forgotten before their time, for `kMaxTasks`.
  uint64_t evicted() const { return evicted_; }
  WorkerLosses Find(const std::string& task) const;

  /// Takes in what another instance knows. @returns whether it was news.
  bool Merge(const TaskLosses& known, Time now);

  /// Charges the loss of a worker to all that ran there. Of a crash, those
  /// tasks are blamed that are likeliest to have caused it, if there are any:
  /// they had just begun, and have the most crashes already.
  /// @param lost_at When the loss was noticed.
  /// @returns the new counts of all tasks that were charged.
  std::vector<TaskLosses> Charge(const std::vector<LostRun>& runs,
                                 LossCause cause, Time lost_at, Time now);

  /// Returns what an instance that has just connected should know: all tasks
  /// but those under which a single worker was lost that others are blamed for.
  std::vector<TaskLosses> Suspects() const;

  /// Forgets losses that are older than `kMemory`.
  void Expire(Time now);

 private:
  struct Entry {
    WorkerLosses losses_;
    Time until_;
  };

  void Set(const std::string& task, const WorkerLosses& losses, Time now);

  std::unordered_map<std::string, Entry> tasks_;
  Time expired_at_;
  uint64_t evicted_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TASK_LOSSES_H_
