#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>

#include "fleet_model.h"
#include "omniscient.h"

/// Measures decisions under shortage: fleets of the real coordinators and
/// schedulers on a simulated clock, through an overload and the time after it,
/// beside an omniscient scheduler on the same workers and arrivals. Exits with
/// 1 when `--check` finds a goal missed.
namespace gentiandeal::bench {
namespace {

constexpr Duration kOverloadFrom{1500};
constexpr Duration kOverloadUntil{3500};
constexpr Duration kLength{6500};
/// Full service is due by then after the end of the overload.
constexpr Duration kRecovery{2000};
/// Part of the time in which the service is listed.
constexpr Duration kSlot{500};
constexpr double kFullWorkers = 350;
/// Demand over the capacity that is left, in a shortage.
constexpr double kShortage = 2;

struct Scenario {
  std::string name_;
  LoadedFleet fleet_;
  std::vector<LoadedJobs> kinds_;
  uint64_t runs_ = 1;  ///< Of other seeds each: small fleets have few jobs.
};

/// Fleet of so many instances, with workers in proportion to the 350 of a whole
/// deployment.
LoadedFleet FleetOf(size_t instances, size_t whole) {
  LoadedFleet fleet;
  fleet.data_centres_ = instances < 6 ? 1 : 3;
  fleet.large_instances_ =
      std::max(std::min<size_t>(6, instances), instances / 5);
  fleet.small_instances_ = instances - fleet.large_instances_;
  fleet.workers_ = static_cast<size_t>(
      std::lround(kFullWorkers * static_cast<double>(instances) /
                  static_cast<double>(whole)));
  fleet.declared_objectives_ = true;
  Overload& overload = fleet.overload_;
  overload.from_ = kOverloadFrom;
  overload.until_ = kOverloadUntil;
  overload.burst_kind_ = 1;
  overload.burst_ = 2.2;
  overload.slow_share_ = 0.2;
  overload.slow_factor_ = 4.5;
  overload.silent_share_ = 0.1;
  return fleet;
}

/// Raises all arrivals in the overload so far that demand is `kShortage` times
/// the capacity that is left.
void RaiseToShortage(Scenario* scenario) {
  LoadedFleet& fleet = scenario->fleet_;
  Overload& overload = fleet.overload_;
  const auto mean = [](const auto& values) {
    double sum = 0;
    for (const auto value : values) sum += static_cast<double>(value);
    return sum / static_cast<double>(values.size());
  };
  const double capacity =
      static_cast<double>(fleet.workers_) * mean(fleet.worker_cpu_milli_) *
      mean(fleet.speeds_) *
      (1 - overload.silent_share_ -
       overload.slow_share_ * (1 - 1 / overload.slow_factor_));
  double demand = 0;
  for (size_t i = 0; i < scenario->kinds_.size(); ++i) {
    const LoadedJobs& kind = scenario->kinds_[i];
    demand += kind.per_s_ * kind.tasks_ * kind.run_ms_ / 1000 *
              kind.cpu_milli_ * (1 + 6 * fleet.long_runs_) *
              (i == overload.burst_kind_ ? overload.burst_ : 1);
  }
  overload.surge_ = kShortage * capacity / demand;
}

void Scale(Scenario* scenario) {
  for (LoadedJobs& kind : scenario->kinds_) {
    kind.per_s_ *=
        static_cast<double>(scenario->fleet_.workers_) / kFullWorkers;
  }
}

Scenario DeploymentA(const std::string& name, size_t instances) {
  Scenario scenario{name, FleetOf(instances, 30), {}};
  scenario.fleet_.worker_cpu_milli_ = {16000, 24000};
  scenario.fleet_.speeds_ = {0.8, 1, 1.25};
  scenario.kinds_ = {{"wide", 206, 8, 60, 8000, 12000, 0},
                     {"narrow", 600, 2, 200, 8000, 16000, 1},
                     {"long", 37.5, 4, 900, 8000, 16000, 2}};
  Scale(&scenario);
  return scenario;
}

Scenario DeploymentB(const std::string& name) {
  Scenario scenario{name, FleetOf(37, 37), {}};
  LoadedFleet& fleet = scenario.fleet_;
  fleet.worker_cpu_milli_ = {32000, 48000};
  fleet.speeds_ = {0.6, 1, 1.6};
  // The first data centre asks for 1.03 times what it holds, long runs counted.
  fleet.demand_ = {0.76, 0.12, 0.12};
  fleet.wave_ = 0.55;
  fleet.long_runs_ = 0.03;
  scenario.kinds_ = {{"wide", 181, 8, 51, 16000, 24000, 0},
                     {"narrow", 529, 2, 170, 16000, 32000, 1},
                     {"long", 33, 4, 760, 16000, 32000, 2}};
  Scale(&scenario);
  return scenario;
}

std::vector<Scenario> AllScenarios(bool quick) {
  std::vector<Scenario> all = {DeploymentA("a-2", 2), DeploymentA("a-6", 6)};
  all[0].runs_ = 10;
  all[1].runs_ = 4;
  if (!quick) {
    all.push_back(DeploymentA("a-30", 30));
    all.push_back(DeploymentB("b-37"));
  }
  for (Scenario& scenario : all) RaiseToShortage(&scenario);
  // A burst of one queue and the troubles of workers alone.
  if (!quick) all.push_back(DeploymentA("a-30-burst", 30));
  return all;
}

constexpr auto kAll = [](const LoadedJob&) { return true; };

template <typename Part, typename Whole>
double Share(Part part, Whole whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(last * share))];
}

