#ifndef GENTIANDEAL_TESTS_UNIT_HOSTED_WORLD_H_
#define GENTIANDEAL_TESTS_UNIT_HOSTED_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "job_coordinator.h"
#include "leased_record.h"
#include "peer_liveness.h"
#include "unit/event_queue.h"
#include "worker_ownership.h"
#include "worker_scheduler.h"

namespace gentiandeal {

/// A fault put between the state machines and the world, to show that the
/// checker catches it.
enum class HostedBreakage : uint8_t {
  kNone,
  kFreeAtStop,        ///< A stopped run is listed as ended at once.
  kKeepSessions,      ///< To an owner, links never end or fall silent.
  kForgetOrder,       ///< Steps lose the steps that they must follow.
  kForgetLabel,       ///< Tasks lose the label that they need.
  kForgetFailures,    ///< A failed run is told as a lost one.
  kSameFence,         ///< All writes are told to have one revision.
  kMaybeLooksNotRun,  ///< "May have run" is told as "not run".
  kLostLooksDone,     ///< A lost task is told as done.
  kRepeatAnswer,      ///< An answer is sent twice.
  kAliveOnArrival,    ///< Links and owners date signs of life by arrivals.
  kForgetLosses,      ///< No instance tells others of crashes under tasks.
  kKeepCapacity,      ///< Owners aren't told of changes of resources.
  kFullLooksExpired,  ///< A task without room is told as expired.
  kForgetWithdrawal,  ///< A record isn't told that it is withdrawn.
  /// An entry of a worker's earlier life is told as one of the life that a poll
  /// has shown.
  kKeepKind,
};

/// What must hold, named as the users' rules do.
enum class HostedRule : uint8_t {
  kRoom,            ///< No start beyond a worker's resources.
  kOneRun,          ///< No two runs of a task at once.
  kStepOrder,       ///< No start before the steps before are done.
  kPlace,           ///< Only in its pool, on workers with its label.
  kFailures,        ///< No start after as many failures as are allowed.
  kOneOwner,        ///< A fence belongs to one owner of a worker.
  kNotRunIsTrue,    ///< What was told as not run has never started.
  kCompleteIsTrue,  ///< All tasks of a complete job have ended well.
  kAnsweredOnce,    ///< Each request has one answer, or its connection ends.
  /// When a caller may send a lost job again, no run of it is in progress, and
  /// none starts for the lost request.
  kEndsBeforeResend,
  /// A task isn't started three times more, by instances in touch, after three
  /// workers have crashed while it ran there.
  kCrashes,
  /// A job is reported as failed only if a task of it failed as often as it
  /// may, or ran on two workers as they crashed.
  kFailedIsTrue,
  /// An instance that carries out its commands comes to an end: a pass takes a
  /// few commands for each task of the open jobs.
  kBoundedPass,
  /// Once an instance withdraws its record, it makes no more calls for it, and
  /// the record doesn't come back.
  kWithdrawn,
};

struct HostedViolation {
  HostedRule rule_;
  std::string detail_;
};

/// Kinds of trouble that the schedule adds to what it always plays.
struct HostedTroubles {
  bool holds_ = false;    ///< One direction of a link delivers late, in order.
  bool stalls_ = false;   ///< Instances stand still, below the pause threshold.
  bool callers_ = false;  ///< Losses of callers are noticed late.
  /// Requests arrive late, also after their callers have left.
  bool requests_ = false;
  bool store_ = false;     ///< Entries of workers and watches are late.
  bool mutes_ = false;     ///< Workers answer nothing, and carry out late.
  bool restarts_ = false;  ///< Workers restart quickly under their identifier.
  /// Late requests come over kept connections, so that nothing tells how long
  /// they were on their way. With `requests_` only.
  bool kept_ = false;
  /// Tasks crash the workers that start them, whose connections then end unless
  /// their hosts are silent.
  bool deadly_ = false;
  bool shrinks_ = false;  ///< Resources of workers shrink and grow again.
  /// Jobs differ in priority, and owners decide which they accept.
  bool priorities_ = false;
  bool reservations_ = false;  ///< Owners make them. With `priorities_` only.
  /// Bursts of jobs of two steps, of up to 260 tasks in all, at one instance:
  /// more than the queues of a few owners take.
  bool wide_ = false;
  /// Calls by which instances keep their records are carried out and answered
  /// late, or their answers are lost, also after the withdrawal.
  bool answers_ = false;
  /// Workers that restart under their identifier are of another kind then, with
  /// other resources. With `restarts_` only.
  bool kinds_ = false;

