#include "team_usage_report.h"

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Time for which a usage that dropped to zero is repeated.
constexpr Duration kZeroUsageRepeatTime{10000};

uint32_t RoundToInteger(LogQuantizedNumber number) {
  return static_cast<uint32_t>(std::lround(number.Value()));
}

bool IsZero(const TeamUsage& usage) {
  return usage.running_ == 0 && usage.waiting_ == 0 &&
         usage.starts_per_second_ <= 0;
}

}  // namespace

void TeamUsageReport::SetSettings(const Settings& settings) {
  hash_of_team_.clear();
  team_of_hash_.clear();
  usages_.clear();
  pending_ = false;
  for (size_t i = 0; i < settings.teams_.size(); ++i) {
    const auto hash =
        static_cast<uint16_t>(HashName(settings.teams_[i].name_).value_);
    hash_of_team_.push_back(hash);
    const TeamHandle team{static_cast<uint16_t>(i)};
    const bool added = team_of_hash_.emplace(hash, team).second;
    // Teams whose hashes collide are not reported. They keep their equal
    // shares.
    if (!added) team_of_hash_[hash] = TeamHandle();
  }
}

bool TeamUsageReport::IsReported(TeamHandle team) const {
  if (team.value_ >= hash_of_team_.size()) return false;
  return team_of_hash_.at(hash_of_team_[team.value_]) == team;
}

void TeamUsageReport::Update(const std::vector<TeamUsage>& usages, Time now) {
  for (const TeamUsage& usage : usages) {
    if (!IsReported(usage.team_)) continue;
    usages_[usage.team_] = {usage, true, now + kZeroUsageRepeatTime};
    pending_ = true;
  }
}

std::vector<WireTeamUsage> TeamUsageReport::TakePending() {
  std::vector<WireTeamUsage> usages;
  pending_ = false;
  for (auto& [team, own_usage] : usages_) {
    if (!own_usage.pending_) continue;
    if (usages.size() == kMaxTeamsPerDatagram) {
      pending_ = true;
      break;
    }
    own_usage.pending_ = false;
    usages.push_back(ToWire(own_usage.usage_));
  }
  return usages;
}

std::vector<WireTeamUsage> TeamUsageReport::NextToRepeat(Time now) {
  std::erase_if(usages_, [now](const auto& entry) {
    return IsZero(entry.second.usage_) && now > entry.second.repeat_zero_until_;
  });
  std::vector<WireTeamUsage> usages;
  const size_t count = std::min(usages_.size(), kMaxTeamsPerDatagram);
  auto entry = usages_.upper_bound(last_repeated_);
  while (usages.size() < count) {
    if (entry == usages_.end()) entry = usages_.begin();
    usages.push_back(ToWire(entry->second.usage_));
    last_repeated_ = entry->first;
    ++entry;
  }
  return usages;
}

WireTeamUsage TeamUsageReport::ToWire(const TeamUsage& usage) const {
  return {hash_of_team_[usage.team_.value_],
          LogQuantizedNumber::From(usage.running_),
          LogQuantizedNumber::From(usage.waiting_),
          LogQuantizedNumber::From(usage.starts_per_second_)};
}

std::optional<TeamUsage> TeamUsageReport::FromWire(
    const WireTeamUsage& usage) const {
  const auto found = team_of_hash_.find(usage.team_);
  if (found == team_of_hash_.end() || !found->second.valid()) return {};
  return TeamUsage{found->second, RoundToInteger(usage.running_),
                   RoundToInteger(usage.waiting_),
                   usage.starts_per_second_.Value()};
}

}  // namespace gentiandeal
