#ifndef GENTIANDEAL_SRC_WORKER_SCHEDULER_H_
#define GENTIANDEAL_SRC_WORKER_SCHEDULER_H_

#include <map>
#include <set>
#include <unordered_map>

#include "explanation.h"
#include "leased_worker.h"
#include "link_rate.h"
#include "scheduler_commands.h"
#include "task_backlog.h"
#include "warm_up.h"
#include "worker_choice.h"
#include "worker_speed.h"

/// Runs tasks on the workers that this instance owns. Does no I/O: takes
/// messages and the time, and returns commands.
namespace gentiandeal {

/// A worker's answer to a start.
enum class StartResult : uint8_t {
  kStarted,
  kStaleFence,        ///< The worker has seen orders with a higher fence.
  kOldRun,            ///< A run with this or a higher number ended there.
  kLate,              ///< The start arrived after its lease had ended.
  kNoRoom,            ///< Only from workers that enforce their resource limits.
  kUnavailable,       ///< The worker accepts no work at present.
  kOtherIncarnation,  ///< Another incarnation of the worker answered.
  kRejected,          ///< Malformed start, or an unknown reason of refusal.
  kUnanswered,        ///< May have been carried out, or may still be.
  kNotSent,           ///< No connection: the worker has not seen it.
};

/// Stable name for logs, such as `stale-fence`.
std::string_view Name(StartResult result);

/// A `StartRun` call has ended, answered or not.
struct StartEnded {
  WorkerCallId call_;
  StartResult result_ = StartResult::kUnanswered;
  std::optional<int64_t> clock_ms_;  ///< The worker's clock, if it was told.
};

/// A `StopRun` call has ended, answered or not.
struct StopEnded {
  WorkerCallId call_;
  bool answered_ = false;
};

/// A run in progress, as a worker lists it.
struct RunningRun {
  std::string task_;
  uint32_t run_ = 0;
  double percent_ = 0;  ///< Share of its work that is done, in percent.
};

/// How a run ended on its worker: `kLeaseExpired` because its lease expired,
/// `kBroken` because the other members of its gang ended or never arrived.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken
};

/// The end of a run. The worker lists it until it is acknowledged.
struct FinishedRun {
  uint64_t number_ = 0;  ///< Increases within one incarnation of the worker.
  std::string task_;
  uint32_t run_ = 0;
  RunEnd end_ = RunEnd::kFailed;
};

/// A `PollWorker` call has ended, answered or not.
struct PollEnded {
  WorkerCallId call_;
  PollResult result_ = PollResult::kUnanswered;
  int64_t clock_ms_ = 0;
  int64_t started_ms_ = 0;
  std::vector<RunningRun> running_;
  std::vector<FinishedRun> finished_;
};

/// Intervals of an owner.
struct WorkerSchedulerLimits {
  /// Lease granted with each start or poll; must be below the longest lease
  /// that the platform allows.
  Duration lease_{900};
  /// Longest lease that the platform allows.
  Duration longest_lease_{1000};
  Duration renew_below_{500};  ///< Renews a lease with less time left.
  Duration poll_wait_{1000};   ///< Longest wait of a poll for the end of a run.
  /// Callers resubmit a lost job no sooner than this after they lost it. Runs
  /// of a silent session have ended by then because their lease expired, even
  /// if this process is paused.
  Duration resend_delay_{1300};
  /// Longest time a worker takes to stop a run, which uses resources until
  /// then.
  Duration stop_timeout_{50};
  /// Of the link over which tasks arrive and are started.
  LinkRate link_rate_{};
  /// Whether nothing may start before `SetEvacuated` was called.
  bool needs_evacuations_ = false;
  WarmUpBounds warm_up_{};
  uint32_t max_reservations_ = 0;  ///< In each pool at a time; 0: none.
};

