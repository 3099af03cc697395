#include "run_times.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Run time assumed of a kind never seen and not declared, in ms.
constexpr double kUnknownRunMs = 500;
/// Observations that the prior of a mean counts for.
constexpr double kPriorMeanWeight = 2;
/// Observations that the prior of the slope counts for, the slope itself, and
/// the variance of the logarithm that goes with it.
constexpr double kPriorSlopeWeight = 8;
constexpr double kPriorSlope = 0.5;
constexpr double kPriorVariance = 0.1;
/// Least weight of a new observation once many are known.
constexpr double kMinGain = 1.0 / 64;
/// Observations from which on outliers are cut.
constexpr uint32_t kWarmUp = 4;
/// One observation counts as at most this factor off, as a logarithm.
constexpr double kMaxSurprise = 2.1;
/// Quantile of the upper estimate, and its steps as a logarithm.
constexpr double kHighQuantile = 0.95;
constexpr double kHighStep = 0.1;
constexpr double kMaxHighRatio = 100;

constexpr uint32_t kTableSize = config::kMaxKinds;
constexpr uint32_t kOverflow = kTableSize;
/// Entries tried for one kind before it shares the overflow entry.
constexpr uint32_t kMaxProbes = 16;
static_assert((kTableSize & (kTableSize - 1)) == 0);

double Gain(uint32_t count) { return std::max(1.0 / count, kMinGain); }

double LogOf(Duration declared) {
  return std::log(declared.ms_ > 0 ? static_cast<double>(declared.ms_)
                                   : kUnknownRunMs);
}

Duration ToDuration(double ms) {
  return {std::max<int64_t>(1, std::llround(ms))};
}

}  // namespace

void RunTimes::Moments::Add(double x, double y) {
  const double error = y - Predict(x);
  if (count_ >= kWarmUp) {
    y += std::clamp(error, -kMaxSurprise, kMaxSurprise) - error;
  }
  const double gain = Gain(++count_);
  const double dx = x - mean_x_;
  const double dy = y - mean_y_;
  mean_x_ += gain * dx;
  mean_y_ += gain * dy;
  variance_x_ += gain * ((1 - gain) * dx * dx - variance_x_);
  covariance_ += gain * ((1 - gain) * dx * dy - covariance_);
}

double RunTimes::Moments::Predict(double x) const {
  if (count_ == 0) return x;
  const double count = count_;
  const double prior = kPriorSlopeWeight * kPriorVariance;
  const double slope = (count * covariance_ + prior * kPriorSlope) /
                       (count * variance_x_ + prior);
  const double line = mean_y_ + std::clamp(slope, 0.0, 1.0) * (x - mean_x_);
  return (count * line + kPriorMeanWeight * x) / (count + kPriorMeanWeight);
}

void RunTimes::Spread::Add(double ratio) {
  const double gain = Gain(++count_ + 1);
  mean_ratio_ += gain * (ratio - mean_ratio_);
  const bool above = ratio > high_ratio_;
  const double step = above ? kHighQuantile : kHighQuantile - 1;
  high_ratio_ *= 1 + kHighStep * step;
  high_ratio_ = std::min(high_ratio_, kMaxHighRatio);
}

RunTimes::RunTimes() : entries_(kTableSize + 1) {}

KindHandle RunTimes::Find(std::string_view kind) {
  const uint64_t hash = XXH3_64bits(kind.data(), kind.size()) | 1;
  uint32_t index = (hash >> 32) & (kTableSize - 1);
  for (uint32_t probe = 0; probe < kMaxProbes; ++probe) {
    Entry& entry = entries_[index];
    if (entry.hash_ == 0) entry.hash_ = hash;
    if (entry.hash_ == hash) return {static_cast<uint16_t>(index)};
    index = (index + 1) & (kTableSize - 1);
  }
  return {static_cast<uint16_t>(kOverflow)};
}

const RunTimes::Group& RunTimes::GroupOf(KindHandle kind,
                                         Duration declared) const {
  const Entry& entry = entries_[kind.value_];
  return declared.ms_ > 0 ? entry.declared_ : entry.any_;
}

Duration RunTimes::Expect(KindHandle kind, Duration declared) const {
  const Group& group = GroupOf(kind, declared);
  const double predicted = std::exp(group.moments_.Predict(LogOf(declared)));
  return ToDuration(predicted * group.spread_.mean_ratio_);
}

Duration RunTimes::ExpectHigh(KindHandle kind, Duration declared) const {
  const Group& group = GroupOf(kind, declared);
  const double predicted = std::exp(group.moments_.Predict(LogOf(declared)));
  const Spread& spread = group.spread_;
  return ToDuration(predicted *
                    std::max(spread.high_ratio_, spread.mean_ratio_));
}

void RunTimes::Group::Add(double x, double y) {
  const double error = y - moments_.Predict(x);
  spread_.Add(std::exp(std::min(error, kMaxSurprise)));
  moments_.Add(x, y);
}

void RunTimes::Observe(KindHandle kind, Duration declared, Duration run) {
  Entry& entry = entries_[kind.value_];
  const double y = std::log(std::max(static_cast<double>(run.ms_), 0.5));
  entry.any_.Add(LogOf({}), y);
  if (declared.ms_ > 0) entry.declared_.Add(LogOf(declared), y);
}

}  // namespace gentiandeal
