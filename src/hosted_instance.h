#ifndef GENTIANDEAL_SRC_HOSTED_INSTANCE_H_
#define GENTIANDEAL_SRC_HOSTED_INSTANCE_H_

#include <event2/event.h>
#include <signal.h>
#include <spdlog/spdlog.h>

#include "buffered_log.h"
#include "evacuation.h"
#include "event_base.h"
#include "explain_json.h"
#include "hosted_backend.h"
#include "hosted_log.h"
#include "hosted_metrics.h"
#include "job_coordinator.h"
#include "mesh_link.h"
#include "open_jobs_relay.h"
#include "worker_ownership.h"
#include "worker_scheduler.h"

/// An instance that runs jobs on leased workers of a hosting platform.
namespace gentiandeal {

/// Configuration of one hosted instance.
struct HostedInstanceConfig {
  InstanceName name_;
  std::string data_centre_;
  Address peer_address_;  ///< Where other instances connect.
  /// Processor share, in thousandths of a core; 0 when unknown.
  int32_t cpu_milli_ = 0;
  LinkRate link_rate_;
  /// Time from SIGTERM until the process must have stopped. Jobs that are still
  /// open then are ended.
  Duration drain_limit_{5000};
  /// Time after SIGTERM during which new callers are still accepted. The load
  /// balancer stops sending callers within it once readiness has ended.
  Duration linger_{2300};
  /// Time after the start before which no worker is claimed.
  Duration claim_delay_{150};
  WorkerSchedulerLimits owner_limits_;
};

/// Owns the timers and the links to other instances, and passes messages
/// between the backend and the decision logic (`WorkerOwnership`,
/// `WorkerScheduler`, `JobCoordinator`).
template <HostedBackend Backend>
class HostedInstance {
 public:
  HostedInstance(event_base* base, const HostedInstanceConfig& init,
                 Backend* backend)
      : base_(base),
        init_(init),
        backend_(backend),
        incarnation_(NewIncarnation()),
        started_(clock_.Now()),
        ownership_(MakeRecord(), started_ + init.claim_delay_),
        scheduler_(init.owner_limits_),
        coordinator_(init.name_, init.data_centre_, init.link_rate_),
        mesh_(base, {init.name_, init.data_centre_, incarnation_},
              init.link_rate_, MakeMeshEvents()) {}

  ~HostedInstance() {
    for (event* registered : {tick_, caught_up_, drain_, reload_}) {
      if (registered != nullptr) event_free(registered);
    }
  }
  HostedInstance(const HostedInstance&) = delete;
  HostedInstance& operator=(const HostedInstance&) = delete;

  /// Binds all sockets and starts the timers and signal handlers. @returns the
  /// error of the first socket that can't be bound.
  std::error_code Start() {
    if (const auto error = mesh_.Listen(init_.peer_address_)) return error;
    backend_->Bind(MakeEvents());
    if (const auto error = backend_->Start()) return error;
    tick_ = event_new(base_, -1, EV_PERSIST, &OnTick, this);
    event_priority_set(tick_, 0);
    caught_up_ = event_new(base_, -1, 0, &OnCaughtUp, this);
    drain_ = evsignal_new(base_, SIGTERM, &OnDrain, this);
    reload_ = evsignal_new(base_, SIGHUP, &OnReload, this);
    event_add(drain_, nullptr);
    event_add(reload_, nullptr);
    event_add(tick_, &kTickInterval);
    last_tick_ = clock_.Now();
    spdlog::info("event=started instance={} data_centre={} incarnation={}",
                 init_.name_.value_, init_.data_centre_, incarnation_.value_);
    return {};
  }

 private:
  /// 20 ms: short compared to the run times of tasks and to leases.
  static constexpr timeval kTickInterval{0, 20 * 1000};
  /// A longer gap between ticks means that the process was suspended. Longer
  /// than throttling by the processor quota, short compared to leases.
  static constexpr Duration kPauseThreshold{450};
  /// A longer gap between ticks may have let other events arrive unread.
  static constexpr Duration kStallThreshold{60};
  /// Time after the drain limit at which the process no longer waits for the
  /// withdrawal of its record. Leaves 700 ms of the platform's grace period.
  static constexpr Duration kWithdrawalTimeout{400};
  /// Interval at which the links are reconsidered while the plan is unchanged,
  /// to close those kept only for the tasks that were open there.
  static constexpr Duration kLinkInterval{200};
  /// Interval between reports of the jobs that have been open for long.
  static constexpr Duration kOpenJobsInterval{100};
  static constexpr Duration kLogFlushInterval{100};

