#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {

TeamHandle Dispatcher::Impl::AddTeam(const TeamSettings& settings) {
  const auto known = [&](const Team& t) { return t.name_ == settings.name_; };
  auto found = std::find_if(teams_.begin(), teams_.end(), known);
  if (found == teams_.end() && teams_.size() < config::kMaxTeams) {
    found = teams_.emplace(teams_.end());
  }
  if (found == teams_.end()) {
    const auto unused = [&](const Team& team) {
      const auto index = static_cast<uint16_t>(&team - teams_.data());
      return !team.in_settings_.valid() && team.jobs_ == 0 &&
             account_.of({index}) == 0;
    };
    found = std::find_if(teams_.begin(), teams_.end(), unused);
    if (found == teams_.end()) return {};
    *found = Team{};
  }
  found->name_ = settings.name_;
  found->settings_ = settings;
  const auto index = static_cast<uint16_t>(found - teams_.begin());
  queue_.SetTeam({index}, settings.weight_);
  return {index};
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::TakeStarts(
    const Job& job, Time now) {
  const Team& team = teams_[job.team_.value_];
  if (!team.in_settings_.valid()) return std::nullopt;
  const auto tasks = static_cast<uint32_t>(job.tasks_.size());
  Duration retry_after;
  if (guards_.TakeStarts(team.in_settings_, tasks, now, &retry_after)) {
    return std::nullopt;
  }
  return Refusal{Errc::kRateLimited, retry_after};
}

bool Dispatcher::Impl::MayStart(TeamHandle handle, Time now) {
  Team& team = teams_[handle.value_];
  if (!team.in_settings_.valid()) return true;
  if (guards_.MayRun(team.in_settings_, now)) return true;
  team.blocked_ = true;
  queue_.SetBlocked(handle, true);
  if (!team.watched_) watched_teams_.push_back(handle);
  team.watched_ = true;
  return false;
}

void Dispatcher::Impl::CountStart(TeamHandle handle) {
  Team& team = teams_[handle.value_];
  ++team.running_;
  if (team.in_settings_.valid()) guards_.OnStart(team.in_settings_);
  TellWaiting(handle);
}

void Dispatcher::Impl::CountEnd(TeamHandle handle) {
  Team& team = teams_[handle.value_];
  --team.running_;
  if (team.in_settings_.valid()) guards_.OnEnd(team.in_settings_);
  if (!team.blocked_) return;
  team.blocked_ = false;
  queue_.SetBlocked(handle, false);
}

void Dispatcher::Impl::TellWaiting(TeamHandle handle) {
  const Team& team = teams_[handle.value_];
  if (team.settings_.task_quota_ == 0 || !team.in_settings_.valid()) return;
  guards_.SetWaiting(team.in_settings_, queue_.size(handle));
}

void Dispatcher::Impl::ReleaseTeams(Time now) {
  const auto released = [&](TeamHandle handle) {
    Team& team = teams_[handle.value_];
    const bool held = team.blocked_ && team.in_settings_.valid() &&
                      !guards_.MayRun(team.in_settings_, now);
    if (held) return false;
    team.blocked_ = false;
    team.watched_ = false;
    queue_.SetBlocked(handle, false);
    return true;
  };
  std::erase_if(watched_teams_, released);
}

}  // namespace gentiandeal
