#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line.h"
#include "job_json.h"
#include "json_text.h"
#include "load_generator.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr double kMaxSeconds = 600;
constexpr double kMaxJobsPerSecond = 20000;
/// If jobs are sent later than this, the run measures the load tool itself.
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

/// Counters of messages that did not lead to a useful task start.
constexpr const char* kWastedCounters[] = {
    "answers_unused",          "dispatches_refused",
    "connects_failed",         "task_retries",
    "duplicates_joined",       "forwards_to_owner",
    "forwards_to_data_centre",
};

bool IsControlPlaneCounter(const std::string& counter) {
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

double RoundToThousandth(double value) {
  constexpr double kScale = 1000;
  return std::round(value * kScale) / kScale;
}

Json PercentilesOf(std::vector<double> values) {
  Json spread;
  spread["p50"] = RoundToThousandth(Percentile(&values, 50));
  spread["p99"] = RoundToThousandth(Percentile(&values, 99));
  spread["worst"] = RoundToThousandth(Percentile(&values, 100));
  return spread;
}

Json WastedPerUsefulStart(const TrafficResult& result, double useful,
                          uint32_t sent_again) {
  Json wasted;
  const auto per_start = [useful](double count) {
    return RoundToThousandth(useful > 0 ? count / useful : 0);
  };
  for (const auto& [name, value] : result.counters_) {
    const bool counted =
        IsControlPlaneCounter(name) ||
        std::find(std::begin(kWastedCounters), std::end(kWastedCounters),
                  name) != std::end(kWastedCounters);
    if (counted) wasted[name] = per_start(static_cast<double>(value));
  }
  wasted["submissions_sent_again"] = per_start(sent_again);
  return wasted;
}

/// Computes the report of a run.
Json MakeReport(const LoadOptions& options, const TrafficResult& result) {
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
  report["jobs_per_second"] =
      RoundToThousandth(options.traffic_.jobs_per_second_);
  report["seconds"] = RoundToThousandth(result.elapsed_ms_ / 1000);
  report["slots"] = result.slots_;
  report["round_trip_ms"] = RoundToThousandth(result.round_trip_ms_);
  report["outcomes"] = outcomes;
  report["response_over_ideal"] = PercentilesOf(ratios);
  report["response_ms"] = PercentilesOf(responses);
  report["refused_within_ms"] = PercentilesOf(refused);
  report["useful_starts"] = useful;
  const auto starts = result.counters_.find("task_starts");
  report["starts"] = starts == result.counters_.end() ? 0 : starts->second;
  report["wasted_per_useful_start"] =
      WastedPerUsefulStart(result, useful, sent_again);
  report["sent_late_ms"] = PercentilesOf(late);
  return report;
}

std::string ToText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : ToJsonText(value);
}

void PrintReport(const Json& report) {
  for (const auto& [name, value] : report.items()) {
    if (!value.is_object()) {
      std::printf("%-26s %s\n", name.c_str(), ToText(value).c_str());
      continue;
    }
    std::printf("%s\n", name.c_str());
    for (const auto& [key, inner] : value.items()) {
      std::printf("  %-24s %s\n", key.c_str(), ToText(inner).c_str());
    }
  }
}

/// @returns an error message, empty when the options are valid.
std::string CheckOptions(const LoadOptions& options) {
  const TrafficOptions& traffic = options.traffic_;
  if (traffic.mix_ == nullptr) {
    return "--mix must be armor, salvavidas, single, job-20 or job-260";
  }
  if ((options.rate_ > 0) == (options.load_percent_ > 0)) {
    return "exactly one of --rate and --load is required";
  }
  if (traffic.duration_seconds_ <= 0 ||
      traffic.duration_seconds_ > kMaxSeconds) {
    return "--seconds must be above 0 and at most 600";
  }
  if (options.rate_ > kMaxJobsPerSecond || traffic.run_time_scale_ <= 0 ||
      traffic.burst_factor_ <= 0) {
    return "--rate must be at most 20000; --run-scale and --burst must be "
           "above 0";
  }
  return {};
}