  bool any() const {
    return holds_ || stalls_ || callers_ || requests_ || store_ || mutes_ ||
           restarts_ || deadly_ || shrinks_ || wide_ || answers_;
  }
  static constexpr HostedTroubles All() {
    return {true, true, true, true, true, true, true};
  }
};

/// Size of the fleet. Every third instance of a data centre has four times the
/// processor share of the others, once there are more than two of them.
struct HostedFleet {
  size_t instances_ = 4;
  size_t workers_ = 12;
};

/// Coordinators, schedulers and ownership of several instances with their
/// links, their workers, the store and callers, driven by a seeded random
/// schedule on one simulated clock. Workers and the store keep to the users'
/// protocol: leases on slow clocks, fences, stops that take time, orders that
/// are lost or carried out late, workers that restart, keys that are taken
/// away.
class HostedWorld {
 public:
  HostedWorld(uint64_t seed, HostedBreakage breakage,
              const HostedTroubles& troubles = {},
              const HostedFleet& fleet = {});
  /// Writes what happens, one event a line.
  void TraceTo(std::ostream* trace) { trace_ = trace; }

  /// Runs `steps` random actions, then lets everything end without faults.
  void Run(int steps);

  const std::vector<HostedViolation>& violations() const { return violations_; }
  bool all_idle() const;
  /// Workers without an owner once everything has settled.
  size_t ownerless() const;

  /// What the schedule has reached.
  struct Seen {
    uint64_t complete_ = 0;
    uint64_t failed_ = 0;
    uint64_t not_run_ = 0;
    uint64_t interrupted_ = 0;
    uint64_t resent_ = 0;
    uint64_t late_orders_ = 0;
    uint64_t stale_fences_ = 0;
    uint64_t lapsed_ = 0;
    uint64_t second_steps_ = 0;
    uint64_t sent_abroad_ = 0;
    uint64_t read_late_ = 0;     ///< Frames held back and then read.
    uint64_t closed_late_ = 0;   ///< Ends of links held back and then read.
    uint64_t silent_links_ = 0;  ///< Ends closed for silence.
    uint64_t stalls_ = 0;
    uint64_t stalled_at_kill_ = 0;  ///< Kills while a peer stands still.
    uint64_t callers_lost_ = 0;     ///< Noticed late by the coordinator.
    uint64_t late_requests_ = 0;
    uint64_t late_entries_ = 0;   ///< Read after the worker had restarted.
    uint64_t stale_entries_ = 0;  ///< Of an earlier life, after a later one.
    uint64_t muted_calls_ = 0;
    uint64_t quick_restarts_ = 0;
    uint64_t inherited_orders_ = 0;         ///< Accepted by a later life.
    uint64_t orders_of_earlier_lives_ = 0;  ///< Gone with that life.
    uint64_t other_kinds_ = 0;  ///< Workers that are back as another kind.
    uint64_t crashes_by_tasks_ = 0;
    uint64_t failed_deadly_ = 0;  ///< Jobs whose tasks crash workers, failed.
    uint64_t shrunk_ = 0;
    uint64_t shrunk_below_use_ = 0;      ///< Below what ran there.
    uint64_t wide_complete_ = 0;         ///< Wide jobs, complete.
    uint64_t without_room_ = 0;          ///< Tasks that a full queue returned.
    uint64_t awaited_room_ = 0;          ///< Jobs of such tasks.
    uint64_t withdrawn_ = 0;             ///< Records of instances.
    uint64_t withdrawn_amid_calls_ = 0;  ///< While a call was under way.
  };
  const Seen& seen() const { return seen_; }

