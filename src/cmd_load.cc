#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line.h"
#include "job_json.h"
#include "traffic_run.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr double kMaxSeconds = 600;
constexpr double kMaxJobsPerSecond = 20000;
/// A run whose sender is later than this measures the sender.
constexpr double kMaxSentLateMs = 50;

struct LoadOptions {
  TargetOptions targets_;
  std::string mix_ = "armor";
  double rate_ = 0;
  double load_percent_ = 0;
  int64_t deadline_ms_ = 0;
  int64_t timeout_ms_ = 60000;
  bool json_ = false;
  TrafficTarget target_;
  TrafficOptions traffic_;
};

/// Messages that ran no useful task, by their counter.
constexpr const char* kWastedCounters[] = {
    "answers_unused",          "dispatches_refused",
    "connects_failed",         "task_retries",
    "duplicates_joined",       "forwards_to_owner",
    "forwards_to_data_centre",
};

bool IsControl(const std::string& counter) {
  return counter == "datagrams_sent" || counter == "platform_gets" ||
         counter == "platform_lists" || counter == "platform_swaps" ||
         counter == "platform_watches";
}

double Percentile(std::vector<double>* values, double percent) {
  if (values->empty()) return 0;
  std::sort(values->begin(), values->end());
  const double rank =
      std::ceil(percent / 100 * static_cast<double>(values->size()));
  const auto index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return (*values)[std::min(index, values->size() - 1)];
}

double Round(double value) {
  constexpr double kScale = 1000;
  return std::round(value * kScale) / kScale;
}

Json Spread(std::vector<double> values) {
  Json spread;
  spread["p50"] = Round(Percentile(&values, 50));
  spread["p99"] = Round(Percentile(&values, 99));
  spread["worst"] = Round(Percentile(&values, 100));
  return spread;
}

Json Wasted(const TrafficResult& result, double useful, uint32_t sent_again) {
  Json wasted;
  const auto per_start = [useful](double count) {
    return Round(useful > 0 ? count / useful : 0);
  };
  for (const auto& [name, value] : result.counters_) {
    const bool counted =
        IsControl(name) ||
        std::find(std::begin(kWastedCounters), std::end(kWastedCounters),
                  name) != std::end(kWastedCounters);
    if (counted) wasted[name] = per_start(static_cast<double>(value));
  }
  wasted["submissions_sent_again"] = per_start(sent_again);
  return wasted;
}

/// Sums a run up in the measures of the project.
Json Report(const LoadOptions& options, const TrafficResult& result) {
  std::vector<double> ratios;
  std::vector<double> responses;
  std::vector<double> refused;
  std::vector<double> late;
  Json outcomes = Json::object();
  double useful = 0;
  uint32_t sent_again = 0;
  for (const JobResult& job : result.jobs_) {
    late.push_back(job.sent_late_ms_);
    sent_again += job.sends_ - 1;
    std::string name(job.answered_ ? Name(job.outcome_) : "unanswered");
    if (!job.error_.empty()) name += " " + job.error_;
    outcomes[name] = outcomes.value(name, 0) + 1;
    if (!job.answered_) continue;
    if (job.outcome_ == Outcome::kNotRun) refused.push_back(job.response_ms_);
    if (job.outcome_ != Outcome::kComplete) continue;
    useful += job.tasks_;
    ratios.push_back(job.response_ms_ / job.ideal_ms_);
    responses.push_back(job.response_ms_);
  }
  Json report;
  report["mix"] = options.traffic_.mix_->name_;
  report["seed"] = options.traffic_.seed_;
  report["jobs"] = result.jobs_.size();
  report["jobs_per_second"] = Round(options.traffic_.jobs_per_second_);
  report["seconds"] = Round(result.elapsed_ms_ / 1000);
  report["slots"] = result.slots_;
  report["round_trip_ms"] = Round(result.round_trip_ms_);
  report["outcomes"] = outcomes;
  report["response_over_ideal"] = Spread(ratios);
  report["response_ms"] = Spread(responses);
  report["refused_within_ms"] = Spread(refused);
  report["useful_starts"] = useful;
  const auto starts = result.counters_.find("task_starts");
  report["starts"] = starts == result.counters_.end() ? 0 : starts->second;
  report["wasted_per_useful_start"] = Wasted(result, useful, sent_again);
  report["sent_late_ms"] = Spread(late);
  return report;
}

std::string Text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void PrintReport(const Json& report) {
  for (const auto& [name, value] : report.items()) {
    if (!value.is_object()) {
      std::printf("%-26s %s\n", name.c_str(), Text(value).c_str());
      continue;
    }
    std::printf("%s\n", name.c_str());
    for (const auto& [key, inner] : value.items()) {
      std::printf("  %-24s %s\n", key.c_str(), Text(inner).c_str());
    }
  }
}

