#ifndef GENTIANDEAL_TOOLS_BENCH_POLICIES_H_
#define GENTIANDEAL_TOOLS_BENCH_POLICIES_H_

#include <memory>
#include <random>
#include <unordered_map>

#include "bench_fakes.h"
#include "dispatcher.h"
#include "run_time_estimator.h"
#include "task_queue.h"
#include "worker_table.h"

/// Entry instances that speak the dispatcher's messages: the baselines, the
/// bound, and the decision parts without the dispatcher around them.
namespace gentiandeal::bench {

/// What every instance is given at its start.
struct InstanceInit {
  uint32_t rank_ = 0;
  uint32_t count_ = 1;
  uint64_t seed_ = 1;
  std::vector<WorkerInfo> workers_;
};

/// An entry instance under measurement.
template <typename T>
concept Instance = requires(T& t, const Submit& submit,
                            const AttemptEnded& ended, Time now, Outbox* out) {
  t.On(submit, now, out);
  t.On(ended, now, out);
  t.Tick(now, out);
};

/// Jobs in flight: counts answers and ends each job once.
class OpenJobs {
 public:
  void Add(const Submit& message) {
    Open& open = open_[message.request_.value_];
    open.job_ = std::make_shared<const JobSpec>(message.job_);
    open.left_ = message.job_.tasks_.size();
  }

  std::shared_ptr<const JobSpec> Find(RequestId request) const {
    const auto it = open_.find(request.value_);
    return it == open_.end() ? nullptr : it->second.job_;
  }

  /// Appends the answer when this was the last task, or the first failure.
  /// @returns whether the job has ended.
  bool OnAnswer(RequestId request, AttemptResult verdict, Outbox* out) {
    const auto it = open_.find(request.value_);
    if (it == open_.end()) return false;
    const bool failed = verdict != AttemptResult::kAnswered;
    if (!failed && --it->second.left_ > 0) return false;
    open_.erase(it);
    Answer(request, failed ? Outcome::kMayHaveRun : Outcome::kComplete, out);
    return true;
  }

  static void Answer(RequestId request, Outcome outcome, Outbox* out) {
    auto answer = std::make_shared<JobAnswer>();
    answer->outcome_ = outcome;
    out->push_back(SendAnswer{request, std::move(answer)});
  }

 private:
  struct Open {
    std::shared_ptr<const JobSpec> job_;
    size_t left_ = 0;
  };
  std::unordered_map<uint64_t, Open> open_;
};

/// Any worker, at random.
class RandomChoice {
 public:
  explicit RandomChoice(const InstanceInit& init)
      : random_(init.seed_), count_(init.workers_.size()) {}
  size_t Choose() { return random_() % count_; }
  void OnStart(size_t /*worker*/) {}
  void OnEnd(size_t /*worker*/) {}

 private:
  std::mt19937_64 random_;
  size_t count_;
};

/// Workers in turn.
class RoundRobin {
 public:
  explicit RoundRobin(const InstanceInit& init)
      : next_(init.seed_), count_(init.workers_.size()) {}
  size_t Choose() { return next_++ % count_; }
  void OnStart(size_t /*worker*/) {}
  void OnEnd(size_t /*worker*/) {}

 private:
  size_t next_;
  size_t count_;
};

/// The worker with the fewest tasks of this instance; ties at random.
class LeastOutstanding {
 public:
  explicit LeastOutstanding(const InstanceInit& init)
      : random_(init.seed_), outstanding_(init.workers_.size()) {}
  size_t Choose() {
    const size_t first = random_() % outstanding_.size();
    size_t best = first;
    for (size_t i = 0; i < outstanding_.size(); ++i) {
      const size_t worker = (first + i) % outstanding_.size();
      if (outstanding_[worker] < outstanding_[best]) best = worker;
    }
    return best;
  }
  void OnStart(size_t worker) { ++outstanding_[worker]; }
  void OnEnd(size_t worker) { --outstanding_[worker]; }

