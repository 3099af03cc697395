#include "traffic_mix.h"

#include <cmath>
#include <random>

#include "job_json.h"

namespace gentiandeal {
namespace {

constexpr TrafficTaskKind kArmorKinds[] = {
    {"case-status", "GET", "/cases/status", 0.50, {50}, {150}, 512},
    {"session", "POST", "/sessions", 0.35, {80}, {400}, 256},
    {"convocation", "POST", "/convocations", 0.14, {200}, {900}, 256},
    {"dossier", "GET", "/dossiers", 0.01, {1500}, {4000}, 8192},
};
constexpr TrafficJobSize kArmorSizes[] = {
    {0.70, 1, 1}, {0.25, 2, 16}, {0.05, 17, 120}};

constexpr TrafficTaskKind kSalvavidasKinds[] = {
    {"eligibility", "GET", "/eligibility", 0.45, {50}, {120}, 256},
    {"drill", "POST", "/drills", 0.40, {80}, {500}, 256},
    {"certificate", "POST", "/certificates", 0.14, {300}, {1000}, 1024},
    {"season", "GET", "/seasons", 0.01, {1500}, {3000}, 8192},
};
constexpr TrafficJobSize kSalvavidasSizes[] = {
    {0.80, 1, 1}, {0.16, 2, 24}, {0.04, 25, 260}};

// Mixes with one kind of task, comparable with the benchmark that runs on a
// virtual clock.
constexpr TrafficTaskKind kPlainKinds[] = {
    {"plain", "POST", "/plain", 1, {50}, {1000}, 256}};
constexpr TrafficJobSize kOneTask[] = {{1, 1, 1}};
constexpr TrafficJobSize kTwentyTasks[] = {{1, 20, 20}};
constexpr TrafficJobSize kMaxSizeJob[] = {
    {1, config::kMaxTasksPerJob, config::kMaxTasksPerJob}};

constexpr TrafficMix kMixes[] = {
    {"armor", kArmorKinds, kArmorSizes},
    {"salvavidas", kSalvavidasKinds, kSalvavidasSizes},
    {"single", kPlainKinds, kOneTask},
    {"job-20", kPlainKinds, kTwentyTasks},
    {"job-260", kPlainKinds, kMaxSizeJob},
};

/// Random samples of one run. The distributions are implemented here, as those
/// of the standard libraries differ: a seed gives the same plan everywhere.
class RandomSampler {
 public:
  explicit RandomSampler(uint64_t seed) : engine_(seed) {}

