#include "caller_silence.h"

#include <algorithm>

#include "socket_address.h"

namespace gentiandeal {
namespace {

/// Kept of the resend delay for a late tick, for cancelling at the owners and
/// for their calls to workers.
constexpr Duration kCancelReserve{100};
/// The kernel's timer, the way there and back.
constexpr Duration kProbeAnswerTime{100};

}  // namespace

std::optional<Duration> CallerSilenceLimit(Duration resend_delay,
                                           Duration stop_timeout) {
  const Duration limit = resend_delay - stop_timeout - kCancelReserve;
  if (limit < kKeepAliveInterval + kProbeAnswerTime) return std::nullopt;
  return limit;
}

bool CallerSilence::Check(const PeerActivity& activity, Time now) {
  const Duration left = limit_ - activity.segment_age_;
  if (left.ms_ <= 0 && activity.unanswered_) return true;
  next_check_ = now + std::max(left, Duration{1});
  return false;
}

}  // namespace gentiandeal
