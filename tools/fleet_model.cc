#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <numbers>
#include <utility>

#include "load_report_interval.h"
#include "owner_selection.h"

namespace gentiandeal {
namespace {

using Micros = int64_t;

/// Processor time of one message between instances, at either side.
constexpr Micros kMessageCpu = 25;
/// Processor time of one HTTP request or answer.
constexpr Micros kHttpCpu = 75;
constexpr Micros kTickCpu = 50;
constexpr Micros kTick = 20000;
constexpr Micros kHeartbeat = 100000;
constexpr Micros kNearDelay = 500;
constexpr Micros kRemoteDelay = 1400;
constexpr Micros kWorkerDelay = 500;
/// Time-outs of calls to workers, as the adapter to the platform has them.
constexpr Micros kOrderTimeout = 250000;
constexpr Micros kPollTimeoutMargin = 350000;
constexpr Micros kWavePeriod = 4000000;
/// Of a run that takes unusually long.
constexpr double kLongRun = 7;
/// Time before the first job: workers have been confirmed by then.
constexpr Micros kLead = 1000000;
constexpr Duration kLoadReportInterval{20};
constexpr int64_t kWorkersStartedMs = 7;
constexpr char kPool[] = "pool";
/// A job's latency objective, beside this multiple of its run time.
constexpr Duration kAllowance{60};
constexpr double kStretch = 1.6;
constexpr int64_t kLateFactor = 3;
constexpr Duration kDeadline{1500};

SessionId SessionOf(size_t coordinator) {
  return {kLocalSession.value_ + 1 + coordinator};
}

uint64_t TaskKey(size_t coordinator, TaskSerial serial) {
  return (static_cast<uint64_t>(coordinator) << 40U) | serial.value_;
}

std::chrono::nanoseconds ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

double WorkerPace::Done(int64_t begin, int64_t end) const {
  const int64_t slow =
      std::max<int64_t>(0, std::min(end, until_) - std::max(begin, from_));
  return static_cast<double>(end - begin - slow) * speed_ +
         static_cast<double>(slow) * slow_speed_;
}

int64_t WorkerPace::EndOf(int64_t begin, double work) const {
  const auto after = [](int64_t at, double left, double speed) {
    return at + static_cast<int64_t>(std::ceil(left / speed));
  };
  if (begin < from_) {
    const double before = Done(begin, from_);
    if (before >= work) return after(begin, work, speed_);
    begin = from_;
    work -= before;
  }
  if (begin < until_) {
    const double slowly = Done(begin, until_);
    if (slowly >= work) return after(begin, work, slow_speed_);
    begin = until_;
    work -= slowly;
  }
  return after(begin, work, speed_);
}

FleetModel::FleetModel(const LoadedFleet& fleet, std::vector<LoadedJobs> jobs,
                       uint64_t seed)
    : fleet_(fleet), jobs_(std::move(jobs)), random_(seed) {
  CreateInstances(fleet);
  CreateWorkers(fleet);
  Connect(fleet);
}

void FleetModel::At(Micros at, std::function<void()> run) {
  events_.push({std::max(at, now_), ++order_, std::move(run)});
}

Micros FleetModel::Spend(size_t index, Micros cpu) {
  Instance& instance = instances_[index];
  instance.busy_until_ =
      std::max(instance.busy_until_, now_) + cpu * 1000 / instance.cpu_milli_;
  return instance.busy_until_;
}

void FleetModel::Arrive(size_t index, Micros at, Micros cpu,
                        std::function<void()> run) {
  At(at, [this, index, cpu, run = std::move(run)]() mutable {
    At(Spend(index, cpu), [this, index, run = std::move(run)] {
      run();
      Carry(index);
    });
  });
}

void FleetModel::Send(size_t from, size_t to, std::function<void()> handle) {
  ++messages_;
  const bool near =
      instances_[from].data_centre_ == instances_[to].data_centre_;
  const Micros sent = Spend(from, kMessageCpu);
  Arrive(to, sent + (near ? kNearDelay : kRemoteDelay), kMessageCpu,
         std::move(handle));
}

template <typename Code>
void FleetModel::Schedule(size_t index, const Code& code) {
  Instance& instance = instances_[index];
  const auto begin = ProcessorTime();
  code(&instance.scheduler_, Now(), &instance.scheduler_out_);
  scheduler_time_ += ProcessorTime() - begin;
  most_waiting_ = std::max(most_waiting_, instance.scheduler_.waiting());
}

template <typename Code>
void FleetModel::Coordinate(size_t index, const Code& code) {
  Instance& instance = instances_[index];
  const auto begin = ProcessorTime();
  code(instance.coordinator_.get(), Now(), &instance.coordinator_out_);
  coordinator_time_ += ProcessorTime() - begin;
}

bool FleetModel::InOverload() const {
  const Micros since = now_ - kLead;
  return since >= fleet_.overload_.from_.ms_ * 1000 &&
         since < fleet_.overload_.until_.ms_ * 1000;
}

bool FleetModel::IsSilent(size_t worker) const {
  return workers_[worker].silent_ && InOverload();
}

LoadedJob& FleetModel::JobOf(const std::string& task) {
  return all_jobs_[std::stoull(task.substr(3)) - 1];
}

int64_t FleetModel::FirstArrival() { return kLead; }

std::vector<FleetModel::Machine> FleetModel::Machines() const {
  std::vector<Machine> machines;
  for (const Worker& worker : workers_) {
    machines.push_back(
        {worker.info_.capacity_.cpu_milli_, worker.pace_, worker.silent_});
  }
  return machines;
}

void FleetModel::CreateInstances(const LoadedFleet& fleet) {
  const size_t count = fleet.large_instances_ + fleet.small_instances_;
  for (size_t i = 0; i < count; ++i) {
    Instance& instance = instances_.emplace_back();
    instance.name_.value_ = "instance-" + std::to_string(i);
    instance.data_centre_ = "dc-" + std::to_string(i % fleet.data_centres_);
    instance.cpu_milli_ = i < fleet.large_instances_ ? fleet.large_cpu_milli_
                                                     : fleet.small_cpu_milli_;
    instance.coordinator_ =
        std::make_unique<JobCoordinator>(instance.name_, instance.data_centre_);
    instance_index_[instance.name_.value_] = i;
  }
}

void FleetModel::CreateWorkers(const LoadedFleet& fleet) {
  for (size_t i = 0; i < fleet.workers_; ++i) {
    LeasedWorker info;
    info.id_.value_ = "w-" + std::to_string(i);
    info.data_centre_ = "dc-" + std::to_string(i % fleet.data_centres_);
    info.pool_ = kPool;
    info.capacity_ = {
        fleet.worker_cpu_milli_[i % fleet.worker_cpu_milli_.size()], 131072, 0};
    info.started_ms_ = kWorkersStartedMs;
    worker_index_[info.id_.value_] = i;
    // Neither sizes nor data centres go with speeds, nor any of them with
    // troubles.
    const Overload& overload = fleet.overload_;
    const double speed =
        fleet.speeds_[i / fleet.data_centres_ % fleet.speeds_.size()];
    const double draw =
        std::fmod(static_cast<double>(i) * std::numbers::phi, 1);
    const bool slow = draw < overload.slow_share_;
    const bool silent =
        !slow && draw < overload.slow_share_ + overload.silent_share_;
    const WorkerPace pace(speed, slow ? overload.slow_factor_ : 1,
                          kLead + overload.from_.ms_ * 1000,
                          kLead + overload.until_.ms_ * 1000);
    workers_.push_back({info, pace, silent, 0, {}, {}, 0, {}, 0});
  }
}

void FleetModel::Connect(const LoadedFleet& fleet) {
  OwnershipView view;
  for (const Instance& instance : instances_) {
    view.instances_[instance.name_.value_] = {instance.data_centre_,
                                              instance.cpu_milli_};
  }
  for (const Worker& worker : workers_) {
    view.workers_[worker.info_.id_.value_] = worker.info_.data_centre_;
  }
  SelectedOwners owners;
  if (fleet.few_owners_) {
    owners = SelectOwners(view);
  } else {
    for (const auto& [name, one] : view.instances_) {
      owners[one.data_centre_].push_back(name);
    }
  }
  std::vector<LeasedWorkerRef> listed;
  for (const Worker& worker : workers_) {
    listed.push_back(std::make_shared<const LeasedWorker>(worker.info_));
  }
  uint64_t fence = 0;
  for (const auto& [data_centre, names] : owners) {
    for (const auto& [id, name] : AssignWorkers(view, owners, data_centre)) {
      Instance& owner = instances_[instance_index_.at(name)];
      owner.owner_ = true;
      owner.scheduler_.Acquire(workers_[worker_index_.at(id)].info_, {++fence},
                               Now(), &owner.scheduler_out_);
    }
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    Instance& instance = instances_[i];
    instance.coordinator_->SetWorkers({{kPool, listed}});
    const std::set<std::string> bounded =
        SelectLinks(owners, instance.name_.value_, instance.data_centre_);
    for (size_t to = 0; to < instances_.size(); ++to) {
      const bool linked = fleet.bounded_links_
                              ? bounded.count(instances_[to].name_.value_) > 0
                              : true;
      if (to == i || !linked) continue;
      instance.links_.push_back(to);
      instances_[to].sessions_.push_back({i, 0, {}});
      instances_[to].scheduler_.NoteSessionAlive(SessionOf(i), Now());
    }
  }
}

std::map<std::string, LoadedOutcome> FleetModel::Play(Duration length) {
  submit_until_ = kLead + length.ms_ * 1000;
  for (size_t i = 0; i < instances_.size(); ++i) {
    const auto phase = static_cast<Micros>(random_() % kTick);
    At(phase, [this, i] { Tick(i); });
    At(phase * 5, [this, i] { Heartbeat(i); });
    Carry(i);
  }
  if (fleet_.overload_.silent_share_ > 0) {
    At(kLead + fleet_.overload_.from_.ms_ * 1000, [this] { ExpireLeases(); });
  }
  for (size_t kind = 0; kind < jobs_.size(); ++kind) {
    At(kLead, [this, kind] { SubmitNext(kind); });
  }
  const Micros end = submit_until_ + kDeadline.ms_ * 1000;
  while (!events_.empty() && events_.top().at_ <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.run_();
  }
  std::map<std::string, LoadedOutcome> outcomes;
  for (const LoadedJob& job : all_jobs_) {
    LoadedOutcome& outcome = outcomes[jobs_[job.kind_].name_];
    ++outcome.jobs_;
    outcome.in_time_ += job.in_time() ? 1 : 0;
    outcome.late_ += job.late() ? 1 : 0;
    outcome.refused_ += job.refused() ? 1 : 0;
  }
  return outcomes;
}

void FleetModel::Tick(size_t index) {
  At(now_ + kTick, [this, index] { Tick(index); });
  Arrive(index, now_, kTickCpu, [this, index] {
    Instance& instance = instances_[index];
    Schedule(index, [&](auto* scheduler, Time now, auto* out) {
      scheduler->Tick(now, out);
      if (scheduler->waiting() > 0) {
        scheduler->OffloadWaiting(
            instance.coordinator_->RemotePoolsWithCapacity(), now, out);
      }
    });
    Coordinate(index, [](auto* coordinator, Time now, auto* out) {
      coordinator->Tick(now, out);
    });
    ShareLoad(index);
  });
}

void FleetModel::Heartbeat(size_t index) {
  At(now_ + kHeartbeat, [this, index] { Heartbeat(index); });
  const Time sent = Now();
  for (const size_t owner : instances_[index].links_) {
    Send(index, owner, [this, index, owner, sent] {
      instances_[owner].scheduler_.NoteSessionAlive(SessionOf(index), sent);
    });
  }
  for (const Instance::Session& session : instances_[index].sessions_) {
    Send(index, session.coordinator_, [] {});
  }
}

void FleetModel::ShareLoad(size_t index) {
  Instance& owner = instances_[index];
  if (!owner.owner_) return;
  const uint64_t version = owner.scheduler_.load_version();
  OwnerLoad load;
  Schedule(index, [&](auto* scheduler, Time now, auto* /*out*/) {
    load = scheduler->load(now);
  });
  LoadReportSessions sessions;
  const auto near = [&](const Instance::Session& session) {
    return instances_[session.coordinator_].data_centre_ == owner.data_centre_;
  };
  for (const Instance::Session& session : owner.sessions_) {
    ++(near(session) ? sessions.near_ : sessions.remote_);
  }
  for (Instance::Session& session : owner.sessions_) {
    const Duration interval =
        fleet_.paced_reports_
            ? LoadReportInterval(sessions, 0, {}, near(session))
            : kLoadReportInterval;
    if (session.load_version_ == version ||
        Now() - session.load_sent_at_ < interval) {
      continue;
    }
    session.load_version_ = version;
    session.load_sent_at_ = Now();
    const size_t to = session.coordinator_;
    Send(index, to, [this, index, to, load] {
      const Instance& from = instances_[index];
      Coordinate(to, [&](auto* coordinator, Time /*now*/, auto* /*out*/) {
        coordinator->OwnerLoadReported(from.name_, from.data_centre_, load);
      });
    });
  }
}

double FleetModel::Spread(double mean, double spread) {
  std::normal_distribution<double> factor(1, spread);
  return mean * std::clamp(factor(random_), 0.2, 3.0);
}

double FleetModel::Rate(size_t kind) const {
  const Overload& overload = fleet_.overload_;
  const double turns =
      static_cast<double>(now_ - kLead) / static_cast<double>(kWavePeriod);
  double rate = jobs_[kind].per_s_ *
                (1 + fleet_.wave_ * std::sin(2 * std::numbers::pi * turns));
  if (!InOverload()) return rate;
  if (kind == overload.burst_kind_) rate *= overload.burst_;
  return rate * overload.surge_;
}

size_t FleetModel::ChooseInstance() {
  if (fleet_.demand_.empty()) return random_() % instances_.size();
  std::discrete_distribution<size_t> choose(fleet_.demand_.begin(),
                                            fleet_.demand_.end());
  const size_t data_centre = choose(random_);
  // Instances are dealt out to data centres in turn.
  const size_t count =
      (instances_.size() - data_centre - 1) / fleet_.data_centres_ + 1;
  return data_centre + random_() % count * fleet_.data_centres_;
}

bool FleetModel::HasPriorities() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [this](const LoadedJobs& one) {
    return one.priority_ != jobs_[0].priority_;
  });
}

