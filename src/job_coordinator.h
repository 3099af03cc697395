#ifndef GENTIANDEAL_SRC_JOB_COORDINATOR_H_
#define GENTIANDEAL_SRC_JOB_COORDINATOR_H_

#include <map>
#include <set>
#include <unordered_map>

#include "explanation.h"
#include "leased_worker.h"
#include "link_rate.h"

/// Accepts jobs from callers and assigns their tasks to the instances that own
/// workers. Performs no I/O and reads no clock: it takes messages and the
/// current time, and appends commands to an outbox.
namespace gentiandeal {

/// Step of a job: a group of identical tasks.
struct HostedJobStep {
  uint32_t count_ = 1;
  Resources need_;     ///< Resources requested by each task.
  Duration expected_;  ///< Expected run time of each task.
  std::string label_;  ///< Required worker label; empty for any worker.
  std::vector<uint32_t> depends_on_;  ///< Indices of the steps it depends on.
};

/// Job that is answered once, when it has ended. It isn't stored: it ends when
/// its caller disconnects, and the caller may send it again to any instance.
struct HostedJob {
  std::string id_;     ///< Chosen by the caller.
  std::string queue_;  ///< Groups jobs for run time estimates and logs.
  std::string pool_;   ///< Pool of workers that may run its tasks.
  std::string payload_;
  std::vector<HostedJobStep> steps_;
  /// The job fails when one of its tasks has failed this many times.
  uint32_t max_failures_ = 1;
  /// Latency objective, counted from the caller's first attempt.
  Duration objective_;
  /// A later answer is of no use to the caller.
  Duration useful_within_;
  Duration deadline_;  ///< Maximum time that the caller waits.
  uint8_t band_ = 0;   ///< Priority band; 0 is served first.
  /// Owners decide whether the tasks of a step are accepted, as one batch.
  /// Otherwise this instance estimates that from load reports, and each task is
  /// placed by itself.
  bool admitted_by_owners_ = false;
};

/// Expected run time of the longest chain of dependent steps.
Duration CriticalPathTime(const HostedJob& job);

/// Whether the job has between 1 and `config::kMaxTasksPerJob` tasks, no
/// empty step, no negative processor or memory request, and steps that depend
/// only on earlier ones. The other functions require such a job.
bool HasValidSteps(const HostedJob& job);

struct SubmitHostedJob {
  RequestId request_;
  HostedJob job_;
  Duration waited_{};  ///< From the arrival of the request until now.
};

/// Outcome of a job as reported to its caller.
enum class HostedJobOutcome : uint8_t {
  kComplete,
  kFailed,       ///< A task reached `HostedJob::max_failures_`.
  kNotRun,       ///< No task has run or will run; see `retry_after_`.
  kInterrupted,  ///< Tasks may have run; the caller may send the job again.
  kTimedOut,     ///< Tasks may have run, and the job ran out of time.
};

/// Stable name for logs and metrics, such as `not-run`.
std::string_view Name(HostedJobOutcome outcome);

struct AnswerHostedJob {
  RequestId request_;
  HostedJobOutcome outcome_ = HostedJobOutcome::kNotRun;
  std::string_view reason_;
  Duration retry_after_;
  Duration expected_wait_;  ///< Estimate used by the admission decision.
  Duration slack_;          ///< Waiting time that the latency objective allows.
};

/// Sends tasks to an owner of workers, which may be this instance itself.
struct SendAssign {
  InstanceName owner_;
  AssignTasks assign_;
};
/// Cancels tasks at an owner of workers.
struct SendCancel {
  InstanceName owner_;
  CancelTasks cancel_;
  std::string job_;  ///< Id of the job; for logs.
};

/// Asks another instance to end a job, which its caller has submitted here.
struct SendRecall {
  InstanceName coordinator_;
  std::string job_;
};

/// Tells that a task that ended without a result is placed again; for logs.
struct TaskReassigned {
  std::string job_;
  uint32_t step_ = 0;
  uint32_t index_ = 0;
  InstanceName owner_;  ///< That reported the end.
  TaskEnd end_ = TaskEnd::kLost;
};

/// Tells that a batch that an owner refused is placed again; for logs.
struct BatchReassigned {
  std::string job_;
  InstanceName owner_;  ///< That refused it.
  Duration expected_wait_;
};

/// Tells that tasks of a job wait here until an owner has room; for logs. Once
/// a job.
struct JobAwaitsRoom {
  std::string job_;
  InstanceName owner_;  ///< That returned a task.
  TaskEnd end_ = TaskEnd::kNoRoom;
};

/// Tells that a caller sent a job again that is open here; for logs.
struct JobRejoined {
  std::string job_;
  Duration age_;
};

using CoordinatorCommand =
    std::variant<AnswerHostedJob, SendAssign, SendCancel, SendRecall,
                 TaskReassigned, BatchReassigned, JobAwaitsRoom, JobRejoined>;
using CoordinatorOutbox = std::vector<CoordinatorCommand>;

struct JobCoordinatorStats {
  uint64_t jobs_ = 0;
  uint64_t complete_ = 0;
  uint64_t failed_ = 0;
  uint64_t refused_ = 0;
  uint64_t interrupted_ = 0;
  uint64_t timed_out_ = 0;
  uint64_t caller_disconnected_ = 0;
  uint64_t recalled_ = 0;  ///< Jobs ended as they were submitted elsewhere.
  uint64_t tasks_assigned_ = 0;
  /// Tasks assigned again after an owner reported them as not done.
  uint64_t tasks_reassigned_ = 0;
  uint64_t batches_refused_ = 0;  ///< By owners.
  uint64_t crashing_ = 0;      ///< Given up, as workers were lost under a task.
  uint64_t awaited_room_ = 0;  ///< Jobs with tasks that no owner had room for.
};

/// Jobs accepted by this instance, and the last known state of all owners.
class JobCoordinator {
 public:
  /// @param self Name of this instance, whose own workers cost no network hop.
  /// @param data_centre Data centre of this instance.
  /// @param link_rate Of the link over which tasks are assigned.
  JobCoordinator(InstanceName self, std::string data_centre,
                 LinkRate link_rate = {})
      : self_(std::move(self)),
        data_centre_(std::move(data_centre)),
        link_rate_(link_rate) {}

