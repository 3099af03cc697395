#include "team_use_report.h"

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Time for which a team's use of nothing is repeated.
constexpr Duration kZeroUseRepeat{10000};

uint32_t Whole(CoarseNumber number) {
  return static_cast<uint32_t>(std::lround(number.Value()));
}

bool IsZero(const TeamUse& use) {
  return use.running_ == 0 && use.waiting_ == 0 && use.starts_per_second_ <= 0;
}

}  // namespace

void TeamUseReport::SetSettings(const Settings& settings) {
  hash_of_team_.clear();
  team_of_hash_.clear();
  uses_.clear();
  pending_ = false;
  for (size_t i = 0; i < settings.teams_.size(); ++i) {
    const auto hash =
        static_cast<uint16_t>(HashName(settings.teams_[i].name_).value_);
    hash_of_team_.push_back(hash);
    const TeamHandle team{static_cast<uint16_t>(i)};
    const bool added = team_of_hash_.emplace(hash, team).second;
    // Teams that collide are not reported: they keep their equal parts.
    if (!added) team_of_hash_[hash] = TeamHandle();
  }
}

bool TeamUseReport::Reported(TeamHandle team) const {
  if (team.value_ >= hash_of_team_.size()) return false;
  return team_of_hash_.at(hash_of_team_[team.value_]) == team;
}

void TeamUseReport::Take(const std::vector<TeamUse>& uses, Time now) {
  for (const TeamUse& use : uses) {
    if (!Reported(use.team_)) continue;
    uses_[use.team_] = {use, true, now + kZeroUseRepeat};
    pending_ = true;
  }
}

std::vector<WireTeamUse> TeamUseReport::TakePending() {
  std::vector<WireTeamUse> uses;
  pending_ = false;
  for (auto& [team, own] : uses_) {
    if (!own.pending_) continue;
    if (uses.size() == kMaxTeamsPerDatagram) {
      pending_ = true;
      break;
    }
    own.pending_ = false;
    uses.push_back(ToWire(own.use_));
  }
  return uses;
}

std::vector<WireTeamUse> TeamUseReport::NextRepeated(Time now) {
  std::erase_if(uses_, [now](const auto& entry) {
    return IsZero(entry.second.use_) && now > entry.second.zero_until_;
  });
  std::vector<WireTeamUse> uses;
  const size_t count = std::min(uses_.size(), kMaxTeamsPerDatagram);
  auto entry = uses_.upper_bound(last_repeated_);
  while (uses.size() < count) {
    if (entry == uses_.end()) entry = uses_.begin();
    uses.push_back(ToWire(entry->second.use_));
    last_repeated_ = entry->first;
    ++entry;
  }
  return uses;
}

WireTeamUse TeamUseReport::ToWire(const TeamUse& use) const {
  return {hash_of_team_[use.team_.value_], CoarseNumber::From(use.running_),
          CoarseNumber::From(use.waiting_),
          CoarseNumber::From(use.starts_per_second_)};
}

std::optional<TeamUse> TeamUseReport::Read(const WireTeamUse& use) const {
  const auto found = team_of_hash_.find(use.team_);
  if (found == team_of_hash_.end() || !found->second.valid()) return {};
  return TeamUse{found->second, Whole(use.running_), Whole(use.waiting_),
                 use.starts_per_second_.Value()};
}

}  // namespace gentiandeal
