#ifndef GENTIANDEAL_SRC_WORKER_SPEED_H_
#define GENTIANDEAL_SRC_WORKER_SPEED_H_

#include <cstdint>

#include "gentiandeal/gentiandeal.h"

/// What an owner learns of the run times of its pools and of the speed of its
/// workers. Pure, of constant cost, and without allocations.
namespace gentiandeal {

/// Returns the run time of a run of which `share_done` (0 to 1) was done in
/// `elapsed`.
Duration RunTimeByProgress(Duration elapsed, double share_done);

/// Typical ratio of actual to declared run times in a pool: the error that the
/// declarations of its tasks have in common.
class PoolRunTimes {
 public:
  /// Records a run of any worker of the pool.
  void Observe(Duration declared, Duration took);
  /// Returns the run time to be expected on a typical worker, at least 1 ms.
  Duration Expected(Duration declared) const;
  double ratio() const;

 private:
  double log_ratio_ = 0;
  uint32_t count_ = 0;
};

/// Speed of one worker relative to its pool, as the ratio of actual to expected
/// run times: above 1 for a slow worker. Expected run times are those of
/// `PoolRunTimes`. Each run is to be observed once, at its end or by its
/// progress.
class WorkerSpeed {
 public:
  /// Records a run that ended.
  void Observe(Duration expected, Duration took, Time now);
  /// Records a run in progress, of which `share_done` (0 to 1) was done in
  /// `elapsed`.
  void ObserveProgress(Duration expected, Duration elapsed, double share_done,
                       Time now);

  /// Returns the run time to be expected here, at least 1 ms.
  Duration ExpectedTime(Duration expected, Time now) const;
  /// Ratio of actual to expected run times.
  double Ratio(Time now) const;
  /// Mean absolute deviation of the logarithm of that ratio.
  double spread() const { return spread_; }
  /// Whether runs take so much longer than on a typical worker that a
  /// difference of hardware doesn't explain it.
  bool IsSlow(Time now) const;

 private:
  /// Cumulative sum of errors in one direction, as in a CUSUM test. Falls back
  /// to 0 unless runs keep deviating.
  struct ErrorSum {
    double sum_ = 0;
    double total_ = 0;  ///< Errors since the sum was 0, unclipped.
    uint32_t count_ = 0;
    void Add(double error);
    double MeanError() const { return total_ / count_; }
  };

  void Add(double log_ratio, Time now);
  double LogRatio(Time now) const;
  double Weight(Time now) const;

  /// Mean absolute deviation of the declared run times, off by 40 %, from the
  /// actual ones.
  static constexpr double kPriorSpread = 0.3;

  double log_ratio_ = 0;
  double spread_ = kPriorSpread;
  double weight_ = 0;  ///< Of the past runs, as a number of them.
  ErrorSum longer_;
  ErrorSum shorter_;
  Time observed_at_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_SPEED_H_
