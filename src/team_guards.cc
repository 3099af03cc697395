#include "team_guards.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_map>

namespace gentiandeal {
namespace {

/// After this time without a word a peer's use is no longer relied on: its
/// part is neither lent out nor asked for.
constexpr Duration kUseLifetime{30000};
/// Demand borrows only once peers have known it for this long, so that many
/// instances do not borrow the same unused part at once.
constexpr Duration kSettle{1500};
/// Longest time for which sums over peers are kept.
constexpr Duration kSumLifetime{1000};
/// Time constant of the measured demand for starts.
constexpr double kDemandMs = 1000;
/// Starts that may be saved up, in time at the share.
constexpr double kBurstMs = 1000;
/// Demand below this many starts a second is none.
constexpr double kLeastDemand = 0.05;
/// Change of demand that is worth a word to peers.
constexpr double kDemandStep = 0.1;
/// Longest wait that is told to a refused caller.
constexpr Duration kMaxRetryAfter{60000};

struct PeerUse {
  TeamUse use_;
  Time at_;
};

/// What other live instances want and leave of a limit, against equal parts.
struct Others {
  double excess_ = 0;
  double unused_ = 0;
};

/// Demand that peers were told and had time to take into account.
class SettledDemand {
 public:
  void Told(double demand, Time now) {
    if (now - candidate_at_ >= kSettle) {
      settled_ = candidate_;
      candidate_ = demand;
      candidate_at_ = now;
    }
    told_ = demand;
    candidate_ = std::min(candidate_, demand);
    settled_ = std::min(settled_, demand);
  }
  double Value(double current, Time now) {
    if (now - candidate_at_ >= kSettle) Told(told_, now);
    return std::min(settled_, current);
  }

 private:
  double told_ = 0;
  double candidate_ = 0;
  Time candidate_at_;
  double settled_ = 0;
};

struct Team {
  std::string name_;
  uint32_t quota_ = 0;
  double rate_ = 0;
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  double demand_ = 0;  ///< Starts a second, decaying.
  double tokens_ = 0;
  Time refilled_;
  Time decayed_;
  bool fresh_ = true;  ///< No token was counted yet.
  TeamUse told_;
  bool tell_again_ = false;  ///< Peers are told anew after new settings.
  SettledDemand quota_demand_;
  SettledDemand rate_demand_;
  std::unordered_map<uint64_t, PeerUse> peers_;  ///< By incarnation.
  Others quota_others_;
  Others rate_others_;
  bool summed_ = false;  ///< The two above are up to date, until:
  Time summed_until_;

  bool guarded() const { return quota_ != 0 || rate_ > 0; }
};

}  // namespace

class TeamGuards::Impl {
 public:
  void SetSettings(const Settings& settings) {
    std::unordered_map<std::string, Team> known;
    for (Team& team : teams_) known.emplace(team.name_, std::move(team));
    teams_.clear();
    for (const TeamSettings& branch : settings.teams_) {
      const auto found = known.find(branch.name_);
      Team team;
      if (found != known.end()) team = std::move(found->second);
      team.name_ = branch.name_;
      team.quota_ = branch.task_quota_;
      team.rate_ = branch.starts_per_second_;
      team.summed_ = false;
      team.tell_again_ = true;
      teams_.push_back(std::move(team));
    }
    any_ = std::any_of(teams_.begin(), teams_.end(),
                       [](const Team& team) { return team.guarded(); });
  }

  void SetInstances(uint32_t known, uint32_t live) {
    known_ = std::max(1U, known);
    live_ = std::clamp(live, 1U, known_);
    for (Team& team : teams_) team.summed_ = false;
  }

  void SetPeerUse(Incarnation peer, const TeamUse& use, Time now) {
    Team* team = Find(use.team_);
    if (team == nullptr || !team->guarded()) return;
    if (team->peers_.size() >= config::kMaxPeers &&
        team->peers_.count(peer.value_) == 0) {
      return;
    }
    team->peers_[peer.value_] = {use, now};
    team->summed_ = false;
  }

  void ForgetPeer(Incarnation peer) {
    for (Team& team : teams_) {
      if (team.peers_.erase(peer.value_) != 0) team.summed_ = false;
    }
  }

  bool TakeStarts(TeamHandle handle, uint32_t tasks, Time now,
                  Duration* retry_after) {
    Team* team = Find(handle);
    if (team == nullptr || team->rate_ <= 0) return true;
    Decay(team, now);
    team->demand_ += tasks * 1000 / kDemandMs;
    Sum(team, now);
    const double demand = team->rate_demand_.Value(team->demand_, now);
    const double share = Share(team->rate_, demand, team->rate_others_);
    Refill(team, share, now);
    // A job larger than the burst starts on a full bucket and leaves a debt.
    const double needed = std::min<double>(tasks, Burst(share));
    if (team->tokens_ >= needed) {
      team->tokens_ -= tasks;
      return true;
    }
    const double ms = (needed - team->tokens_) * 1000 / share;
    *retry_after =
        std::min(kMaxRetryAfter, Duration{static_cast<int64_t>(std::ceil(ms))});
    return false;
  }

  bool MayRun(TeamHandle handle, Time now) {
    Team* team = Find(handle);
    if (team == nullptr || team->quota_ == 0) return true;
    if (team->running_ == 0) return true;
    Sum(team, now);
    const double demand =
        team->quota_demand_.Value(team->running_ + team->waiting_, now);
    return team->running_ <
           std::floor(Share(team->quota_, demand, team->quota_others_));
  }

  void OnStart(TeamHandle handle) {
    if (Team* team = Find(handle)) ++team->running_;
  }