/// Sums over some of the jobs.
struct Summary {
  uint64_t jobs_ = 0;
  uint64_t in_time_ = 0;
  uint64_t late_ = 0;
  uint64_t refused_ = 0;
  /// Ended with neither an answer nor a refusal although nothing ran.
  uint64_t unanswered_ = 0;
  uint64_t starts_ = 0;
  uint64_t wasted_starts_ = 0;  ///< For jobs that didn't complete.
  uint64_t assigned_ = 0;
  uint64_t returned_ = 0;
  uint64_t reassigned_ = 0;
  std::vector<double> refusal_ms_;
  std::vector<std::pair<int32_t, bool>> sizes_;  ///< And whether in time.

  void Add(const LoadedJob& job) {
    ++jobs_;
    in_time_ += job.in_time() ? 1 : 0;
    late_ += job.late() ? 1 : 0;
    refused_ += job.refused() ? 1 : 0;
    if (!job.complete() && !job.refused() && !job.ran_) ++unanswered_;
    starts_ += job.starts_;
    if (!job.complete()) wasted_starts_ += job.starts_;
    assigned_ += job.assigned_;
    returned_ += job.returned_;
    reassigned_ += job.reassigned_;
    if (job.refused()) {
      refusal_ms_.push_back(static_cast<double>(job.Took() - kCallerPath) /
                            1000);
    }
    sizes_.emplace_back(job.cpu_milli_, job.in_time());
  }

  double InTime() const { return Share(in_time_, jobs_); }
  /// A late answer counts a fifth, as it does to the users.
  double Goodput() const {
    return static_cast<double>(in_time_) + 0.2 * static_cast<double>(late_);
  }
  /// Share in time of the tenth with the largest tasks over that of all.
  double LargestTenth() const {
    auto sizes = sizes_;
    std::sort(sizes.rbegin(), sizes.rend());
    const size_t tenth = sizes.size() / 10;
    const auto end = sizes.begin() + static_cast<std::ptrdiff_t>(tenth);
    const auto in_time = std::count_if(
        sizes.begin(), end, [](const auto& one) { return one.second; });
    return Share(Share(in_time, tenth), InTime());
  }
};

template <typename Predicate>
Summary SumOf(const std::vector<LoadedJob>& jobs, const Predicate& matches) {
  Summary sum;
  for (const LoadedJob& job : jobs) {
    if (matches(job)) sum.Add(job);
  }
  return sum;
}

/// Time of arrival since the first one.
Duration Since(const LoadedJob& job) {
  return {(job.arrived_ - FleetModel::FirstArrival()) / 1000};
}