  InstanceRecord MakeRecord() const {
    InstanceRecord record;
    record.name_ = init_.name_;
    record.incarnation_ = incarnation_;
    record.data_centre_ = init_.data_centre_;
    record.peer_address_ = init_.peer_address_;
    record.cpu_milli_ = init_.cpu_milli_;
    record.link_rate_ = init_.link_rate_;
    return record;
  }

  HostedEvents MakeEvents() {
    HostedEvents events;
    events.submit_ = [this](const SubmitHostedJob& submit) {
      RefreshOwnLoad();
      open_requests_[submit.request_.value_] = {
          submit.job_.id_, submit.job_.queue_, clock_.Now()};
      spdlog::info(
          "event=received request={} queue={} deadline_ms={} waited_ms={}",
          submit.job_.id_, submit.job_.queue_, submit.job_.deadline_.ms_,
          submit.waited_.ms_);
      coordinator_.On(submit, clock_.Now(), &coordinator_out_);
      ExecuteCommands();
    };
    events.caller_disconnected_ = [this](const CallerDisconnected& gone) {
      RecordOutcome({gone.request_, {}, "connection-ended", {}, {}, {}},
                    "caller-gone");
      coordinator_.On(gone, clock_.Now(), &coordinator_out_);
      ExecuteCommands();
    };
    events.caller_silent_ = [this](RequestId request, Duration silence) {
      const auto found = open_requests_.find(request.value_);
      if (found == open_requests_.end()) return;
      spdlog::warn("event=caller-silent request={} silent_ms={}",
                   found->second.id_, silence.ms_);
    };
    events.start_ended_ = [this](const StartEnded& ended) {
      if (ended.result_ != StartResult::kStarted) {
        spdlog::info("event=start-refused call={} result={}",
                     ended.call_.value_, Name(ended.result_));
      }
      scheduler_.On(ended, clock_.Now(), &scheduler_out_);
      ExecuteCommands();
    };
    events.stop_ended_ = [this](const StopEnded& ended) {
      if (!ended.answered_) {
        spdlog::warn("event=stop-unanswered call={}", ended.call_.value_);
      }
      scheduler_.On(ended, clock_.Now(), &scheduler_out_);
      ExecuteCommands();
    };
    events.poll_ended_ = [this](const PollEnded& ended) {
      scheduler_.On(ended, clock_.Now(), &scheduler_out_);
      ExecuteCommands();
    };
    events.worker_listed_ = [this](const LeasedWorker& worker) {
      ownership_.WorkerListed(worker, clock_.Now(), &ownership_out_);
      workers_changed_ = true;
      ExecuteCommands();
    };
    events.worker_unlisted_ = [this](const WorkerId& worker) {
      spdlog::info("event=worker-unlisted worker={}", worker.value_);
      ownership_.WorkerUnlisted(worker, clock_.Now());
      workers_changed_ = true;
    };
    events.instance_listed_ = [this](const InstanceRecord& record) {
      ownership_.InstanceListed(record);
    };
    events.instance_unlisted_ = [this](const InstanceName& name) {
      spdlog::info("event=instance-unlisted instance={}", name.value_);
      ownership_.InstanceUnlisted(name);
    };
    events.evacuations_changed_ = [this](const EvacuationUpdate& update) {
      SetEvacuated(update);
    };
    events.store_reachable_ = [this](bool up) { ownership_.SetStoreUp(up); };
    events.record_written_ = [this](Fence fence) {
      ownership_.RecordWritten(fence, &ownership_out_);
      ExecuteCommands();
    };
    events.metrics_text_ = [this] { return MetricsText(); };
    events.explain_ = [this](const HostedJob& job) { return Explain(job); };
    events.ready_ = [this] { return !draining_ && backend_->configured(); };
    events.draining_ = [this] { return draining_; };
    return events;
  }

