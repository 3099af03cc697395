#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "worker_choice.h"
#include "worker_speed.h"

/// Measures how many tasks end in time on workers of uneven speed, on a virtual
/// clock, by how a worker is chosen: by the tightest fit and a moving average
/// of ratios (the former choice), by learned speeds, and by the true ones.
/// Exits with 1 when `--check` finds a goal missed.
namespace gentiandeal::bench {
namespace {

constexpr size_t kWorkers = 60;
constexpr double kLogError = 0.4;    ///< Of declared run times.
constexpr double kTailFactor = 7;    ///< Of long runs on healthy workers.
constexpr double kSlowFactor = 4.5;  ///< Of disturbed workers.
/// Interval of the lists of a worker with overdue runs.
constexpr double kListingMs = 90;

/// Goals: tasks in time over those of a choice by the true speeds and over
/// those of the former choice, and the mean of the runs that disturbed workers
/// start before they are recognised.
constexpr double kShareOfExact = 0.97;
constexpr double kShareOfFit = 0.995;
constexpr double kMaxRunsUntilRecognised = 4.5;

enum class Policy : uint8_t { kFit, kLearned, kExact };
constexpr const char* kPolicyNames[] = {"fit", "learned", "exact"};

struct Kind {
  double weight_ = 0;  ///< Jobs per second on the deployment.
  int tasks_ = 1;
  double run_ms_ = 0;
  double cores_ = 0;
};

struct Deployment {
  const char* name_;
  std::array<Kind, 3> kinds_;
  std::array<double, 3> speeds_;
  std::array<double, 2> cores_;
  double max_cores_ = 0;
  double tails_ = 0;
};

constexpr Deployment kDeployments[] = {
    {"A",
     {{{206, 8, 60, 8}, {600, 2, 200, 8}, {37.5, 4, 900, 8}}},
     {0.8, 1.0, 1.25},
     {16, 24},
     12,
     0},
    {"B",
     {{{181, 8, 51, 16}, {529, 2, 170, 16}, {33, 4, 760, 16}}},
     {0.6, 1.0, 1.6},
     {32, 48},
     24,
     0.03}};

struct Scenario {
  std::string name_;
  const Deployment* deployment_;
  double load_ = 0.6;
  double slow_share_ = 0;  ///< Of the workers, in the middle third of the run.
};

struct Task {
  size_t kind_ = 0;
  size_t job_ = 0;
  double arrives_ = 0;
  double cores_ = 0;
  double declared_ms_ = 0;
  double work_ms_ = 0;  ///< Run time on a worker of speed 1.
  double deadline_ = 0;
  double useless_ = 0;
  uint32_t runs_ = 0;
  size_t avoid_ = kWorkers;
  double start_by() const { return deadline_ - declared_ms_; }
};

struct Run {
  size_t task_ = 0;
  double started_ = 0;
  double ends_ = 0;
  bool observed_ = false;
};

struct Worker {
  double cores_ = 0;
  double free_ = 0;
  double speed_ = 1;
  bool disturbed_ = false;
  double slowness_ = 1;  ///< Moving average of the former choice.
  double ejected_until_ = 0;
  WorkerSpeed learned_;
  bool slow_ = false;        ///< As last learned.
  bool recognised_ = false;  ///< Since it was disturbed.
  uint64_t runs_seen_ = 0;   ///< Started since then.
  std::vector<Run> runs_;
};

struct Event {
  double at_ = 0;
  size_t worker_ = kWorkers;  ///< None for the arrival of a job.
  size_t task_ = 0;
  uint32_t run_ = 0;  ///< 0 for a list of the worker.
  friend bool operator>(const Event& a, const Event& b) {
    return std::tie(a.at_, a.task_, a.run_) > std::tie(b.at_, b.task_, b.run_);
  }
};

struct Result {
  std::array<uint64_t, 3> tasks_{};
  std::array<uint64_t, 3> in_time_{};
  uint64_t restarts_ = 0;
  /// Of the disturbed workers: those recognised, and their runs until then.
  uint64_t recognised_ = 0;
  uint64_t disturbed_ = 0;
  uint64_t runs_until_recognised_ = 0;
  uint64_t healthy_taken_for_slow_ = 0;