  void On(const SubmitHostedJob& submit, Time now, CoordinatorOutbox* out);
  /// Ends the job of a caller whose connection has ended.
  void On(const CallerDisconnected& gone, Time now, CoordinatorOutbox* out);
  /// Processes an owner's report that a task has ended.
  void On(const InstanceName& owner, const TaskEnded& ended, Time now,
          CoordinatorOutbox* out);

  /// Processes an owner's refusal of a batch.
  void On(const InstanceName& owner, const BatchRefused& refused, Time now,
          CoordinatorOutbox* out);

  /// Refuses all further jobs: the process ends before they could.
  void StopAccepting() { accepts_ = false; }

  /// Returns the ids of jobs that have been open for so long that their callers
  /// may be about to submit them elsewhere, and of those given up that may
  /// still have runs.
  std::vector<std::string> LongOpenJobs(Time now) const;
  /// Records the long open jobs of another instance, in place of those before.
  void JobsOpenElsewhere(const InstanceName& coordinator,
                         const std::vector<std::string>& ids, Time now);
  /// Takes in which workers were lost under tasks of jobs that may come here.
  void NoteLosses(const std::vector<TaskLosses>& losses, Time now);
  /// Returns the losses that an instance needs to know once it is connected.
  std::vector<TaskLosses> SuspectTasks() const { return losses_.Suspects(); }
  /// Number of tasks whose losses were forgotten for lack of space.
  uint64_t losses_evicted() const { return losses_.evicted(); }
  /// Ends a job whose caller has submitted it to another instance.
  void Recall(const std::string& id, Time now, CoordinatorOutbox* out);

  /// Records the current load of an owner that can be reached.
  void OwnerLoadReported(const InstanceName& owner,
                         const std::string& data_centre, const OwnerLoad& load);
  /// Ends the jobs that have tasks at an owner that can't be reached any more.
  /// Its runs stop by themselves.
  void OwnerLost(const InstanceName& owner, Time now, CoordinatorOutbox* out);

  /// Sets all listed workers by pool. A job with a task that fits none of them
  /// is refused.
  void SetWorkers(std::map<std::string, std::vector<LeasedWorkerRef>> workers) {
    workers_ = std::move(workers);
  }

  /// Ends the jobs that have reached their deadline.
  void Tick(Time now, CoordinatorOutbox* out);

  /// Ends all jobs after the process was suspended: by then, callers and owners
  /// have treated this instance as lost.
  void Resume(Time now, CoordinatorOutbox* out);

  /// Loads of the pools of other owners that have free resources, as last
  /// reported. Leaves out owners that are draining.
  std::vector<PoolLoad> RemotePoolsWithCapacity() const;

  /// Returns whether tasks assigned to an owner haven't ended.
  bool AwaitsTasksAt(const InstanceName& owner) const;

