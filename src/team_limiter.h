#ifndef GENTIANDEAL_SRC_TEAM_LIMITER_H_
#define GENTIANDEAL_SRC_TEAM_LIMITER_H_

#include "gentiandeal_p.h"
#include "settings.h"

namespace gentiandeal {

/// Usage of one team's quota and rate limit at one instance, as reported to
/// its peers.
struct TeamUsage {
  TeamHandle team_;
  uint32_t running_ = 0;  ///< Tasks running now; 0 without a quota.
  uint32_t waiting_ = 0;  ///< Tasks held back by the quota; 0 without one.
  /// Decaying average of the requested task starts, admitted or refused.
  double starts_per_second_ = 0;
};

/// Enforces the quotas and rate limits of teams across all instances without
/// consensus between them. Each instance enforces its own share: the limit
/// divided by the number of known instances, plus a part of what live peers
/// leave unused, in proportion to its demand above that equal share. A limit
/// of 0 is off and costs one comparison.
class TeamLimiter {
 public:
  TeamLimiter();
  ~TeamLimiter();

  /// Applies the limits of a newer settings revision. Teams that keep their
  /// name keep their usage.
  void SetSettings(const Settings& settings);

  /// Sets the numbers of instances in all data centres, this one included.
  /// @param known Live or listed (`PeersChanged::known_instances_`): a
  ///     partition does not change it, so the equal shares stay the same.
  /// @param live Live now, by default all. The shares of known instances that
  ///     are not live are not borrowed.
  void SetInstances(uint32_t known, uint32_t live = UINT32_MAX);
  /// Stores the latest usage of a team that a peer reported.
  void SetPeerUsage(Incarnation peer, const TeamUsage& usage, Time now);
  /// Drops the usages of a lost peer.
  void ForgetPeer(Incarnation peer);

  /// Takes `tasks` starts from the team's rate limit, all or none.
  /// @param retry_after When refused, set to the time until the starts are
  ///     available, at most one minute.
  /// @returns whether the starts were taken.
  bool TryTakeStarts(TeamHandle team, uint32_t tasks, Time now,
                     Duration* retry_after);
  /// Whether one more task of the team may run here now. Every instance may
  /// always run one task of a team, however small the quota.
  bool MayRun(TeamHandle team, Time now) const;
  /// Counts the start and the end of a task of the team.
  void OnStart(TeamHandle team);
  void OnEnd(TeamHandle team);
  /// Sets the number of the team's tasks that wait here.
  void SetWaiting(TeamHandle team, uint32_t waiting);

  /// Returns the usages that changed since the last call, to be sent to peers.
  std::vector<TeamUsage> TakeChangedUsages(Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TEAM_LIMITER_H_
