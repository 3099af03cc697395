#ifndef GENTIANDEAL_SRC_PEER_RECORD_H_
#define GENTIANDEAL_SRC_PEER_RECORD_H_

#include <string>
#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"

namespace gentiandeal {

/// State that `Membership` keeps for one peer address.
struct PeerRecord {
  Address address_;
  std::string data_centre_;
  bool listed_ = false;  ///< In the platform's last list.
  bool seed_ = false;    ///< Configured as a seed.
  bool listed_as_leaving_ = false;
  bool live_ = false;
  bool draining_ = false;
  bool full_report_due_ = true;  ///< The next report to it has all counts.
  bool request_reply_ = false;   ///< The next heartbeat asks for a reply.
  Incarnation incarnation_;
  /// Earlier incarnations of the peer, oldest first.
  std::vector<Incarnation> replaced_incarnations_;
  uint32_t last_sequence_ = 0;
  Duration heartbeat_interval_;  ///< Announced by the peer's last heartbeat.
  Duration probe_interval_;      ///< While the peer is not live; doubles.
  Time last_seen_;
  Time live_until_;  ///< Lost if no datagram arrives until then.
  Time next_heartbeat_;
  Time last_reply_;       ///< Last heartbeat sent in answer to this peer.
  NameHash worker_list_;  ///< Digest of the peer's list of workers.
  uint32_t free_slots_ = 0;
  /// Slots that the peer uses at each worker, by rank in the local list.
  std::vector<uint8_t> slots_in_use_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_RECORD_H_