  double Share() const {
    double tasks = 0;
    double in_time = 0;
    for (size_t i = 0; i < 3; ++i) {
      tasks += static_cast<double>(tasks_[i]);
      in_time += static_cast<double>(in_time_[i]);
    }
    return in_time / tasks;
  }
  double RunsUntilRecognised() const {
    return static_cast<double>(runs_until_recognised_) /
           static_cast<double>(std::max<uint64_t>(1, recognised_));
  }
  double Share(size_t kind) const {
    return static_cast<double>(in_time_[kind]) /
           static_cast<double>(tasks_[kind]);
  }
};

Duration Ms(double ms) { return {std::llround(ms)}; }
Time At(double ms) { return {std::llround(ms)}; }

/// One owner with its workers and its queue.
class Simulation {
 public:
  Simulation(const Scenario& scenario, Policy policy, uint64_t seed,
             double length_ms)
      : scenario_(scenario),
        policy_(policy),
        random_(seed),
        length_ms_(length_ms) {
    MakeWorkers();
    MakeJobs();
  }

  Result Play() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      Disturb();
      if (event.worker_ == kWorkers) {
        Arrive(event.task_);
      } else if (event.run_ == 0) {
        ListOverdue(event);
      } else {
        End(event);
      }
      StartWaiting();
    }
    return result_;
  }

 private:
  void MakeWorkers() {
    const Deployment& deployment = *scenario_.deployment_;
    for (size_t i = 0; i < kWorkers; ++i) {
      Worker& worker = workers_.emplace_back();
      worker.speed_ = deployment.speeds_[i % 3];
      worker.cores_ = worker.free_ = deployment.cores_[i / 3 % 2];
    }
  }

  void MakeJobs() {
    const Deployment& deployment = *scenario_.deployment_;
    double capacity = 0;
    for (const Worker& worker : workers_) {
      capacity += worker.cores_ * worker.speed_;
    }
    double demand = 0;  // In cores.
    for (const Kind& kind : deployment.kinds_) {
      demand += kind.weight_ * kind.tasks_ * kind.run_ms_ / 1000 * kind.cores_;
    }
    demand *= std::exp(kLogError * kLogError / 2) *
              (1 + deployment.tails_ * (kTailFactor - 1));
    const double scale = scenario_.load_ * capacity / demand;
    std::normal_distribution<double> normal;
    for (size_t k = 0; k < 3; ++k) {
      const Kind& kind = deployment.kinds_[k];
      std::exponential_distribution<double> gap(kind.weight_ * scale / 1000);
      for (double at = gap(random_); at < length_ms_; at += gap(random_)) {
        events_.push({at, kWorkers, tasks_.size(), 0});
        const double cores =
            std::clamp(kind.cores_ * (1 + 0.2 * normal(random_)),
                       kind.cores_ / 2, deployment.max_cores_);
        const double declared = kind.run_ms_ * std::exp(0.2 * normal(random_));
        for (int i = 0; i < kind.tasks_; ++i) {
          Task& task = tasks_.emplace_back();
          task.kind_ = k;
          task.job_ = tasks_.size() - 1 - static_cast<size_t>(i);
          task.arrives_ = at;
          task.cores_ = cores;
          task.declared_ms_ = declared;
          task.work_ms_ = declared * std::exp(kLogError * normal(random_));
          const double objective = 1.6 * declared + 60;
          task.deadline_ = at + objective;
          task.useless_ = at + 3 * objective;
          ++result_.tasks_[k];
        }
      }
    }
  }

  void Disturb() {
    const bool on = now_ > length_ms_ / 3 && now_ < length_ms_ * 2 / 3;
    if (on == disturbed_) return;
    disturbed_ = on;
    disturbed_at_ = now_;
    const auto count = static_cast<size_t>(scenario_.slow_share_ * kWorkers);
    for (size_t i = 0; i < count; ++i) {
      // A step of 7 spreads them over all speeds and sizes.
      Worker& worker = workers_[i * 7 % kWorkers];
      worker.disturbed_ = on;
      worker.runs_seen_ = 0;
    }
    if (on) result_.disturbed_ = count;
  }