void FleetModel::SubmitNext(size_t kind) {
  if (now_ >= submit_until_) return;
  const LoadedJobs& jobs = jobs_[kind];
  std::exponential_distribution<double> gap_s(Rate(kind));
  At(now_ + static_cast<Micros>(gap_s(random_) * 1e6),
     [this, kind] { SubmitNext(kind); });

  LoadedJob loaded;
  loaded.kind_ = kind;
  loaded.index_ = ChooseInstance();
  loaded.arrived_ = now_;
  const uint64_t request = ++last_job_;
  HostedJob job;
  job.id_ = "job" + std::to_string(request);
  job.queue_ = jobs.name_;
  job.pool_ = kPool;
  job.band_ = ToBand(jobs.priority_);
  job.admitted_by_owners_ = HasPriorities();
  HostedJobStep step;
  step.count_ = std::max(1U, static_cast<uint32_t>(Spread(jobs.tasks_, 0.4)));
  auto cpu_milli = static_cast<int32_t>(Spread(jobs.cpu_milli_, 0.2));
  if (jobs.max_cpu_milli_ > 0) {
    cpu_milli = std::min(cpu_milli, jobs.max_cpu_milli_);
  }
  step.need_ = {cpu_milli, 64, 0};
  const Duration run_time{static_cast<int64_t>(Spread(jobs.run_ms_, 0.4))};
  // Callers' estimates are off by up to 40 %.
  const double error = 0.6 + 0.8 * static_cast<double>(random_() % 1000) / 1000;
  step.expected_ = {std::max<int64_t>(
      1, static_cast<int64_t>(static_cast<double>(run_time.ms_) * error))};
  const auto objective = [](Duration path) {
    return Duration{
               static_cast<int64_t>(kStretch * static_cast<double>(path.ms_))} +
           kAllowance;
  };
  job.objective_ = objective(step.expected_);
  job.useful_within_ = {job.objective_.ms_ * kLateFactor};
  job.deadline_ = kDeadline + run_time;
  job.max_failures_ = 1;
  job.steps_ = {step};
  loaded.objective_ =
      fleet_.declared_objectives_ ? job.objective_ : objective(run_time);
  loaded.cpu_milli_ = cpu_milli;
  for (uint32_t i = 0; i < step.count_; ++i) {
    loaded.work_.push_back(static_cast<double>(run_time.ms_) * 1000);
    if (fleet_.long_runs_ > 0 &&
        std::bernoulli_distribution(fleet_.long_runs_)(random_)) {
      loaded.work_.back() *= kLongRun;
    }
  }
  all_jobs_.push_back(std::move(loaded));
  Submit(request, job);
}

