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
  /// Running estimate of a positive quantity: weighted mean and the mean
  /// absolute deviation from it.
  struct Estimate {
    double mean_ = 0;
    double deviation_ = 0;
    uint32_t count_ = 0;
    void Add(double value);
  };
  /// What is known of one kind.
  struct Entry {
    uint64_t hash_ = 0;  ///< 0 marks an unused entry.
    Estimate run_ms_;    ///< Run time, whatever was declared.
    Estimate ratio_;     ///< Run time over declared time.
  };
  /// Expected run time and deviation of one task.
  struct Forecast {
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
  };
  Forecast Predict(KindHandle kind, Duration declared) const;

  std::vector<Entry> entries_;  ///< Open addressing; the last is the overflow.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RUN_TIMES_H_