  void OnEnd(TeamHandle handle) {
    Team* team = Find(handle);
    if (team != nullptr && team->running_ > 0) --team->running_;
  }

  void SetWaiting(TeamHandle handle, uint32_t waiting) {
    if (Team* team = Find(handle)) team->waiting_ = waiting;
  }

  std::vector<TeamUse> TakeChanges(Time now) {
    std::vector<TeamUse> changes;
    if (!any_) return changes;
    for (size_t i = 0; i < teams_.size(); ++i) {
      Team& team = teams_[i];
      if (!team.guarded()) continue;
      if (team.rate_ > 0) Decay(&team, now);
      TeamUse use = team.told_;
      use.team_ = {static_cast<uint16_t>(i)};
      use.running_ = team.quota_ == 0 ? 0 : team.running_;
      use.waiting_ = team.quota_ == 0 ? 0 : team.waiting_;
      const double step = kDemandStep * use.starts_per_second_;
      if (std::abs(team.demand_ - use.starts_per_second_) > step) {
        use.starts_per_second_ = team.demand_;
      }
      const bool same = use.running_ == team.told_.running_ &&
                        use.waiting_ == team.told_.waiting_ &&
                        use.starts_per_second_ == team.told_.starts_per_second_;
      const bool nothing =
          use.running_ == 0 && use.waiting_ == 0 && use.starts_per_second_ <= 0;
      if (same && (nothing || !team.tell_again_)) continue;
      team.tell_again_ = false;
      team.told_ = use;
      team.quota_demand_.Told(use.running_ + use.waiting_, now);
      team.rate_demand_.Told(use.starts_per_second_, now);
      changes.push_back(use);
    }
    return changes;
  }

 private:
  Team* Find(TeamHandle handle) {
    return handle.value_ < teams_.size() ? &teams_[handle.value_] : nullptr;
  }
  static double Burst(double share) {
    return std::max(1.0, share * kBurstMs / 1000);
  }

  /// Equal part of a limit, and by own excess a part of what others leave.
  double Share(double limit, double demand, const Others& others) const {
    const double part = limit / known_;
    const double excess = demand - part;
    if (excess <= 0) return part;
    return part + others.unused_ * excess / (excess + others.excess_);
  }

  void AddDemand(double limit, double demand, Others* others) const {
    const double part = limit / known_;
    others->excess_ += std::max(0.0, demand - part);
    others->unused_ += std::max(0.0, part - demand);
  }

  /// Sums up the other live instances, when something changed.
  void Sum(Team* team, Time now) const {
    if (team->summed_ && now < team->summed_until_) return;
    team->summed_ = true;
    team->summed_until_ = now + kSumLifetime;
    team->quota_others_ = {};
    team->rate_others_ = {};
    uint32_t left = live_ - 1;
    for (const auto& [peer, use] : team->peers_) {
      if (left == 0) break;
      --left;
      const TeamUse& told = use.use_;
      const bool uses =
          told.running_ + told.waiting_ > 0 || told.starts_per_second_ > 0;
      if (uses && now - use.at_ > kUseLifetime) continue;
      AddDemand(team->quota_, told.running_ + told.waiting_,
                &team->quota_others_);
      AddDemand(team->rate_, told.starts_per_second_, &team->rate_others_);
    }
    // Live peers that say nothing of the team use nothing of it.
    team->quota_others_.unused_ +=
        static_cast<double>(left) * team->quota_ / known_;
    team->rate_others_.unused_ += left * team->rate_ / known_;
  }

  static void Decay(Team* team, Time now) {
    const auto ms = static_cast<double>((now - team->decayed_).ms_);
    team->decayed_ = now;
    team->demand_ *= std::exp(-ms / kDemandMs);
    if (team->demand_ < kLeastDemand) team->demand_ = 0;
  }

  static void Refill(Team* team, double share, Time now) {
    const double burst = Burst(share);
    const auto ms = static_cast<double>((now - team->refilled_).ms_);
    if (team->fresh_) team->tokens_ = burst;
    team->fresh_ = false;
    team->tokens_ = std::min(burst, team->tokens_ + share * ms / 1000);
    team->refilled_ = now;
  }

  std::vector<Team> teams_;
  uint32_t known_ = 1;
  uint32_t live_ = 1;
  bool any_ = false;  ///< Some team has a guard.
};

TeamGuards::TeamGuards() : impl_(std::make_unique<Impl>()) {}
TeamGuards::~TeamGuards() = default;

void TeamGuards::SetSettings(const Settings& settings) {
  impl_->SetSettings(settings);
}
void TeamGuards::SetInstances(uint32_t known, uint32_t live) {
  impl_->SetInstances(known, live);
}
void TeamGuards::SetPeerUse(Incarnation peer, const TeamUse& use, Time now) {
  impl_->SetPeerUse(peer, use, now);
}
void TeamGuards::ForgetPeer(Incarnation peer) { impl_->ForgetPeer(peer); }
bool TeamGuards::TakeStarts(TeamHandle team, uint32_t tasks, Time now,
                            Duration* retry_after) {
  return impl_->TakeStarts(team, tasks, now, retry_after);
}
bool TeamGuards::MayRun(TeamHandle team, Time now) const {
  return impl_->MayRun(team, now);
}
void TeamGuards::OnStart(TeamHandle team) { impl_->OnStart(team); }
void TeamGuards::OnEnd(TeamHandle team) { impl_->OnEnd(team); }
void TeamGuards::SetWaiting(TeamHandle team, uint32_t waiting) {
  impl_->SetWaiting(team, waiting);
}
std::vector<TeamUse> TeamGuards::TakeChanges(Time now) {
  return impl_->TakeChanges(now);
}

}  // namespace gentiandeal
