#ifndef GENTIANDEAL_SRC_LATE_REQUEST_H_
#define GENTIANDEAL_SRC_LATE_REQUEST_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Time that a request is held to see whether its sender's close follows: more
/// than a round trip to callers.
inline constexpr Duration kCloseGrace{20};

/// Returns whether a request may have been held up on its way for so long that
/// its sender has given it up and sent it elsewhere. Senders write the first
/// request of a connection at once, so that a wait for it was on the way.
/// @param first_request_wait From the accepting of the connection until its
///     first request; zero for a later one, of which nothing is known.
/// @param resend_delay After which a sender repeats what it has lost.
constexpr bool MayBeGivenUp(Duration first_request_wait,
                            Duration resend_delay) {
  return first_request_wait.ms_ * 4 >= resend_delay.ms_ * 3;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LATE_REQUEST_H_
