#ifndef GENTIANDEAL_SRC_PEER_LINK_STATE_H_
#define GENTIANDEAL_SRC_PEER_LINK_STATE_H_

#include <event2/bufferevent.h>

#include <boost/intrusive/list.hpp>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gentiandeal_p.h"

/// State of the connections to peers and of the requests pending on them.
namespace gentiandeal {

/// Stream offset of a forward that wasn't yet given to the link's buffer.
inline constexpr uint64_t kNotInStream = std::numeric_limits<uint64_t>::max();

using ListHook = boost::intrusive::list_base_hook<>;

/// One TCP connection to or from a peer.
struct LinkState : ListHook {
  bufferevent* buffer_ = nullptr;
  void* owner_ = nullptr;
  bool outgoing_ = false;
  bool ready_ = false;       ///< The hello was accepted.
  bool may_submit_ = false;  ///< Opened by a known peer, and accepted.
  bool closing_ = false;     ///< Gets no new forwards.
  Address remote_;
  Incarnation expected_;
  uint64_t bytes_queued_ = 0;   ///< Since the connect.
  uint64_t bytes_written_ = 0;  ///< Of these, taken by the kernel.
  Time hello_deadline_;
  Time last_used_;
  std::vector<ForwardId> awaiting_hello_;  ///< Not yet queued.
  std::unordered_set<uint64_t> forwards_;
  std::multiset<Time> pull_deadlines_;                ///< Of unanswered pulls.
  std::unordered_map<uint64_t, RequestId> requests_;  ///< By forward id.
};

/// A submission forwarded to a peer and not yet answered.
struct OpenForward {
  LinkState* link_ = nullptr;
  uint64_t stream_offset_ = kNotInStream;  ///< Of its first byte.
  Time deadline_;
  std::string frame_;  ///< Kept until the hello is accepted.
};

/// A submission or cancellation that a peer forwarded to this instance.
struct PeerRequest {
  LinkState* link_ = nullptr;
  ForwardId forward_;
};

/// Answer to a submission that wasn't sent to a peer, or that the peer refused.
JobAnswer MakeNotRunAnswer(Errc error);

/// Answer to a submission that a peer may have received.
JobAnswer MakeUncertainAnswer();

/// Replaces a complete answer that is too large for a frame. It reports all
/// tasks of that answer as started.
JobAnswer MakeTooLargeAnswer(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_LINK_STATE_H_