  MeshEvents MakeMeshEvents() {
    MeshEvents events;
    events.owner_load_ = [this](const InstanceName& owner,
                                const std::string& data_centre,
                                const OwnerLoad& load) {
      if (connected_owners_.insert(owner.value_).second) {
        spdlog::info("event=owner-reached owner={}", owner.value_);
        ownership_.SetReachable(owner, true);
        SendSuspectTasks(owner);
      }
      loads_received_at_[owner.value_] = clock_.Now();
      coordinator_.OwnerLoadReported(owner, data_centre, load);
    };
    events.owner_lost_ = [this](const InstanceName& owner, Duration silence) {
      loads_received_at_.erase(owner.value_);
      if (connected_owners_.erase(owner.value_) == 0) return;
      spdlog::warn("event=owner-lost owner={} silent_ms={}", owner.value_,
                   silence.ms_);
      ownership_.SetReachable(owner, false);
      lost_owners_.push_back(owner);
    };
    events.task_ended_ = [this](const InstanceName& owner,
                                const TaskEnded& ended) {
      coordinator_.On(owner, ended, clock_.Now(), &coordinator_out_);
    };
    events.batch_refused_ = [this](const InstanceName& owner,
                                   const BatchRefused& refused) {
      coordinator_.On(owner, refused, clock_.Now(), &coordinator_out_);
    };
    events.assign_ = [this](SessionId session, const AssignTasks& assign) {
      spdlog::info("event=assigned step={} session={} tasks={}", assign.name_,
                   session.value_, assign.tasks_.size());
      scheduler_.On(session, assign, clock_.Now(), &scheduler_out_);
    };
    events.cancel_ = [this](SessionId session, const CancelTasks& withdraw) {
      spdlog::info("event=cancelled session={} tasks={}", session.value_,
                   withdraw.tasks_.size());
      scheduler_.On(session, withdraw, clock_.Now(), &scheduler_out_);
    };
    events.session_alive_ = [this](SessionId session, Time alive_at) {
      scheduler_.NoteSessionAlive(session, alive_at);
    };
    events.open_jobs_ = [this](const MeshOpenJobs& jobs, bool relayed) {
      for (const OpenJobList& list : jobs.lists_) {
        if (list.coordinator_ == init_.name_) continue;
        coordinator_.JobsOpenElsewhere(list.coordinator_, list.ids_,
                                       clock_.Now());
        if (!relayed) open_jobs_relay_.On(list);
      }
    };
    events.task_losses_ = [this](const MeshTaskLosses& losses, bool relayed) {
      NoteLosses(losses.tasks_);
      const MeshTaskLosses news{
          scheduler_.NoteLosses(losses.tasks_, clock_.Now())};
      if (!relayed && !news.tasks_.empty()) mesh_.RelayTaskLosses(news);
    };
    events.recall_ = [this](const MeshRecallJob& recall) {
      if (recall.coordinator_ != init_.name_) {
        mesh_.SendToPeer(recall.coordinator_, recall);
        return;
      }
      coordinator_.Recall(recall.id_, clock_.Now(), &coordinator_out_);
    };
    events.session_started_ = [this](SessionId session,
                                     const InstanceName& coordinator) {
      spdlog::info("event=session-started session={} coordinator={}",
                   session.value_, coordinator.value_);
      SendSuspectTasks(coordinator);
    };
    events.session_ended_ = [this](SessionId session, Duration silence) {
      spdlog::warn("event=session-ended session={} silent_ms={}",
                   session.value_, silence.ms_);
      scheduler_.EndSession(session, clock_.Now(), &scheduler_out_);
    };
    // A cancellation that has arrived behind its assignment counts before
    // anything starts.
    events.frames_read_ = [this] { ExecuteCommands(); };
    return events;
  }

  /// What was told while an instance wasn't connected, or before its restart.
  void SendSuspectTasks(const InstanceName& peer) {
    for (const auto& message : SplitTaskLosses(coordinator_.SuspectTasks())) {
      mesh_.SendToPeer(peer, message);
    }
  }