  void Arrive(size_t first) {
    for (size_t i = first; i < tasks_.size() && tasks_[i].job_ == first; ++i) {
      Enqueue(i);
    }
  }

  void Enqueue(size_t task) {
    const auto place = std::upper_bound(
        queue_.begin(), queue_.end(), task, [this](size_t a, size_t b) {
          return tasks_[a].start_by() < tasks_[b].start_by();
        });
    queue_.insert(place, task);
  }

  void StartWaiting() {
    std::erase_if(queue_,
                  [this](size_t i) { return tasks_[i].useless_ <= now_; });
    StartMatching([this](const Task& task) { return task.start_by() >= now_; });
    StartMatching([](const Task&) { return true; });
  }

  template <typename Predicate>
  void StartMatching(const Predicate& matches) {
    size_t unplaceable = tasks_.size();
    std::erase_if(queue_, [&](size_t i) {
      if (tasks_[i].job_ == unplaceable || !matches(tasks_[i])) return false;
      const size_t worker = Pick(tasks_[i]);
      if (worker == kWorkers) {
        unplaceable = tasks_[i].job_;
        return false;
      }
      Start(worker, i);
      return true;
    });
  }

  /// Ratio of run times there to the declared ones.
  static double TrueRatio(const Worker& worker) {
    return (worker.disturbed_ ? kSlowFactor : 1) / worker.speed_;
  }

  size_t Pick(const Task& task) const {
    size_t best = kWorkers;
    double best_cost = 0;
    for (size_t i = 0; i < kWorkers; ++i) {
      const Worker& worker = workers_[i];
      if (worker.free_ < task.cores_ || now_ < worker.ejected_until_) continue;
      const double left_over = (worker.free_ - task.cores_) / task.cores_;
      double cost = left_over + worker.slowness_ + (i == task.avoid_ ? 2 : 0);
      if (policy_ != Policy::kFit) {
        const bool exact = policy_ == Policy::kExact;
        WorkerOffer offer{.ratio_ = exact ? TrueRatio(worker)
                                          : worker.learned_.Ratio(At(now_)),
                          .left_over_ = left_over,
                          .avoided_ = i == task.avoid_};
        if (!exact) offer.spread_ = worker.learned_.spread();
        const TaskDemand demand{Expected(task), Ms(task.deadline_ - now_)};
        if (RatherWaits(demand, offer)) continue;
        cost = PlacementCost(demand, offer);
      }
      if (best == kWorkers || cost < best_cost) {
        best = i;
        best_cost = cost;
      }
    }
    return best;
  }

  Duration Expected(const Task& task) const {
    const Duration declared = Ms(task.declared_ms_);
    return policy_ == Policy::kLearned ? pool_.Expected(declared) : declared;
  }

  void Start(size_t index, size_t i) {
    Worker& worker = workers_[index];
    Task& task = tasks_[i];
    ++task.runs_;
    // Each run of a task is long or not by itself.
    std::mt19937_64 draw(i * 64 + task.runs_);
    const bool tail = std::uniform_real_distribution<double>()(draw) <
                      scenario_.deployment_->tails_;
    Run run{i, now_, now_};
    run.ends_ += task.work_ms_ * TrueRatio(worker) * (tail ? kTailFactor : 1);
    worker.free_ -= task.cores_;
    worker.runs_.push_back(run);
    events_.push({run.ends_, index, i, task.runs_});
    events_.push({now_ + 1.7 * task.declared_ms_ + 40, index, i, 0});
  }