  /// Returns what would be done with a job that arrived now. Changes nothing.
  /// @param own_load That of this instance, if it has changed since it was last
  ///     reported.
  PlacementExplanation Explain(const HostedJob& job, const OwnerLoad* own_load,
                               Time now) const;

  bool idle() const { return jobs_.empty(); }
  size_t open_jobs() const { return jobs_.size(); }
  const JobCoordinatorStats& stats() const { return stats_; }

 private:
  enum class TaskState : uint8_t { kWaiting, kAssigned, kDone };

  struct TaskRecord {
    TaskState state_ = TaskState::kWaiting;
    uint32_t failures_ = 0;
    uint32_t reassignments_ = 0;  ///< After `kLost`.
    /// Load report by which it was assigned here when it was returned last.
    uint64_t returned_report_ = 0;
    TaskSerial serial_;
    InstanceName owner_;
  };

  struct Job {
    /// All get the answer. The job goes on while the latest one, which comes
    /// last, is connected.
    std::vector<RequestId> requests_;
    std::shared_ptr<const HostedJob> spec_;
    Time accepted_;
    Time deadline_;            ///< The earliest one of its requests.
    bool by_owners_ = false;   ///< Owners accept or refuse its batches.
    bool started_ = false;     ///< Whether any task may have started.
    bool abandoned_ = false;   ///< Ends once owners report all assigned tasks.
    std::string_view reason_;  ///< Reason why it was abandoned.
    uint32_t assigned_ = 0;    ///< Number of tasks assigned to owners.
    std::set<std::string> refused_by_;  ///< Owners that refused a batch.
    bool awaited_room_ = false;  ///< Whether tasks have had to wait here.
    /// An owner refused its share of a step while others took theirs: the next
    /// one can't refuse it.
    bool committed_ = false;
    Duration expected_wait_;  ///< As the last of these estimated.
    std::vector<std::vector<TaskRecord>> steps_;
    std::vector<uint32_t> remaining_;  ///< Tasks of each step not yet done.
  };

  struct TaskRef {
    uint64_t job_ = 0;
    uint32_t step_ = 0;
    uint32_t index_ = 0;
  };

  /// An owner isn't asked to take as much as it refused before some time.
  struct RefusedBatch {
    int64_t cpu_milli_ = 0;  ///< Of all tasks.
    Time asked_again_at_;
  };

  struct Owner {
    std::string data_centre_;
    OwnerLoad load_;
    uint64_t report_ = 0;  ///< Number of the load report, over all owners.
    Time full_until_;      ///< After it has returned a task for lack of room.
    /// By band: the last batch that it refused.
    std::array<RefusedBatch, kPriorityBands> refused_{};
  };

  /// Share of a step's waiting tasks for one owner.
  struct BatchShare {
    std::string owner_;
    size_t tasks_ = 0;
    bool immediate_ = false;  ///< They fit into free resources.
  };
  /// An owner that may be asked to take a batch.
  struct BatchCandidate {
    const std::string* name_;
    const PoolLoad* load_;
    bool near_ = false;
    size_t fitting_ = 0;
    Duration wait_;
    bool refused_lately_ = false;
  };
  /// Rules by which owners are chosen, in the order in which they are tried.
  enum class BatchRule : uint8_t {
    kOneNear,
    kSplitNear,
    kOneAnywhere,
    kSplitAnywhere,
    kInTime,
  };
  /// Where the waiting tasks of a step go.
  struct BatchPlan {
    std::vector<BatchCandidate> candidates_;
    BatchRule rule_ = BatchRule::kInTime;
    std::vector<BatchShare> shares_;  ///< Empty if no owner can be asked.
    Duration expected_wait_;          ///< Until the last of them can start.
  };

  /// Tasks assigned by one call of `PlaceReady`, by owner and step.
  struct Placement {
    std::map<std::pair<std::string, uint32_t>, AssignTasks> assigns_;
    /// Whether any task fits into free resources, so that it needn't wait.
    bool any_immediate_ = false;
  };

  /// Long open jobs of another instance.
  struct OpenElsewhere {
    std::set<std::string> ids_;
    Time at_;
  };

