#ifndef GENTIANDEAL_SRC_TEAM_GUARDS_H_
#define GENTIANDEAL_SRC_TEAM_GUARDS_H_

#include "gentiandeal_p.h"
#include "settings.h"

namespace gentiandeal {

/// What one instance uses of a team's guards, told to its peers.
struct TeamUse {
  TeamHandle team_;
  uint32_t running_ = 0;          ///< Tasks running now.
  uint32_t waiting_ = 0;          ///< Tasks held back by the quota.
  double starts_per_second_ = 0;  ///< Recent demand, granted or not.
};

/// Quotas and rate limits of teams, held by instances that do not agree.
/// Each instance enforces its share: the limit over the known instances, and
/// of what live peers leave unused a part that follows its own demand. A limit
/// of 0 is off and costs one comparison.
class TeamGuards {
 public:
  TeamGuards();
  ~TeamGuards();

  /// Takes the limits of a newer revision. Teams keep use by their name.
  void SetSettings(const Settings& settings);

  /// Instances everywhere, this one included.
  /// @param known Live or listed (`PeersChanged::known_instances_`): a
  ///     partition does not change it, so static shares stay.
  /// @param live Heard of now; the shares of the others are not lent out.
  void SetInstances(uint32_t known, uint32_t live = UINT32_MAX);
  /// What a peer last said of a team, and its loss.
  void SetPeerUse(Incarnation peer, const TeamUse& use, Time now);
  void ForgetPeer(Incarnation peer);

  /// Takes `tasks` starts from the team's rate limit, or none.
  /// @param retry_after Set when refused.
  bool TakeStarts(TeamHandle team, uint32_t tasks, Time now,
                  Duration* retry_after);
  /// Whether one more task of the team may run here now. Every instance may
  /// run one, however small the quota.
  bool MayRun(TeamHandle team, Time now) const;
  void OnStart(TeamHandle team);
  void OnEnd(TeamHandle team);
  void SetWaiting(TeamHandle team, uint32_t waiting);

  /// Uses that changed since the last call, for the next datagrams.
  std::vector<TeamUse> TakeChanges(Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TEAM_GUARDS_H_