  void NoteLosses(const std::vector<TaskLosses>& losses) {
    const uint64_t evicted_before = coordinator_.losses_evicted();
    coordinator_.NoteLosses(losses, clock_.Now());
    if (coordinator_.losses_evicted() == evicted_before) return;
    spdlog::warn("event=task-losses-evicted evicted={} limit={}",
                 coordinator_.losses_evicted() - evicted_before,
                 TaskLossLedger::kMaxTasks);
  }

  void SetEvacuated(const EvacuationUpdate& update) {
    const uint64_t load_before = scheduler_.load_version();
    Log(update);
    scheduler_.SetEvacuated(update.data_centres_, clock_.Now(),
                            &scheduler_out_);
    if (scheduler_.load_version() != load_before) {
      // Coordinators know what is free here before they place the returned
      // tasks again: reports and ends of tasks arrive in the order sent.
      RefreshOwnLoad();
      mesh_.SendLoad(scheduler_.load(clock_.Now()));
    }
    ExecuteCommands();
  }

  // Commands may cause further commands; those are executed afterwards, without
  // recursion.
  void ExecuteCommands() {
    if (executing_) return;
    executing_ = true;
    while (!coordinator_out_.empty() || !scheduler_out_.empty() ||
           !ownership_out_.empty() || !lost_owners_.empty()) {
      std::vector<InstanceName> lost;
      lost.swap(lost_owners_);
      for (const InstanceName& owner : lost) {
        coordinator_.OwnerLost(owner, clock_.Now(), &coordinator_out_);
      }
      ExecuteOutbox(&ownership_out_);
      ExecuteOutbox(&coordinator_out_);
      ExecuteOutbox(&scheduler_out_);
    }
    executing_ = false;
  }

  template <typename Outbox>
  void ExecuteOutbox(Outbox* outbox) {
    Outbox commands;
    commands.swap(*outbox);
    for (const auto& command : commands) {
      std::visit([this](const auto& value) { this->Execute(value); }, command);
    }
  }

  void Execute(const AnswerHostedJob& answer) {
    RecordOutcome(answer, Name(answer.outcome_));
    backend_->Answer(answer);
  }
  void Execute(const SendAssign& send) {
    Log(send);
    if (send.owner_ == init_.name_) {
      return scheduler_.On(kLocalSession, send.assign_, clock_.Now(),
                           &scheduler_out_);
    }
    if (mesh_.Send(send.owner_, send.assign_)) return;
    for (const AssignedTask& task : send.assign_.tasks_) {
      coordinator_.On(send.owner_, {task.serial_, TaskEnd::kRefused, false},
                      clock_.Now(), &coordinator_out_);
    }
  }
  void Execute(const SendCancel& send) {
    Log(send);
    if (send.owner_ == init_.name_) {
      return scheduler_.On(kLocalSession, send.cancel_, clock_.Now(),
                           &scheduler_out_);
    }
    if (!mesh_.Send(send.owner_, send.cancel_)) {
      spdlog::warn("event=cancel-unsent request={} owner={}", send.job_,
                   send.owner_.value_);
    }
  }
  void Execute(const SendRecall& recall) {
    const MeshRecallJob frame{recall.coordinator_, recall.job_};
    const bool sent = mesh_.SendToPeer(recall.coordinator_, frame) ||
                      mesh_.SendToNearOwners(frame);
    spdlog::info("event=recall request={} coordinator={} sent={}", recall.job_,
                 recall.coordinator_.value_, sent);
  }
  void Execute(const StartRun& start) {
    Log(start, backend_->workers_age(clock_.Now()));
    backend_->Send(start);
  }
  void Execute(const StopRun& stop) {
    Log(stop);
    backend_->Send(stop);
  }
  void Execute(const PollWorker& hold) { backend_->Send(hold); }
  void Execute(const ReportTask& report) {
    if (report.session_ == kLocalSession) {
      return coordinator_.On(init_.name_, report.ended_, clock_.Now(),
                             &coordinator_out_);
    }
    mesh_.SendToSession(report.session_, MeshTasksEnded{{report.ended_}});
  }
  void Execute(const ReportRefused& report) {
    Log(report);
    if (report.session_ == kLocalSession) {
      return coordinator_.On(init_.name_, report.refused_, clock_.Now(),
                             &coordinator_out_);
    }
    mesh_.SendToSession(report.session_, report.refused_);
  }
  void Execute(const WorkerLost& lost) {
    Log(lost);
    ownership_.OwnershipLost(lost.worker_);
  }
  /// The others are only logged.
  template <typename Noted>
  void Execute(const Noted& noted) {
    Log(noted);
  }
  void Execute(const LossesCharged& charged) {
    Log(charged);
    NoteLosses(charged.tasks_);
    for (const auto& message : SplitTaskLosses(charged.tasks_)) {
      mesh_.SendTaskLosses(message);
    }
  }
  void Execute(const PublishRecord& publish) {
    Log(publish);
    backend_->Publish(publish.record_);
  }
  void Execute(const AcquireWorker& own) {
    Log(own);
    scheduler_.Acquire(own.worker_, own.fence_, clock_.Now(), &scheduler_out_);
  }
  void Execute(const UpdateWorker& update) {
    scheduler_.Update(update.worker_, clock_.Now(), &scheduler_out_);
  }
  void Execute(const DrainWorker& retire) {
    scheduler_.DrainWorker(retire.worker_);
  }
  void Execute(const ReleaseWorker& disown) {
    Log(disown);
    scheduler_.Release(disown.worker_, clock_.Now(), &scheduler_out_);
  }