  void End(const Event& event) {
    Worker& worker = workers_[event.worker_];
    const auto run = std::find_if(
        worker.runs_.begin(), worker.runs_.end(), [&](const Run& one) {
          return one.task_ == event.task_ &&
                 tasks_[event.task_].runs_ == event.run_;
        });
    if (run == worker.runs_.end()) return;
    Task& task = tasks_[run->task_];
    if (now_ <= task.deadline_) ++result_.in_time_[task.kind_];
    const double took = now_ - run->started_;
    worker.slowness_ +=
        0.15 * (std::min(took / task.declared_ms_, 8.0) - worker.slowness_);
    if (!run->observed_) {
      worker.learned_.Observe(Expected(task), Ms(took), At(now_));
      pool_.Observe(Ms(task.declared_ms_), Ms(took));
      Count(&worker, *run);
    }
    worker.free_ += task.cores_;
    worker.runs_.erase(run);
    List(event.worker_);
  }

  /// Counts the observed runs until a disturbed worker is recognised.
  void Count(Worker* worker, const Run& run) {
    if (run.started_ >= disturbed_at_) ++worker->runs_seen_;
    const bool slow = worker->learned_.IsSlow(At(now_));
    if (slow && !worker->slow_) {
      if (!worker->disturbed_) {
        ++result_.healthy_taken_for_slow_;
      } else if (!worker->recognised_) {
        worker->recognised_ = true;
        ++result_.recognised_;
        result_.runs_until_recognised_ += worker->runs_seen_;
      }
    }
    worker->slow_ = slow;
  }

  /// Lists a worker while an overdue run is in progress there.
  void ListOverdue(const Event& event) {
    const Worker& worker = workers_[event.worker_];
    const bool running =
        std::any_of(worker.runs_.begin(), worker.runs_.end(),
                    [&](const Run& run) { return run.task_ == event.task_; });
    if (!running) return;
    List(event.worker_);
    events_.push({now_ + kListingMs, event.worker_, event.task_, 0});
  }

  void List(size_t index) {
    Worker& worker = workers_[index];
    std::vector<size_t> stopped;
    for (Run& run : worker.runs_) {
      Task& task = tasks_[run.task_];
      const double elapsed = now_ - run.started_;
      const double share = elapsed / (run.ends_ - run.started_);
      if (policy_ == Policy::kFit) {
        if (elapsed < std::max(100.0, 0.85 * task.declared_ms_)) continue;
        const double left = elapsed * (1 - share) / std::max(share, 0.005);
        if (left < 2 * task.declared_ms_ + 60 || now_ >= task.useless_) {
          continue;
        }
        worker.ejected_until_ = std::max(worker.ejected_until_, now_ + 1500);
        stopped.push_back(run.task_);
        continue;
      }
      const RunProgress progress{Expected(task),
                                 Ms(elapsed),
                                 share,
                                 Ms(task.deadline_ - now_),
                                 Ms(task.useless_ - now_),
                                 task.runs_,
                                 worker.learned_.IsSlow(At(now_))};
      if (!IsProgressTelling(progress)) continue;
      if (!run.observed_) {
        run.observed_ = true;
        worker.learned_.ObserveProgress(Expected(task), Ms(elapsed), share,
                                        At(now_));
        pool_.Observe(Ms(task.declared_ms_),
                      RunTimeByProgress(Ms(elapsed), share));
        Count(&worker, run);
      }
      if (ShouldRestart(progress)) stopped.push_back(run.task_);
    }
    for (const size_t i : stopped) {
      std::erase_if(worker.runs_,
                    [i](const Run& run) { return run.task_ == i; });
      worker.free_ += tasks_[i].cores_;
      tasks_[i].avoid_ = index;
      ++result_.restarts_;
      Enqueue(i);
    }
  }

  Scenario scenario_;
  Policy policy_;
  std::mt19937_64 random_;
  double length_ms_;
  double now_ = 0;
  bool disturbed_ = false;
  double disturbed_at_ = 0;
  std::vector<Worker> workers_;
  PoolRunTimes pool_;
  std::vector<Task> tasks_;
  std::vector<size_t> queue_;  ///< Ordered by the latest start.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Result result_;
};

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  for (const double slow : {0.0, 0.2}) {
    for (const Deployment& deployment : kDeployments) {
      for (const double load : {0.6, 0.85}) {
        std::string name = std::string(deployment.name_) + " " +
                           std::to_string(std::lround(load * 100)) + " %";
        if (slow > 0) name += ", a fifth slow";
        scenarios.push_back({name, &deployment, load, slow});
      }
    }
  }
  return scenarios;
}

