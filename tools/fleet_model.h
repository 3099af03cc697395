#ifndef GENTIANDEAL_TOOLS_FLEET_MODEL_H_
#define GENTIANDEAL_TOOLS_FLEET_MODEL_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "job_coordinator.h"
#include "worker_scheduler.h"

namespace gentiandeal {

/// Kind of job of a load.
struct LoadedJobs {
  std::string name_;
  double per_s_ = 0;  ///< Arrivals at the whole fleet.
  double tasks_ = 1;  ///< Mean; spread by 40 %.
  double run_ms_ = 0;
  int32_t cpu_milli_ = 0;      ///< Mean of each task; spread by 20 %.
  int32_t max_cpu_milli_ = 0;  ///< Of each task; 0 for no limit.
  uint8_t priority_ = 0;       ///< 0 is served first.
};

/// Shortage for a part of the time.
struct Overload {
  Duration from_;  ///< Since the first job.
  Duration until_;
  size_t burst_kind_ = 0;
  double burst_ = 1;       ///< Multiple of the arrivals of that kind.
  double surge_ = 1;       ///< Multiple of the arrivals of all kinds.
  double slow_share_ = 0;  ///< Of the workers.
  double slow_factor_ = 1;
  /// Share of the workers that accept orders and polls and don't answer.
  double silent_share_ = 0;
};

/// Instances, workers, and how instances share the work.
struct LoadedFleet {
  size_t data_centres_ = 4;
  size_t large_instances_ = 8;
  size_t small_instances_ = 31;
  int32_t large_cpu_milli_ = 500;
  int32_t small_cpu_milli_ = 120;
  size_t workers_ = 350;
  /// Sizes and speeds of workers, in turn.
  std::vector<int32_t> worker_cpu_milli_ = {64000, 64000, 96000};
  std::vector<double> speeds_ = {1};
  /// Share of the arrivals by data centre; empty for equal instances.
  std::vector<double> demand_;
  double wave_ = 0;  ///< Arrivals rise and fall by this share.
  /// Share of the runs that take 7 times as long.
  double long_runs_ = 0;
  /// Whether objectives follow from declared run times, else from true ones.
  bool declared_objectives_ = false;
  Overload overload_;
  /// Whether `SelectOwners` chooses the owners, else every instance is one.
  bool few_owners_ = true;
  /// Whether `SelectLinks` bounds the connections, else all are connected.
  bool bounded_links_ = true;
  /// Whether `LoadReportInterval` paces reports, else each 20 ms to all.
  bool paced_reports_ = true;
};

/// Capacity of a worker over time.
class WorkerPace {
 public:
  WorkerPace(double speed, double slow_factor, int64_t slow_from,
             int64_t slow_until)
      : speed_(speed),
        slow_speed_(speed / slow_factor),
        from_(slow_from),
        until_(slow_until) {}

  /// Work done between two times, in microseconds of a worker of speed 1.
  double Done(int64_t begin, int64_t end) const;
  /// Time at which some work is done that begins at a time.
  int64_t EndOf(int64_t begin, double work) const;

 private:
  double speed_;
  double slow_speed_;
  int64_t from_;  ///< Of the time in which it is slow.
  int64_t until_;
};

/// A job of the load, and what became of it. Times are in microseconds of the
/// simulated clock.
struct LoadedJob {
  size_t kind_ = 0;
  size_t index_ = 0;  ///< Instance at which it arrives.
  int64_t arrived_ = 0;
  Duration objective_;
  int32_t cpu_milli_ = 0;     ///< Of each task.
  std::vector<double> work_;  ///< Of each task, as `WorkerPace` counts it.
  std::optional<int64_t> answered_;
  HostedJobOutcome outcome_ = HostedJobOutcome::kInterrupted;
  uint32_t starts_ = 0;  ///< Sent to workers.
  bool ran_ = false;     ///< Whether a worker carried out a start.
  uint32_t assigned_ = 0;
  uint32_t returned_ = 0;  ///< Tasks that an owner returned before a start.
  uint32_t reassigned_ = 0;

  bool complete() const {
    return answered_ && outcome_ == HostedJobOutcome::kComplete;
  }
  bool refused() const {
    return answered_ && outcome_ == HostedJobOutcome::kNotRun;
  }
  bool in_time() const { return complete() && Took() <= objective_.ms_ * 1000; }
  /// Answered after its objective, while the answer is of use.
  bool late() const {
    return complete() && !in_time() && Took() <= objective_.ms_ * 3000;
  }
  int64_t Took() const { return *answered_ - arrived_; }
};

/// What became of the jobs of one kind.
struct LoadedOutcome {
  uint64_t jobs_ = 0;
  uint64_t in_time_ = 0;  ///< Answered within the latency objective.
  uint64_t late_ = 0;     ///< Answered while of use.
  uint64_t refused_ = 0;  ///< Answered as not run.

  /// A late answer counts a fifth, as it does to the users.
  double Earned() const {
    return jobs_ == 0 ? 1
                      : (static_cast<double>(in_time_) +
                         0.2 * static_cast<double>(late_)) /
                            static_cast<double>(jobs_);
  }
};

/// A fleet under load on a simulated clock, steady or with an overload. Each
/// instance has one processor, on which each message that it sends or receives
/// takes a fixed time divided by the instance's processor share; what arrives
/// meanwhile waits. Links are unlimited.
class FleetModel {
 public:
  FleetModel(const LoadedFleet& fleet, std::vector<LoadedJobs> jobs,
             uint64_t seed);

  /// Plays the load for some time, and returns the outcomes by kind.
  std::map<std::string, LoadedOutcome> Play(Duration length);