/// Counters since the start of the process.
struct WorkerSchedulerStats {
  uint64_t starts_ = 0;
  uint64_t starts_refused_ = 0;
  uint64_t starts_unanswered_ = 0;
  uint64_t stops_ = 0;
  uint64_t polls_ = 0;
  uint64_t polls_failed_ = 0;
  uint64_t done_ = 0;
  uint64_t failed_ = 0;
  uint64_t leases_expired_ = 0;
  uint64_t stalled_ = 0;
  uint64_t expired_ = 0;
  uint64_t without_room_ = 0;     ///< Tasks not accepted: too many waited.
  uint64_t batches_refused_ = 0;  ///< On their arrival.
  uint64_t batches_shed_ = 0;     ///< After they had waited.
  uint64_t cancelled_ = 0;
  uint64_t foreign_runs_ = 0;  ///< Runs of other owners, found and stopped.
  uint64_t workers_restarted_ = 0;
  /// Runs whose end no list has shown, by evidence: absence from lists, end of
  /// the lease, restart of the worker.
  uint64_t runs_inferred_over_ = 0;
  uint64_t ejections_ = 0;        ///< Times a failing worker was ejected.
  uint64_t workers_slowed_ = 0;   ///< Times a worker was recognised as slow.
  uint64_t workers_crashed_ = 0;  ///< While they ran tasks.
  /// Silent workers whose runs were taken for over at the end of their lease.
  uint64_t workers_silenced_ = 0;
  uint64_t tasks_given_up_ = 0;  ///< Too many workers were lost under them.
  uint64_t evacuated_ = 0;       ///< Tasks returned because of an evacuation.
  ReservationStats reservations_;
};

/// Owner of leased workers: schedules tasks on them and never overbooks them.
/// Resources are reserved before a start is sent and released only when the
/// worker lists the end of the run, or when the run can be proven to have ended
/// or to never start.
class WorkerScheduler {
 public:
  explicit WorkerScheduler(const WorkerSchedulerLimits& limits = {})
      : limits_(limits) {
    if (!limits.needs_evacuations_) evacuated_.emplace();
  }

  /// Takes over a worker. No task starts there before a poll has confirmed what
  /// runs there.
  void Acquire(const LeasedWorker& worker, Fence fence, Time now,
               SchedulerOutbox* out);

  /// Updates a worker from its changed platform entry, which describes one
  /// incarnation of it.
  void Update(const LeasedWorker& entry, Time now, SchedulerOutbox* out);
  /// Number of workers that can't be used before the entry of their present
  /// incarnation has been read.
  size_t undescribed_workers() const;

  /// Starts no more tasks there, so that another owner can take the worker.
  void DrainWorker(const WorkerId& worker);
  /// Sets the data centres in which nothing more starts. Takes back the starts
  /// there that are still in the outbox; runs go on. Returns waiting tasks that
  /// can run nowhere else here as refused.
  void SetEvacuated(const std::set<std::string>& data_centres, Time now,
                    SchedulerOutbox* out);
  size_t evacuated_data_centres() const {
    return evacuated_ ? evacuated_->size() : 0;
  }
  /// Returns whether no run is on the worker, or the worker is not owned.
  bool IsWorkerIdle(const WorkerId& worker) const;

  /// Releases a worker. Its tasks are queued again if their lease has certainly
  /// ended, and reported as `TaskEnd::kUnknown` if not.
  void Release(const WorkerId& worker, Time now, SchedulerOutbox* out);

  bool Owns(const WorkerId& worker) const {
    return workers_.count(worker.value_) > 0;
  }

  /// Returns waiting tasks as refused, and refuses new ones from now on.
  void Drain(SchedulerOutbox* out);
  /// Returns whether no task waits or runs.
  bool idle() const;
  /// Number of tasks waiting for a worker.
  size_t waiting() const { return backlog_.tasks(); }