/// @returns an error text, empty when the options hold.
std::string CheckOptions(const LoadOptions& options) {
  const TrafficOptions& traffic = options.traffic_;
  if (traffic.mix_ == nullptr) {
    return "--mix is armor, salvavidas, single, job-20 or job-260";
  }
  if ((options.rate_ > 0) == (options.load_percent_ > 0)) {
    return "give either --rate or --load";
  }
  if (traffic.seconds_ <= 0 || traffic.seconds_ > kMaxSeconds) {
    return "--seconds is above 0 and at most 600";
  }
  if (options.rate_ > kMaxJobsPerSecond || traffic.run_scale_ <= 0 ||
      traffic.burst_factor_ <= 0) {
    return "--rate is at most 20000; --run-scale and --burst are above 0";
  }
  return {};
}

po::options_description Describe(LoadOptions* options) {
  po::options_description all(
      "gentiandeal load --to IP:PORT [OPTIONS]\n"
      "Sends made-up jobs to entry instances for a bounded time and prints\n"
      "how they were answered (docs/operators/load-tool.md)");
  TrafficOptions& traffic = options->traffic_;
  traffic.seconds_ = 10;
  AddTargetOptions(&all, &options->targets_);
  auto add = all.add_options();
  add("mix", po::value(&options->mix_),
      "armor, salvavidas, single, job-20 or job-260");
  add("rate", po::value(&options->rate_), "jobs a second");
  add("load", po::value(&options->load_percent_),
      "percent of all slots to ask for, in place of --rate");
  add("seconds", po::value(&traffic.seconds_),
      "length of the run, at most 600");
  add("count", po::value(&traffic.count_), "jobs at most");
  add("seed", po::value(&traffic.seed_), "the same seed repeats the same plan");
  add("run-scale", po::value(&traffic.run_scale_), "factor on run times");
  add("burst", po::value(&traffic.burst_factor_),
      "factor on the rate during a burst");
  add("burst-at", po::value(&traffic.burst_at_seconds_),
      "start of the burst, in seconds");
  add("burst-seconds", po::value(&traffic.burst_seconds_),
      "length of the burst");
  add("slots", po::value(&options->target_.slots_),
      "slots behind the targets; the largest list of a target when absent");
  add("team", po::value(&options->target_.team_), "team to submit under");
  add("deadline-ms", po::value(&options->deadline_ms_), "deadline of each job");
  add("timeout-ms", po::value(&options->timeout_ms_),
      "longest wait for one answer");
  add("json", po::bool_switch(&options->json_), "print JSON");
  return all;
}

}  // namespace

int RunLoad(const Words& words) {
  LoadOptions options;
  const po::options_description all = Describe(&options);
  if (const auto end = ReadWords(words, "load", all)) return *end;
  TrafficOptions& traffic = options.traffic_;
  traffic.mix_ = FindMix(options.mix_);
  const std::string fault = CheckOptions(options);
  if (!fault.empty()) return UsageError("load", fault);
  TrafficTarget& target = options.target_;
  if (const auto end =
          ReadTargets(options.targets_, "load", &target.addresses_)) {
    return *end;
  }
  target.deadline_ = {options.deadline_ms_};
  target.timeout_ = {options.timeout_ms_};
  TrafficRun run(target);
  if (!run.Prepare()) {
    std::cerr << "gentiandeal load: a target does not answer: check --to\n";
    return kExitUnavailable;
  }
  traffic.jobs_per_second_ = options.rate_;
  if (options.load_percent_ > 0) {
    traffic.jobs_per_second_ = options.load_percent_ / 100 * run.slots() *
                               1000 /
                               MeanWorkMs(*traffic.mix_, traffic.run_scale_);
  }
  if (traffic.jobs_per_second_ <= 0) {
    return UsageError("load", "targets list no workers: give --slots");
  }
  const TrafficResult result = run.Run(PlanTraffic(traffic));
  const Json report = Report(options, result);
  if (options.json_) {
    std::cout << report.dump() << std::endl;
  } else {
    PrintReport(report);
  }
  const double late_ms = report["sent_late_ms"]["p99"].get<double>();
  if (late_ms <= kMaxSentLateMs) return kExitOk;
  std::cerr << "gentiandeal load: jobs were sent up to " << late_ms
            << " ms late (p99): lower the rate\n";
  return kExitFailed;
}

}  // namespace gentiandeal
