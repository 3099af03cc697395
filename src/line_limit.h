#ifndef GENTIANDEAL_SRC_LINE_LIMIT_H_
#define GENTIANDEAL_SRC_LINE_LIMIT_H_

#include <utility>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Limits the log lines of one kind of event, so that clients can't fill the
/// log.
class LineLimit {
 public:
  static constexpr uint32_t kLinesPerSecond = 20;

  /// Whether another line may be written. If not, it is counted as skipped.
  bool Allows(Time now) {
    if (now - second_start_ >= Duration{1000}) {
      second_start_ = now;
      lines_ = 0;
    }
    if (lines_ == kLinesPerSecond) {
      ++skipped_;
      return false;
    }
    ++lines_;
    return true;
  }

  /// @returns the lines skipped since the last call.
  uint64_t TakeSkipped() { return std::exchange(skipped_, 0); }

 private:
  Time second_start_;
  uint32_t lines_ = 0;
  uint64_t skipped_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LINE_LIMIT_H_
