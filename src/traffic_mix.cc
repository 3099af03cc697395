#include "traffic_mix.h"

#include <cmath>
#include <random>

#include "job_json.h"

namespace gentiandeal {
namespace {

constexpr TrafficKind kArmorKinds[] = {
    {"case-status", "GET", "/cases/status", 0.50, {50}, {150}, 512},
    {"session", "POST", "/sessions", 0.35, {80}, {400}, 256},
    {"convocation", "POST", "/convocations", 0.14, {200}, {900}, 256},
    {"dossier", "GET", "/dossiers", 0.01, {1500}, {4000}, 8192},
};
constexpr TrafficSize kArmorSizes[] = {
    {0.70, 1, 1}, {0.25, 2, 16}, {0.05, 17, 120}};

constexpr TrafficKind kSalvavidasKinds[] = {
    {"eligibility", "GET", "/eligibility", 0.45, {50}, {120}, 256},
    {"drill", "POST", "/drills", 0.40, {80}, {500}, 256},
    {"certificate", "POST", "/certificates", 0.14, {300}, {1000}, 1024},
    {"season", "GET", "/seasons", 0.01, {1500}, {3000}, 8192},
};
constexpr TrafficSize kSalvavidasSizes[] = {
    {0.80, 1, 1}, {0.16, 2, 24}, {0.04, 25, 260}};

// Plain mixes, comparable with the benchmark on a virtual clock.
constexpr TrafficKind kPlainKinds[] = {
    {"plain", "POST", "/plain", 1, {50}, {1000}, 256}};
constexpr TrafficSize kOneTask[] = {{1, 1, 1}};
constexpr TrafficSize kTwentyTasks[] = {{1, 20, 20}};
constexpr TrafficSize kFullJob[] = {
    {1, config::kMaxTasksPerJob, config::kMaxTasksPerJob}};

constexpr TrafficMix kMixes[] = {
    {"armor", kArmorKinds, kArmorSizes},
    {"salvavidas", kSalvavidasKinds, kSalvavidasSizes},
    {"single", kPlainKinds, kOneTask},
    {"job-20", kPlainKinds, kTwentyTasks},
    {"job-260", kPlainKinds, kFullJob},
};

/// Draws of one run. The transforms are written out so that a seed gives the
/// same plan with every standard library.
class Draws {
 public:
  explicit Draws(uint64_t seed) : engine_(seed) {}

  double Uniform() {
    constexpr int kBits = 53;
    return static_cast<double>(engine_() >> (64 - kBits)) /
           static_cast<double>(uint64_t{1} << kBits);
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  double LogUniform(double min, double max) {
    return min * std::pow(max / min, Uniform());
  }
  uint32_t Whole(uint32_t min, uint32_t max) {
    return min + static_cast<uint32_t>(Uniform() * (max - min + 1));
  }
  template <typename Shared>
  const Shared& Choose(std::span<const Shared> from) {
    double left = Uniform();
    for (const Shared& one : from) {
      left -= one.share_;
      if (left < 0) return one;
    }
    return from.back();
  }

 private:
  std::mt19937_64 engine_;
};

/// Callers declare well in 70 of 100 tasks, nothing in 15, and wildly in 15.
Duration Declare(double run_ms, Draws* draws) {
  const double luck = draws->Uniform();
  if (luck < 0.15) return {0};
  const double error =
      luck < 0.30 ? draws->LogUniform(0.2, 5) : draws->LogUniform(0.8, 1.25);
  return {std::max<int64_t>(1, std::llround(run_ms * error))};
}

PlannedTask PlanTask(const TrafficMix& mix, double run_scale, Draws* draws) {
  PlannedTask task;
  task.kind_ = &draws->Choose(mix.kinds_);
  const double run_ms =
      run_scale *
      draws->LogUniform(static_cast<double>(task.kind_->min_run_.ms_),
                        static_cast<double>(task.kind_->max_run_.ms_));
  task.run_ = {std::max<int64_t>(1, std::llround(run_ms))};
  task.declared_run_ = Declare(run_ms, draws);
  return task;
}

std::vector<PlannedTask> PlanTasks(const TrafficMix& mix, double run_scale,
                                   Draws* draws) {
  const TrafficSize& size = draws->Choose(mix.sizes_);
  std::vector<PlannedTask> tasks(
      draws->Whole(size.min_tasks_, size.max_tasks_));
  for (PlannedTask& task : tasks) task = PlanTask(mix, run_scale, draws);
  return tasks;
}

double RateAt(const TrafficOptions& options, double at_ms) {
  const double begin = options.burst_at_seconds_ * 1000;
  const double end = begin + options.burst_seconds_ * 1000;
  const bool in_burst = at_ms >= begin && at_ms < end;
  return options.jobs_per_second_ * (in_burst ? options.burst_factor_ : 1);
}

double MeanRunMs(const TrafficKind& kind) {
  const auto min = static_cast<double>(kind.min_run_.ms_);
  const auto max = static_cast<double>(kind.max_run_.ms_);
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
  Draws draws(options.seed_);
  std::vector<PlannedJob> jobs;
  double at_ms = 0;
  for (;;) {
    at_ms += draws.Exponential(1000 / RateAt(options, at_ms));
    if (at_ms >= options.seconds_ * 1000) return jobs;
    if (options.count_ > 0 && jobs.size() == options.count_) return jobs;
    jobs.push_back(
        {at_ms, PlanTasks(*options.mix_, options.run_scale_, &draws)});
  }
}

double MeanWorkMs(const TrafficMix& mix, double run_scale) {
  double run_ms = 0;
  for (const TrafficKind& kind : mix.kinds_) {
    run_ms += kind.share_ * MeanRunMs(kind);
  }
  double tasks = 0;
  for (const TrafficSize& size : mix.sizes_) {
    tasks += size.share_ * (size.min_tasks_ + size.max_tasks_) / 2;
  }
  return run_ms * tasks * run_scale;
}

std::string JobBody(const PlannedJob& job, const std::string& name,
                    const std::string& team, Duration deadline) {
  JobSpec spec;
  spec.team_ = team;
  spec.deadline_ = deadline;
  spec.idempotent_ = true;
  for (const PlannedTask& planned : job.tasks_) {
    TaskSpec& task = spec.tasks_.emplace_back();
    const TrafficKind& kind = *planned.kind_;
    task.method_ = kind.method_;
    task.kind_ = kind.name_;
    task.declared_run_ = planned.declared_run_;
    task.path_ = std::string(kind.path_) +
                 "?ms=" + std::to_string(planned.run_.ms_) +
                 "&bytes=" + std::to_string(kind.answer_bytes_) + "&n=" + name +
                 "-" + std::to_string(spec.tasks_.size());
    spec.idempotent_ = spec.idempotent_ && kind.method_ == "GET";
  }
  return JobToJson(spec);
}

}  // namespace gentiandeal