  /// Logs the outcome of a job and records it in the metrics.
  void RecordOutcome(const AnswerHostedJob& answer, std::string_view outcome) {
    const auto found = open_requests_.find(answer.request_.value_);
    if (found == open_requests_.end()) return;
    const OpenRequest& job = found->second;
    const Time now = clock_.Now();
    const Duration age = now - job.received_at_;
    metrics_.RecordJob(outcome, age);
    spdlog::info(
        "event=job request={} queue={} outcome={} reason={} age_ms={} "
        "slack_ms={} expected_wait_ms={} owners={} oldest_load_ms={}",
        job.id_, job.queue_, outcome, answer.reason_, age.ms_,
        answer.slack_.ms_, answer.expected_wait_.ms_,
        connected_owners_.size() + 1, OldestLoadAge(now).ms_);
    open_requests_.erase(found);
  }

  /// Age of the oldest load report among the latest ones of all other owners.
  Duration OldestLoadAge(Time now) const {
    Duration oldest{0};
    for (const auto& [owner, at] : loads_received_at_) {
      oldest = std::max(oldest, now - at);
    }
    return oldest;
  }

  void RefreshOwnLoad() {
    if (scheduler_.load_version() == own_load_version_) return;
    own_load_version_ = scheduler_.load_version();
    coordinator_.OwnerLoadReported(init_.name_, init_.data_centre_,
                                   scheduler_.load(clock_.Now()));
  }

  void RefreshLinks(Time now) {
    if (ownership_.plan_version() == linked_plan_ &&
        now - links_refreshed_at_ < kLinkInterval) {
      return;
    }
    linked_plan_ = ownership_.plan_version();
    links_refreshed_at_ = now;
    mesh_.SetPeers(ownership_.LinkTargets([this](const InstanceName& owner) {
      return connected_owners_.count(owner.value_) > 0 &&
             coordinator_.AwaitsTasksAt(owner);
    }));
  }

  void BroadcastOpenJobs(Time now) {
    if (now - open_jobs_shared_at_ < kOpenJobsInterval) return;
    open_jobs_shared_at_ = now;
    const OpenJobList own{init_.name_, coordinator_.LongOpenJobs(now)};
    // An empty list is sent once, to take back the one before.
    if (!own.ids_.empty() || shared_open_jobs_) {
      mesh_.SendOpenJobs({{own}});
      open_jobs_relay_.On(own);
    }
    shared_open_jobs_ = !own.ids_.empty();
    const MeshOpenJobs relayed = open_jobs_relay_.Take();
    if (!relayed.lists_.empty()) mesh_.RelayOpenJobs(relayed);
  }

  static void OnTick(evutil_socket_t, short, void* arg) {
    static_cast<HostedInstance*>(arg)->Tick();
  }

