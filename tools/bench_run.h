#ifndef GENTIANDEAL_TOOLS_BENCH_RUN_H_
#define GENTIANDEAL_TOOLS_BENCH_RUN_H_

#include <array>
#include <concepts>
#include <unordered_set>

#include "bench_policies.h"

/// One run of instances against the fakes, and what it measured.
namespace gentiandeal::bench {

/// The site under measurement.
struct Site {
  uint32_t instances_ = 2;
  uint32_t workers_ = 12;
  uint16_t slots_ = 8;
  Micros report_interval_ = 50 * kMilli;  ///< Load reports between instances.
  uint32_t failing_ = 0;                  ///< Workers that fail every task.
  uint32_t stragglers_ = 0;  ///< Workers that take 4 times as long.
  uint32_t total_slots() const { return workers_ * slots_; }
};

/// A refused caller is to be answered within this.
inline constexpr Micros kPromptRefusal = 50 * kMilli;

/// Messages and answers of the counted jobs of one run.
struct Result {
  std::vector<double> ratios_;  ///< Response over ideal of complete jobs.
  uint64_t jobs_ = 0;
  uint64_t in_burst_ = 0;
  uint64_t in_time_in_burst_ = 0;  ///< Complete by their deadline.
  uint64_t failed_ = 0;
  uint64_t refused_ = 0;
  uint64_t refused_late_ = 0;  ///< After more than `kPromptRefusal`.
  Micros slowest_refusal_ = 0;
  uint64_t starts_ = 0;
  uint64_t useful_starts_ = 0;  ///< Of complete jobs.
  uint64_t queued_at_workers_ = 0;
  uint64_t reports_ = 0;
  uint64_t forwards_ = 0;

  double Quantile(double q) const {
    if (ratios_.empty()) return 0;
    const auto last = static_cast<double>(ratios_.size() - 1);
    return ratios_[static_cast<size_t>(std::llround(q * last))];
  }
  double PerUsefulStart(uint64_t count) const {
    if (useful_starts_ == 0) return 0;
    return static_cast<double>(count) / static_cast<double>(useful_starts_);
  }
  /// Starts that did not count, and hand-overs; reports are kept apart.
  double Wasted() const {
    return PerUsefulStart(starts_ - useful_starts_ + forwards_);
  }
};

/// Drives instances of type `T` through arrivals.
template <Instance T>
class Run {
 public:
  Run(const Site& site, const std::vector<Arrival>& arrivals, uint64_t seed)
      : site_(site), arrivals_(arrivals), answered_(arrivals.size()) {
    const std::vector<WorkerInfo> infos = Workers();
    for (uint32_t rank = 0; rank < site.instances_; ++rank) {
      instances_.push_back(std::make_unique<T>(
          InstanceInit{rank, site.instances_, seed + rank, infos}));
      reported_.emplace_back(site.workers_);
    }
  }

  Result Finish() {
    if (!arrivals_.empty()) ScheduleArrival(0);
    for (uint32_t i = 0; i < site_.instances_; ++i) ScheduleTick(i);
    if constexpr (kReports) ScheduleReports();
    while (open_ > 0 || next_ < arrivals_.size()) clock_.Step();
    for (const FakeWorker& worker : workers_) {
      result_.queued_at_workers_ += worker.queued();
    }
    std::sort(result_.ratios_.begin(), result_.ratios_.end());
    return std::move(result_);
  }

 private:
  static constexpr bool kReports =
      requires(T & t, const PeerLoad& load, Time now, Outbox* out) {
    t.On(load, now, out);
  };

  std::vector<WorkerInfo> Workers() {
    std::vector<WorkerInfo> infos(site_.workers_);
    for (uint32_t i = 0; i < site_.workers_; ++i) {
      WorkerBehaviour behaviour;
      behaviour.failing_ = i < site_.failing_;
      const bool slow =
          i >= site_.failing_ && i < site_.failing_ + site_.stragglers_;
      if (slow) behaviour.slowdown_ = 4;
      workers_.emplace_back(&clock_, site_.slots_, behaviour);
      infos[i].address_ = {"127.0.0.1", static_cast<uint16_t>(10000 + i)};
      infos[i].slots_ = site_.slots_;
    }
    return infos;
  }

  size_t WorkerIndex(const Address& address) const {
    return address.port_ - 10000;
  }

  void ScheduleArrival(size_t index) {
    next_ = index;
    const Micros at = arrivals_[index].at_ + kCallerLink;
    clock_.After(at - clock_.now(), [this, index] {
      next_ = index + 1;
      if (next_ < arrivals_.size()) ScheduleArrival(next_);
      Arrive(index);
    });
  }

  void Arrive(size_t index) {
    ++open_;
    Submit submit;
    submit.request_ = {index + 1};
    submit.job_ = arrivals_[index].spec_;
    Deliver(arrivals_[index].instance_ % site_.instances_, submit);
  }