 private:
  std::mt19937_64 random_;
  std::vector<uint32_t> outstanding_;
};

/// Sends each task on at once to the worker of its choice; tasks wait there.
template <typename Choice>
class SendAtOnce {
 public:
  explicit SendAtOnce(const InstanceInit& init)
      : choice_(init), workers_(init.workers_) {}

  void On(const Submit& message, Time /*now*/, Outbox* out) {
    jobs_.Add(message);
    const auto job = jobs_.Find(message.request_);
    const auto count = static_cast<uint16_t>(job->tasks_.size());
    for (uint16_t i = 0; i < count; ++i) {
      const size_t worker = choice_.Choose();
      choice_.OnStart(worker);
      const AttemptId attempt{++last_attempt_};
      running_[attempt.value_] = {message.request_, worker};
      StartTask start;
      start.attempt_ = attempt;
      start.address_ = workers_[worker].address_;
      start.job_ = job;
      start.task_index_ = i;
      out->push_back(std::move(start));
    }
  }

  void On(const AttemptEnded& message, Time /*now*/, Outbox* out) {
    const auto it = running_.find(message.attempt_.value_);
    choice_.OnEnd(it->second.worker_);
    jobs_.OnAnswer(it->second.request_, message.result_, out);
    running_.erase(it);
  }

  void Tick(Time /*now*/, Outbox* /*out*/) {}

 private:
  struct Running {
    RequestId request_;
    size_t worker_ = 0;
  };
  Choice choice_;
  std::vector<WorkerInfo> workers_;
  OpenJobs jobs_;
  std::unordered_map<uint64_t, Running> running_;
  uint64_t last_attempt_ = 0;
};

/// Whether expected run times are learned or known.
enum class Knowledge : uint8_t { kLearned, kTrue };

/// Queue, worker table and run times with the least code around them. With
/// `kTrue` and a single instance it is the bound: one scheduler that knows
/// every run time and every slot without delay.
template <Knowledge knowledge>
class DecisionParts {
 public:
  explicit DecisionParts(const InstanceInit& init) : workers_(init.seed_) {
    workers_.SetWorkers(init.workers_);
    workers_.SetInstanceRank(init.rank_, init.count_);
  }

  void On(const Submit& message, Time now, Outbox* out) {
    const JobSpec& job = message.job_;
    std::vector<Duration> expected;
    Duration work;
    Duration longest;
    for (const TaskSpec& task : job.tasks_) {
      expected.push_back(Expect(task));
      work = work + expected.back();
      longest = std::max(longest, EstimateP95(task));
    }
    const JobId id{message.request_.value_};
    const Duration ahead = queue_.BacklogAhead(kTeam, now, work);
    const int64_t slots = std::max(workers_.own_share_slots(), 1U);
    const Duration wait{(ahead.ms_ + work.ms_) / slots};
    const bool in_time =
        std::max(wait, wait + longest - Duration{work.ms_ / slots}) <=
        job.deadline_;
    if (!in_time ||
        !queue_.Add(id, kTeam, now, now + job.deadline_, expected)) {
      OpenJobs::Answer(message.request_, Outcome::kNotRun, out);
      return;
    }
    jobs_.Add(message);
    Start(now, out);
  }

  void On(const AttemptEnded& message, Time now, Outbox* out) {
    const auto it = running_.find(message.attempt_.value_);
    const Running& ended = it->second;
    const bool answered = message.result_ == AttemptResult::kAnswered;
    const TaskSpec& task = ended.job_->tasks_[ended.index_];
    const Duration expected = Expect(task);
    workers_.OnEnd(ended.worker_, now, answered ? Duration{} : expected);
    if (answered) {
      const Duration run = now - ended.started_;
      workers_.OnServiceTime(ended.worker_, run, expected);
      times_.Observe(times_.FindOrAdd(task.kind_), task.declared_run_time_,
                     run);
    }
    if (jobs_.OnAnswer(ended.request_, message.result_, out)) {
      queue_.Remove({ended.request_.value_});
    }
    running_.erase(it);
    Start(now, out);
  }

