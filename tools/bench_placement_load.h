#ifndef GENTIANDEAL_TOOLS_BENCH_PLACEMENT_LOAD_H_
#define GENTIANDEAL_TOOLS_BENCH_PLACEMENT_LOAD_H_

#include <cmath>
#include <random>

#include "reservations.h"

/// Jobs of the placement benchmark, and what became of them.
namespace gentiandeal::bench {

inline constexpr std::array<int32_t, 3> kWorkerCores = {16, 16, 24};
inline constexpr int32_t kMinCpuMilli = 4000;
inline constexpr int32_t kMaxCpuMilli = 12000;
inline constexpr size_t kMaxWidth = 8;
inline constexpr size_t kBands = 3;
/// Declared times are log-uniform between these, and off by this share.
inline constexpr double kShortestMs = 60;
inline constexpr double kLongestMs = 900;
inline constexpr double kSpread = 0.4;
inline constexpr double kTailShare = 0.03;
inline constexpr double kTailFactor = 7;

struct Demand {
  uint32_t workers_ = 60;
  double utilisation_ = 0.9;   ///< Work requested, of all cores.
  bool tail_ = false;          ///< Some runs take `kTailFactor` times as long.
  bool bands_ = false;         ///< Jobs have priorities.
  int32_t step_milli_ = 1000;  ///< Sizes are multiples of this.
  Duration length_{60000};
  uint64_t seed_ = 1;
};

/// A job: one batch of identical tasks.
struct BenchJob {
  Time at_;
  Resources need_;
  Duration declared_;
  std::vector<Duration> takes_;  ///< True run time of each task.
  size_t band_ = 0;
  Time start_by_;      ///< To meet the latency objective.
  Time expires_;       ///< If no task of it has started.
  Time give_up_at_;    ///< A later start is useless.
  Time useful_until_;  ///< A later answer is useless.
};

inline int64_t TotalCpu(uint32_t workers) {
  int64_t total = 0;
  for (uint32_t w = 0; w < workers; ++w) {
    total += kWorkerCores[w % kWorkerCores.size()] * 1000;
  }
  return total;
}

/// Draws jobs with exponential gaps. Uses no standard distribution, whose
/// results differ between libraries.
class JobSource {
 public:
  explicit JobSource(const Demand& demand)
      : demand_(demand), random_(demand.seed_) {}

  std::vector<BenchJob> Draw() {
    const double mean_ms =
        (kLongestMs - kShortestMs) / std::log(kLongestMs / kShortestMs);
    const double tail = demand_.tail_ ? 1 + kTailShare * (kTailFactor - 1) : 1;
    const double mean_work = (1 + kMaxWidth) / 2.0 *
                             ((kMinCpuMilli + kMaxCpuMilli) / 2.0) * mean_ms *
                             tail;
    const double gap =
        mean_work / (demand_.utilisation_ *
                     static_cast<double>(TotalCpu(demand_.workers_)));
    std::vector<BenchJob> jobs;
    for (double at = 0;;) {
      at -= std::log(1 - Uniform(0, 1)) * gap;
      if (at >= static_cast<double>(demand_.length_.ms_)) return jobs;
      jobs.push_back(DrawOne({static_cast<int64_t>(at)}));
    }
  }

  double Uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(random_() >> 11U) * 0x1p-53;
  }

  BenchJob DrawOne(Time at) {
    BenchJob job;
    job.at_ = at;
    const int32_t steps = (kMaxCpuMilli - kMinCpuMilli) / demand_.step_milli_;
    job.need_ = {kMinCpuMilli + demand_.step_milli_ *
                                    static_cast<int32_t>(Uniform(0, steps + 1)),
                 64, 0};
    const double declared =
        kShortestMs * std::exp(Uniform(0, std::log(kLongestMs / kShortestMs)));
    job.declared_ = {std::llround(declared)};
    job.takes_.resize(static_cast<size_t>(Uniform(1, kMaxWidth + 1)));
    for (Duration& takes : job.takes_) {
      double ms = declared * Uniform(1 - kSpread, 1 + kSpread);
      const bool tail = Uniform(0, 1) < kTailShare;
      if (demand_.tail_ && tail) ms *= kTailFactor;
      takes = {std::llround(ms)};
    }
    const double band = Uniform(0, 1);
    if (demand_.bands_ && band >= 0.25) job.band_ = band < 0.65 ? 1 : 2;
    SetLimits(&job);
    return job;
  }

 private:
  /// Objective of 1.6 times the run time plus 60 ms; answers are useful until
  /// three objectives; late jobs that have not started expire as at an owner.
  static void SetLimits(BenchJob* job) {
    const Duration objective{
        static_cast<int64_t>(1.6 * static_cast<double>(job->declared_.ms_)) +
        60};
    const Duration slack = objective - job->declared_;
    job->start_by_ = job->at_ + slack;
    job->expires_ = job->start_by_ + Duration{slack.ms_ / 2};
    job->useful_until_ = job->at_ + Duration{objective.ms_ * 3};
    job->give_up_at_ = job->useful_until_ - job->declared_;
  }

  Demand demand_;
  std::mt19937_64 random_;
};

/// Values of which quantiles are asked for.
struct Sample {
  std::vector<int64_t> values_;
  int64_t Quantile(double q) {
    if (values_.empty()) return 0;
    const auto rank = static_cast<std::ptrdiff_t>(
        std::llround(q * static_cast<double>(values_.size() - 1)));
    std::nth_element(values_.begin(), values_.begin() + rank, values_.end());
    return values_[static_cast<size_t>(rank)];
  }
};

/// Groups of jobs by size: all, the largest tenth, the next fifth.
enum SizeGroup : uint8_t { kAllSizes, kLargestTenth, kNextFifth, kSizeGroups };

/// Figures of one policy; runs with several seeds are added up. The wait of a
/// job lasts until its last task starts, or until the job expires.
struct PlacementResult {
  Sample waits_;
  Sample large_waits_;  ///< Of the largest fifth.
  double demand_ = 0;   ///< Core-milliseconds requested.
  double goodput_ = 0;  ///< Of jobs answered while useful.
  double on_time_ = 0;  ///< Of jobs whose last task started on time.
  double starts_ = 0;
  double useless_starts_ = 0;  ///< For jobs that were not served.
  std::array<double, kSizeGroups> jobs_{};
  std::array<double, kSizeGroups> served_{};
  std::array<double, kBands> band_demand_{};
  std::array<double, kBands> band_goodput_{};
  /// Error of the waits estimated at arrival, of jobs that were served: by the
  /// plan, and by the rate of released cores as load reports do.
  Sample plan_error_;
  Sample rate_error_;
  ReservationStats plan_;

  double Served(SizeGroup group) const {
    return served_[group] / std::max(1.0, jobs_[group]) /
           (served_[kAllSizes] / std::max(1.0, jobs_[kAllSizes]));
  }
};

}  // namespace gentiandeal::bench

#endif  // GENTIANDEAL_TOOLS_BENCH_PLACEMENT_LOAD_H_