void FleetModel::Submit(uint64_t request, const HostedJob& job) {
  const size_t index = all_jobs_.back().index_;
  const Time sent = Now();
  Arrive(index, now_ + kNearDelay, kHttpCpu, [this, index, request, job, sent] {
    Instance& instance = instances_[index];
    OwnerLoad own;
    if (instance.owner_) {
      Schedule(index, [&](auto* scheduler, Time now, auto* /*out*/) {
        own = scheduler->load(now);
      });
    }
    Coordinate(index, [&](auto* coordinator, Time now, auto* out) {
      if (instance.owner_) {
        coordinator->OwnerLoadReported(instance.name_, instance.data_centre_,
                                       own);
      }
      coordinator->On(SubmitHostedJob{{request}, job, now - sent}, now, out);
    });
  });
}

void FleetModel::Carry(size_t index) {
  Instance& instance = instances_[index];
  while (!instance.coordinator_out_.empty() ||
         !instance.scheduler_out_.empty()) {
    CoordinatorOutbox from_coordinator;
    from_coordinator.swap(instance.coordinator_out_);
    SchedulerOutbox from_scheduler;
    from_scheduler.swap(instance.scheduler_out_);
    const auto carry = [this, index](const auto& command) {
      Do(index, command);
    };
    for (const auto& command : from_coordinator) std::visit(carry, command);
    for (const auto& command : from_scheduler) std::visit(carry, command);
  }
}