/// Processor time of an owner of 60 workers for each start while so many tasks
/// wait: ends of runs, starts and assignments. In microseconds.
class QueueCost {
 public:
  explicit QueueCost(size_t waiting) : waiting_(waiting) {
    for (size_t i = 0; i < kWorkers; ++i) {
      LeasedWorker worker;
      worker.id_.value_ = std::to_string(i);
      worker.pool_ = "pool";
      worker.capacity_ = {i % 3 == 2 ? 24000 : 16000, 131072, 0};
      worker.started_ms_ = 1;
      scheduler_.Acquire(worker, {i + 1}, now_, &out_);
    }
    // Longer than it takes to confirm that earlier owners' runs have ended.
    for (int i = 0; i < 200; ++i) Step(false);
  }

  double Measure() {
    for (uint64_t i = 0; i < kEvents / 2; ++i) Step(true);
    const uint64_t starts = scheduler_.stats().starts_;
    timespec begin{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    for (uint64_t i = 0; i < kEvents; ++i) Step(true);
    timespec end{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    const double took_us =
        static_cast<double>(end.tv_sec - begin.tv_sec) * 1e6 +
        static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e3;
    return Share(took_us, scheduler_.stats().starts_ - starts);
  }

 private:
  static constexpr size_t kWorkers = 60;
  static constexpr uint64_t kEvents = 300;

  struct OwnRun {
    std::string task_;
    uint32_t number_ = 0;
  };
  struct OwnWorker {
    std::deque<OwnRun> runs_;
    std::optional<PollWorker> poll_;
    uint64_t last_end_ = 0;
  };

  /// A millisecond: assigns up to the wanted queue, and ends one run.
  void Step(bool loaded) {
    now_.ms_ += loaded ? 1 : 10;
    if (!loaded) scheduler_.Tick(now_, &out_);
    while (loaded && scheduler_.waiting() < waiting_) Assign();
    Carry();
    for (OwnWorker& worker : workers_) {
      if (!loaded && worker.poll_) AnswerPending(&worker, {});
    }
    for (size_t tries = 0; loaded && tries < kWorkers; ++tries) {
      OwnWorker& worker = workers_[++turn_ % kWorkers];
      if (worker.runs_.empty() || !worker.poll_) continue;
      const OwnRun over = worker.runs_.front();
      worker.runs_.pop_front();
      AnswerPending(&worker, {{++worker.last_end_, over.task_, over.number_,
                               RunEnd::kDone}});
      break;
    }
    Carry();
  }

  void Assign() {
    AssignTasks assign;
    assign.name_ = "job" + std::to_string(++last_task_);
    assign.pool_ = "pool";
    assign.need_ = {static_cast<int32_t>(6400 + last_task_ * 37 % 3200), 64, 0};
    assign.expected_run_time_ = {200};
    assign.start_within_ = {static_cast<int64_t>(60000 + last_task_ * 13 % 97)};
    assign.give_up_after_ = {120000};
    assign.tasks_ = {{{last_task_}, 0, {}}};
    scheduler_.On(kLocalSession, assign, now_, &out_);
  }

  void AnswerPending(OwnWorker* worker, std::vector<FinishedRun> finished) {
    const PollWorker poll = *std::exchange(worker->poll_, std::nullopt);
    Answer(*worker, poll, std::move(finished));
  }

  void Answer(const OwnWorker& worker, const PollWorker& poll,
              std::vector<FinishedRun> finished) {
    PollEnded ended;
    ended.call_ = poll.call_;
    ended.result_ = PollResult::kListed;
    ended.clock_ms_ = now_.ms_;
    ended.started_ms_ = 1;
    for (const OwnRun& run : worker.runs_) {
      ended.running_.push_back({run.task_, run.number_, 99});
    }
    ended.finished_ = std::move(finished);
    scheduler_.On(ended, now_, &out_);
  }

  void Carry() {
    while (!out_.empty()) {
      SchedulerOutbox commands;
      commands.swap(out_);
      for (const auto& command : commands) {
        if (const auto* start = std::get_if<StartRun>(&command)) {
          OwnWorker& worker = workers_[std::stoul(start->worker_->id_.value_)];
          worker.runs_.push_back({start->task_, start->run_});
          scheduler_.On(
              StartEnded{start->call_, StartResult::kStarted, now_.ms_}, now_,
              &out_);
        } else if (const auto* poll = std::get_if<PollWorker>(&command)) {
          OwnWorker& worker = workers_[std::stoul(poll->worker_->id_.value_)];
          if (poll->wait_.ms_ > 0) worker.poll_ = *poll;
          if (poll->wait_.ms_ == 0) Answer(worker, *poll, {});
        }
      }
    }
  }

  size_t waiting_;
  Time now_{10000};
  uint64_t last_task_ = 0;
  size_t turn_ = 0;
  WorkerScheduler scheduler_;
  SchedulerOutbox out_;
  std::vector<OwnWorker> workers_ = std::vector<OwnWorker>(kWorkers);
};

struct Row {
  Scenario scenario_;
  std::vector<LoadedJob> ours_;
  std::vector<LoadedJob> bound_;
  double scheduler_us_ = 0;    ///< For each start.
  double coordinator_us_ = 0;  ///< For each start.
  size_t most_waiting_ = 0;
};

Row Run(const Scenario& scenario, uint64_t seed) {
  Row row{scenario, {}, {}};
  std::chrono::nanoseconds scheduler{};
  std::chrono::nanoseconds coordinator{};
  for (uint64_t i = 0; i < scenario.runs_; ++i) {
    FleetModel fleet(scenario.fleet_, scenario.kinds_,
                     seed * scenario.runs_ + i);
    fleet.Play(kLength);
    const std::vector<LoadedJob>& ours = fleet.all_jobs();
    row.ours_.insert(row.ours_.end(), ours.begin(), ours.end());
    const std::vector<LoadedJob> bound =
        Omniscient(fleet, scenario.kinds_, scenario.fleet_.overload_).Run();
    row.bound_.insert(row.bound_.end(), bound.begin(), bound.end());
    scheduler += fleet.scheduler_time();
    coordinator += fleet.coordinator_time();
    row.most_waiting_ = std::max(row.most_waiting_, fleet.most_waiting());
  }
  const uint64_t starts = SumOf(row.ours_, kAll).starts_;
  row.scheduler_us_ = Share(scheduler.count(), starts * 1000);
  row.coordinator_us_ = Share(coordinator.count(), starts * 1000);
  return row;
}

auto InSlot(int64_t slot) {
  return [slot](const LoadedJob& job) {
    return Since(job).ms_ / kSlot.ms_ == slot;
  };
}

bool InOverload(const LoadedJob& job) {
  return Since(job) >= kOverloadFrom && Since(job) < kOverloadUntil;
}

auto InOverloadOf(size_t kind) {
  return [kind](const LoadedJob& job) {
    return InOverload(job) && job.kind_ == kind;
  };
}

/// A bound on one figure.
struct Goal {
  std::string name_;
  double measured_ = 0;
  double bound_ = 0;
  bool at_most_ = true;
  bool met() const {
    return at_most_ ? measured_ <= bound_ : measured_ >= bound_;
  }
};

void AddGoals(const Row& row, std::vector<Goal>* goals) {
  const std::string& name = row.scenario_.name_;
  const Summary all = SumOf(row.ours_, kAll);
  const Summary overload = SumOf(row.ours_, InOverload);
  goals->push_back(
      {name + " goodput over omniscient",
       Share(overload.Goodput(), SumOf(row.bound_, InOverload).Goodput()), 0.85,
       false});
  goals->push_back({name + " priority 0 over omniscient",
                    Share(SumOf(row.ours_, InOverloadOf(0)).Goodput(),
                          SumOf(row.bound_, InOverloadOf(0)).Goodput()),
                    0.85, false});
  goals->push_back({name + " starts for incomplete jobs",
                    Share(all.wasted_starts_, all.starts_), 0.03});
  goals->push_back(
      {name + " tasks returned", Share(all.returned_, all.assigned_), 0.02});
  goals->push_back(
      {name + " refusal p99, ms", Quantile(all.refusal_ms_, 0.99), 30});
  goals->push_back({name + " unanswered, nothing ran",
                    static_cast<double>(all.unanswered_), 0});
  // Full service is what the omniscient scheduler serves of the same jobs, but
  // for what two in a hundred random jobs may miss.
  const auto recovered = [](const LoadedJob& job) {
    return Since(job) >= kOverloadUntil + kRecovery;
  };
  goals->push_back({name + " service 2 s after overload",
                    Share(SumOf(row.ours_, recovered).InTime(),
                          SumOf(row.bound_, recovered).InTime()),
                    0.98, false});
}

nlohmann::json ToJson(const Summary& sum) {
  return {{"jobs", sum.jobs_},
          {"in_time", sum.in_time_},
          {"late", sum.late_},
          {"refused", sum.refused_},
          {"refusal_p50_ms", Quantile(sum.refusal_ms_, 0.5)},
          {"refusal_p99_ms", Quantile(sum.refusal_ms_, 0.99)},
          {"unanswered", sum.unanswered_},
          {"starts", sum.starts_},
          {"wasted_starts", sum.wasted_starts_},
          {"assigned", sum.assigned_},
          {"returned", sum.returned_},
          {"reassigned", sum.reassigned_},
          {"largest_tenth", sum.LargestTenth()}};
}

/// Summaries of the jobs of each kind that arrive during the overload, and of
/// all, and of all that arrive in each half second.
class Report {
 public:
  explicit Report(const Row& row) : row_(row) {}

  void Print() const {
    std::printf(
        "%s: %zu instances, %zu workers, arrivals x%.2f; %.1f us a "
        "start at owners, %.1f us at coordinators; at most %zu waiting "
        "at an owner\n",
        row_.scenario_.name_.c_str(),
        row_.scenario_.fleet_.large_instances_ +
            row_.scenario_.fleet_.small_instances_,
        row_.scenario_.fleet_.workers_, row_.scenario_.fleet_.overload_.surge_,
        row_.scheduler_us_, row_.coordinator_us_, row_.most_waiting_);
    std::printf("  %-8s %6s %7s %7s %6s %7s %7s %7s %6s %7s %6s %8s %8s %7s\n",
                "overload", "jobs", "in-time", "bound", "late", "refused",
                "p50", "p99", "unansw", "starts", "wasted", "returned",
                "reassign", "largest");
    for (size_t kind = 0; kind < row_.scenario_.kinds_.size(); ++kind) {
      PrintLine(row_.scenario_.kinds_[kind].name_,
                SumOf(row_.ours_, InOverloadOf(kind)),
                SumOf(row_.bound_, InOverloadOf(kind)));
    }
    PrintLine("all", SumOf(row_.ours_, InOverload),
              SumOf(row_.bound_, InOverload));
    std::printf("  in time by half second (ours/bound):");
    for (int64_t slot = 0; slot * kSlot.ms_ < kLength.ms_; ++slot) {
      const auto matches = InSlot(slot);
      std::printf(" %.2f/%.2f", SumOf(row_.ours_, matches).InTime(),
                  SumOf(row_.bound_, matches).InTime());
    }
    std::printf("\n");
  }

  nlohmann::json Json() const {
    nlohmann::json json = {{"scenario", row_.scenario_.name_},
                           {"scheduler_us_per_start", row_.scheduler_us_},
                           {"coordinator_us_per_start", row_.coordinator_us_},
                           {"most_waiting", row_.most_waiting_}};
    for (size_t kind = 0; kind < row_.scenario_.kinds_.size(); ++kind) {
      const auto all = [&](const auto& job) { return job.kind_ == kind; };
      json["kinds"][row_.scenario_.kinds_[kind].name_] = {
          {"all", ToJson(SumOf(row_.ours_, all))},
          {"overload", ToJson(SumOf(row_.ours_, InOverloadOf(kind)))},
          {"omniscient", ToJson(SumOf(row_.bound_, InOverloadOf(kind)))}};
    }
    for (int64_t slot = 0; slot * kSlot.ms_ < kLength.ms_; ++slot) {
      const auto matches = InSlot(slot);
      json["half_seconds"].push_back(
          {{"ours", ToJson(SumOf(row_.ours_, matches))},
           {"omniscient", ToJson(SumOf(row_.bound_, matches))}});
    }
    return json;
  }

 private:
  static void PrintLine(const std::string& name, const Summary& ours,
                        const Summary& bound) {
    std::printf(
        "  %-8s %6lu %7.3f %7.3f %6.3f %7.3f %7.1f %7.1f %6lu %7lu "
        "%6.3f %8.3f %8.3f %7.2f\n",
        name.c_str(), ours.jobs_, ours.InTime(), bound.InTime(),
        Share(ours.late_, ours.jobs_), Share(ours.refused_, ours.jobs_),
        Quantile(ours.refusal_ms_, 0.5), Quantile(ours.refusal_ms_, 0.99),
        ours.unanswered_, ours.starts_,
        Share(ours.wasted_starts_, ours.starts_),
        Share(ours.returned_, ours.assigned_),
        Share(ours.reassigned_, ours.assigned_), ours.LargestTenth());
  }

  const Row& row_;
};

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  bool check = false;
  bool json = false;
  bool quick = false;
  uint64_t seed = 1;
  std::string only;
  po::options_description words("bench_shortage");
  auto add = words.add_options();
  add("help", "print this text");
  add("json", po::bool_switch(&json), "print JSON");
  add("check", po::bool_switch(&check), "exit with 1 on a miss");
  add("quick", po::bool_switch(&quick), "only the small fleets");
  add("seed", po::value(&seed), "seed of arrivals and choices");
  add("scenario", po::value(&only),
      "only this one: a-2, a-6, a-30, b-37, a-30-burst or cost");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, words), given);
  po::notify(given);
  if (given.count("help") > 0) {
    std::cout << words;
    return 0;
  }
  std::vector<Goal> goals;
  nlohmann::json rows = nlohmann::json::array();
  bool found = false;
  for (const Scenario& scenario : AllScenarios(quick)) {
    if (!only.empty() && scenario.name_ != only) continue;
    found = true;
    const Row row = Run(scenario, seed);
    if (json) rows.push_back(Report(row).Json());
    if (!json) Report(row).Print();
    AddGoals(row, &goals);
  }
  if (only.empty() || only == "cost") {
    found = true;
    const double few = QueueCost(10).Measure();
    const double many = QueueCost(1000).Measure();
    if (json) {
      rows.push_back({{"scenario", "cost"},
                      {"us_per_start_10_waiting", few},
                      {"us_per_start_1000_waiting", many}});
    } else {
      std::printf("cost: %.1f us a start with 10 waiting, %.1f with 1,000\n",
                  few, many);
    }
    // The margin is for the noise of a shared machine.
    goals.push_back(
        {"cost of a start, 1,000 over 10 waiting", many / few, 1.25});
  }
  if (!found) throw std::invalid_argument("no scenario " + only);
  if (json) {
    std::cout << rows.dump(1) << "\n";
  } else {
    std::printf(
        "p50, p99: ms from the arrival of a request to its refusal. "
        "unansw: jobs that ended without\nan answer although nothing "
        "ran. wasted: of the starts, for jobs that did not complete.\n"
        "returned, reassign: of the tasks assigned. largest: in time, "
        "the largest tenth over all.\n");
  }
  bool met = true;
  for (const Goal& goal : goals) {
    met = met && goal.met();
    if (json) continue;
    std::printf("%-6s %-44s %9.3f, goal %s %.3f\n",
                goal.met() ? "met" : "MISSED", goal.name_.c_str(),
                goal.measured_, goal.at_most_ ? "<=" : ">=", goal.bound_);
  }
  return check && !met ? 1 : 0;
}

}  // namespace
}  // namespace gentiandeal::bench

int main(int argc, char** argv) {
  try {
    return gentiandeal::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_shortage: %s\n", error.what());
    return 2;
  }
}
