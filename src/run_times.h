#ifndef GENTIANDEAL_SRC_RUN_TIMES_H_
#define GENTIANDEAL_SRC_RUN_TIMES_H_

#include <string_view>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Learns run times by kind of task; a declared time is only a prior.
class RunTimes {
 public:
  RunTimes();

  /// Finds or adds a kind. When all `kMaxKinds` are taken, kinds share one
  /// overflow entry.
  KindHandle Find(std::string_view kind);

  /// Expected run time of one task. @param declared 0 when not declared.
  Duration Expect(KindHandle kind, Duration declared) const;

  /// Upper estimate for time-outs and early refusal (about the 95th
  /// percentile); never below `Expect`.
  Duration ExpectHigh(KindHandle kind, Duration declared) const;

  /// Records one whole answer. Failures are not recorded.
  void Observe(KindHandle kind, Duration declared, Duration run);

 private:
  struct Entry;
  std::vector<Entry> entries_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RUN_TIMES_H_