  void On(SessionId session, const AssignTasks& assign, Time now,
          SchedulerOutbox* out);
  /// Also takes back starts that are still in the outbox.
  void On(SessionId session, const CancelTasks& cancel, Time now,
          SchedulerOutbox* out);
  /// Records that the coordinator of a session was alive at a time, which is
  /// when it gave that sign of life and not when that arrived.
  void NoteSessionAlive(SessionId session, Time alive_at);
  /// Takes in what other instances know of workers that were lost under tasks.
  /// @returns those that were news.
  std::vector<TaskLosses> NoteLosses(const std::vector<TaskLosses>& losses,
                                     Time now);
  /// Cancels all tasks of a session whose connection ended.
  void EndSession(SessionId session, Time now, SchedulerOutbox* out);

  void On(const StartEnded& ended, Time now, SchedulerOutbox* out);
  void On(const StopEnded& ended, Time now, SchedulerOutbox* out);
  void On(const PollEnded& ended, Time now, SchedulerOutbox* out);

  /// Returns waiting tasks that fit into the free resources `elsewhere`, those
  /// of other owners, as refused, so that they can be assigned there.
  void OffloadWaiting(std::vector<PoolLoad> elsewhere, Time now,
                      SchedulerOutbox* out);

  /// Renews leases, repeats polls and stops, and drops tasks that can no longer
  /// start in time. Ends what `CatchUp` began.
  void Tick(Time now, SchedulerOutbox* out);

  /// Call after the process stood still for a moment. Until the next `Tick`, no
  /// task starts and no lease is renewed, so that the losses and cancellations
  /// that have arrived meanwhile are read first.
  void CatchUp() { catching_up_ = true; }

  /// Call after the process was paused. Reports all tasks as unknown, stops
  /// their runs and uses no worker before a new poll shows what runs there.
  void Resume(Time now, SchedulerOutbox* out);

  /// Returns what would be done with a batch that arrived now in the local
  /// session. Changes nothing: the decision is made on a copy of the state.
  BatchExplanation Explain(const AssignTasks& assign, Time now) const;

  OwnerLoad load(Time now) const;
  /// Increases whenever `load` may have changed.
  uint64_t load_version() const { return load_version_; }
  const WorkerSchedulerStats& stats() const { return stats_; }

 private:
  /// Tasks assigned by one message.
  struct TaskBatch {
    BatchId id_;
    SessionId session_;
    AssignTasks assign_;  ///< Without the payload.
    std::shared_ptr<const std::string> payload_;
    Time start_by_;             ///< To meet the latency objective.
    Time first_start_by_;       ///< Expires then unless the job has started.
    Time give_up_at_;           ///< A start after this would be useless.
    bool job_started_ = false;  ///< Whether a task of the job has started.
    /// Its tasks start on slow workers as well: elsewhere they can't start in
    /// time, and a late answer is better than none.
    bool any_speed_ = false;
  };

  /// A task accepted by this owner.
  struct Task {
    SessionId session_;
    TaskSerial serial_;
    std::string name_;
    std::shared_ptr<TaskBatch> batch_;
    bool started_ = false;
    uint32_t run_count_ = 0;
    /// Worker of its last run, which was lost, stalled or not started there.
    std::string avoid_worker_;
  };

  /// Tasks of a batch that wait, in the order in which they start.
  struct WaitingTasks {
    std::shared_ptr<TaskBatch> batch_;
    std::vector<Task> tasks_;
  };

  enum class RunState : uint8_t {
    kStarting,
    kRunning,
    kStopping,  ///< Being stopped, until the worker lists the end.
  };