po::options_description Describe(LoadOptions* options) {
  po::options_description all(
      "gentiandeal load --to IP:PORT [OPTIONS]\n"
      "Sends synthetic jobs to entry instances for a limited time and prints\n"
      "outcomes and response times (docs/operators/load-tool.md)");
  TrafficOptions& traffic = options->traffic_;
  traffic.duration_seconds_ = 10;
  AddTargetOptions(&all, &options->targets_);
  auto add = all.add_options();
  add("mix", po::value(&options->mix_),
      "armor, salvavidas, single, job-20 or job-260");
  add("rate", po::value(&options->rate_), "jobs per second");
  add("load", po::value(&options->load_percent_),
      "load in percent of all slots, instead of --rate");
  add("seconds", po::value(&traffic.duration_seconds_),
      "duration of the run in seconds, at most 600");
  add("count", po::value(&traffic.max_jobs_), "maximum number of jobs");
  add("seed", po::value(&traffic.seed_), "the same seed repeats the same plan");
  add("run-scale", po::value(&traffic.run_time_scale_), "factor on run times");
  add("burst", po::value(&traffic.burst_factor_),
      "factor on the rate during a burst");
  add("burst-at", po::value(&traffic.burst_start_seconds_),
      "start of the burst, in seconds");
  add("burst-seconds", po::value(&traffic.burst_seconds_),
      "duration of the burst, in seconds");
  add("slots", po::value(&options->target_.slots_),
      "slots behind the targets; by default the most that a target lists");
  add("team", po::value(&options->target_.team_), "team to submit under");
  add("deadline-ms", po::value(&options->deadline_ms_),
      "deadline of each job, in milliseconds");
  add("timeout-ms", po::value(&options->timeout_ms_),
      "timeout of one request, in milliseconds");
  add("json", po::bool_switch(&options->json_), "print JSON");
  return all;
}

}  // namespace

int RunLoad(const Arguments& words) {
  LoadOptions options;
  const po::options_description all = Describe(&options);
  if (const auto end = ParseArguments(words, "load", all)) return *end;
  TrafficOptions& traffic = options.traffic_;
  traffic.mix_ = FindMix(options.mix_);
  const std::string message = CheckOptions(options);
  if (!message.empty()) return PrintUsageError("load", message);
  TrafficTarget& target = options.target_;
  if (const auto end =
          ReadTargets(options.targets_, "load", &target.addresses_)) {
    return *end;
  }
  target.deadline_ = {options.deadline_ms_};
  target.timeout_ = {options.timeout_ms_};
  LoadGenerator generator(target);
  if (!generator.Prepare()) {
    std::cerr << "gentiandeal load: a target does not answer; check --to\n";
    return kExitUnavailable;
  }
  traffic.jobs_per_second_ = options.rate_;
  if (options.load_percent_ > 0) {
    traffic.jobs_per_second_ =
        options.load_percent_ / 100 * generator.slots() * 1000 /
        MeanJobWorkMs(*traffic.mix_, traffic.run_time_scale_);
  }
  if (traffic.jobs_per_second_ <= 0) {
    return PrintUsageError("load", "targets list no workers; pass --slots");
  }
  const TrafficResult result = generator.Run(PlanTraffic(traffic));
  const Json report = MakeReport(options, result);
  if (options.json_) {
    std::cout << ToJsonText(report) << std::endl;
  } else {
    PrintReport(report);
  }
  const double late_ms = report["sent_late_ms"]["p99"].get<double>();
  if (late_ms <= kMaxSentLateMs) return kExitOk;
  std::cerr << "gentiandeal load: jobs were sent up to " << late_ms
            << " ms late (p99); lower the rate\n";
  return kExitFailed;
}

}  // namespace gentiandeal
