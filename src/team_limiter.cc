#include "team_limiter.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_map>

namespace gentiandeal {
namespace {

/// A nonzero usage that a peer has not repeated for this long is ignored: the
/// peer's share is then neither borrowed nor counted as needed.
constexpr Duration kPeerUsageLifetime{30000};
/// Demand counts for borrowing only once it has been reported to the peers for
/// this long, so that many instances do not borrow the same unused share at
/// once.
constexpr Duration kDemandSettleTime{1500};
/// Longest time for which the demand summed over the peers is cached.
constexpr Duration kPeerDemandLifetime{1000};
/// Time constant of the exponential decay of the demand for starts.
constexpr double kDemandDecayMs = 1000;
/// Capacity of the token bucket, as the time it takes to fill at the rate of
/// the instance's share.
constexpr double kBurstMs = 1000;
/// Demand below this many starts per second counts as zero.
constexpr double kMinDemandPerSecond = 0.05;
/// Relative change of the demand for starts that is reported to peers.
constexpr double kReportedDemandStep = 0.1;
/// Upper bound of the wait returned with a refusal by the rate limit.
constexpr Duration kMaxTokenWait{60000};

struct PeerUsage {
  TeamUsage usage_;
  Time received_at_;
};

/// Demand of the other live instances for one limit, compared with the equal
/// share of each.
struct PeerDemand {
  double excess_ = 0;  ///< Sum of the demand above the equal share.
  double unused_ = 0;  ///< Sum of the equal shares that demand leaves unused.
};

/// Demand that has been reported to the peers for at least
/// `kDemandSettleTime`. Decreases count at once.
class SettledDemand {
 public:
  void OnReported(double demand, Time now) {
    if (now - pending_since_ >= kDemandSettleTime) {
      settled_ = pending_;
      pending_ = demand;
      pending_since_ = now;
    }
    reported_ = demand;
    pending_ = std::min(pending_, demand);
    settled_ = std::min(settled_, demand);
  }
  /// The settled demand, at most `current`.
  double Value(double current, Time now) {
    if (now - pending_since_ >= kDemandSettleTime) OnReported(reported_, now);
    return std::min(settled_, current);
  }

 private:
  double reported_ = 0;
  double pending_ = 0;
  Time pending_since_;
  double settled_ = 0;
};

struct Team {
  std::string name_;
  uint32_t quota_ = 0;
  double rate_ = 0;
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  double start_demand_ = 0;  ///< Starts per second, decaying.
  double tokens_ = 0;
  Time refilled_at_;
  Time decayed_at_;
  bool never_refilled_ = true;  ///< The first refill fills the bucket.
  TeamUsage reported_;
  bool report_again_ = false;  ///< Set by new settings.
  SettledDemand settled_quota_demand_;
  SettledDemand settled_rate_demand_;
  std::unordered_map<uint64_t, PeerUsage> peers_;  ///< By incarnation.
  PeerDemand peer_quota_demand_;
  PeerDemand peer_rate_demand_;
  bool peer_demand_valid_ = false;  ///< For the two members above.
  Time peer_demand_expires_;

  bool limited() const { return quota_ != 0 || rate_ > 0; }
};

}  // namespace

class TeamLimiter::Impl {
 public:
  void SetSettings(const Settings& settings) {
    std::unordered_map<std::string, Team> previous;
    for (Team& team : teams_) previous.emplace(team.name_, std::move(team));
    teams_.clear();
    for (const TeamSettings& team_settings : settings.teams_) {
      const auto found = previous.find(team_settings.name_);
      Team team;
      if (found != previous.end()) team = std::move(found->second);
      team.name_ = team_settings.name_;
      team.quota_ = team_settings.task_quota_;
      team.rate_ = team_settings.starts_per_second_;
      team.peer_demand_valid_ = false;
      team.report_again_ = true;
      teams_.push_back(std::move(team));
    }
    any_limited_ = std::any_of(teams_.begin(), teams_.end(),
                               [](const Team& team) { return team.limited(); });
  }

  void SetInstances(uint32_t known, uint32_t live) {
    known_instances_ = std::max(1U, known);
    live_instances_ = std::clamp(live, 1U, known_instances_);
    for (Team& team : teams_) team.peer_demand_valid_ = false;
  }