/// A bound on one figure of a run.
struct Goal {
  std::string name_;
  double measured_ = 0;
  double bound_ = 0;
  bool at_most_ = false;
  bool met() const {
    return at_most_ ? measured_ <= bound_ : measured_ >= bound_;
  }
};

/// Adds the goals of the learned choice in one scenario. `results` are in the
/// order of the policies.
void AddGoals(const Scenario& scenario, const std::array<Result, 3>& results,
              std::vector<Goal>* goals) {
  const Result& fit = results[0];
  const Result& learned = results[1];
  const Result& exact = results[2];
  goals->push_back({scenario.name_ + ", in time over exact speeds",
                    learned.Share() / exact.Share(), kShareOfExact});
  goals->push_back({scenario.name_ + ", in time over tightest fit",
                    learned.Share() / fit.Share(), kShareOfFit});
  goals->push_back({scenario.name_ + ", long ones over tightest fit",
                    learned.Share(2) / fit.Share(2), 1});
  if (learned.disturbed_ == 0) return;
  goals->push_back({scenario.name_ + ", slow workers recognised",
                    static_cast<double>(learned.recognised_) /
                        static_cast<double>(learned.disturbed_),
                    1});
  goals->push_back({scenario.name_ + ", runs until then",
                    learned.RunsUntilRecognised(), kMaxRunsUntilRecognised,
                    true});
}

bool PrintGoals(const std::vector<Goal>& goals) {
  bool all = true;
  for (const Goal& goal : goals) {
    std::printf("%-6s %-48s %6.3f, goal %s %.3f\n",
                goal.met() ? "met" : "MISSED", goal.name_.c_str(),
                goal.measured_, goal.at_most_ ? "<=" : ">=", goal.bound_);
    all = all && goal.met();
  }
  return all;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  uint64_t seed = 1;
  double seconds = 30;
  bool check = false;
  po::options_description words("bench_speed");
  auto add = words.add_options();
  add("help", "print this text");
  add("check", po::bool_switch(&check), "exit with 1 on a miss");
  add("seed", po::value(&seed), "seed of arrivals and run times");
  add("seconds", po::value(&seconds), "virtual length of a run");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, words), given);
  po::notify(given);
  if (given.count("help") > 0) {
    std::cout << words;
    return 0;
  }
  std::printf("%-20s %-8s %7s %7s %7s %7s %8s %10s %8s %7s\n", "scenario",
              "choice", "all", "short", "middle", "long", "restarts",
              "recognised", "in runs", "falsely");
  std::vector<Goal> goals;
  for (const Scenario& scenario : Scenarios()) {
    std::array<Result, 3> results;
    for (size_t i = 0; i < results.size(); ++i) {
      Result& r = results[i];
      r = Simulation(scenario, static_cast<Policy>(i), seed, seconds * 1000)
              .Play();
      std::printf(
          "%-20s %-8s %7.4f %7.4f %7.4f %7.4f %8lu %6lu of %lu %8.2f %7lu\n",
          scenario.name_.c_str(), kPolicyNames[i], r.Share(), r.Share(0),
          r.Share(1), r.Share(2), r.restarts_, r.recognised_, r.disturbed_,
          r.RunsUntilRecognised(), r.healthy_taken_for_slow_);
    }
    AddGoals(scenario, results, &goals);
  }
  std::printf(
      "all, short, middle, long: share of the tasks that end in time, by kind. "
      "recognised, in runs:\nworkers found to be 4.5 times slower, and the "
      "runs "
      "that they started until then. falsely: times\nthat a healthy worker "
      "counted as slow.\n");
  const bool met = PrintGoals(goals);
  return check && !met ? 1 : 0;
}

}  // namespace
}  // namespace gentiandeal::bench

int main(int argc, char** argv) {
  try {
    return gentiandeal::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_speed: %s\n", error.what());
    return 2;
  }
}
