#ifndef GENTIANDEAL_SRC_PEER_LIVENESS_H_
#define GENTIANDEAL_SRC_PEER_LIVENESS_H_

#include <algorithm>

#include "mesh_wire.h"

namespace gentiandeal {

/// Dates the last sign of life of the peer of a link on this process's clock.
/// A frame can be read long after it was sent, so its arrival says little. A
/// peer that echoes a time of this clock was alive after that time.
class PeerLiveness {
 public:
  explicit PeerLiveness(Time now) : opened_at_(now), alive_at_(now) {}

  /// Makes the heartbeat to send now.
  MeshHeartbeat MakeHeartbeat(Time now) {
    sent_at_ = now;
    return {now, echo_};
  }
  /// When the last heartbeat was made.
  Time sent_at() const { return sent_at_; }

  /// Processes a heartbeat of the peer. @returns whether it has shown a later
  /// sign of life.
  bool On(const MeshHeartbeat& heartbeat, Time now) {
    received_ = heartbeat.sent_;
    if (heartbeat.echo_ < opened_at_ || heartbeat.echo_ > now) return false;
    const bool later = !proven_ || heartbeat.echo_ > alive_at_;
    alive_at_ = std::max(alive_at_, heartbeat.echo_);
    proven_ = true;
    return later;
  }

  /// Echoes from now on what was received before. To be called between two
  /// passes of the event loop: whatever had been delivered to this process when
  /// it read a heartbeat, such as the end of a caller's connection, is handled
  /// before that heartbeat is echoed.
  void EchoReceived() { echo_ = received_; }

  /// Last time at which the peer is known to have been alive. Before its first
  /// echo, the time at which the link was opened.
  Time alive_at() const { return alive_at_; }

 private:
  Time opened_at_;
  Time alive_at_;
  bool proven_ = false;
  Time sent_at_;
  Time received_;
  Time echo_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_LIVENESS_H_
