#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench_run.h"

/// Measures the decisions of entry instances on a virtual clock: response over
/// ideal and wasted messages, beside simple policies and an omniscient bound
/// in the same run. Exits with 1 when `--check` finds a goal missed.
namespace gentiandeal::bench {
namespace {

struct Options {
  Site site_;
  uint64_t seed_ = 1;
  int64_t length_s_ = 120;
  Declared declared_ = Declared::kOff;
  bool json_ = false;
  bool check_ = false;
};

/// One line of the table.
struct Row {
  std::string scenario_;
  std::string policy_;
  Result result_;
};

/// A bound on one figure of a run.
struct Goal {
  std::string name_;
  double measured_ = 0;
  double bound_ = 0;
  bool at_most_ = true;
  bool met() const {
    return at_most_ ? measured_ <= bound_ : measured_ >= bound_;
  }
};

constexpr char kOurs[] = "gentiandeal";
constexpr char kBound[] = "omniscient";

/// Runs every scenario with every policy and keeps the rows.
class Suite {
 public:
  explicit Suite(const Options& options) : options_(options) {}

  void RunAll() {
    for (const uint32_t tasks : {1U, 20U, 260U}) {
      for (const double utilisation : {0.3, 0.6, 0.8, 0.95}) {
        Load load = BaseLoad(tasks);
        load.utilisation_ = utilisation;
        RunScenario(Name(tasks, utilisation), load, options_.site_);
      }
    }
    RunMixed();
    RunBurst();
    RunFaults();
  }

  const std::vector<Row>& rows() const { return rows_; }

  std::vector<Goal> Goals() const {
    std::vector<Goal> goals;
    const auto ours = [this](const std::string& scenario) -> const Result& {
      return Find(scenario, kOurs);
    };
    goals.push_back(
        {"single tasks at 60 %, p50", ours(Name(1, 0.6)).Quantile(0.5), 1.05});
    goals.push_back(
        {"single tasks at 80 %, p99", ours(Name(1, 0.8)).Quantile(0.99), 1.5});
    for (const uint32_t tasks : {20U, 260U}) {
      goals.push_back({"jobs of " + std::to_string(tasks) + " at 60 %, p50",
                       ours(Name(tasks, 0.6)).Quantile(0.5), 1.15});
    }
    double wasted = 0;
    for (const Row& row : rows_) {
      const bool faulty = row.scenario_ == kFailing;
      if (row.policy_ == kOurs && !faulty) {
        wasted = std::max(wasted, row.result_.Wasted());
      }
    }
    goals.push_back({"wasted without faults, worst", wasted, 0.02});
    goals.push_back(
        {"wasted, one of 12 workers failing", ours(kFailing).Wasted(), 0.1});
    const Result& burst = ours(kBurst);
    goals.push_back(
        {"goodput in a 3x burst over the best", Goodput(), 0.9, false});
    goals.push_back({"slowest refusal in a 3x burst, ms",
                     static_cast<double>(burst.slowest_refusal_) / kMilli, 50});
    return goals;
  }

 private:
  static constexpr char kBurst[] = "1-task burst 3x";
  static constexpr char kFailing[] = "1-task 60% 1 failing";
  static constexpr char kStraggler[] = "1-task 60% 1 straggler";

  static std::string Name(uint32_t tasks, double utilisation) {
    return std::to_string(tasks) + "-task " +
           std::to_string(std::lround(utilisation * 100)) + "%";
  }

  /// Large jobs are few, so their runs are longer.
  static int64_t LengthFactor(uint32_t tasks) {
    if (tasks >= 260) return 20;
    return tasks >= 20 ? 4 : 1;
  }

  Load BaseLoad(uint32_t tasks) const {
    Load load;
    load.tasks_per_job_ = tasks;
    load.length_ = options_.length_s_ * LengthFactor(tasks) * kSecond;
    load.declared_ = options_.declared_;
    return load;
  }

  void RunMixed() {
    Load load = BaseLoad(1);
    load.length_ = load.length_ * LengthFactor(20);
    load.large_tasks_ = 260;
    load.utilisation_ = 0.8;
    RunScenario("1- and 260-task 80%", load, options_.site_);
  }

  void RunBurst() {
    Load load = BaseLoad(1);
    load.utilisation_ = 0.6;
    load.burst_ = 3;
    load.deadline_ = {3000};
    RunScenario(kBurst, load, options_.site_);
  }

  void RunFaults() {
    Load load = BaseLoad(1);
    Site site = options_.site_;
    site.failing_ = 1;
    RunScenario(kFailing, load, site);
    site = options_.site_;
    site.stragglers_ = 1;
    RunScenario(kStraggler, load, site);
  }

  void RunScenario(const std::string& name, const Load& load,
                   const Site& site) {
    const std::vector<Arrival> arrivals =
        Arrivals(load, site.instances_, site.total_slots(), options_.seed_)
            .Draw();
    Site central = site;
    central.instances_ = 1;
    Add<WholeDispatcher>(name, kOurs, site, arrivals);
    Add<SendAtOnce<RandomChoice>>(name, "random", site, arrivals);
    Add<SendAtOnce<RoundRobin>>(name, "round-robin", site, arrivals);
    Add<SendAtOnce<LeastOutstanding>>(name, "least-outstanding", site,
                                      arrivals);
    Add<DecisionParts<Knowledge::kTrue>>(name, kBound, central, arrivals);
  }