void FleetModel::Do(size_t index, const AnswerHostedJob& answer) {
  const Micros at = Spend(index, kHttpCpu) + kNearDelay;
  LoadedJob& job = all_jobs_[answer.request_.value_ - 1];
  if (job.answered_) return;
  job.answered_ = at;
  job.outcome_ = answer.outcome_;
}

void FleetModel::Do(size_t index, const SendAssign& send) {
  const size_t to = instance_index_.at(send.owner_.value_);
  const uint64_t request = std::stoull(send.assign_.name_.substr(3));
  LoadedJob& job = all_jobs_[request - 1];
  job.assigned_ += static_cast<uint32_t>(send.assign_.tasks_.size());
  for (const AssignedTask& task : send.assign_.tasks_) {
    request_of_[TaskKey(index, task.serial_)] = request;
  }
  const auto take = [this, to](SessionId session, const AssignTasks& assign) {
    Schedule(to, [&](auto* scheduler, Time now, auto* out) {
      scheduler->On(session, assign, now, out);
    });
  };
  if (to == index) return take(kLocalSession, send.assign_);
  Send(index, to, [index, take, assign = send.assign_] {
    take(SessionOf(index), assign);
  });
}

void FleetModel::Do(size_t index, const SendCancel& send) {
  const size_t to = instance_index_.at(send.owner_.value_);
  const auto take = [this, to](SessionId session, const CancelTasks& cancel) {
    Schedule(to, [&](auto* scheduler, Time now, auto* out) {
      scheduler->On(session, cancel, now, out);
    });
  };
  if (to == index) return take(kLocalSession, send.cancel_);
  Send(index, to, [index, take, cancel = send.cancel_] {
    take(SessionOf(index), cancel);
  });
}

