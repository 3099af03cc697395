#ifndef GENTIANDEAL_SRC_DISPATCHER_IMPL_H_
#define GENTIANDEAL_SRC_DISPATCHER_IMPL_H_

#include <unordered_map>

#include "client_id_issuer.h"
#include "dispatcher.h"
#include "job.h"
#include "run_time_estimator.h"
#include "slot_map.h"
#include "submissions.h"
#include "task_queue.h"
#include "team_limiter.h"
#include "worker_health.h"

namespace gentiandeal {

/// Implementation of `Dispatcher`, split over dispatcher.cc (messages and
/// timers), dispatcher_admission.cc (acceptance of submissions),
/// dispatcher_team_limits.cc (quotas and rate limits of teams),
/// dispatcher_jobs.cc (tasks and the end of jobs) and dispatcher_forward.cc
/// (peers).
class Dispatcher::Impl {
 public:
  Impl(const InstanceId& self, const ClientSecret& secret, uint64_t seed);
  ~Impl();

  /// Records the current time. If it shows a pause of the process, fails the
  /// jobs that are out of date before anything else happens.
  void ObserveTime(Time now, Outbox* out);

  /// Handles one message or tick: records the time, calls `handle`, and starts
  /// the tasks that can start after it.
  template <typename Handle>
  void RunStep(Time now, Outbox* out, const Handle& handle) {
    ObserveTime(now, out);
    handle();
    StartQueuedTasks(now, out);
  }

  // dispatcher.cc
  void ApplySettings(std::shared_ptr<const Settings> settings);
  void UpdateWorkers(const WorkersListed& message, Time now);
  void UpdatePeerLoad(const PeerLoad& message);
  void Drain() { draining_ = true; }
  void Tick(Time now, Outbox* out);
  void AbortAll(Time now, Outbox* out);
  DispatcherLoad load() const;
  Stats stats() const;

  // dispatcher_admission.cc
  void HandleSubmission(const Submit& message, Time now, Outbox* out);
  void HandleCancellation(const CancelSubmission& message, Time now,
                          Outbox* out);

  // dispatcher_jobs.cc
  /// Starts queued tasks as long as a worker has a free slot.
  void StartQueuedTasks(Time now, Outbox* out);
  void HandleAttemptEnd(const AttemptEnded& message, Time now, Outbox* out);
  void HandleCallerDisconnect(RequestId request, Time now, Outbox* out);

  // dispatcher_forward.cc
  void UpdatePeers(const PeersChanged& message);
  void HandleForwardEnd(const ForwardEnded& message, Time now, Outbox* out);

  TeamLimiter& team_limiter() { return team_limiter_; }
  ClientIdIssuer& client_ids() { return client_ids_; }
  const WorkerTable& workers() const { return workers_; }

 private:
  /// Why a submission is refused; none of its tasks has started.
  struct Refusal {
    Errc error_ = Errc::kBadRequest;
    Duration retry_after_;
  };

  // dispatcher.cc
  /// Fails jobs past their deadline, and jobs held here that have not started.
  void FailJobsAfterPause(Time now, Outbox* out);
  void HandleJobTimer(Job* job, Time now, Outbox* out);
  /// Whether a worker can take tasks now or later: false if all are leaving.
  bool AnyWorkerMayReturn() const;

  // dispatcher_team_limits.cc
  TeamHandle AddTeam(const TeamSettings& settings);
  /// Takes the job's task starts from the team's rate limit.
  std::optional<Refusal> ChargeRateLimit(const Job& job, Time now);
  /// Returns whether the team's quota allows one more running task. If not, the
  /// queue skips the team until `UnblockTeams` or `OnTaskEnd` lifts the block.
  bool CheckQuota(TeamHandle team, Time now);
  void OnTaskStart(TeamHandle team);
  void OnTaskEnd(TeamHandle team);
  /// Tells the team's quota how many of its tasks wait.
  void ReportWaitingTasks(TeamHandle team);
  /// Unblocks teams that are no longer at their quota.
  void UnblockTeams(Time now);