  struct Run {
    uint64_t key_ = 0;  ///< Unique within this owner.
    std::string name_;
    uint32_t number_ = 1;
    Resources need_;
    Duration expected_run_time_;
    RunState state_ = RunState::kStarting;
    std::optional<Task> task_;  ///< Absent when no session awaits its end.
    Time sent_at_;
    /// When the start was found to be unanswered. A poll sent after that shows
    /// whether the run exists.
    std::optional<Time> start_uncertain_since_;
    /// On the worker's clock; the worker refuses a start that arrives later.
    int64_t start_valid_until_ms_ = 0;
    bool inherited_ = false;  ///< Started by another owner.
    /// When the start was answered or the run was first listed.
    std::optional<Time> start_seen_at_;
    /// Of the worker, when it answered the start, if it told it.
    std::optional<int64_t> start_clock_ms_;
    /// Beyond which its lease isn't renewed although no stop was answered; set
    /// once nobody awaits its end.
    std::optional<Time> renewed_until_;
    bool stop_pending_ = false;  ///< A stop call is in progress.
    std::string_view stop_reason_;
    bool stop_answered_ = false;  ///< Any stop was answered.
    Time next_stop_at_;  ///< When to stop again or look again for the end.
    /// When its stop was answered. A run that had not started by then never
    /// will.
    std::optional<Time> stop_answered_at_;
    /// Since when the worker lists it neither as running nor as ended.
    std::optional<Time> missing_since_;
    /// Since when its start, which was never seen, has come too late to be
    /// carried out.
    std::optional<Time> start_expired_since_;
    bool speed_observed_ = false;  ///< Its progress told its run time.
    /// Why its worker was lost under it, once its task was charged with that.
    std::optional<LossCause> charged_;
  };

  /// A start that got no answer and was stopped before it was carried out.
  struct VoidedStart {
    std::string task_;
    uint32_t run_ = 0;
    Time sent_at_;
  };

  /// A task that waits again since the lease of its run was over. The run may
  /// have ended before, without its end being listed yet.
  struct RequeuedRun {
    std::string task_;
    uint32_t run_ = 0;
    SessionId session_;
    TaskSerial serial_;
  };

  /// Reservations on the workers of one pool.
  struct PoolPlan {
    ReservationPlan plan_;
    uint32_t workers_ = 0;
    std::vector<PlanWorkerId> unused_;                 ///< Of released workers.
    std::unordered_map<uint64_t, std::string> steps_;  ///< Reserved batches.
  };

  struct Worker {
    /// What is known of the present incarnation: neither labels nor capacity
    /// while it is undescribed.
    LeasedWorkerRef info_;
    LeasedWorkerRef entry_;  ///< Last one read; may be of another incarnation.
    /// Since when the present incarnation is known without its entry.
    std::optional<Time> undescribed_since_;
    PoolPlan* plan_ = nullptr;  ///< Null until reservations are in use.
    PlanWorkerId plan_id_;
    std::optional<Resources> planned_;  ///< Capacity; absent: out of service.
    Fence fence_;
    Resources free_;
    std::vector<Run> runs_;
    Time incarnation_since_;  ///< When its present incarnation became known.
    /// Start times of its last known earlier incarnations, which the store may
    /// still list.
    std::vector<int64_t> earlier_incarnations_;
    std::vector<VoidedStart> voided_starts_;
    std::vector<RequeuedRun> requeued_runs_;
    /// A poll with this fence has listed its runs, and none that an earlier
    /// owner was stopping can be left.
    bool confirmed_ = false;
    /// When it was first known to refuse orders of earlier owners; absent
    /// before the first list.
    std::optional<Time> fenced_since_;
    bool draining_ = false;
    bool poll_pending_ = false;
    bool immediate_poll_pending_ = false;
    uint32_t poll_failures_ = 0;  ///< Consecutive polls without a list.
    /// It gets no tasks, as a connection to it ended or was refused since its
    /// last list.
    bool disconnected_ = false;
    /// When a connection to it was first seen to have ended since its last
    /// list.
    std::optional<Time> connection_ended_at_;
    /// It gets no tasks, as a start there is unanswered for too long.
    bool unresponsive_ = false;
    Time next_poll_at_;
    uint64_t last_seen_ = 0;  ///< Number of the last end that was processed.
    int64_t clock_ms_ = 0;    ///< The worker's clock at `clock_read_`.
    Time clock_read_;
    bool clock_known_ = false;
    Time lease_until_;  ///< Lease of its runs, on this process's clock.
    /// Latest end of leases that this owner doesn't know: of runs that an
    /// earlier owner started, which may have renewed them until this owner's
    /// first poll, and of orders that another incarnation has carried out.
    Time longest_lease_until_;
    Time listed_at_;  ///< Last answer that listed its runs.
    uint32_t consecutive_failures_ = 0;
    uint32_t ejections_ = 0;  ///< Ejections since the last success.
    Time ejected_until_;
    WorkerSpeed speed_;
    bool slow_ = false;  ///< As last told by a `WorkerSpeedChanged`.
  };

