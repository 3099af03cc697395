#ifndef GENTIANDEAL_SRC_TEAM_USAGE_REPORT_H_
#define GENTIANDEAL_SRC_TEAM_USAGE_REPORT_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"
#include "settings.h"
#include "team_limiter.h"

namespace gentiandeal {

/// Usage of the teams' quotas and rate limits by this instance: what has to be
/// reported to peers, and what is repeated in heartbeats. On the wire, a team
/// is identified by a hash of its path.
class TeamUsageReport {
 public:
  /// Sets the teams of a newer settings revision and drops all usages; they
  /// have to be passed to `Update` again.
  void SetSettings(const Settings& settings);

  /// Stores usages that changed, as pending.
  void Update(const std::vector<TeamUsage>& usages, Time now);

  /// Whether some usage has not been reported yet.
  bool pending() const { return pending_; }
  /// Returns pending usages, at most as many as fit one datagram, and marks
  /// them as reported.
  std::vector<WireTeamUsage> TakePending();
  /// Returns the usages to repeat in the next heartbeat, in round-robin order,
  /// at most as many as fit one datagram. Drops usages that have been zero for
  /// long enough.
  std::vector<WireTeamUsage> NextToRepeat(Time now);

  /// Converts a peer's usage; empty when the team is not known here.
  std::optional<TeamUsage> FromWire(const WireTeamUsage& usage) const;

 private:
  struct OwnUsage {
    TeamUsage usage_;
    bool pending_ = true;
    Time repeat_zero_until_;  ///< A zero usage is repeated until then.
  };

  bool IsReported(TeamHandle team) const;
  WireTeamUsage ToWire(const TeamUsage& usage) const;

  std::vector<uint16_t> hash_of_team_;
  std::unordered_map<uint16_t, TeamHandle> team_of_hash_;
  std::map<TeamHandle, OwnUsage> usages_;
  TeamHandle last_repeated_;
  bool pending_ = false;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TEAM_USAGE_REPORT_H_