  double Uniform() {
    constexpr int kBits = 53;
    return static_cast<double>(engine_() >> (64 - kBits)) /
           static_cast<double>(uint64_t{1} << kBits);
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  double LogUniform(double min, double max) {
    return min * std::pow(max / min, Uniform());
  }
  uint32_t UniformInt(uint32_t min, uint32_t max) {
    return min + static_cast<uint32_t>(Uniform() * (max - min + 1));
  }
  template <typename Weighted>
  const Weighted& Choose(std::span<const Weighted> choices) {
    double remaining_share = Uniform();
    for (const Weighted& one : choices) {
      remaining_share -= one.share_;
      if (remaining_share < 0) return one;
    }
    return choices.back();
  }

 private:
  std::mt19937_64 engine_;
};

/// Draws the run time that the caller declares: nothing for 15 % of the tasks,
/// 0.2 to 5 times the run time for 15 %, and 0.8 to 1.25 times for 70 %.
Duration DrawDeclaredRunTime(double run_ms, RandomSampler* sampler) {
  const double draw = sampler->Uniform();
  if (draw < 0.15) return {0};
  const double error = draw < 0.30 ? sampler->LogUniform(0.2, 5)
                                   : sampler->LogUniform(0.8, 1.25);
  return {std::max<int64_t>(1, std::llround(run_ms * error))};
}

PlannedTask PlanTask(const TrafficMix& mix, double run_time_scale,
                     RandomSampler* sampler) {
  PlannedTask task;
  task.kind_ = &sampler->Choose(mix.kinds_);
  const double run_ms =
      run_time_scale *
      sampler->LogUniform(static_cast<double>(task.kind_->min_run_time_.ms_),
                          static_cast<double>(task.kind_->max_run_time_.ms_));
  task.run_time_ = {std::max<int64_t>(1, std::llround(run_ms))};
  task.declared_run_time_ = DrawDeclaredRunTime(run_ms, sampler);
  return task;
}

std::vector<PlannedTask> PlanTasks(const TrafficMix& mix, double run_time_scale,
                                   RandomSampler* sampler) {
  const TrafficJobSize& size = sampler->Choose(mix.sizes_);
  std::vector<PlannedTask> tasks(
      sampler->UniformInt(size.min_tasks_, size.max_tasks_));
  for (PlannedTask& task : tasks) task = PlanTask(mix, run_time_scale, sampler);
  return tasks;
}

double ArrivalRate(const TrafficOptions& options, double at_ms) {
  const double start = options.burst_start_seconds_ * 1000;
  const double end = start + options.burst_seconds_ * 1000;
  const bool in_burst = at_ms >= start && at_ms < end;
  return options.jobs_per_second_ * (in_burst ? options.burst_factor_ : 1);
}

double MeanRunMs(const TrafficTaskKind& kind) {
  const auto min = static_cast<double>(kind.min_run_time_.ms_);
  const auto max = static_cast<double>(kind.max_run_time_.ms_);
  return (max - min) / std::log(max / min);
}

}  // namespace

const TrafficMix* FindMix(std::string_view name) {
  for (const TrafficMix& mix : kMixes) {
    if (mix.name_ == name) return &mix;
  }
  return nullptr;
}

std::vector<PlannedJob> PlanTraffic(const TrafficOptions& options) {
  RandomSampler sampler(options.seed_);
  std::vector<PlannedJob> jobs;
  double at_ms = 0;
  for (;;) {
    at_ms += sampler.Exponential(1000 / ArrivalRate(options, at_ms));
    if (at_ms >= options.duration_seconds_ * 1000) return jobs;
    if (options.max_jobs_ > 0 && jobs.size() == options.max_jobs_) return jobs;
    jobs.push_back(
        {at_ms, PlanTasks(*options.mix_, options.run_time_scale_, &sampler)});
  }
}

double MeanJobWorkMs(const TrafficMix& mix, double run_time_scale) {
  double run_ms = 0;
  for (const TrafficTaskKind& kind : mix.kinds_) {
    run_ms += kind.share_ * MeanRunMs(kind);
  }
  double tasks = 0;
  for (const TrafficJobSize& size : mix.sizes_) {
    tasks += size.share_ * (size.min_tasks_ + size.max_tasks_) / 2;
  }
  return run_ms * tasks * run_time_scale;
}

std::string JobRequestBody(const PlannedJob& job, const std::string& name,
                           const std::string& team, Duration deadline) {
  JobSpec spec;
  spec.team_ = team;
  spec.deadline_ = deadline;
  spec.idempotent_ = true;
  for (const PlannedTask& planned : job.tasks_) {
    TaskSpec& task = spec.tasks_.emplace_back();
    const TrafficTaskKind& kind = *planned.kind_;
    task.method_ = kind.method_;
    task.kind_ = kind.name_;
    task.declared_run_time_ = planned.declared_run_time_;
    task.path_ = std::string(kind.path_) +
                 "?ms=" + std::to_string(planned.run_time_.ms_) +
                 "&bytes=" + std::to_string(kind.answer_bytes_) + "&n=" + name +
                 "-" + std::to_string(spec.tasks_.size());
    spec.idempotent_ = spec.idempotent_ && kind.method_ == "GET";
  }
  return JobToJson(spec);
}

}  // namespace gentiandeal
