#ifndef GENTIANDEAL_SRC_POLL_PACE_H_
#define GENTIANDEAL_SRC_POLL_PACE_H_

#include <algorithm>

#include "link_rate.h"

namespace gentiandeal {

/// Paces calls whose answers carry all that has changed since the last one.
/// Calls are as rare as allowed, but no answer may hold up everything else on
/// the link for longer than `kMaxAnswerTime`: a steady stream of changes is
/// read in more and smaller answers on a slow link.
class PollPace {
 public:
  static constexpr Duration kMaxAnswerTime{20};
  static constexpr Duration kMinInterval{100};

  /// @param longest Interval while answers are small.
  PollPace(Duration longest, LinkRate link)
      : longest_(longest), interval_(longest), link_(link) {}

  /// Records an answer.
  /// @param collected Time over which its changes were collected.
  void On(Duration collected, int64_t bytes) {
    const Duration on_link = link_.TimeFor(bytes);
    if (on_link.ms_ == 0) {
      interval_ = longest_;
      return;
    }
    const Duration next{collected.ms_ * kMaxAnswerTime.ms_ / on_link.ms_};
    interval_ = std::clamp(next, std::min(kMinInterval, longest_), longest_);
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