void FleetModel::Do(size_t index, const ReportRefused& report) {
  const bool local = report.session_ == kLocalSession;
  const size_t to =
      local ? index : report.session_.value_ - SessionOf(0).value_;
  for (const TaskSerial serial : report.refused_.tasks_) {
    const auto found = request_of_.find(TaskKey(to, serial));
    if (found == request_of_.end()) continue;
    // An answer at once is no task that goes from owner to owner.
    if (report.queued_) ++all_jobs_[found->second - 1].returned_;
    request_of_.erase(found);
  }
  const auto take = [this, to, owner = instances_[index].name_,
                     refused = report.refused_] {
    Coordinate(to, [&](auto* coordinator, Time now, auto* out) {
      coordinator->On(owner, refused, now, out);
    });
  };
  if (local) return take();
  Send(index, to, take);
}

void FleetModel::Do(size_t index, const ReportTask& report) {
  const bool local = report.session_ == kLocalSession;
  const size_t to =
      local ? index : report.session_.value_ - SessionOf(0).value_;
  const auto found = request_of_.find(TaskKey(to, report.ended_.serial_));
  if (found != request_of_.end()) {
    LoadedJob& job = all_jobs_[found->second - 1];
    if (report.ended_.end_ == TaskEnd::kRefused) ++job.returned_;
    request_of_.erase(found);
  }
  const auto take = [this, to, owner = instances_[index].name_,
                     ended = report.ended_] {
    Coordinate(to, [&](auto* coordinator, Time now, auto* out) {
      coordinator->On(owner, ended, now, out);
    });
  };
  if (local) return take();
  Send(index, to, take);
}

