#ifndef GENTIANDEAL_SRC_TEAM_USE_REPORT_H_
#define GENTIANDEAL_SRC_TEAM_USE_REPORT_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"
#include "settings.h"
#include "team_guards.h"

namespace gentiandeal {

/// Own use of the teams' guards: what peers are yet to be told, and what is
/// repeated to them. Names teams on the wire by a hash of their path.
class TeamUseReport {
 public:
  /// Takes the teams of a newer revision; uses have to be taken anew.
  void SetSettings(const Settings& settings);

  /// Takes uses that changed.
  void Take(const std::vector<TeamUse>& uses, Time now);

  /// Whether some use was not yet told.
  bool pending() const { return pending_; }
  /// Uses not yet told, as many as one datagram holds.
  std::vector<WireTeamUse> TakePending();
  /// Uses to repeat in a heartbeat, a few in turn.
  std::vector<WireTeamUse> NextRepeated(Time now);

  /// Reads a peer's use; nothing when the team is not known here.
  std::optional<TeamUse> Read(const WireTeamUse& use) const;

 private:
  struct OwnUse {
    TeamUse use_;
    bool pending_ = true;
    Time zero_until_;  ///< Repeated until then once it is zero.
  };

  bool Reported(TeamHandle team) const;
  WireTeamUse ToWire(const TeamUse& use) const;

  std::vector<uint16_t> hash_of_team_;
  std::unordered_map<uint16_t, TeamHandle> team_of_hash_;
  std::map<TeamHandle, OwnUse> uses_;
  TeamHandle last_repeated_;
  bool pending_ = false;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TEAM_USE_REPORT_H_
