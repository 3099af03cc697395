#ifndef GENTIANDEAL_SRC_MEMBERSHIP_H_
#define GENTIANDEAL_SRC_MEMBERSHIP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gentiandeal_p.h"
#include "settings.h"
#include "team_guards.h"

namespace gentiandeal {

/// An entry instance as listed by the platform or named as a seed.
struct PeerInfo {
  Address address_;
  std::string data_centre_;  ///< Empty when not known, as for a seed.
  bool leaving_ = false;
};

/// What this instance tells its peers of itself.
struct OwnLoad {
  uint32_t queued_tasks_ = 0;
  uint32_t running_tasks_ = 0;
  uint64_t task_starts_ = 0;  ///< Since start; shows that slots changed.
  uint32_t free_slots_ = 0;   ///< Of this data centre.
  Revision revision_;         ///< Of the settings in force here.
  bool draining_ = false;
  std::vector<TeamUse> team_uses_;  ///< Changed since the last tick.
};

/// Slots in use here at a worker. Asked only when a report is due.
using WorkerUse = std::function<uint16_t(const Address& worker)>;

// Messages from the membership, beside `PeersChanged` and `PeerLoad`.

/// Send one datagram from the socket bound to the peer address.
struct SendDatagram {
  Address to_;
  std::string bytes_;
};

/// A peer was lost or replaced: forget its load and its use of guards.
struct PeerLost {
  Incarnation peer_;
};

/// A peer's use of one team's guards.
struct PeerTeamUse {
  Incarnation peer_;
  TeamUse use_;
};

/// A peer holds a newer revision of the settings than this instance.
struct PeerHoldsRevision {
  InstanceId peer_;
  Revision revision_;
};

/// How the fleet is divided, for shares. Ranks are by peer address.
struct InstancesChanged {
  uint32_t own_rank_ = 0;  ///< Among live instances of this data centre.
  uint32_t count_ = 1;     ///< Live in this data centre, this one included.
  /// Known everywhere, this one included: live ones and listed ones, so that
  /// a partition changes nothing.
  uint32_t known_everywhere_ = 1;
};

using PeerEvent =
    std::variant<SendDatagram, PeersChanged, PeerLoad, PeerLost, PeerTeamUse,
                 PeerHoldsRevision, InstancesChanged>;
using PeerEvents = std::vector<PeerEvent>;

/// Counters since start.
struct MembershipStats {
  uint64_t datagrams_sent_ = 0;
  uint64_t bytes_sent_ = 0;  ///< With IP and UDP headers.
  uint64_t datagrams_received_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t load_reports_sent_ = 0;
  uint64_t dropped_malformed_ = 0;
  uint64_t dropped_unknown_ = 0;  ///< From an address that is not a peer.
  uint64_t dropped_stale_ = 0;    ///< Reordered, or of a replaced run.
  uint64_t pauses_ = 0;
  uint64_t peers_lost_ = 0;
};

/// Finds peers through the platform's list and seeds, keeps them through
/// their datagrams, and reports load to them within a byte budget. Pure:
/// messages and the time in, `PeerEvent`s out.
class Membership {
 public:
  /// @param self This run of this instance, with its bound peer address.
  /// @param bytes_per_second Bound on the datagrams sent, headers included.
  explicit Membership(const InstanceId& self,
                      uint32_t bytes_per_second = kSentBytesPerSecond);
  ~Membership();

  /// Half of the control budget less a tenth for links: with peers that send
  /// as much as this one, sent and received together stay within it.
  static constexpr uint32_t kSentBytesPerSecond =
      config::kControlBytesPerSecond * 9 / 20;

  /// Addresses to try until, and beside what, the platform lists.
  void SetSeeds(const std::vector<Address>& seeds, Time now);

  /// The platform's list of entry instances. An empty list is no information
  /// and leaves the last one in force; so does not calling this.
  void SetList(const std::vector<PeerInfo>& peers, Time now);

  /// Workers whose slots are reported, as last listed.
  void SetWorkers(const std::vector<WorkerInfo>& workers);

  /// Teams whose use is reported.
  void SetSettings(const Settings& settings);

  /// Takes one datagram from the socket.
  void OnDatagram(const Address& from, std::string_view bytes, Time now,
                  PeerEvents* out);

  /// Sends what is due and drops peers that are silent. Call every
  /// `kTickInterval`; a gap longer than `kPauseGap` is a pause.
  void Tick(Time now, const OwnLoad& load, const WorkerUse& in_use,
            PeerEvents* out);

  /// Live peers, ordered by address.
  std::vector<PeerView> peers() const;

  /// Every address that may be asked: live, listed and seeds.
  std::vector<Address> addresses() const;

  const MembershipStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_MEMBERSHIP_H_
