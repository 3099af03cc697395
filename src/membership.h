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
#include "team_limiter.h"

namespace gentiandeal {

/// An instance as listed by the platform or configured as a seed.
struct PeerInfo {
  Address address_;
  std::string data_centre_;  ///< Empty when unknown, as for a seed.
  bool leaving_ = false;
};

/// Load and state of this instance, as reported to its peers.
struct OwnLoad {
  uint32_t queued_tasks_ = 0;
  uint32_t running_tasks_ = 0;
  uint64_t task_starts_ = 0;  ///< Since start; a change means slots changed.
  uint32_t free_slots_ = 0;   ///< At all workers of this data centre.
  Revision revision_;         ///< Of the settings in force at this instance.
  bool draining_ = false;
  std::vector<TeamUsage> team_usages_;  ///< Changed since the last tick.
};

/// Returns the slots that this instance uses at a worker. Called only when a
/// report is due.
using SlotsInUseFunction = std::function<uint16_t(const Address& worker)>;

// Events from `Membership`, in addition to `PeersChanged` and `PeerLoad`.

/// Send one datagram from the socket bound to the peer address.
struct SendDatagram {
  Address to_;
  std::string bytes_;
};

/// A peer was lost, or a new incarnation replaced it. Its load and its usage of
/// team quotas and rate limits no longer count.
struct PeerLost {
  Incarnation peer_;
};

/// A peer's usage of one team's quota and rate limit.
struct PeerTeamUsage {
  Incarnation peer_;
  TeamUsage usage_;
};

/// A peer has a newer revision of the settings than this instance.
struct PeerHasNewerRevision {
  InstanceId peer_;
  Revision revision_;
};

/// Numbers of instances by which limits and workers are divided. Ranks are in
/// the order of peer addresses.
struct InstancesChanged {
  uint32_t own_rank_ = 0;  ///< Among live instances of this data centre.
  /// Live in this data centre, this one included.
  uint32_t live_in_data_centre_ = 1;
  /// Live or listed in all data centres, this one included. Listed instances
  /// count, so that a partition does not change the number.
  uint32_t known_instances_ = 1;
};

using PeerEvent =
    std::variant<SendDatagram, PeersChanged, PeerLoad, PeerLost, PeerTeamUsage,
                 PeerHasNewerRevision, InstancesChanged>;
using PeerEvents = std::vector<PeerEvent>;

/// Counters since start.
struct MembershipStats {
  uint64_t datagrams_sent_ = 0;
  uint64_t bytes_sent_ = 0;  ///< Including IP and UDP headers.
  uint64_t datagrams_received_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t load_reports_sent_ = 0;
  uint64_t dropped_malformed_ = 0;
  uint64_t dropped_unknown_ = 0;  ///< From an address that is not a peer's.
  uint64_t dropped_stale_ = 0;    ///< Reordered, or of an old incarnation.
  uint64_t pauses_ = 0;
  uint64_t peers_lost_ = 0;
};

/// Finds peers through the platform's list and the seeds, tracks which are live
/// by their datagrams, and reports load to them within a byte budget. It does
/// no I/O and reads no clock: datagrams and the time are passed in, and
/// `PeerEvent`s come out.
class Membership {
 public:
  /// @param self This incarnation of the instance, with its bound peer address.
  /// @param bytes_per_second Upper bound of what is sent, headers included.
  explicit Membership(const InstanceId& self,
                      uint32_t bytes_per_second = kMaxSentBytesPerSecond);
  ~Membership();

  /// Half of the control budget, reduced by a tenth for links. If peers send as
  /// much as this instance, the bytes sent and received together stay within
  /// the control budget.
  static constexpr uint32_t kMaxSentBytesPerSecond =
      config::kControlBytesPerSecond * 9 / 20;

  /// Adds addresses to probe, before the platform's list is known and in
  /// addition to it.
  void SetSeeds(const std::vector<Address>& seeds, Time now);

  /// Sets the platform's list of instances. An empty list carries no
  /// information and leaves the last one in force, as does not calling this.
  void SetListedPeers(const std::vector<PeerInfo>& peers, Time now);

  /// Sets the workers whose slots are reported, as last listed.
  void SetWorkers(const std::vector<WorkerInfo>& workers);

  /// Sets the teams whose usage is reported.
  void SetSettings(const Settings& settings);

  /// Processes one datagram received from the socket.
  void OnDatagram(const Address& from, std::string_view bytes, Time now,
                  PeerEvents* out);

  /// Sends the datagrams that are due and drops silent peers. Must be called
  /// every `kTickInterval`; a gap longer than `kPauseThreshold` counts as a
  /// pause.
  void Tick(Time now, const OwnLoad& load, const SlotsInUseFunction& in_use,
            PeerEvents* out);

  /// Live peers, ordered by address.
  std::vector<PeerView> peers() const;

  /// All addresses that may be contacted: of live and listed peers and seeds.
  std::vector<Address> addresses() const;

  const MembershipStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_MEMBERSHIP_H_
