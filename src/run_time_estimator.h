#ifndef GENTIANDEAL_SRC_RUN_TIME_ESTIMATOR_H_
#define GENTIANDEAL_SRC_RUN_TIME_ESTIMATOR_H_

#include <string_view>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Estimates run times of tasks from observed ones, by kind of task. A run time
/// that the caller declares serves as a prior and as input to a regression.
class RunTimeEstimator {
 public:
  RunTimeEstimator();

  /// Finds or adds a kind. Kinds for which no entry is found within the probe
  /// limit share one overflow entry.
  KindHandle FindOrAdd(std::string_view kind);

  /// @returns the expected run time of one task, at least 1 ms.
  /// @param declared Run time declared by the caller; 0 when not declared.
  Duration Estimate(KindHandle kind, Duration declared) const;

  /// @returns an upper estimate (about the 95th percentile) for time-outs and
  /// early refusal; never below `Estimate`.
  Duration EstimateP95(KindHandle kind, Duration declared) const;

  /// Records the run time `run` of a task that was answered completely. Not to
  /// be called for failures.
  void Observe(KindHandle kind, Duration declared, Duration run);

 private:
  /// Online linear regression of the logarithm of the observed run time (y) on
  /// that of the declared one (x), from running moments.
  struct Regression {
    uint32_t count_ = 0;
    double mean_x_ = 0;
    double mean_y_ = 0;
    double variance_x_ = 0;
    double covariance_ = 0;
    void Add(double x, double y);
    /// Estimates y at `x`, with y = x as the prior.
    double Predict(double x) const;
  };
  /// Ratios of observed to predicted run times. They turn a prediction of the
  /// logarithm into a mean and a high quantile.
  struct ErrorRatios {
    uint32_t count_ = 0;
    double mean_ratio_ = 1;
    double high_ratio_ = 3;  ///< Estimate of the 95th percentile.
    void Add(double ratio);
  };
  struct Model {
    Regression regression_;
    ErrorRatios error_ratios_;
    void Add(double x, double y);
  };
  /// Estimates for one kind of task.
  struct Entry {
    uint64_t hash_ = 0;  ///< 0 marks an unused entry.
    /// All tasks, with the default run time as x, declared or not.
    Model all_tasks_;
    Model declared_tasks_;  ///< Tasks with a declared run time.
  };

  const Model& ModelFor(KindHandle kind, Duration declared) const;

  /// Hash table with open addressing; the overflow entry comes last.
  std::vector<Entry> entries_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RUN_TIME_ESTIMATOR_H_