  void Tick() {
    const Time now = clock_.Now();
    if (now - last_tick_ > kPauseThreshold) Resume(now);
    // After a stall, leases are renewed and tasks started only once the losses
    // and cancellations that arrived meanwhile have been read. That must not
    // take longer than until the next tick.
    const bool stalled = now - last_tick_ > kStallThreshold && !catching_up_;
    metrics_.RecordTickGap(now - last_tick_);
    last_tick_ = now;
    if (workers_changed_) {
      workers_changed_ = false;
      std::map<std::string, std::vector<LeasedWorkerRef>> pools;
      for (const auto& [id, worker] : ownership_.workers()) {
        pools[worker->pool_].push_back(worker);
      }
      coordinator_.SetWorkers(std::move(pools));
    }
    if (stalled) {
      catching_up_ = true;
      scheduler_.CatchUp();
      event_active(caught_up_, EV_TIMEOUT, 0);
    } else {
      TickScheduler(now);
    }
    RefreshOwnLoad();
    coordinator_.Tick(now, &coordinator_out_);
    ownership_.SetViewAge(backend_->instances_age(now));
    FollowWorkers();
    ownership_.Tick(
        now, [this](const WorkerId& id) { return scheduler_.IsWorkerIdle(id); },
        &ownership_out_);
    RefreshLinks(now);
    mesh_.Tick(now);
    backend_->Tick(now);
    ExecuteCommands();
    mesh_.ShareLoad(scheduler_.load_version(), now,
                    [this, now] { return scheduler_.load(now); });
    BroadcastOpenJobs(now);
    if (now - log_flushed_at_ >= kLogFlushInterval) {
      log_flushed_at_ = now;
      FlushLog();
    }
    if (draining_) ContinueDrain(now);
  }

  void FollowWorkers() {
    backend_->SetWorkersFollowed(ownership_.needs_current_workers());
    ownership_.SetWorkersCurrent(backend_->follows_workers());
    if (scheduler_.undescribed_workers() > 0) backend_->WatchWorkersSoon();
    if (ownership_.near_owners_version() == sampled_owners_) return;
    sampled_owners_ = ownership_.near_owners_version();
    backend_->SampleWorkersSoon();
  }

  // Handled after all events that were active when the stall was noticed, and
  // those that the loop found before it.
  static void OnCaughtUp(evutil_socket_t, short, void* arg) {
    auto* self = static_cast<HostedInstance*>(arg);
    if (!self->catching_up_) return;
    self->TickScheduler(self->clock_.Now());
    self->ExecuteCommands();
  }

  void TickScheduler(Time now) {
    catching_up_ = false;
    scheduler_.Tick(now, &scheduler_out_);
    if (scheduler_.waiting() == 0) return;
    scheduler_.OffloadWaiting(coordinator_.RemotePoolsWithCapacity(), now,
                              &scheduler_out_);
  }

  void Resume(Time now) {
    spdlog::warn("event=resumed-after-pause gap_ms={}", (now - last_tick_).ms_);
    metrics_.RecordPause();
    mesh_.DropAll();
    coordinator_.Resume(now, &coordinator_out_);
    scheduler_.Resume(now, &scheduler_out_);
    ExecuteCommands();
  }

  static void OnReload(evutil_socket_t, short, void*) {
    // Addresses and limits are fixed for the lifetime of the process. Settings
    // that may change at run time come from the store.
    spdlog::info("event=reload changed=nothing");
  }

  static void OnDrain(evutil_socket_t, short, void* arg) {
    auto* self = static_cast<HostedInstance*>(arg);
    if (self->draining_) return;
    self->draining_ = true;
    self->drain_started_ = self->clock_.Now();
    spdlog::info("event=draining open_jobs={} owned={}",
                 self->coordinator_.open_jobs(), self->ownership_.owned());
    self->scheduler_.Drain(&self->scheduler_out_);
    self->RefreshOwnLoad();
    self->ownership_.Drain();
    self->ExecuteCommands();
    self->mesh_.SendLoad(self->scheduler_.load(self->drain_started_));
  }