  /// Messages between instances, of all kinds.
  uint64_t messages() const { return messages_; }
  /// All jobs, in the order of their arrival.
  const std::vector<LoadedJob>& all_jobs() const { return all_jobs_; }
  /// Workers as they are over time, for other schedulers on the same ones.
  struct Machine {
    int32_t cpu_milli_ = 0;
    WorkerPace pace_;
    bool silent_ = false;  ///< During the overload.
  };
  std::vector<Machine> Machines() const;
  /// Time of the first arrival, in microseconds.
  static int64_t FirstArrival();
  /// Processor time of the decision code in this process.
  std::chrono::nanoseconds scheduler_time() const { return scheduler_time_; }
  std::chrono::nanoseconds coordinator_time() const {
    return coordinator_time_;
  }
  size_t most_waiting() const { return most_waiting_; }  ///< At one owner.

 private:
  using Micros = int64_t;

  struct Instance {
    InstanceName name_;
    std::string data_centre_;
    int32_t cpu_milli_ = 0;
    Micros busy_until_ = 0;
    std::unique_ptr<JobCoordinator> coordinator_;
    WorkerScheduler scheduler_;
    CoordinatorOutbox coordinator_out_;
    SchedulerOutbox scheduler_out_;
    bool owner_ = false;
    std::vector<size_t> links_;  ///< Owners that it assigns tasks to.
    struct Session {
      size_t coordinator_ = 0;
      uint64_t load_version_ = 0;
      Time load_sent_at_;
    };
    std::vector<Session> sessions_;
    uint64_t own_load_version_ = 0;
  };

  struct Run {
    std::string task_;
    uint32_t number_ = 0;
    Micros began_ = 0;
    double work_ = 0;
  };
  struct Worker {
    LeasedWorker info_;
    WorkerPace pace_;
    bool silent_ = false;  ///< During the overload.
    int64_t lease_until_ms_ = 0;
    std::vector<Run> runs_;
    std::vector<FinishedRun> finished_;
    uint64_t last_end_ = 0;
    std::optional<PollWorker> waiting_;  ///< Poll that awaits an end.
    size_t waiting_owner_ = 0;
  };

  struct Event {
    Micros at_ = 0;
    uint64_t order_ = 0;
    std::function<void()> run_;
    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at_, a.order_) > std::tie(b.at_, b.order_);
    }
  };

  Time Now() const { return {now_ / 1000}; }
  void At(Micros at, std::function<void()> run);
  /// Takes processor time at an instance. @returns when it is done.
  Micros Spend(size_t index, Micros cpu);
  /// Lets an instance handle something that arrives at a time.
  void Arrive(size_t index, Micros at, Micros cpu, std::function<void()> run);
  /// Sends a message to another instance, which handles it.
  void Send(size_t from, size_t to, std::function<void()> handle);

  void CreateInstances(const LoadedFleet& fleet);
  void CreateWorkers(const LoadedFleet& fleet);
  void Connect(const LoadedFleet& fleet);
  void Tick(size_t index);
  void Heartbeat(size_t index);
  void ShareLoad(size_t index);
  void SubmitNext(size_t kind);
  /// Whether kinds differ in priority, so that owners accept or refuse jobs.
  bool HasPriorities() const;
  /// Arrivals of a kind in a second, at present.
  double Rate(size_t kind) const;
  size_t ChooseInstance();
  void Submit(uint64_t request, const HostedJob& job);
  bool InOverload() const;
  /// Whether a worker doesn't answer at present.
  bool IsSilent(size_t worker) const;
  /// Lets the runs of silent workers end with their leases.
  void ExpireLeases();
  /// Runs decision code of an instance and adds up its processor time.
  template <typename Code>
  void Schedule(size_t index, const Code& code);
  template <typename Code>
  void Coordinate(size_t index, const Code& code);

  void Carry(size_t index);
  void Do(size_t index, const AnswerHostedJob& answer);
  void Do(size_t index, const SendAssign& send);
  void Do(size_t index, const SendCancel& send);
  void Do(size_t index, const StartRun& start);
  void Do(size_t index, const StopRun& stop);
  void Do(size_t index, const PollWorker& poll);
  void Do(size_t index, const ReportTask& report);
  void Do(size_t index, const ReportRefused& report);
  void Do(size_t index, const TaskReassigned& reassigned);
  template <typename Other>
  void Do(size_t /*index*/, const Other& /*for logs, or for faults*/) {}

  void EndRun(size_t worker, const std::string& task, uint32_t run, RunEnd end);
  void AnswerPoll(size_t worker, size_t owner, const PollWorker& poll);
  /// Tells an owner after some time how its call to a worker ended.
  template <typename Ended>
  void EndCall(size_t index, Micros after, const Ended& ended);
  /// Job of a task, by its name.
  LoadedJob& JobOf(const std::string& task);
  double Spread(double mean, double spread);

  LoadedFleet fleet_;
  std::vector<LoadedJobs> jobs_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  Micros submit_until_ = 0;
  uint64_t order_ = 0;
  uint64_t last_job_ = 0;
  uint64_t messages_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Instance> instances_;
  std::vector<Worker> workers_;
  std::map<std::string, size_t> worker_index_;
  std::map<std::string, size_t> instance_index_;
  std::vector<LoadedJob> all_jobs_;  ///< Request n is at n - 1.
  /// Request of each assigned task, by coordinator and serial.
  std::unordered_map<uint64_t, uint64_t> request_of_;
  std::chrono::nanoseconds scheduler_time_{};
  std::chrono::nanoseconds coordinator_time_{};
  size_t most_waiting_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TOOLS_FLEET_MODEL_H_
