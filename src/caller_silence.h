#ifndef GENTIANDEAL_SRC_CALLER_SILENCE_H_
#define GENTIANDEAL_SRC_CALLER_SILENCE_H_

#include "gentiandeal_p.h"

/// Decides when a caller is lost without the end of its connection. Performs no
/// I/O and reads no clock.
namespace gentiandeal {

/// What the kernel knows of the other side of a connection.
struct PeerActivity {
  Duration data_age_;     ///< Since the last data arrived.
  Duration segment_age_;  ///< Since the last segment of any kind arrived.
  /// Whether a keepalive probe or a retransmission is unanswered.
  bool unanswered_ = false;
};

/// Longest time without a segment of a caller that has an open job.
///
/// @param resend_delay Callers send a job again this long after they lost the
/// connection.
/// @param stop_timeout A worker stops a run within this.
/// @returns nothing when the delay is too short to tell a lost caller from one
/// that answers keepalive probes.
std::optional<Duration> CallerSilenceLimit(Duration resend_delay,
                                           Duration stop_timeout);

/// Silence of one caller that awaits an answer.
class CallerSilence {
 public:
  /// @param now The first check is due at once.
  CallerSilence(Duration limit, Time now) : limit_(limit), next_check_(now) {}

  bool IsCheckDue(Time now) const { return now >= next_check_; }

  /// Processes the activity at `now`. @returns whether the caller is lost.
  bool Check(const PeerActivity& activity, Time now);

 private:
  Duration limit_;
  Time next_check_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CALLER_SILENCE_H_