  template <Instance T>
  void Add(const std::string& scenario, const std::string& policy,
           const Site& site, const std::vector<Arrival>& arrivals) {
    rows_.push_back(
        {scenario, policy, Run<T>(site, arrivals, options_.seed_).Finish()});
  }

  const Result& Find(const std::string& scenario,
                     const std::string& policy) const {
    const auto it = std::find_if(rows_.begin(), rows_.end(), [&](const Row& r) {
      return r.scenario_ == scenario && r.policy_ == policy;
    });
    return it->result_;
  }

  double Goodput() const {
    uint64_t best = 1;
    for (const Row& row : rows_) {
      if (row.scenario_ == kBurst) {
        best = std::max(best, row.result_.in_time_in_burst_);
      }
    }
    return static_cast<double>(Find(kBurst, kOurs).in_time_in_burst_) /
           static_cast<double>(best);
  }

  Options options_;
  std::vector<Row> rows_;
};

nlohmann::json ToJson(const Row& row) {
  const Result& r = row.result_;
  return {{"scenario", row.scenario_},
          {"policy", row.policy_},
          {"jobs", r.jobs_},
          {"p50", r.Quantile(0.5)},
          {"p99", r.Quantile(0.99)},
          {"worst", r.Quantile(1)},
          {"failed", r.failed_},
          {"refused", r.refused_},
          {"refused_late", r.refused_late_},
          {"slowest_refusal_ms", r.slowest_refusal_ / kMilli},
          {"in_time_in_burst", r.in_time_in_burst_},
          {"unused_starts", r.PerUsefulStart(r.starts_ - r.useful_starts_)},
          {"forwards", r.PerUsefulStart(r.forwards_)},
          {"queued_at_workers", r.PerUsefulStart(r.queued_at_workers_)},
          {"reports", r.PerUsefulStart(r.reports_)}};
}

void PrintTable(const std::vector<Row>& rows) {
  std::printf("%-22s %-18s %6s %6s %6s %6s %6s %6s %6s %7s %7s %7s %7s\n",
              "scenario", "policy", "jobs", "p50", "p99", "worst", "failed",
              "refuse", "late", "in-time", "unused", "waited", "reports");
  for (const Row& row : rows) {
    const Result& r = row.result_;
    std::printf(
        "%-22s %-18s %6lu %6.3f %6.3f %6.2f %6lu %6lu %6lu %7lu %7.4f %7.4f "
        "%7.4f\n",
        row.scenario_.c_str(), row.policy_.c_str(), r.jobs_, r.Quantile(0.5),
        r.Quantile(0.99), r.Quantile(1), r.failed_, r.refused_, r.refused_late_,
        r.in_time_in_burst_, r.PerUsefulStart(r.starts_ - r.useful_starts_),
        r.PerUsefulStart(r.queued_at_workers_), r.PerUsefulStart(r.reports_));
  }
  std::printf(
      "p50, p99, worst: response over ideal of complete jobs. late: refused "
      "after over 50 ms. unused, waited, "
      "reports: for each\nuseful start, tasks whose answer did not count, "
      "tasks that found their worker full, load\nreports. in-time: jobs of "
      "the burst complete by their deadline.\n");
}

bool PrintGoals(const std::vector<Goal>& goals) {
  bool all = true;
  for (const Goal& goal : goals) {
    std::printf("%-6s %-40s %8.3f, goal %s %.3f\n",
                goal.met() ? "met" : "MISSED", goal.name_.c_str(),
                goal.measured_, goal.at_most_ ? "<=" : ">=", goal.bound_);
    all = all && goal.met();
  }
  return all;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  uint32_t report_ms = 50;
  std::string declared = "off";
  po::options_description words("bench_decisions");
  auto add = words.add_options();
  add("help", "print this text");
  add("json", po::bool_switch(&options.json_), "print JSON");
  add("check", po::bool_switch(&options.check_), "exit with 1 on a miss");
  add("seed", po::value(&options.seed_), "seed of arrivals and choices");
  add("seconds", po::value(&options.length_s_), "virtual length of a run");
  add("instances", po::value(&options.site_.instances_), "entry instances");
  add("workers", po::value(&options.site_.workers_), "workers of 8 slots");
  add("declared", po::value(&declared), "declared times: none, exact or off");
  add("report-ms", po::value(&report_ms), "interval of load reports");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, words), given);
  po::notify(given);
  if (given.count("help") > 0) {
    std::cout << words;
    return 0;
  }
  if (declared == "none") options.declared_ = Declared::kNone;
  if (declared == "exact") options.declared_ = Declared::kExact;
  options.site_.report_interval_ = report_ms * kMilli;
  Suite suite(options);
  suite.RunAll();
  if (options.json_) {
    nlohmann::json rows = nlohmann::json::array();
    for (const Row& row : suite.rows()) rows.push_back(ToJson(row));
    std::cout << rows.dump(1) << "\n";
  } else {
    PrintTable(suite.rows());
  }
  const bool met = options.json_ || PrintGoals(suite.Goals());
  return options.check_ && !met ? 1 : 0;
}

}  // namespace
}  // namespace gentiandeal::bench

int main(int argc, char** argv) {
  try {
    return gentiandeal::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_decisions: %s\n", error.what());
    return 2;
  }
}
