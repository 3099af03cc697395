#ifndef GENTIANDEAL_SRC_RUN_TIMES_H_
#define GENTIANDEAL_SRC_RUN_TIMES_H_

#include <string_view>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Learns run times by kind of task; a declared time is only a prior.
class RunTimes {
 public:
  RunTimes();

  /// Finds or adds a kind. When its part of the table is full, it shares one
  /// overflow entry with others.
  KindHandle Find(std::string_view kind);

  /// Expected run time of one task. @param declared 0 when not declared.
  Duration Expect(KindHandle kind, Duration declared) const;

  /// Upper estimate for time-outs and early refusal (about the 95th
  /// percentile); never below `Expect`.
  Duration ExpectHigh(KindHandle kind, Duration declared) const;

  /// Records one whole answer. Failures are not recorded.
  void Observe(KindHandle kind, Duration declared, Duration run);

 private:
  /// Running moments of the logarithms of declared (x) and true (y) times.
  struct Moments {
    uint32_t count_ = 0;
    double mean_x_ = 0;
    double mean_y_ = 0;
    double variance_x_ = 0;
    double covariance_ = 0;
    void Add(double x, double y);
    /// Linear regression of y at `x`, with a prior of y = x.
    double Predict(double x) const;
  };
  /// Turns a prediction of the logarithm into a mean and a high quantile.
  struct Spread {
    uint32_t count_ = 0;
    double mean_ratio_ = 1;  ///< Run time over predicted time.
    double high_ratio_ = 3;  ///< 95th percentile of the same.
    void Add(double ratio);
  };
  struct Group {
    Moments moments_;
    Spread spread_;
    void Add(double x, double y);
  };
  /// What is known of one kind.
  struct Entry {
    uint64_t hash_ = 0;  ///< 0 marks an unused entry.
    Group any_;          ///< All tasks, whatever was declared.
    Group declared_;     ///< Tasks with a declared time, in relation to it.
  };

  const Group& GroupOf(KindHandle kind, Duration declared) const;

  std::vector<Entry> entries_;  ///< Open addressing; the last is the overflow.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RUN_TIMES_H_
