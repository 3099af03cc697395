#include "connection_timeout.h"

#include <algorithm>

namespace gentiandeal {

Duration ConnectionTimeout::TransferTime(uint64_t bytes) const {
  const int64_t rate = limits_.min_bytes_per_s_;
  return {static_cast<int64_t>(bytes) * 1000 / std::max<int64_t>(rate, 1)};
}

Duration ConnectionTimeout::Limit(ConnectionWait wait, uint64_t bytes) const {
  const bool has_pace = limits_.min_bytes_per_s_ > 0;
  switch (wait) {
    case ConnectionWait::kRequest:
      return limits_.idle_timeout_ + kIdleGrace;
    case ConnectionWait::kHead:
      return std::min(limits_.request_timeout_, limits_.head_timeout_);
    case ConnectionWait::kBody:
      if (!has_pace) return limits_.request_timeout_;
      return std::min(limits_.request_timeout_,
                      limits_.head_timeout_ + TransferTime(bytes));
    case ConnectionWait::kReplySent:
      if (!has_pace) {
        return std::max(limits_.idle_timeout_, limits_.head_timeout_);
      }
      return limits_.head_timeout_ + TransferTime(bytes);
    case ConnectionWait::kSkippedBody:
      return limits_.request_timeout_;
    case ConnectionWait::kPeerEnd:
      return kLingerTimeout;
    case ConnectionWait::kNone:
      break;
  }
  return {INT64_MAX};
}

}  // namespace gentiandeal
