#ifndef GENTIANDEAL_SRC_PRIORITY_BAND_H_
#define GENTIANDEAL_SRC_PRIORITY_BAND_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "gentiandeal_p.h"

/// Priority bands of jobs, and the share that each of them is guaranteed.
namespace gentiandeal {

/// Bands of priority. Band 0 is served first; lower priorities than the last
/// band share it.
inline constexpr size_t kPriorityBands = 3;

/// Band of a queue with a configured priority.
constexpr uint8_t ToBand(uint32_t priority) {
  return static_cast<uint8_t>(
      std::min<uint32_t>(priority, static_cast<uint32_t>(kPriorityBands - 1)));
}

/// Tracks which share of its demand each band is served, so that a shortage
/// doesn't starve the lower bands. Work is counted in core milliseconds and
/// halves in weight each `kHalfLife`.
class BandShare {
 public:
  /// A lower band below this share of its demand goes before all others. Its
  /// callers get an answer to one job in four however long a shortage lasts.
  static constexpr double kGuaranteedShare = 0.25;

  void Offer(uint8_t band, double work, Time now) {
    Decay(now);
    offered_[band] += work;
  }
  void Serve(uint8_t band, double work, Time now) {
    Decay(now);
    served_[band] += work;
  }
  /// Whether the band is served less than its guaranteed share.
  bool BelowShare(uint8_t band) const {
    return band > 0 && served_[band] < kGuaranteedShare * offered_[band];
  }

 private:
  static constexpr Duration kHalfLife{1000};
  /// Work is weighted anew at most this often.
  static constexpr Duration kDecayInterval{20};

  void Decay(Time now) {
    const Duration passed = now - decayed_at_;
    if (passed < kDecayInterval) return;
    decayed_at_ = now;
    const double factor = std::exp2(-static_cast<double>(passed.ms_) /
                                    static_cast<double>(kHalfLife.ms_));
    for (double& work : offered_) work *= factor;
    for (double& work : served_) work *= factor;
  }

  std::array<double, kPriorityBands> offered_{};
  std::array<double, kPriorityBands> served_{};
  Time decayed_at_;
};

/// Rate at which tasks start, by band, in thousandths of a core per second.
/// Follows changes within `kHalfLife`.
class StartRates {
 public:
  void Add(uint8_t band, int32_t cpu_milli, Time now) {
    Decay(now);
    started_[band] += cpu_milli;
  }
  double PerSecond(uint8_t band, Time now) const {
    return started_[band] * Factor(now) * kLn2 * 1000 /
           static_cast<double>(kHalfLife.ms_);
  }

 private:
  /// Long enough that one wide job doesn't look like a demand that lasts.
  static constexpr Duration kHalfLife{1000};
  static constexpr double kLn2 = 0.693;

  double Factor(Time now) const {
    return std::exp2(-static_cast<double>((now - decayed_at_).ms_) /
                     static_cast<double>(kHalfLife.ms_));
  }
  void Decay(Time now) {
    if (now <= decayed_at_) return;
    const double factor = Factor(now);
    decayed_at_ = now;
    for (double& started : started_) started *= factor;
  }

  std::array<double, kPriorityBands> started_{};
  Time decayed_at_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PRIORITY_BAND_H_
