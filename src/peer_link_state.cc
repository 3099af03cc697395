#include "peer_link_state.h"

#include <numeric>

namespace gentiandeal {

JobAnswer MakeNotRunAnswer(Errc error) {
  JobAnswer answer;
  answer.outcome_ = Outcome::kNotRun;
  answer.error_ = error;
  return answer;
}

JobAnswer MakeUncertainAnswer() {
  JobAnswer answer;
  answer.outcome_ = Outcome::kMayHaveRun;
  answer.error_ = Errc::kPeerLinkLost;
  answer.started_known_ = false;
  return answer;
}

JobAnswer MakeTooLargeAnswer(const JobAnswer& answer) {
  JobAnswer replacement;
  replacement.outcome_ = Outcome::kMayHaveRun;
  replacement.error_ = Errc::kAnswerTooLarge;
  replacement.started_.resize(answer.tasks_.size());
  std::iota(replacement.started_.begin(), replacement.started_.end(),
            uint16_t{0});
  return replacement;
}

}  // namespace gentiandeal