 private:
  static constexpr int64_t kTickMs = 20;
  static constexpr Duration kRecordLease{2000};
  /// Processors of a worker that hasn't shrunk.
  static constexpr int32_t kCpuMilli = 32000;

  struct LinkEnd {
    bool open_ = false;
    PeerLiveness liveness_{Time{}};
    Time heard_;  ///< When it last read a frame.
    /// Until when what is sent to it waits on its way.
    Time held_until_;
    Time next_;  ///< Frames to it keep their order.
  };
  /// Connection over which one instance assigns tasks to another.
  struct Link {
    size_t from_ = 0;
    size_t to_ = 0;
    uint64_t desk_life_ = 0;
    uint64_t owner_life_ = 0;
    Incarnation wanted_;
    LinkEnd desk_;
    LinkEnd owner_;
    bool ready_ = false;     ///< The coordinator has the owner's hello.
    bool reported_ = false;  ///< The coordinator has the owner's load.
    SessionId session_;
  };
  enum class Side : uint8_t { kDesk, kOwner };

  struct Instance {
    InstanceName name_;
    std::string data_centre_;
    Incarnation incarnation_;
    uint64_t life_ = 0;  ///< Counts restarts; events of older lives are void.
    bool up_ = false;
    bool draining_ = false;
    bool turned_away_ = false;  ///< By the store.
    Time paused_until_;
    Time last_tick_;
    /// After a stall, until what arrived meanwhile has been read.
    bool catching_up_ = false;
    Time drained_since_;
    Time renew_at_;
    std::unique_ptr<WorkerOwnership> claims_;
    std::unique_ptr<WorkerScheduler> owner_;
    std::unique_ptr<JobCoordinator> desk_;
    std::unique_ptr<LeasedRecord> record_;
    OwnershipOutbox claims_out_;
    SchedulerOutbox owner_out_;
    CoordinatorOutbox desk_out_;
    LeasedRecordOutbox record_out_;
    bool carrying_ = false;
    bool withdrawing_ = false;
    uint64_t own_version_ = 0;  ///< Of the load that its coordinator knows.
    uint64_t shared_version_ = 0;
    std::set<uint64_t> sessions_;
    std::optional<InstanceRecord> unwritten_;
    InstanceRecord written_;
    std::map<std::string, uint64_t> seen_records_;  ///< Name to revision.
    std::map<std::string, LeasedWorker> seen_workers_;
    size_t entries_read_ = 0;
    bool workers_read_ = false;
    Time watch_held_until_;
    Time store_read_since_;  ///< Since when it reaches the store.
    /// Since when nothing has happened to it or to its links.
    Time undisturbed_since_;
    uint64_t linked_plan_ = 0;
    Time links_refreshed_at_;
    std::map<std::string, Incarnation> targets_;  ///< Names to connect to.
    std::vector<uint64_t> links_;                 ///< To owners; 0: none.
    std::vector<Time> connect_at_;
    std::vector<std::function<void()>> deferred_;  ///< While it is paused.
  };

  struct StoredRecord {
    InstanceRecord record_;
    uint64_t revision_ = 0;
    Time until_;
    // With `answers_`, where the lease says until when.
    std::string value_;
    uint64_t lease_ = 0;
  };

  struct WorkerRun {
    uint32_t number_ = 0;
    Time began_;
    Time ends_;
    bool fails_ = false;
    std::optional<Time> stopped_at_;
  };
  /// Change of what the store lists.
  struct EntryEvent {
    size_t worker_ = 0;
    std::optional<LeasedWorker> entry_;
  };
  struct WaitingHold {
    size_t instance_ = 0;
    uint64_t life_ = 0;
    PollWorker hold_;
    Time sent_;
    Time until_;
    bool lost_ = false;
  };
  struct Worker {
    LeasedWorker info_;
    bool up_ = true;
    Time born_;
    /// Start time of the earliest life whose orders it accepts.
    int64_t accepts_ms_ = 0;
    Time mute_until_;
    bool mutes_polls_ = false;
    /// Crashed, and its host answers nothing.
    bool dark_ = false;
    /// Resources that it had before, and until when.
    std::vector<std::pair<Time, Resources>> earlier_capacities_;
    uint64_t fence_ = 0;
    int64_t lease_ms_ = 0;  ///< On its own clock.
    uint64_t last_end_ = 0;
    std::map<std::string, WorkerRun> runs_;
    std::map<std::string, uint32_t> over_;  ///< Highest run ended or stopped.
    std::vector<FinishedRun> finished_;
    std::vector<WaitingHold> waiting_;
  };

