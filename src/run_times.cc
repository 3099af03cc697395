#include "run_times.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Run time assumed of a kind never seen and not declared, in ms.
constexpr double kUnknownRunMs = 500;
/// Observations that the prior counts for.
constexpr double kPriorWeight = 2;
/// Least weight of a new observation once many are known.
constexpr double kMinGain = 1.0 / 32;
/// One observation moves an estimate as if it was at most this many times it.
constexpr double kMaxSurprise = 8;
/// Observations from which on outliers are cut.
constexpr uint32_t kWarmUp = 4;
/// Mean absolute deviations above the mean at about the 95th percentile.
constexpr double kHighDeviations = 2.2;
/// Deviation of a kind never seen, as a part of its mean.
constexpr double kPriorDeviation = 1;

constexpr uint32_t kTableSize = config::kMaxKinds;
constexpr uint32_t kOverflow = kTableSize;
/// Entries tried for one kind before it shares the overflow entry.
constexpr uint32_t kMaxProbes = 16;
static_assert((kTableSize & (kTableSize - 1)) == 0);

}  // namespace

void RunTimes::Estimate::Add(double value) {
  ++count_;
  if (count_ == 1) {
    mean_ = value;
    return;
  }
  const double limit = mean_ * kMaxSurprise;
  const double cut = count_ > kWarmUp ? std::min(value, limit) : value;
  const double gain = std::max(1.0 / count_, kMinGain);
  deviation_ += gain * (std::abs(cut - mean_) - deviation_);
  mean_ += gain * (cut - mean_);
}

RunTimes::RunTimes() : entries_(kTableSize + 1) {}

KindHandle RunTimes::Find(std::string_view kind) {
  const uint64_t hash = XXH3_64bits(kind.data(), kind.size()) | 1;
  uint32_t index = (hash >> 32) & (kTableSize - 1);
  for (uint32_t probe = 0; probe < kMaxProbes; ++probe) {
    Entry& entry = entries_[index];
    if (entry.hash_ == hash) return {static_cast<uint16_t>(index)};
    if (entry.hash_ == 0) {
      entry.hash_ = hash;
      return {static_cast<uint16_t>(index)};
    }
    index = (index + 1) & (kTableSize - 1);
  }
  return {static_cast<uint16_t>(kOverflow)};
}

RunTimes::Forecast RunTimes::Predict(KindHandle kind, Duration declared) const {
  const Entry& entry = entries_[kind.value_];
  const double prior =
      declared.ms_ > 0 ? static_cast<double>(declared.ms_) : kUnknownRunMs;
  Forecast learned{entry.run_ms_.mean_, entry.run_ms_.deviation_};
  double count = entry.run_ms_.count_;
  if (declared.ms_ > 0 && entry.ratio_.count_ > 0) {
    const Forecast scaled{prior * entry.ratio_.mean_,
                          prior * entry.ratio_.deviation_};
    const double spread = entry.run_ms_.deviation_ * entry.ratio_.mean_;
    const bool better = entry.ratio_.deviation_ * entry.run_ms_.mean_ < spread;
    if (better) {
      learned = scaled;
      count = entry.ratio_.count_;
    }
  }
  const double total = count + kPriorWeight;
  return {
      (learned.mean_ms_ * count + prior * kPriorWeight) / total,
      (learned.deviation_ms_ * count + prior * kPriorDeviation * kPriorWeight) /
          total};
}

Duration RunTimes::Expect(KindHandle kind, Duration declared) const {
  const double mean = Predict(kind, declared).mean_ms_;
  return {std::max<int64_t>(1, std::llround(mean))};
}

Duration RunTimes::ExpectHigh(KindHandle kind, Duration declared) const {
  const Forecast forecast = Predict(kind, declared);
  const double high =
      forecast.mean_ms_ + kHighDeviations * forecast.deviation_ms_;
  return {std::max<int64_t>(1, std::llround(high))};
}

void RunTimes::Observe(KindHandle kind, Duration declared, Duration run) {
  Entry& entry = entries_[kind.value_];
  const double run_ms = std::max(static_cast<double>(run.ms_), 0.5);
  entry.run_ms_.Add(run_ms);
  if (declared.ms_ > 0) {
    entry.ratio_.Add(run_ms / static_cast<double>(declared.ms_));
  }
}

}  // namespace gentiandeal