  /// Time that a job may wait and still meet its latency objective.
  static Duration Slack(const HostedJob& job);
  /// Name of the tasks of a step, without their index.
  static std::string StepName(const HostedJob& job, uint32_t step);
  bool FitsSomewhere(const HostedJob& job) const;
  /// Returns the losses of a task of a job that has to be given up for them, if
  /// there is any.
  std::optional<WorkerLosses> FindExhausted(const HostedJob& job) const;
  /// Returns the instance at which a job is open or may still have runs; null
  /// if none is known.
  const std::string* FindOpenElsewhere(const std::string& id, Time now) const;
  /// Loads of a pool at all owners that accept tasks: those that are draining
  /// or full don't.
  std::vector<const PoolLoad*> PoolLoads(const std::string& pool,
                                         Time now) const;
  /// Whether any owner of the pool's workers would accept tasks but is full.
  bool HasFullOwner(const std::string& pool, Time now) const;
  /// Returns the cost of a task at an owner, in milliseconds of expected wait;
  /// absent if it can't be assigned there.
  std::optional<double> OwnerCost(const HostedJob& job, uint32_t step,
                                  const TaskRecord& task,
                                  const Placement& placement, Time now,
                                  const std::string& name, Owner* owner) const;
  /// Chooses the cheapest owner for a task of a step. @returns null if there is
  /// none.
  Owner* SelectOwner(const HostedJob& job, uint32_t step,
                     const TaskRecord& task, const Placement& placement,
                     Time now, std::string* name);
  /// Assigns all waiting tasks whose steps have no unfinished dependency.
  void PlaceReady(uint64_t id, Time now, CoordinatorOutbox* out);
  /// Keeps a returned task until `PlaceAwaitingRoom`. Assigned again at once,
  /// it might be returned over and over.
  void AwaitRoom(uint64_t id, const InstanceName& owner, TaskEnd end,
                 CoordinatorOutbox* out);
  /// Assigns tasks that wait for room, as far as owners have some, and ends the
  /// jobs for which it comes too late.
  void PlaceAwaitingRoom(Time now, CoordinatorOutbox* out);
  void Place(uint64_t id, Job* job, uint32_t step, uint32_t index, Time now,
             Placement* placement);
  /// Whether an owner could start the first step in time if nothing else waited
  /// there. Otherwise its tasks are shared out among the owners one by one.
  bool FitsOneOwner(const HostedJob& job, Time now) const;
  /// Chooses owners for tasks of a step: one for all of them if possible.
  BatchPlan PlanBatch(const HostedJob& job, uint32_t step, size_t tasks,
                      const std::set<std::string>& excluded, Time now) const;
  static OwnerVerdict VerdictOn(const BatchPlan& plan,
                                const BatchCandidate& candidate, size_t tasks,
                                Duration slack);
  void PlaceBatch(uint64_t id, Job* job, uint32_t step,
                  const std::vector<uint32_t>& tasks, Time now,
                  Placement* placement);
  /// Returns the message that assigns tasks of a step, without the tasks.
  static AssignTasks MakeAssign(const HostedJob& job, uint32_t step,
                                Duration age);
  /// Adds a task to the message for an owner.
  void Assign(uint64_t id, Job* job, uint32_t step, uint32_t index, Time now,
              const std::string& owner, Placement* placement);
  /// Latest start of the job's critical path that gives a useful answer.
  static Time UsefulUntil(const Job& job);
  /// Cancels all assigned tasks of a job.
  void CancelAssigned(Job* job, Time now, CoordinatorOutbox* out);
  void Refuse(RequestId request, std::string_view reason, Duration wait,
              Duration slack, CoordinatorOutbox* out);
  /// Answers all requests that await the job, and removes it.
  void Finish(uint64_t id, HostedJobOutcome outcome, std::string_view reason,
              CoordinatorOutbox* out);
  /// Cancels all tasks; the job ends once their owners have reported them.
  void Abandon(uint64_t id, std::string_view reason, Time now,
               CoordinatorOutbox* out);
  void FinishIfNoneAssigned(uint64_t id, CoordinatorOutbox* out);

  InstanceName self_;
  std::string data_centre_;
  LinkRate link_rate_;
  bool accepts_ = true;
  uint64_t last_job_ = 0;
  uint64_t last_serial_ = 0;
  uint64_t last_report_ = 0;
  std::map<std::string, Owner> owners_;
  std::map<std::string, std::vector<LeasedWorkerRef>> workers_;
  std::map<uint64_t, Job> jobs_;
  std::unordered_map<uint64_t, uint64_t> jobs_by_request_;
  std::unordered_map<std::string, uint64_t> jobs_by_id_;
  std::unordered_map<uint64_t, TaskRef> tasks_;           // by serial
  std::set<std::pair<uint8_t, uint64_t>> awaiting_room_;  // band and job
  std::map<std::string, OpenElsewhere> open_elsewhere_;   // by instance
  /// Jobs that were given up and may still have runs, until the given time.
  std::unordered_map<std::string, Time> ending_;
  TaskLossLedger losses_;
  JobCoordinatorStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_COORDINATOR_H_