  /// A caller's job over all its attempts.
  struct CallerJob {
    HostedJob spec_;
    bool poison_ = false;  ///< Its tasks fail.
    bool wide_ = false;    ///< Of a burst of wide jobs.
    std::string deadly_;   ///< Task that crashes each worker that starts it.
    /// Workers that crashed while they ran a task, by task.
    std::map<std::string, uint32_t> crashes_;
    std::map<std::string, uint32_t> starts_after_crashes_;
    uint32_t attempts_ = 0;
    uint32_t refusals_ = 0;
    bool given_up_ = false;  ///< Lost, and not sent again.
    uint64_t starts_ = 0;
    /// Order of the failures that owners have read, by task.
    std::map<std::string, std::vector<uint64_t>> failures_;
    std::set<std::string> done_;
  };
  struct Request {
    std::string job_;
    size_t instance_ = 0;
    uint64_t life_ = 0;
    uint32_t answers_ = 0;
    bool broken_ = false;  ///< The connection has ended without an answer.
    Time arrives_;
    std::optional<Time> closes_at_;  ///< When its close is read.
  };

  uint64_t Roll(uint64_t bound) { return random_() % bound; }
  bool Chance(uint64_t percent) { return faults_ && Roll(100) < percent; }
  int64_t Between(int64_t least, int64_t most) {
    return least + static_cast<int64_t>(Roll(most - least + 1));
  }
  void Later(int64_t ms, std::function<void()> run);
  void AdvanceTo(Time end);
  void Violate(HostedRule rule, const std::string& detail);

  void Act();
  void Trouble();
  void Stall(size_t index, uint64_t times);
  void Start(size_t index);
  void Kill(size_t index, bool silent);
  void Pause(size_t index, int64_t ms);
  void Drain(size_t index);
  void TickInstance(size_t index);
  void TickScheduler(size_t index);
  void ReportOwnLoad(size_t index);
  void TickStore();
  void TickWorkers();
  /// Hands something to an instance of this life, once it isn't paused.
  void Deliver(size_t index, uint64_t life, const std::function<void()>& run);
  /// As `Deliver`, for frames: what arrives at once is read before anything is
  /// carried out.
  void DeliverFrame(size_t index, uint64_t life,
                    const std::function<void()>& run);

  bool StoreReachable(size_t index) const;
  void Sync(size_t index);
  /// Writes the record of an instance and renews its lease.
  void KeepRecord(size_t index);
  /// Lets the store carry out a call for an instance's record and answer it.
  template <typename Ended>
  void CallStore(size_t index, std::function<Ended()> carry_out);
  void CheckNotWithdrawn(size_t index, std::string_view call);
  /// Withdraws the record of an instance, which ends then.
  void Withdraw(size_t index);
  /// Removes records whose lease has ended.
  void RemoveUnleased();

  void Connect(size_t from, size_t to, Incarnation wanted);
  void Accept(uint64_t id);
  void TickLinks(size_t index);
  void ShareLoad(size_t index);
  void SendHeartbeat(uint64_t id, Side to);
  /// Sends a frame after a heartbeat, unless one was just sent.
  void SendFrame(uint64_t id, Side to, int64_t ms,
                 const std::function<void()>& read);
  void SendLoad(uint64_t id);
  /// Sends a frame to one side of a link, which reads it after all earlier
  /// ones.
  void Send(uint64_t id, Side to, const std::function<void()>& read);
  void SendLate(uint64_t id, Side to, int64_t ms,
                const std::function<void()>& read);
  void Enqueue(uint64_t id, Side to, int64_t ms,
               const std::function<void()>& arrive);
  /// Closes one end. The other one learns it in order with what was sent.
  void Close(uint64_t id, Side side);
  void CloseAll(size_t index);
  void HoldOneLink(size_t index);
  /// Holds what an instance sends to the owners it assigns to.
  void HoldAllFrom(size_t index);
  void Hold(uint64_t id, Side to, int64_t ms);
  std::vector<uint64_t> LinksOf(size_t index) const;
  LinkEnd* OpenEnd(uint64_t id, Side side);
  void ForgetClosed(uint64_t id);