  template <typename Message>
  void Deliver(uint32_t instance, const Message& message) {
    Outbox out;
    instances_[instance]->On(message, ToTime(clock_.now()), &out);
    Execute(instance, out);
  }

  void ScheduleTick(uint32_t instance) {
    clock_.After(config::kTickInterval.ms_ * kMilli, [this, instance] {
      Outbox out;
      instances_[instance]->Tick(ToTime(clock_.now()), &out);
      Execute(instance, out);
      ScheduleTick(instance);
    });
  }

  void ScheduleReports() {
    clock_.After(site_.report_interval_, [this] {
      for (uint32_t i = 0; i < site_.instances_; ++i) SendReport(i);
      ScheduleReports();
    });
  }

  void SendReport(uint32_t from) {
    PeerLoad load;
    load.peer_ = {from + 1};
    const WorkerTable& table = instances_[from]->workers();
    table.ForEach([&](WorkerHandle handle) {
      const Address& address = table.info(handle).address_;
      const auto in_use = static_cast<uint16_t>(table.in_use(handle));
      uint16_t& before = reported_[from][WorkerIndex(address)];
      if (in_use == before) return;
      before = in_use;
      load.entries_.push_back({address, in_use});
    });
    if (load.entries_.empty()) return;
    for (uint32_t to = 0; to < site_.instances_; ++to) {
      if (to == from) continue;
      ++result_.reports_;
      clock_.After(kWorkerLink, [this, to, load] { Deliver(to, load); });
    }
  }

  void Execute(uint32_t instance, const Outbox& out) {
    for (const Command& command : out) {
      if (const auto* start = std::get_if<StartTask>(&command)) {
        OnStart(instance, *start);
      } else if (const auto* answer = std::get_if<SendAnswer>(&command)) {
        OnAnswer(*answer);
      } else if (std::holds_alternative<ForwardSubmission>(command)) {
        ++result_.forwards_;
      }
    }
  }

  void OnStart(uint32_t instance, const StartTask& start) {
    ++result_.starts_;
    const TaskSpec& task = start.job_->tasks_[start.task_index_];
    const Micros run = RunMs(task) * kMilli;
    FakeWorker* worker = &workers_[WorkerIndex(start.address_)];
    const AttemptId attempt = start.attempt_;
    clock_.After(kWorkerLink, [this, instance, worker, run, attempt] {
      worker->Take(run, [this, instance, attempt](AttemptResult verdict) {
        clock_.After(kWorkerLink, [this, instance, attempt, verdict] {
          AttemptEnded ended;
          ended.attempt_ = attempt;
          ended.result_ = verdict;
          ended.answer_.status_ =
              verdict == AttemptResult::kAnswered ? 200 : 500;
          Deliver(instance, ended);
        });
      });
    });
  }

  void OnAnswer(const SendAnswer& answer) {
    const size_t index = answer.request_.value_ - 1;
    if (answered_[index]) return;
    answered_[index] = true;
    --open_;
    const Arrival& arrival = arrivals_[index];
    const Micros response = clock_.now() + kCallerLink - arrival.at_;
    const Outcome outcome = answer.answer_->outcome_;
    if (outcome == Outcome::kComplete) {
      result_.useful_starts_ += arrival.spec_.tasks_.size();
    }
    if (!arrival.counted_) return;
    ++result_.jobs_;
    const bool in_time = outcome == Outcome::kComplete &&
                         response <= arrival.spec_.deadline_.ms_ * kMilli;
    if (arrival.in_burst_) {
      ++result_.in_burst_;
      if (in_time) ++result_.in_time_in_burst_;
    }
    Count(outcome, response, arrival.ideal_);
  }

  void Count(Outcome outcome, Micros response, Micros ideal) {
    switch (outcome) {
      case Outcome::kComplete:
        result_.ratios_.push_back(static_cast<double>(response) /
                                  static_cast<double>(ideal));
        break;
      case Outcome::kNotRun:
        ++result_.refused_;
        if (response > kPromptRefusal) ++result_.refused_late_;
        result_.slowest_refusal_ = std::max(result_.slowest_refusal_, response);
        break;
      case Outcome::kMayHaveRun:
        ++result_.failed_;
        break;
    }
  }

  Site site_;
  const std::vector<Arrival>& arrivals_;
  VirtualClock clock_;
  std::deque<FakeWorker> workers_;
  std::vector<std::unique_ptr<T>> instances_;
  std::vector<std::vector<uint16_t>> reported_;
  std::vector<bool> answered_;
  size_t next_ = 0;
  uint64_t open_ = 0;
  Result result_;
};

}  // namespace gentiandeal::bench

#endif  // GENTIANDEAL_TOOLS_BENCH_RUN_H_