  /// `kImmediatePoll` is a poll that the worker answers without waiting.
  enum class CallKind : uint8_t { kStart, kStop, kPoll, kImmediatePoll };
  struct Call {
    CallKind kind_ = CallKind::kStart;
    std::string worker_;
    uint64_t run_ = 0;
    Time sent_;
    int64_t start_bytes_ = 0;
  };

  /// Removes the start of a run from the outbox. @returns false if it isn't
  /// there.
  bool TakeBackStart(const Run& run, SchedulerOutbox* out);
  Worker* FindWorker(const std::string& id);
  WorkerCallId NewCall(CallKind kind, const Worker& worker, uint64_t run,
                       Time now);
  bool TakeCall(WorkerCallId id, Call* out);
  /// Returns the time by which the leases of a session's runs must end if it
  /// stays silent; absent for the local session, which needs no limit. Nothing
  /// can start for a session that has given no sign of life.
  std::optional<Time> SessionLeaseLimit(SessionId session) const;
  /// Returns the time by which a run must have ended whose caller may have lost
  /// its connection at `lost_at` and so submits the job again.
  Time ResubmissionLimit(Time lost_at) const;
  /// Detaches a run from its task, which its coordinator doesn't await any
  /// more.
  void Detach(Run* run, Time now) const;
  Duration LeaseFor(const Worker& worker, Time now) const;
  /// Returns whether a run for the session can have a lease there that is long
  /// enough to be renewed, and that ends in time if the session is lost.
  bool CanLease(const Worker& worker, SessionId session, Time now) const;
  /// Takes note of the incarnation that has listed its runs.
  void NoteIncarnation(Worker* worker, int64_t started_ms, Time now,
                       SchedulerOutbox* out);
  /// Replaces what is known of a worker. @returns whether that is about another
  /// incarnation.
  bool ReplaceInfo(Worker* worker, LeasedWorkerRef info, Time now,
                   SchedulerOutbox* out);
  /// Starts to use the incarnation in `info_` in place of the one that started
  /// at `earlier_ms`. Runs are kept until lists show whether they ended with
  /// the earlier incarnation or were started on this one.
  void ChangeIncarnation(Worker* worker, int64_t earlier_ms, Time now,
                         SchedulerOutbox* out);
  /// Extends the lease of a worker. @returns its end on the worker's clock.
  int64_t RenewLease(Worker* worker, Time now) const;
  static bool HasInheritedRun(const Worker& worker);
  /// Returns whether the leases of all runs there have certainly ended.
  static bool IsLeaseOver(const Worker& worker, Time now);
  /// Longest time from the answer to a stop until the end of the run is listed.
  Duration StopSettleTime() const;
  /// Returns whether tasks can start there, apart from an ejection.
  bool InService(const Worker& worker) const;
  bool Usable(const Worker& worker, Time now) const;
  /// Returns whether the worker's data centre is known not to be evacuated.
  bool StartsAllowed(const Worker& worker) const;
  /// Queues the tasks again whose start there is still in the outbox.
  void WithdrawStarts(Worker* worker, Time now, SchedulerOutbox* out);
  /// Returns waiting tasks as refused that evacuations keep from running here.
  /// @param begins An evacuation begins: tasks that could be assigned here
  ///     again are returned as well.
  void ReturnEvacuated(bool begins, SchedulerOutbox* out);
  bool ReturnsEvacuated(const AssignTasks& assign, bool begins) const;