  void CarryOut(size_t index);
  /// @returns the number of commands.
  template <typename Outbox>
  size_t CarryOutAll(size_t index, Outbox* outbox);
  /// Most commands that one pass may take.
  size_t MaxCommandsPerPass() const;
  void Do(size_t index, const AnswerHostedJob& answer);
  void Do(size_t index, const SendAssign& send);
  void Do(size_t index, const SendCancel& send);
  void Do(size_t index, const StartRun& start);
  void Do(size_t index, const StopRun& stop);
  void Do(size_t index, const PollWorker& hold);
  void Do(size_t index, const ReportTask& report);
  void Do(size_t index, const WorkerLost& lost);
  void Do(size_t index, const PublishRecord& publish);
  void Do(size_t index, const RequestLease& request);
  void Do(size_t index, const RenewLease& renew);
  void Do(size_t index, const ReleaseLease& release);
  void Do(size_t index, const WriteRecord& write);
  void Do(size_t index, const ReadRecord& read);
  void Do(size_t index, const RecordStored& stored);
  void Do(size_t index, const RecordWithdrawn& withdrawn);
  void Do(size_t index, const AcquireWorker& own);
  void Do(size_t index, const UpdateWorker& update);
  void Do(size_t index, const DrainWorker& retire);
  void Do(size_t index, const ReleaseWorker& disown);
  // The schedule's coordinators always learn of a caller's loss.
  void Do(size_t /*index*/, const SendRecall& /*recall*/) {}
  // Only logged by instances.
  void Do(size_t index, const RunOver& over);
  void Do(size_t index, const WorkerRestarted& worker);
  void Do(size_t, const WorkerSpeedChanged&) {}
  void Do(size_t index, const WorkerDescribed& worker);
  void Do(size_t index, const LossesCharged& charged);
  void SendLosses(uint64_t id, Side to, const std::vector<TaskLosses>& losses);
  void ReadLosses(uint64_t id, Side side,
                  const std::vector<TaskLosses>& losses);
  void Do(size_t /*index*/, const PollFailed& /*poll*/) {}
  void Do(size_t index, const ReportRefused& report);
  void Do(size_t /*index*/, const TasksEvacuated& /*evacuated*/) {}
  void Do(size_t /*index*/, const ReservationChanged& changed) {
    Note("reservation ", changed.step_, " ", Name(changed.change_.state_));
  }
  void Do(size_t /*index*/, const TaskReassigned& /*task*/) {}
  void Do(size_t /*index*/, const BatchReassigned& /*batch*/) {}
  void Do(size_t /*index*/, const JobAwaitsRoom& /*job*/) {
    ++seen_.awaited_room_;
  }
  void Do(size_t /*index*/, const JobRejoined& /*job*/) {}
  /// Sends over the link between two instances, in order.
  void ToOwner(size_t from, size_t to,
               const std::function<void(Instance*, SessionId)>& run);
  size_t IndexOf(const InstanceName& name) const;

