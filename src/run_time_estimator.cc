#include "run_time_estimator.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Run time that is assumed without a declaration and without observations, in
/// ms.
constexpr double kDefaultRunTimeMs = 500;
/// Weight of the prior of a mean, as a number of observations.
constexpr double kPriorMeanWeight = 2;
/// Prior of the regression slope: its weight as a number of observations, the
/// slope, and the variance of the logarithm of the declared run time.
constexpr double kPriorSlopeWeight = 8;
constexpr double kPriorSlope = 0.5;
constexpr double kPriorVariance = 0.1;
/// Lower bound of the weight of a new observation, which otherwise falls as
/// 1 / count.
constexpr double kMinGain = 1.0 / 64;
/// Number of observations after which outliers are clipped.
constexpr uint32_t kClippingMinCount = 4;
/// Limit of the error of one observation, as the natural logarithm of the ratio
/// of observed to predicted run time.
constexpr double kMaxLogError = 2.1;
/// Quantile that the upper estimate tracks, the relative size of a tracking
/// step, and the limit of the ratio of the upper estimate to the prediction.
constexpr double kHighQuantile = 0.95;
constexpr double kHighRatioStep = 0.1;
constexpr double kMaxHighRatio = 100;

constexpr uint32_t kTableSize = config::kMaxKinds;
constexpr uint32_t kOverflowIndex = kTableSize;
/// Number of entries probed for a kind before it shares the overflow entry.
constexpr uint32_t kMaxProbes = 16;
static_assert((kTableSize & (kTableSize - 1)) == 0);

double UpdateGain(uint32_t count) { return std::max(1.0 / count, kMinGain); }

double LogRunTime(Duration declared) {
  return std::log(declared.ms_ > 0 ? static_cast<double>(declared.ms_)
                                   : kDefaultRunTimeMs);
}

Duration ToDuration(double ms) {
  return {std::max<int64_t>(1, std::llround(ms))};
}

}  // namespace

void RunTimeEstimator::Regression::Add(double x, double y) {
  const double error = y - Predict(x);
  if (count_ >= kClippingMinCount) {
    y += std::clamp(error, -kMaxLogError, kMaxLogError) - error;
  }
  const double gain = UpdateGain(++count_);
  const double dx = x - mean_x_;
  const double dy = y - mean_y_;
  mean_x_ += gain * dx;
  mean_y_ += gain * dy;
  variance_x_ += gain * ((1 - gain) * dx * dx - variance_x_);
  covariance_ += gain * ((1 - gain) * dx * dy - covariance_);
}

double RunTimeEstimator::Regression::Predict(double x) const {
  if (count_ == 0) return x;
  const double count = count_;
  const double prior = kPriorSlopeWeight * kPriorVariance;
  const double slope = (count * covariance_ + prior * kPriorSlope) /
                       (count * variance_x_ + prior);
  const double line = mean_y_ + std::clamp(slope, 0.0, 1.0) * (x - mean_x_);
  return (count * line + kPriorMeanWeight * x) / (count + kPriorMeanWeight);
}

void RunTimeEstimator::ErrorRatios::Add(double ratio) {
  const double gain = UpdateGain(++count_ + 1);
  mean_ratio_ += gain * (ratio - mean_ratio_);
  const bool above = ratio > high_ratio_;
  const double step = above ? kHighQuantile : kHighQuantile - 1;
  high_ratio_ *= 1 + kHighRatioStep * step;
  high_ratio_ = std::min(high_ratio_, kMaxHighRatio);
}

RunTimeEstimator::RunTimeEstimator() : entries_(kTableSize + 1) {}

KindHandle RunTimeEstimator::FindOrAdd(std::string_view kind) {
  const uint64_t hash = XXH3_64bits(kind.data(), kind.size()) | 1;
  uint32_t index = (hash >> 32) & (kTableSize - 1);
  for (uint32_t probe = 0; probe < kMaxProbes; ++probe) {
    Entry& entry = entries_[index];
    if (entry.hash_ == 0) entry.hash_ = hash;
    if (entry.hash_ == hash) return {static_cast<uint16_t>(index)};
    index = (index + 1) & (kTableSize - 1);
  }
  return {static_cast<uint16_t>(kOverflowIndex)};
}

const RunTimeEstimator::Model& RunTimeEstimator::ModelFor(
    KindHandle kind, Duration declared) const {
  const Entry& entry = entries_[kind.value_];
  return declared.ms_ > 0 ? entry.declared_tasks_ : entry.all_tasks_;
}

Duration RunTimeEstimator::Estimate(KindHandle kind, Duration declared) const {
  const Model& model = ModelFor(kind, declared);
  const double predicted =
      std::exp(model.regression_.Predict(LogRunTime(declared)));
  return ToDuration(predicted * model.error_ratios_.mean_ratio_);
}

Duration RunTimeEstimator::EstimateP95(KindHandle kind,
                                       Duration declared) const {
  const Model& model = ModelFor(kind, declared);
  const double predicted =
      std::exp(model.regression_.Predict(LogRunTime(declared)));
  const ErrorRatios& ratios = model.error_ratios_;
  return ToDuration(predicted *
                    std::max(ratios.high_ratio_, ratios.mean_ratio_));
}

void RunTimeEstimator::Model::Add(double x, double y) {
  const double error = y - regression_.Predict(x);
  error_ratios_.Add(std::exp(std::min(error, kMaxLogError)));
  regression_.Add(x, y);
}

void RunTimeEstimator::Observe(KindHandle kind, Duration declared,
                               Duration run) {
  Entry& entry = entries_[kind.value_];
  const double y = std::log(std::max(static_cast<double>(run.ms_), 0.5));
  entry.all_tasks_.Add(LogRunTime({}), y);
  if (declared.ms_ > 0) entry.declared_tasks_.Add(LogRunTime(declared), y);
}

}  // namespace gentiandeal