  /// Sends a poll unless one of this kind is pending. With `immediate` the
  /// worker answers at once.
  void SendPoll(Worker* worker, bool immediate, Time now, SchedulerOutbox* out);
  void SendStop(Worker* worker, Run* run, Time now, SchedulerOutbox* out);
  /// Starts waiting tasks wherever they fit.
  void StartWaiting(Time now, SchedulerOutbox* out);
  /// Starts waiting tasks on one worker, whose free resources have changed, and
  /// elsewhere if tasks were queued again.
  void StartWaitingOn(Worker* worker, Time now, SchedulerOutbox* out);
  void FillWorker(Worker* worker, Time now, SchedulerOutbox* out);
  /// Starts the tasks of a batch that has just been queued.
  void StartBatch(BatchId id, Time now, SchedulerOutbox* out);
  /// Whether slow workers have free resources for all tasks of a batch, and end
  /// them while the answer is of use.
  bool FitsSlowWorkers(const TaskBatch& batch, Time now) const;
  /// Whether a task waits for another worker than one with free resources.
  bool PrefersToWait(const Task& task, const Worker& worker, Time now) const;
  /// Copies everything that a decision may change, other than pending calls.
  WorkerScheduler Copy() const;
  /// Takes note of a batch that arrives, before it is decided upon.
  std::shared_ptr<TaskBatch> Receive(SessionId session,
                                     const AssignTasks& assign, Time now,
                                     SchedulerOutbox* out);
  /// Refuses a batch, or queues its tasks and starts those that fit.
  void Decide(const std::shared_ptr<TaskBatch>& batch, Time now,
              SchedulerOutbox* out);
  /// Judges whether a batch is expected to start in time.
  BatchAdmission Judge(const TaskBatch& batch, Time now);
  /// Fills which reservations keep the tasks of a batch from starting.
  void ExplainReservations(const std::shared_ptr<TaskBatch>& batch, Time now,
                           BatchExplanation* out);
  /// Refuses a batch that isn't expected to start in time. @returns whether it
  /// was refused.
  bool RefuseBatch(TaskBatch* batch, Time now, SchedulerOutbox* out);
  /// Longest expected wait with which a batch is accepted.
  static Duration AcceptedWait(const AssignTasks& assign);
  void ExpireWaiting(Time now, SchedulerOutbox* out);
  /// Refuses the batches that have waited in vain: those ahead of them take the
  /// resources until it is too late.
  void ShedWaiting(Time now, SchedulerOutbox* out);
  /// Expected time until the last of some tasks of a batch starts, the bands in
  /// the order in which they are served now.
  WaitEstimate ExpectedWaitOf(const AssignTasks& assign, Time now) const;
  /// Bands in the order in which they are served.
  std::array<uint8_t, kPriorityBands> BandOrder() const;
  Worker* PickWorker(const Task& task, Time now);

