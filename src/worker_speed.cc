#include "worker_speed.h"

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Limit of the logarithm of one ratio: a run without progress counts as one
/// that takes 16 times as long.
constexpr double kMaxLogRatio = 2.8;
/// Lowest share of a run that counts as done.
constexpr double kMinShareDone = 0.005;

/// Weight of the prior, as a number of runs. Speeds differ about as much as the
/// run times of one worker, so that a single run tells half of its ratio.
constexpr double kPriorWeight = 1.5;
/// Limit of the weight of the past, as a number of runs.
constexpr double kMaxWeight = 16;
constexpr double kSpreadGain = 1.0 / 16;

/// A run moves the estimate by no more than this error allows, whatever it
/// took: 3 % of the runs of a healthy worker take 7 times as long.
constexpr double kMaxError = 0.9;

/// A change of speed shows in the cumulative sums of errors above the drift,
/// which ordinary runs keep near 0. Each error counts up to the limit.
constexpr double kDrift = 0.4;
constexpr double kMaxCountedError = 1.2;
/// Sums that show a worker to be slower or faster. On a worker that runs 4.5
/// times slower, three runs reach the former; two never do, since two long runs
/// in a row happen once in 1,100 runs of a healthy worker. Two runs reach the
/// latter: on a slow worker, no run is short by chance.
constexpr double kSlowerSum = 2.1;
constexpr double kFasterSum = 1.2;
/// Doubt about a worker with a long run before three of them have told: the sum
/// for longer runs counts by this share in the ratio, so that the worker is not
/// the first choice until another run tells. Halved in this time without an
/// observation, so that a healthy worker isn't left idle for one long run.
constexpr double kDoubtShare = 0.25;
constexpr double kDoubtHalfLifeMs = 500;
/// Weight of the past once a change of speed has shown.
constexpr double kChangedWeight = 3;

/// Differences of hardware stay below a factor of 2 and last. What exceeds
/// that, or a lower speed learned a while ago, is forgotten by half in these
/// times without an observation.
constexpr double kMaxHardwareLogRatio = 0.6;
constexpr double kDisturbanceHalfLifeMs = 15000;
constexpr double kHardwareHalfLifeMs = 60000;

/// Ratio from which a worker counts as slow.
constexpr double kSlowLogRatio = 0.9;

/// Gain of the typical ratio of a pool, which falls with the number of runs,
/// and the limit of the influence of one run. At 0.5, the typical ratio lies
/// near the median, and a fifth of slow workers changes it little.
constexpr double kMinPoolGain = 1.0 / 256;
constexpr double kPoolPriorWeight = 4;
constexpr double kMaxPoolError = 0.5;

double ToMs(Duration time) {
  return std::max(1.0, static_cast<double>(time.ms_));
}

double LogRatioOf(double took_ms, Duration expected) {
  return std::clamp(std::log(took_ms / ToMs(expected)), -kMaxLogRatio,
                    kMaxLogRatio);
}

Duration Scale(Duration time, double factor) {
  return {std::max<int64_t>(1, std::llround(ToMs(time) * factor))};
}

}  // namespace

Duration RunTimeByProgress(Duration elapsed, double share_done) {
  return Scale(elapsed, 1 / std::clamp(share_done, kMinShareDone, 1.0));
}

void PoolRunTimes::Observe(Duration declared, Duration took) {
  const double error = LogRatioOf(ToMs(took), declared) - log_ratio_;
  const double gain = 1 / (kPoolPriorWeight + ++count_);
  log_ratio_ += std::max(gain, kMinPoolGain) *
                std::clamp(error, -kMaxPoolError, kMaxPoolError);
}

Duration PoolRunTimes::Expected(Duration declared) const {
  return Scale(declared, ratio());
}

double PoolRunTimes::ratio() const { return std::exp(log_ratio_); }

void WorkerSpeed::Observe(Duration expected, Duration took, Time now) {
  Add(LogRatioOf(ToMs(took), expected), now);
}

void WorkerSpeed::ObserveProgress(Duration expected, Duration elapsed,
                                  double share_done, Time now) {
  Observe(expected, RunTimeByProgress(elapsed, share_done), now);
}

void WorkerSpeed::Add(double log_ratio, Time now) {
  weight_ = std::min(Weight(now) + 1, kMaxWeight);
  log_ratio_ = LogRatio(now);
  observed_at_ = std::max(observed_at_, now);
  const double error = log_ratio - log_ratio_;
  spread_ += kSpreadGain * (std::min(std::abs(error), kMaxError) - spread_);
  longer_.Add(error);
  shorter_.Add(-error);
  if (longer_.sum_ >= kSlowerSum || shorter_.sum_ >= kFasterSum) {
    log_ratio_ += longer_.sum_ >= kSlowerSum ? longer_.MeanError()
                                             : -shorter_.MeanError();
    weight_ = kChangedWeight;
    longer_ = shorter_ = {};
    return;
  }
  log_ratio_ +=
      std::clamp(error, -kMaxError, kMaxError) / (weight_ + kPriorWeight);
}

void WorkerSpeed::ErrorSum::Add(double error) {
  sum_ += std::min(error, kMaxCountedError) - kDrift;
  if (sum_ <= 0) {
    *this = {};
    return;
  }
  total_ += error;
  ++count_;
}

double WorkerSpeed::LogRatio(Time now) const {
  if (now <= observed_at_) return log_ratio_;
  const auto age = static_cast<double>((now - observed_at_).ms_);
  const double lasting =
      std::clamp(log_ratio_, -kMaxHardwareLogRatio, kMaxHardwareLogRatio);
  const double excess = log_ratio_ - lasting;
  double log_ratio = lasting * std::exp2(-age / kHardwareHalfLifeMs);
  if (excess != 0) {
    log_ratio += excess * std::exp2(-age / kDisturbanceHalfLifeMs);
  }
  return log_ratio;
}

double WorkerSpeed::Weight(Time now) const {
  const auto age = static_cast<double>((now - observed_at_).ms_);
  return weight_ * std::exp2(-std::max(0.0, age) / kHardwareHalfLifeMs);
}

double WorkerSpeed::Ratio(Time now) const {
  double log_ratio = LogRatio(now);
  if (longer_.sum_ > 0) {
    const auto age = static_cast<double>((now - observed_at_).ms_);
    log_ratio +=
        kDoubtShare * longer_.sum_ * std::exp2(-age / kDoubtHalfLifeMs);
  }
  return std::exp(log_ratio);
}

Duration WorkerSpeed::ExpectedTime(Duration expected, Time now) const {
  return Scale(expected, Ratio(now));
}

bool WorkerSpeed::IsSlow(Time now) const {
  return LogRatio(now) >= kSlowLogRatio;
}

}  // namespace gentiandeal