  void ContinueDrain(Time now) {
    const Duration age = now - drain_started_;
    if (age >= init_.drain_limit_ && !drain_timed_out_) {
      drain_timed_out_ = true;
      coordinator_.Resume(now, &coordinator_out_);
      ExecuteCommands();
    }
    if (age < init_.linger_) return;
    if (!listening_stopped_) {
      listening_stopped_ = true;
      backend_->StopListening();
    }
    const bool finished =
        coordinator_.idle() && scheduler_.idle() && ownership_.released();
    // Not before a tick, so that answers given until now are sent.
    if (withdrawal_started_ &&
        (record_removed_ || age >= init_.drain_limit_ + kWithdrawalTimeout)) {
      event_base_loopexit(base_, nullptr);
    }
    if (withdrawal_started_ || (!finished && !drain_timed_out_)) return;
    withdrawal_started_ = true;
    coordinator_.StopAccepting();
    spdlog::info("event=stopped cut={}", drain_timed_out_);
    backend_->RemoveRecord([this] { record_removed_ = true; });
  }

  std::string Explain(const HostedJob& job) const {
    const Time now = clock_.Now();
    const OwnerLoad load = scheduler_.load(now);
    const bool changed = scheduler_.load_version() != own_load_version_;
    InstanceExplanation explanation;
    explanation.instance_ = init_.name_;
    explanation.data_centre_ = init_.data_centre_;
    explanation.placement_ =
        coordinator_.Explain(job, changed ? &load : nullptr, now);
    for (OwnerExplanation& owner : explanation.placement_.owners_) {
      const auto received = loads_received_at_.find(owner.owner_.value_);
      if (received != loads_received_at_.end()) {
        owner.report_age_ = now - received->second;
      } else if (owner.owner_ == init_.name_) {
        owner.report_age_ = Duration{0};
      }
    }
    if (ownership_.owned() > 0) {
      explanation.own_ = scheduler_.Explain(explanation.placement_.batch_, now);
    }
    return ExplanationToJson(job, explanation);
  }

  std::string MetricsText() const {
    return metrics_.ToText(
        coordinator_.stats(), scheduler_.stats(), mesh_.stats(),
        backend_->traffic(),
        {coordinator_.open_jobs(), ownership_.owned(),
         scheduler_.undescribed_workers(), connected_owners_.size(),
         scheduler_.evacuated_data_centres(), draining_});
  }

  /// Job that hasn't been answered, for its log line and its latency.
  struct OpenRequest {
    std::string id_;
    std::string queue_;
    Time received_at_;
  };

  event_base* base_;
  HostedInstanceConfig init_;
  Backend* backend_;
  MonotonicClock clock_;
  Incarnation incarnation_;
  Time started_;
  WorkerOwnership ownership_;
  WorkerScheduler scheduler_;
  JobCoordinator coordinator_;
  MeshLink mesh_;
  OpenJobsRelay open_jobs_relay_;
  HostedMetrics metrics_;
  CoordinatorOutbox coordinator_out_;
  SchedulerOutbox scheduler_out_;
  OwnershipOutbox ownership_out_;
  std::vector<InstanceName> lost_owners_;
  std::set<std::string> connected_owners_;
  std::map<std::string, Time> loads_received_at_;  // by other owner
  std::unordered_map<uint64_t, OpenRequest> open_requests_;
  event* tick_ = nullptr;
  event* caught_up_ = nullptr;
  event* drain_ = nullptr;
  event* reload_ = nullptr;
  Time last_tick_;
  Time drain_started_;
  Time links_refreshed_at_;
  Time open_jobs_shared_at_;
  Time log_flushed_at_;
  bool shared_open_jobs_ = false;
  uint64_t own_load_version_ = 0;
  uint64_t linked_plan_ = 0;
  uint64_t sampled_owners_ = 0;
  bool executing_ = false;
  bool workers_changed_ = true;
  bool draining_ = false;
  bool listening_stopped_ = false;
  bool drain_timed_out_ = false;
  bool withdrawal_started_ = false;
  bool record_removed_ = false;
  /// After a stall, until what arrived meanwhile has been read.
  bool catching_up_ = false;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_INSTANCE_H_