  /// Updates the plans from the workers and the waiting batches. Reservations
  /// come into use with the first batch that may be refused: other deployments
  /// send none.
  void UpdateReservations(Time now, SchedulerOutbox* out);
  void UpdatePlan(const std::string& pool, PoolPlan* plan, Time now);
  /// Takes over whether and with what capacity a worker can be used.
  void PlanService(Worker* worker, Time now);
  void PlanStart(const Worker& worker, const Run& run, PlanBatchId batch,
                 Time now) const;
  static void PlanEnd(const Worker& worker, uint64_t run);
  static void PlanStop(const Worker& worker, const Run& run, Time end);
  /// Takes a worker that is released out of its plan.
  static void Unplan(Worker* worker);
  /// Ends the reservation of a batch of which no task waits any more.
  /// @returns whether it had one.
  bool LapseIfGone(BatchId id, LapseReason reason);
  /// Tells changes of reservations since the last call.
  void TellReservations(SchedulerOutbox* out);
  ReservationRequest PlanRequest(const TaskBatch& batch, uint32_t count) const;
  /// Whether a task may start there without delaying a reservation.
  bool KeepsReservations(const TaskBatch& batch, const Worker& worker,
                         Time now) const;
  /// Returns the batch of which a task may start there by its reservation.
  const WaitingBatch* ReservedBatch(const Worker& worker, Time now) const;
  /// Whether a batch may begin: if none of its tasks has started, the last one
  /// is expected to start in time, or no reservations are in use.
  bool MayBegin(const WaitingBatch& batch, Time now);
  bool MustBeginWhole(const WaitingBatch& batch, Time now) const;
  /// Time until the runs and reservations leave room for a new batch.
  Duration PlannedWait(const TaskBatch& batch, Time now);
  Duration ExpectedRunTime(const Worker& worker, Duration declared,
                           Time now) const;

  /// Whether a task may start on a worker that has the resources for it.
  bool MayStart(const Task& task, const Worker& worker, Time now) const;
  /// Returns the run time of a task that is to be expected on a typical worker
  /// of its pool.
  Duration TypicalTime(const AssignTasks& assign) const;
  static TaskDemand DemandOf(const TaskBatch& batch, Duration typical,
                             Time now);
  static WorkerOffer OfferOf(const Worker& worker, const Resources& need,
                             Time now);
  void Start(Worker* worker, Task task, Time now, SchedulerOutbox* out);
  /// Whether as many bytes of starts are on their way as the link can take, or
  /// messages that arrived during a stall are still being read.
  bool StartsHeldBack() const;
  /// Time that the return of a task, and its assignment elsewhere, take.
  Duration ReturnTime(const Task& task) const;

