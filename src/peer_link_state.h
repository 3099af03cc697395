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

/// State of peer links and of what is open on them.
namespace gentiandeal {

inline constexpr uint64_t kNotQueued = std::numeric_limits<uint64_t>::max();

using ListHook = boost::intrusive::list_base_hook<>;

/// One TCP connection to or from a peer.
struct Link : ListHook {
  bufferevent* buffer_ = nullptr;
  void* owner_ = nullptr;
  bool outgoing_ = false;
  bool ready_ = false;       ///< The hello was accepted.
  bool may_submit_ = false;  ///< Accepted from a known peer.
  bool retired_ = false;     ///< Takes no new forward.
  Address remote_;
  Incarnation expected_;
  uint64_t queued_ = 0;   ///< Bytes given to the buffer since the start.
  uint64_t written_ = 0;  ///< Bytes that the kernel took of them.
  Time hello_deadline_;
  Time last_used_;
  std::vector<ForwardId> waiting_;  ///< Forwards that wait for the hello.
  std::unordered_set<uint64_t> forwards_;
  std::multiset<Time> pulls_;  ///< Deadlines of open pulls.
  std::unordered_map<uint64_t, RequestId> requests_;  ///< By forward id.
};

struct LinkForward {
  Link* link_ = nullptr;
  uint64_t start_ = kNotQueued;  ///< Offset of its first byte in the stream.
  Time deadline_;
  std::string frame_;  ///< Kept until the hello is accepted.
};

struct LinkRequest {
  Link* link_ = nullptr;
  ForwardId forward_;
};

/// Answer to a submission that did not reach a peer.
JobAnswer NotHandedOver(Errc error);

/// Answer to a submission that a peer may have read.
JobAnswer Uncertain();

/// Stands for a complete answer that no frame can carry.
JobAnswer TooLarge(const JobAnswer& answer);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_LINK_STATE_H_