  void SetPeerUsage(Incarnation peer, const TeamUsage& usage, Time now) {
    Team* team = FindTeam(usage.team_);
    if (team == nullptr || !team->limited()) return;
    if (team->peers_.size() >= config::kMaxPeers &&
        team->peers_.count(peer.value_) == 0) {
      return;
    }
    team->peers_[peer.value_] = {usage, now};
    team->peer_demand_valid_ = false;
  }

  void ForgetPeer(Incarnation peer) {
    for (Team& team : teams_) {
      if (team.peers_.erase(peer.value_) != 0) team.peer_demand_valid_ = false;
    }
  }

  bool TryTakeStarts(TeamHandle handle, uint32_t tasks, Time now,
                     Duration* retry_after) {
    Team* team = FindTeam(handle);
    if (team == nullptr || team->rate_ <= 0) return true;
    DecayStartDemand(team, now);
    team->start_demand_ += tasks * 1000 / kDemandDecayMs;
    UpdatePeerDemand(team, now);
    const double demand =
        team->settled_rate_demand_.Value(team->start_demand_, now);
    const double share =
        InstanceShare(team->rate_, demand, team->peer_rate_demand_);
    RefillTokens(team, share, now);
    // A job larger than the bucket starts when the bucket is full, and leaves
    // the balance negative.
    const double needed = std::min<double>(tasks, Burst(share));
    if (team->tokens_ >= needed) {
      team->tokens_ -= tasks;
      return true;
    }
    const double ms = (needed - team->tokens_) * 1000 / share;
    *retry_after =
        std::min(kMaxTokenWait, Duration{static_cast<int64_t>(std::ceil(ms))});
    return false;
  }

  bool MayRun(TeamHandle handle, Time now) {
    Team* team = FindTeam(handle);
    if (team == nullptr || team->quota_ == 0) return true;
    if (team->running_ == 0) return true;
    UpdatePeerDemand(team, now);
    const double demand =
        team->settled_quota_demand_.Value(team->running_ + team->waiting_, now);
    return team->running_ < std::floor(InstanceShare(team->quota_, demand,
                                                     team->peer_quota_demand_));
  }

  void OnStart(TeamHandle handle) {
    if (Team* team = FindTeam(handle)) ++team->running_;
  }

  void OnEnd(TeamHandle handle) {
    Team* team = FindTeam(handle);
    if (team != nullptr && team->running_ > 0) --team->running_;
  }

  void SetWaiting(TeamHandle handle, uint32_t waiting) {
    if (Team* team = FindTeam(handle)) team->waiting_ = waiting;
  }

  std::vector<TeamUsage> TakeChangedUsages(Time now) {
    std::vector<TeamUsage> changes;
    if (!any_limited_) return changes;
    for (size_t i = 0; i < teams_.size(); ++i) {
      Team& team = teams_[i];
      if (!team.limited()) continue;
      if (team.rate_ > 0) DecayStartDemand(&team, now);
      TeamUsage usage = team.reported_;
      usage.team_ = {static_cast<uint16_t>(i)};
      usage.running_ = team.quota_ == 0 ? 0 : team.running_;
      usage.waiting_ = team.quota_ == 0 ? 0 : team.waiting_;
      const double step = kReportedDemandStep * usage.starts_per_second_;
      if (std::abs(team.start_demand_ - usage.starts_per_second_) > step) {
        usage.starts_per_second_ = team.start_demand_;
      }
      const bool same =
          usage.running_ == team.reported_.running_ &&
          usage.waiting_ == team.reported_.waiting_ &&
          usage.starts_per_second_ == team.reported_.starts_per_second_;
      const bool zero = usage.running_ == 0 && usage.waiting_ == 0 &&
                        usage.starts_per_second_ <= 0;
      if (same && (zero || !team.report_again_)) continue;
      team.report_again_ = false;
      team.reported_ = usage;
      team.settled_quota_demand_.OnReported(usage.running_ + usage.waiting_,
                                            now);
      team.settled_rate_demand_.OnReported(usage.starts_per_second_, now);
      changes.push_back(usage);
    }
    return changes;
  }

 private:
  Team* FindTeam(TeamHandle handle) {
    return handle.value_ < teams_.size() ? &teams_[handle.value_] : nullptr;
  }
  static double Burst(double share) {
    return std::max(1.0, share * kBurstMs / 1000);
  }