  static std::string JobOf(const std::string& task);
  int64_t WorkerClock(const Worker& worker) const;
  Worker* FindWorker(const WorkerId& id);
  StartResult CarryOutStart(Worker* worker, const StartRun& start,
                            uint64_t order, Time sent, size_t owner);
  bool CarryOutStop(Worker* worker, const StopRun& stop, Time sent);
  void CarryOutHold(Worker* worker, WaitingHold waiting);
  /// Lets a poll time out.
  void AnswerLate(const WaitingHold& waiting);
  void AnswerHold(Worker* worker, const WaitingHold& waiting,
                  PollResult result);
  void Renew(Worker* worker, int64_t until_ms);
  void EndRun(Worker* worker, const std::string& task, RunEnd end);
  void Crash(Worker* worker, int64_t away, bool under_its_id);
  /// Schedules the crash of a worker by a task that it has started.
  void CrashSoon(Worker* worker, const std::string& task);
  void Shrink(Worker* worker);
  void SetCapacity(Worker* worker, int32_t cpu_milli);
  /// Largest resources that count: one that has shrunk counts later.
  Resources CountedCapacity(const Worker& worker) const;
  /// Whether an instance has read the store for so long that it must know what
  /// workers say of themselves.
  bool ReadsStore(size_t index) const;
  /// Whether nothing has happened to an instance, its links or its path to the
  /// store for the time after which rules with a time bound hold for it.
  bool InTouch(size_t index) const;
  void Disturb(size_t index, Time until);
  void Return(Worker* worker, bool under_its_id);
  void BecomeOtherKind(Worker* worker);
  /// Tells an owner the entry that it has read as one of another life.
  void TellEntryAs(size_t index, const WorkerId& worker, int64_t started_ms);
  void List(const Worker& worker, std::optional<LeasedWorker> entry);
  bool Mute(const Worker& worker, bool poll);
  bool Accepts(const Worker& worker, const LeasedWorker& addressed, Time sent);
  void CheckStart(const Worker& worker, const StartRun& start, uint64_t order,
                  size_t owner);
  void CheckCrashes(const std::string& task, size_t owner);
  void CheckFailed(const std::string& id);
  void TakeNote(const WorkerId& worker, const PollEnded& ended);
  void CheckFailures(const std::string& task, uint64_t start_order);

  void SubmitNew();
  void SubmitWide(size_t index, uint32_t jobs);
  void Submit(const std::string& id);
  void SubmitTo(size_t index, const std::string& id);
  void Resend(const std::string& id);
  void CheckEnded(const std::string& id);
  void BreakCallers(size_t index);
  /// Hands a request that has arrived to its coordinator, unless its caller's
  /// close has arrived as well.
  void Read(uint64_t request, const HostedJob& spec);
  void LoseCaller(uint64_t request, int64_t noticed_after);
  template <typename... Parts>
  void Note(const Parts&... parts) {
    if (trace_ == nullptr) return;
    *trace_ << now_.ms_ << ' ';
    ((*trace_ << parts), ...) << '\n';
  }
  void CheckEnd();

  std::mt19937_64 random_;
  HostedBreakage breakage_;
  HostedTroubles troubles_;
  std::ostream* trace_ = nullptr;
  bool faults_ = true;
  Time now_{1000000};
  uint64_t last_job_ = 0;
  uint64_t last_request_ = 0;
  uint64_t last_link_ = 0;
  uint64_t last_session_ = kLocalSession.value_;
  uint64_t last_incarnation_ = 0;
  EventQueue events_;
  std::vector<Instance> instances_;
  std::vector<Worker> workers_;
  std::map<uint64_t, Link> links_;
  std::vector<std::vector<Time>> cut_until_;
  bool store_down_ = false;
  bool store_leases_pause_ = true;
  uint64_t revision_ = 100;
  std::map<std::string, StoredRecord> records_;
  std::map<uint64_t, Time> leases_;  ///< Until when; with `answers_`.
  uint64_t last_lease_ = 0;
  /// Instances and lives whose records were removed by their withdrawal.
  std::set<std::string> removed_lives_;
  std::vector<EntryEvent> entries_;  ///< In the order of the store.
  std::vector<std::optional<LeasedWorker>> listed_;
  std::map<std::string, CallerJob> jobs_;
  std::map<uint64_t, Request> requests_;
  /// Owner of each worker and fence.
  std::map<std::pair<std::string, uint64_t>, std::string> fences_;
  uint64_t last_order_ =
      0;  ///< Of starts that are sent and ends that are read.
  /// Failures that an owner has read: worker, its start time, number of the
  /// end.
  std::set<std::tuple<std::string, int64_t, uint64_t>> read_ends_;
  std::vector<HostedViolation> violations_;
  Seen seen_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_HOSTED_WORLD_H_