void FleetModel::Do(size_t /*index*/, const TaskReassigned& reassigned) {
  ++JobOf(reassigned.job_).reassigned_;
}

template <typename Ended>
void FleetModel::EndCall(size_t index, Micros timeout, const Ended& ended) {
  Arrive(index, now_ + timeout, kHttpCpu, [this, index, ended] {
    Schedule(index, [&](auto* scheduler, Time now, auto* out) {
      scheduler->On(ended, now, out);
    });
  });
}

void FleetModel::Do(size_t index, const StartRun& start) {
  const size_t worker = worker_index_.at(start.worker_->id_.value_);
  ++JobOf(start.task_).starts_;
  At(Spend(index, kHttpCpu) + kWorkerDelay, [this, index, worker, start] {
    StartEnded ended{start.call_, StartResult::kUnanswered, {}};
    if (IsSilent(worker)) return EndCall(index, kOrderTimeout, ended);
    ended.clock_ms_ = now_ / 1000;
    ended.result_ = StartResult::kLate;
    if (now_ / 1000 < start.lease_until_ms_) {
      Worker& on = workers_[worker];
      LoadedJob& job = JobOf(start.task_);
      const size_t number =
          std::stoull(start.task_.substr(start.task_.rfind('.') + 1));
      const double work = job.work_[number];
      job.ran_ = true;
      on.lease_until_ms_ = std::max(on.lease_until_ms_, start.lease_until_ms_);
      on.runs_.push_back({start.task_, start.run_, now_, work});
      ended.result_ = StartResult::kStarted;
      At(on.pace_.EndOf(now_, work),
         [this, worker, task = start.task_, run = start.run_] {
           EndRun(worker, task, run, RunEnd::kDone);
         });
    }
    EndCall(index, kWorkerDelay, ended);
  });
}