  void On(const PeerLoad& message, Time now, Outbox* out) {
    for (const PeerLoad::Entry& entry : message.entries_) {
      workers_.SetPeerLoad(message.peer_, entry.worker_, entry.in_use_);
    }
    Start(now, out);
  }

  void Tick(Time now, Outbox* out) {
    workers_.Tick(now);
    Start(now, out);
  }

  const WorkerTable& workers() const { return workers_; }

 private:
  static constexpr TeamHandle kTeam{0};
  struct Running {
    RequestId request_;
    std::shared_ptr<const JobSpec> job_;
    uint16_t index_ = 0;
    WorkerHandle worker_;
    Time started_;
  };

  Duration Expect(const TaskSpec& task) {
    if (knowledge == Knowledge::kTrue) return {RunMs(task)};
    return times_.Estimate(times_.FindOrAdd(task.kind_),
                           task.declared_run_time_);
  }
  Duration EstimateP95(const TaskSpec& task) {
    if (knowledge == Knowledge::kTrue) return {RunMs(task)};
    return times_.EstimateP95(times_.FindOrAdd(task.kind_),
                              task.declared_run_time_);
  }

  void Start(Time now, Outbox* out) {
    while (queue_.size() > 0) {
      const WorkerHandle worker = workers_.Pick({});
      if (!worker.valid()) return;
      const auto task = queue_.Pop(now);
      if (!task) return;
      const RequestId request{task->job_.value_};
      const AttemptId attempt{++last_attempt_};
      workers_.OnStart(worker);
      Running& running = running_[attempt.value_];
      running = {request, jobs_.Find(request), task->index_, worker, now};
      StartTask start;
      start.attempt_ = attempt;
      start.address_ = workers_.info(worker).address_;
      start.job_ = running.job_;
      start.task_index_ = task->index_;
      out->push_back(std::move(start));
    }
  }

  WorkerTable workers_;
  TaskQueue queue_;
  RunTimeEstimator times_;
  OpenJobs jobs_;
  std::unordered_map<uint64_t, Running> running_;
  uint64_t last_attempt_ = 0;
};

/// The real dispatcher, alone with its peers in one data centre.
class WholeDispatcher {
 public:
  explicit WholeDispatcher(const InstanceInit& init)
      : dispatcher_(Id(init.rank_), {1, 2, 3}, init.seed_) {
    Outbox out;
    auto settings = std::make_shared<Settings>();
    settings->revision_ = {1};
    settings->teams_.emplace_back();
    settings->teams_[0].max_queued_tasks_ =
        settings->service_.max_queued_tasks_;
    dispatcher_.On(SettingsChanged{settings}, kStart, &out);
    dispatcher_.On(WorkersListed{init.workers_}, kStart, &out);
    PeersChanged peers;
    for (uint32_t rank = 0; rank < init.count_; ++rank) {
      if (rank != init.rank_) peers.peers_.push_back({Id(rank), false, 0});
    }
    dispatcher_.On(peers, kStart, &out);
  }

  template <typename Message>
  void On(const Message& message, Time now, Outbox* out) {
    dispatcher_.On(message, now, out);
  }
  void Tick(Time now, Outbox* out) { dispatcher_.Tick(now, out); }
  const WorkerTable& workers() const { return dispatcher_.workers(); }

 private:
  static constexpr Time kStart{0};
  static InstanceId Id(uint32_t rank) {
    const auto port = static_cast<uint16_t>(7000 + rank);
    return {"dc", {"127.0.0.1", port}, {rank + 1}};
  }

  Dispatcher dispatcher_;
};

}  // namespace gentiandeal::bench

#endif  // GENTIANDEAL_TOOLS_BENCH_POLICIES_H_