  // dispatcher_admission.cc
  void HandleIdentifiedSubmission(const Submit& message, Time now, Outbox* out);
  void Admit(const Submit& message, const std::optional<SubmissionId>& id,
             const std::optional<JobDigest>& digest, Time now, Outbox* out);
  /// Decides whether the job runs here or in another data centre, or is
  /// refused.
  std::optional<Refusal> Place(const Submit& message, Job* job, Time now,
                               Outbox* out);
  std::optional<Refusal> CheckSpec(const JobSpec& spec) const;
  std::optional<Refusal> CheckCapacity(const JobSpec& spec, TeamHandle team,
                                       uint64_t bytes);
  void InitTasks(const JobSpec& spec, Job* job);
  std::optional<Refusal> CheckDeadline(const Job& job, Time now) const;
  Duration ExpectedFinish(const Job& job, Time now) const;
  /// Slots that this instance can expect to use, in total and for one team.
  uint32_t ExpectedSlots() const;
  uint32_t ExpectedSlots(TeamHandle team) const;
  Duration RetryAfter() const;
  void Reject(RequestId request, const std::optional<SubmissionId>& id,
              const std::optional<JobDigest>& digest, TeamHandle team,
              const Refusal& refusal, Outbox* out);
  Duration DeadlineOf(const JobSpec& spec, TeamHandle team) const;
  TeamHandle FindTeam(const std::string& name) const;
  /// Drops the oldest kept answers until `bytes` fit into `percent` of the
  /// buffer limits of the team and the instance. @returns false when they
  /// don't.
  bool EnsureBufferSpace(TeamHandle team, uint64_t bytes, uint32_t percent);
  void Enqueue(Job* job, Time now);

  // dispatcher_jobs.cc
  void Dispatch(Job* job, uint16_t index, WorkerHandle worker, Time now,
                Outbox* out);
  /// Returns `fallback`. If that is `avoid` and there are other workers, picks
  /// one of them; invalid when none of them has a free slot.
  WorkerHandle PickWorker(WorkerHandle avoid, WorkerHandle fallback);
  Duration TaskTimeout(const Job& job, const Task& task, Time now) const;
  Duration P95RunTime(const Job& job, uint16_t index) const;
  void ReleaseSlot(const Attempt& attempt, Time now, Duration busy);
  void HandleAnswered(Job* job, const Attempt& attempt,
                      const TaskAnswer& answer, Time now, Outbox* out);
  void HandleFailed(Job* job, const Attempt& attempt,
                    const AttemptEnded& message, Time now, Outbox* out);
  void HandleRefused(Job* job, const Attempt& attempt, AttemptResult verdict,
                     Time now, Outbox* out);
  bool TryTakeRetry(TeamHandle team);
  void ResetTimer(Job* job);
  void FailJob(Job* job, std::error_code error, Time now, Outbox* out);
  std::shared_ptr<JobAnswer> BuildFailure(Job* job,
                                          std::error_code error) const;
  void CompleteJob(Job* job, Outbox* out);
  void EndJob(Job* job, std::shared_ptr<const JobAnswer> answer, Outbox* out);
  void AnswerRequest(RequestId request, std::shared_ptr<const JobAnswer> answer,
                     Outbox* out);
  void AddWaiter(RequestId request, Job* job);

  // dispatcher_forward.cc
  void ForwardToOwner(const Submit& message, Time now, Outbox* out);
  void ForwardCancelToOwner(const CancelSubmission& message, Time now,
                            Outbox* out);
  bool MayForwardRemotely(const Job& job);
  /// Forwards the job to another data centre; `MayForwardRemotely` must hold.
  void ForwardRemotely(Job* job, Time now, Outbox* out);
  const PeerView* FindPeer(Incarnation incarnation) const;
  PeerView* FindRemotePeer(uint32_t tasks);
  Forward* AddForward(Time wake);
  void RemoveForward(Forward* forward);
  void ExpireForwards(Time now, Outbox* out);
  /// Forwards to another peer, runs the job here, or fails it.
  void HandleUnsentForward(Job* job, Time now, Outbox* out);
  /// Answers that the submission may have run, and its started tasks are
  /// unknown.
  void AnswerUnknownOutcome(RequestId request, Errc error, Outbox* out);

  /// Most forwards to other data centres in a burst.
  static constexpr double kMaxForwardCredit = 64;

  InstanceId self_;
  ClientIdIssuer client_ids_;
  std::shared_ptr<const Settings> settings_;
  WorkerTable workers_;
  WorkerHealth health_;
  TaskQueue queue_;
  RunTimeEstimator run_times_;
  BufferAccount buffer_account_;
  Submissions submissions_;
  RetryBudget retry_budget_;
  TeamLimiter team_limiter_;

  std::vector<Team> teams_;
  std::vector<TeamHandle> teams_to_recheck_;  ///< Were blocked by their quota.
  std::unordered_map<std::string, TeamHandle> team_by_name_;
  TeamHandle root_team_;

  SlotMap<Job, JobId> jobs_;
  SlotMap<Attempt, AttemptId> attempts_;
  SlotMap<Forward, ForwardId> forwards_;
  std::unordered_map<uint64_t, Request> requests_;
  Timers<Job> job_timers_;
  Timers<Forward> forward_timers_;

  std::vector<PeerView> peers_;
  double forward_credit_ = 1;

  Stats stats_;
  std::optional<Time> last_time_;
  bool draining_ = false;
  bool aborted_ = false;
  bool workers_may_return_ = true;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_DISPATCHER_IMPL_H_
