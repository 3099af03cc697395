#ifndef GENTIANDEAL_SRC_PEER_RECORD_H_
#define GENTIANDEAL_SRC_PEER_RECORD_H_

#include <string>
#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"

namespace gentiandeal {

/// What the membership knows of one address.
struct Peer {
  Address address_;
  std::string data_centre_;
  bool listed_ = false;
  bool seed_ = false;
  bool leaving_listed_ = false;
  bool live_ = false;
  bool draining_ = false;
  bool needs_full_ = true;  ///< Was not told all counts yet.
  bool wants_reply_ = false;
  Incarnation incarnation_;
  std::vector<Incarnation> replaced_;
  uint32_t last_sequence_ = 0;
  Duration interval_;  ///< As the peer last said.
  Duration probe_interval_;
  Time last_heard_;
  Time live_until_;
  Time next_state_;
  Time last_reply_;
  NameHash worker_list_;
  uint32_t free_slots_ = 0;
  std::vector<uint8_t> counts_;  ///< Its slots in use, by rank here.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_RECORD_H_