  /// Work of one task, in core milliseconds.
  static double Work(const AssignTasks& assign);
  void Enqueue(Task task, Time now);
  /// Removes the waiting tasks of a batch for which `matches` holds, and
  /// returns them.
  std::vector<Task> TakeWaiting(
      BatchId id, const std::function<bool(const Task&)>& matches);
  std::vector<Task> TakeWaiting(BatchId id) {
    return TakeWaiting(id, [](const Task&) { return true; });
  }
  std::vector<Task> TakeAllWaiting();
  /// Queues a task again whose run on `worker` has ended, or reports its end if
  /// it can't start any more.
  void Requeue(Task task, const Worker& worker, Time now, SchedulerOutbox* out);
  void Report(const Task& task, TaskEnd end, SchedulerOutbox* out);
  void RequestStop(Worker* worker, Run* run, std::string_view reason, Time now,
                   SchedulerOutbox* out);
  void RemoveRun(Worker* worker, uint64_t key);
  void EndRun(Worker* worker, const Run& run, RunEnd end, Time now,
              SchedulerOutbox* out);
  void ProcessStartEnd(Worker* worker, uint64_t run_key,
                       const StartEnded& ended, Time now, SchedulerOutbox* out);
  void ProcessFinished(Worker* worker, const PollEnded& ended, Time now,
                       SchedulerOutbox* out);
  /// Reports the task of a run that was taken for lost and has ended before, if
  /// it still waits.
  void ProcessLateEnd(const Worker& worker, const FinishedRun& finished,
                      SchedulerOutbox* out);
  void ProcessRunning(Worker* worker, const PollEnded& ended, Time sent,
                      Time now, SchedulerOutbox* out);
  /// Returns whether a list without the run, asked for at `listed_after`,
  /// proves that it has ended or will never start: it isn't being stopped by
  /// then.
  bool IsSettled(const Run& run, Time listed_after) const;
  /// Stops a run that progresses too slowly, to start it on another worker.
  void CheckProgress(Worker* worker, Run* run, double percent, Time now,
                     SchedulerOutbox* out);
  /// Remembers a start that its worker refuses until it restarts.
  static void RememberVoided(Worker* worker, const Run& run, Time now);
  /// Stops the remembered starts again after the worker has restarted.
  void StopVoidedStarts(Worker* worker, Time now, SchedulerOutbox* out);
  static void NoteOver(const Worker& worker, const Run& run,
                       RunOverReason reason, SchedulerOutbox* out);
  /// Removes all runs of a worker. Their tasks are reported as unknown if the
  /// reason is `kOutOfReach`, and queued again if not.
  void DropRuns(Worker* worker, RunOverReason reason, Time now,
                SchedulerOutbox* out);
  /// Returns whether a run must have been in progress: it had begun, and can't
  /// have ended yet.
  static bool WasRunning(const Run& run, Time at);
  /// Charges the tasks that run there with its loss, each once.
  void ChargeLoss(Worker* worker, LossCause cause, Time lost_at, Time now,
                  SchedulerOutbox* out);
  /// Reports a task under which too many workers were lost.
  void GiveUp(const Task& task, SchedulerOutbox* out);
  void NotePollFailure(Worker* worker, const PollEnded& ended, Time now,
                       SchedulerOutbox* out);
  /// Returns whether a start may yet be carried out although its lease is over:
  /// the worker's incarnation has changed since, whose clock starts anew.
  static bool MayStartLate(const Worker& worker, const Run& run, Time now);
  /// Keeps the resources of such a start until it is stopped.
  void KeepUnseenStart(Worker* worker, Run run, Time now, SchedulerOutbox* out);
  void Eject(Worker* worker, Time now);
  /// Time since a run was started; on the clock of its worker if that tells
  /// that this process, short of CPU time, reads answers late.
  static Duration TimeOnWorker(const Worker& worker, const Run& run, Time now);
  void UpdateSpeed(Worker* worker, const Run& run, Time now,
                   SchedulerOutbox* out);
  /// Tells when a worker has begun or ceased to count as slow.
  void NoteSpeed(Worker* worker, Time now, SchedulerOutbox* out);
  /// Reports a worker as lost and releases it.
  void LoseWorker(const std::string& id, std::string_view reason, Time now,
                  SchedulerOutbox* out);

  WorkerSchedulerLimits limits_;
  std::optional<std::set<std::string>> evacuated_;  ///< Absent: not known yet.
  bool draining_ = false;
  bool catching_up_ = false;  ///< Between `CatchUp` and the next `Tick`.
  uint64_t last_call_ = 0;
  uint64_t last_run_ = 0;
  uint64_t load_version_ = 1;
  int64_t start_bytes_ = 0;  ///< Of starts whose calls haven't ended.
  std::map<std::string, Worker> workers_;
  std::map<std::string, PoolRunTimes> run_times_;  ///< By pool.
  std::unordered_map<uint64_t, Call> calls_;
  uint64_t last_batch_ = 0;
  TaskBacklog backlog_;
  std::unordered_map<uint64_t, WaitingTasks> waiting_;  ///< By batch.
  /// Batches of the waiting tasks, by session and serial.
  std::map<std::pair<uint64_t, uint64_t>, BatchId> waiting_serials_;
  bool requeued_ = false;  ///< Since waiting tasks were last started.
  std::map<std::string, PoolPlan> plans_;  ///< By pool.
  bool admits_ = false;  ///< A batch that may be refused has arrived.
  BandShare shares_;
  std::map<std::string, StartRates> start_rates_;  ///< By pool.
  Time shed_at_;
  /// Last sign of life by session, without the local one.
  std::unordered_map<uint64_t, Time> last_alive_;
  TaskLossLedger losses_;
  WorkerSchedulerStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_SCHEDULER_H_
