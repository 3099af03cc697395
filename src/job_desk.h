#ifndef GENTIANDEAL_SRC_JOB_DESK_H_
#define GENTIANDEAL_SRC_JOB_DESK_H_

#include <map>
#include <unordered_map>

#include "room.h"

/// Takes jobs from callers and has their tasks run by the owners of workers.
/// Pure: messages and the time in, commands out.
namespace gentiandeal {

/// Tasks of a job that are alike.
struct RoomStep {
  uint32_t count_ = 1;
  Room need_;  ///< Of each task.
  Duration expected_;
  std::string label_;            ///< The worker must carry it.
  std::vector<uint32_t> after_;  ///< Steps that must be done before.
};

/// A job whose answer is its end. It is not stored: when its caller is gone it
/// ends, and the caller may send it again anywhere.
struct RoomJob {
  std::string id_;     ///< Chosen by the caller.
  std::string queue_;  ///< For learning, counters and logs.
  std::string pool_;
  std::string payload_;
  std::vector<RoomStep> steps_;
  uint32_t max_failures_ = 1;  ///< Of one task, before the job has failed.
  /// The answer is on time within this, from the caller's first attempt.
  Duration objective_;
  /// An answer later than this is worth nothing to the caller.
  Duration useful_within_;
  Duration deadline_;  ///< The caller waits no longer than this.
};

/// Run time of the longest chain of steps, as expected.
Duration LongestChain(const RoomJob& job);

/// Whether there are tasks, not too many, and each step follows earlier ones.
/// The other functions take only such jobs.
bool HasValidSteps(const RoomJob& job);

struct SubmitRoomJob {
  RequestId request_;
  RoomJob job_;
};

/// What a caller is told about its job.
enum class RoomOutcome : uint8_t {
  kComplete,
  kFailed,       ///< A task failed as often as its queue allows.
  kNotRun,       ///< Nothing ran and nothing will; see `retry_after_`.
  kInterrupted,  ///< Something ran; the caller may send the job again.
  kTimedOut,     ///< The same, since its time is over.
};

/// Stable name for logs and metrics, such as `not-run`.
std::string_view Name(RoomOutcome outcome);

struct AnswerRoomJob {
  RequestId request_;
  RoomOutcome outcome_ = RoomOutcome::kNotRun;
  std::string_view reason_;
  Duration retry_after_;
  Duration expected_wait_;  ///< That an admission was decided by.
  Duration slack_;          ///< That the job's objective leaves for waiting.
};

/// Tasks for the owner named; the instance itself may be one.
struct SendAssign {
  InstanceName owner_;
  AssignTasks assign_;
};
struct SendWithdraw {
  InstanceName owner_;
  WithdrawTasks withdraw_;
};

using DeskCommand = std::variant<AnswerRoomJob, SendAssign, SendWithdraw>;
using DeskOutbox = std::vector<DeskCommand>;

struct JobDeskStats {
  uint64_t jobs_ = 0;
  uint64_t complete_ = 0;
  uint64_t failed_ = 0;
  uint64_t refused_ = 0;
  uint64_t interrupted_ = 0;
  uint64_t timed_out_ = 0;
  uint64_t caller_gone_ = 0;
  uint64_t tasks_assigned_ = 0;
  uint64_t tasks_moved_ = 0;  ///< Assigned again after an owner gave them back.
};

/// The jobs that this instance took, and what it knows of the owners.
class JobDesk {
 public:
  /// @param self Its own workers cost no hop.
  JobDesk(InstanceName self, std::string data_centre)
      : self_(std::move(self)), data_centre_(std::move(data_centre)) {}

  void On(const SubmitRoomJob& submit, Time now, DeskOutbox* out);
  /// The caller's connection ended.
  void On(const CallerGone& gone, Time now, DeskOutbox* out);
  void On(const InstanceName& owner, const TaskEnded& ended, Time now,
          DeskOutbox* out);

  /// An owner can be reached, with its load as of now.
  void OwnerReports(const InstanceName& owner, const std::string& data_centre,
                    const OwnerLoad& load);
  /// An owner can't be reached any more: what it ran stops by itself.
  void OwnerLost(const InstanceName& owner, Time now, DeskOutbox* out);

  /// All listed workers by pool, so that what fits nowhere is refused.
  void SetWorkers(std::map<std::string, std::vector<LeasedWorkerRef>> workers) {
    workers_ = std::move(workers);
  }

  void Tick(Time now, DeskOutbox* out);

  /// The process stood still: callers and owners have moved on.
  void Resume(Time now, DeskOutbox* out);

  /// Free rooms of all other owners, as last reported.
  std::vector<PoolLoad> RoomsElsewhere() const;

  bool idle() const { return jobs_.empty(); }
  size_t open_jobs() const { return jobs_.size(); }
  const JobDeskStats& stats() const { return stats_; }

 private:
  enum class TaskState : uint8_t { kWaiting, kAssigned, kDone };

  struct DeskTask {
    TaskState state_ = TaskState::kWaiting;
    uint32_t failures_ = 0;
    uint32_t moves_ = 0;
    TaskSerial serial_;
    InstanceName owner_;
  };

  struct Job {
    RequestId request_;
    std::shared_ptr<const RoomJob> spec_;
    Time accepted_;
    bool started_ = false;  ///< Whether any task may have begun.
    bool closing_ = false;  ///< Given up; waits for its tasks to come back.
    std::string_view reason_;
    uint32_t assigned_ = 0;  ///< Tasks at owners.
    std::vector<std::vector<DeskTask>> steps_;
    std::vector<uint32_t> left_;  ///< Tasks of each step not yet done.
  };

  struct TaskRef {
    uint64_t job_ = 0;
    uint32_t step_ = 0;
    uint32_t index_ = 0;
  };

  struct Owner {
    std::string data_centre_;
    OwnerLoad load_;
  };

  /// Tasks placed in one go, by owner and step.
  struct Placed {
    std::map<std::pair<std::string, uint32_t>, AssignTasks> assigns_;
    bool any_room_ = false;  ///< Whether a task goes to a free room.
  };

  bool FitsSomewhere(const RoomJob& job) const;
  std::vector<const PoolLoad*> PoolLoads(const std::string& pool) const;
  Owner* PickOwner(const RoomJob& job, const RoomStep& step,
                   const DeskTask& task, std::string* name);
  void PlaceReady(uint64_t id, Time now, DeskOutbox* out);
  void Place(uint64_t id, Job* job, uint32_t step, uint32_t index, Time now,
             Placed* placed);
  static Time UsefulUntil(const Job& job);
  void Withdraw(Job* job, DeskOutbox* out);
  void Refuse(RequestId request, std::string_view reason, Duration wait,
              Duration slack, DeskOutbox* out);
  void Finish(uint64_t id, RoomOutcome outcome, std::string_view reason,
              DeskOutbox* out);
  void GiveUp(uint64_t id, std::string_view reason, DeskOutbox* out);
  void Settle(uint64_t id, DeskOutbox* out);

  InstanceName self_;
  std::string data_centre_;
  uint64_t last_job_ = 0;
  uint64_t last_serial_ = 0;
  std::map<std::string, Owner> owners_;
  std::map<std::string, std::vector<LeasedWorkerRef>> workers_;
  std::map<uint64_t, Job> jobs_;
  std::unordered_map<uint64_t, uint64_t> by_request_;
  std::unordered_map<std::string, uint64_t> by_id_;
  std::unordered_map<uint64_t, TaskRef> tasks_;  // by serial
  JobDeskStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_DESK_H_
