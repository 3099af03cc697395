#ifndef GENTIANDEAL_SRC_POLL_PACE_H_
#define GENTIANDEAL_SRC_POLL_PACE_H_

#include <algorithm>

#include "link_rate.h"

namespace gentiandeal {

/// Paces calls whose answers carry what has changed since the last one. Calls
/// are as rare as allowed, but no answer may hold up everything else on the
/// link for longer than `kMaxAnswerTime`, nor hold so many changes that the
/// sender may have left some out: a steady stream of changes is read in more
/// and smaller answers.
class PollPace {
 public:
  static constexpr Duration kMaxAnswerTime{20};
  static constexpr Duration kMinInterval{100};
  /// Half of what the store sends in one answer at most: about 500 items or
  /// 1 MB.
  static constexpr int64_t kMaxAnswerItems = 250;
  static constexpr int64_t kMaxAnswerBytes = 512 * 1024;

  /// @param longest Interval while answers are small.
  PollPace(Duration longest, LinkRate link)
      : longest_(longest), interval_(longest), link_(link) {}

  /// Whether an answer is so large that later changes may have been left out.
  static bool MayBePartial(int64_t bytes, int64_t items) {
    return items >= kMaxAnswerItems || bytes >= kMaxAnswerBytes;
  }

  /// Records changes that were read, in one answer or several.
  /// @param collected Time in which they came about.
  void On(Duration collected, int64_t bytes, int64_t items) {
    const int64_t on_link_ms = link_.TimeFor(bytes).ms_;
    interval_ = longest_;
    if (on_link_ms > 0) {
      interval_.ms_ = std::min(interval_.ms_,
                               collected.ms_ * kMaxAnswerTime.ms_ / on_link_ms);
    }
    if (items > 0) {
      interval_.ms_ =
          std::min(interval_.ms_, collected.ms_ * kMaxAnswerItems / items);
    }
    interval_ = std::max(interval_, std::min(kMinInterval, longest_));
  }

  /// Time from the start of a call to that of the next one.
  Duration interval() const { return interval_; }

 private:
  Duration longest_;
  Duration interval_;
  LinkRate link_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_POLL_PACE_H_