  /// Equal share of a limit over the known instances, plus a part of what the
  /// other instances leave unused, in proportion to this instance's excess
  /// demand.
  double InstanceShare(double limit, double demand,
                       const PeerDemand& others) const {
    const double equal_share = limit / known_instances_;
    const double excess = demand - equal_share;
    if (excess <= 0) return equal_share;
    return equal_share + others.unused_ * excess / (excess + others.excess_);
  }

  void AddDemand(double limit, double demand, PeerDemand* others) const {
    const double equal_share = limit / known_instances_;
    others->excess_ += std::max(0.0, demand - equal_share);
    others->unused_ += std::max(0.0, equal_share - demand);
  }

  /// Sums the demand of the other live instances again if the cached sums are
  /// outdated.
  void UpdatePeerDemand(Team* team, Time now) const {
    if (team->peer_demand_valid_ && now < team->peer_demand_expires_) return;
    team->peer_demand_valid_ = true;
    team->peer_demand_expires_ = now + kPeerDemandLifetime;
    team->peer_quota_demand_ = {};
    team->peer_rate_demand_ = {};
    uint32_t remaining = live_instances_ - 1;
    for (const auto& [peer, usage] : team->peers_) {
      if (remaining == 0) break;
      --remaining;
      const TeamUsage& reported = usage.usage_;
      const bool nonzero = reported.running_ + reported.waiting_ > 0 ||
                           reported.starts_per_second_ > 0;
      if (nonzero && now - usage.received_at_ > kPeerUsageLifetime) continue;
      AddDemand(team->quota_, reported.running_ + reported.waiting_,
                &team->peer_quota_demand_);
      AddDemand(team->rate_, reported.starts_per_second_,
                &team->peer_rate_demand_);
    }
    // Live peers that report nothing for the team leave their equal shares
    // unused.
    team->peer_quota_demand_.unused_ +=
        static_cast<double>(remaining) * team->quota_ / known_instances_;
    team->peer_rate_demand_.unused_ +=
        remaining * team->rate_ / known_instances_;
  }

  static void DecayStartDemand(Team* team, Time now) {
    const auto ms = static_cast<double>((now - team->decayed_at_).ms_);
    team->decayed_at_ = now;
    team->start_demand_ *= std::exp(-ms / kDemandDecayMs);
    if (team->start_demand_ < kMinDemandPerSecond) team->start_demand_ = 0;
  }

  static void RefillTokens(Team* team, double share, Time now) {
    const double burst = Burst(share);
    const auto ms = static_cast<double>((now - team->refilled_at_).ms_);
    if (team->never_refilled_) team->tokens_ = burst;
    team->never_refilled_ = false;
    team->tokens_ = std::min(burst, team->tokens_ + share * ms / 1000);
    team->refilled_at_ = now;
  }

  std::vector<Team> teams_;
  uint32_t known_instances_ = 1;
  uint32_t live_instances_ = 1;
  bool any_limited_ = false;  ///< Some team has a quota or a rate limit.
};

TeamLimiter::TeamLimiter() : impl_(std::make_unique<Impl>()) {}
TeamLimiter::~TeamLimiter() = default;

void TeamLimiter::SetSettings(const Settings& settings) {
  impl_->SetSettings(settings);
}
void TeamLimiter::SetInstances(uint32_t known, uint32_t live) {
  impl_->SetInstances(known, live);
}
void TeamLimiter::SetPeerUsage(Incarnation peer, const TeamUsage& usage,
                               Time now) {
  impl_->SetPeerUsage(peer, usage, now);
}
void TeamLimiter::ForgetPeer(Incarnation peer) { impl_->ForgetPeer(peer); }
bool TeamLimiter::TryTakeStarts(TeamHandle team, uint32_t tasks, Time now,
                                Duration* retry_after) {
  return impl_->TryTakeStarts(team, tasks, now, retry_after);
}
bool TeamLimiter::MayRun(TeamHandle team, Time now) const {
  return impl_->MayRun(team, now);
}
void TeamLimiter::OnStart(TeamHandle team) { impl_->OnStart(team); }
void TeamLimiter::OnEnd(TeamHandle team) { impl_->OnEnd(team); }
void TeamLimiter::SetWaiting(TeamHandle team, uint32_t waiting) {
  impl_->SetWaiting(team, waiting);
}
std::vector<TeamUsage> TeamLimiter::TakeChangedUsages(Time now) {
  return impl_->TakeChangedUsages(now);
}

}  // namespace gentiandeal