void FleetModel::Do(size_t index, const StopRun& stop) {
  const size_t worker = worker_index_.at(stop.worker_->id_.value_);
  At(Spend(index, kHttpCpu) + kWorkerDelay, [this, index, worker, stop] {
    if (IsSilent(worker)) {
      return EndCall(index, kOrderTimeout, StopEnded{stop.call_, false});
    }
    EndRun(worker, stop.task_, stop.run_, RunEnd::kStopped);
    EndCall(index, kWorkerDelay, StopEnded{stop.call_, true});
  });
}

void FleetModel::Do(size_t index, const PollWorker& poll) {
  const size_t worker = worker_index_.at(poll.worker_->id_.value_);
  At(Spend(index, kHttpCpu) + kWorkerDelay, [this, index, worker, poll] {
    Worker& polled = workers_[worker];
    if (IsSilent(worker)) {
      PollEnded ended;
      ended.call_ = poll.call_;
      return EndCall(index, poll.wait_.ms_ * 1000 + kPollTimeoutMargin, ended);
    }
    if (poll.lease_until_ms_) {
      polled.lease_until_ms_ =
          std::max(polled.lease_until_ms_, *poll.lease_until_ms_);
    }
    std::erase_if(polled.finished_, [&](const FinishedRun& run) {
      return run.number_ <= poll.last_seen_;
    });
    if (poll.wait_.ms_ == 0 || !polled.finished_.empty()) {
      return AnswerPoll(worker, index, poll);
    }
    polled.waiting_ = poll;
    polled.waiting_owner_ = index;
    At(now_ + poll.wait_.ms_ * 1000, [this, worker, call = poll.call_] {
      Worker& waited = workers_[worker];
      if (!waited.waiting_ || waited.waiting_->call_ != call) return;
      const PollWorker due = *std::exchange(waited.waiting_, std::nullopt);
      AnswerPoll(worker, waited.waiting_owner_, due);
    });
  });
}

void FleetModel::AnswerPoll(size_t worker, size_t owner,
                            const PollWorker& poll) {
  const Worker& polled = workers_[worker];
  PollEnded ended;
  ended.call_ = poll.call_;
  if (IsSilent(worker)) return EndCall(owner, kPollTimeoutMargin, ended);
  ended.result_ = PollResult::kListed;
  ended.clock_ms_ = now_ / 1000;
  ended.started_ms_ = kWorkersStartedMs;
  for (const Run& run : polled.runs_) {
    const double done = polled.pace_.Done(run.began_, now_) / run.work_;
    ended.running_.push_back(
        {run.task_, run.number_, std::min(99.0, 100 * done)});
  }
  ended.finished_ = polled.finished_;
  EndCall(owner, kWorkerDelay, ended);
}

void FleetModel::ExpireLeases() {
  if (!InOverload()) return;
  int64_t next_ms = INT64_MAX;
  for (size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    if (!worker.silent_ || worker.runs_.empty()) continue;
    if (worker.lease_until_ms_ > now_ / 1000) {
      next_ms = std::min(next_ms, worker.lease_until_ms_);
      continue;
    }
    while (!worker.runs_.empty()) {
      const Run run = worker.runs_.front();
      EndRun(i, run.task_, run.number_, RunEnd::kLeaseExpired);
    }
  }
  if (next_ms < INT64_MAX) At(next_ms * 1000, [this] { ExpireLeases(); });
}

void FleetModel::EndRun(size_t worker, const std::string& task, uint32_t run,
                        RunEnd end) {
  Worker& on = workers_[worker];
  const auto found = std::find_if(
      on.runs_.begin(), on.runs_.end(),
      [&](const Run& one) { return one.task_ == task && one.number_ == run; });
  if (found == on.runs_.end()) return;
  on.runs_.erase(found);
  on.finished_.push_back({++on.last_end_, task, run, end});
  if (!on.waiting_) return;
  const PollWorker due = *std::exchange(on.waiting_, std::nullopt);
  AnswerPoll(worker, on.waiting_owner_, due);
}

}  // namespace gentiandeal
