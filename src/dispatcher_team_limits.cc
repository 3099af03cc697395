#include <algorithm>

#include "dispatcher_impl.h"

namespace gentiandeal {

TeamHandle Dispatcher::Impl::AddTeam(const TeamSettings& settings) {
  const auto known = [&](const Team& t) { return t.name_ == settings.name_; };
  auto entry = std::find_if(teams_.begin(), teams_.end(), known);
  if (entry == teams_.end() && teams_.size() < config::kMaxTeams) {
    entry = teams_.emplace(teams_.end());
  }
  if (entry == teams_.end()) {
    const auto unused = [&](const Team& team) {
      const auto index = static_cast<uint16_t>(&team - teams_.data());
      return !team.settings_handle_.valid() && team.open_jobs_ == 0 &&
             buffer_account_.team_total({index}) == 0;
    };
    entry = std::find_if(teams_.begin(), teams_.end(), unused);
    if (entry == teams_.end()) return {};
    *entry = Team{};
  }
  entry->name_ = settings.name_;
  entry->settings_ = settings;
  const auto index = static_cast<uint16_t>(entry - teams_.begin());
  queue_.SetTeam({index}, settings.weight_);
  return {index};
}

std::optional<Dispatcher::Impl::Refusal> Dispatcher::Impl::ChargeRateLimit(
    const Job& job, Time now) {
  const Team& team = teams_[job.team_.value_];
  if (!team.settings_handle_.valid()) return std::nullopt;
  const auto tasks = static_cast<uint32_t>(job.tasks_.size());
  Duration retry_after;
  if (team_limiter_.TryTakeStarts(team.settings_handle_, tasks, now,
                                  &retry_after)) {
    return std::nullopt;
  }
  return Refusal{Errc::kRateLimited, retry_after};
}

bool Dispatcher::Impl::CheckQuota(TeamHandle handle, Time now) {
  Team& team = teams_[handle.value_];
  if (!team.settings_handle_.valid()) return true;
  if (team_limiter_.MayRun(team.settings_handle_, now)) return true;
  team.blocked_ = true;
  queue_.SetBlocked(handle, true);
  if (!team.recheck_) teams_to_recheck_.push_back(handle);
  team.recheck_ = true;
  return false;
}

void Dispatcher::Impl::OnTaskStart(TeamHandle handle) {
  Team& team = teams_[handle.value_];
  ++team.running_tasks_;
  if (team.settings_handle_.valid()) {
    team_limiter_.OnStart(team.settings_handle_);
  }
  ReportWaitingTasks(handle);
}

void Dispatcher::Impl::OnTaskEnd(TeamHandle handle) {
  Team& team = teams_[handle.value_];
  --team.running_tasks_;
  if (team.settings_handle_.valid()) team_limiter_.OnEnd(team.settings_handle_);
  if (!team.blocked_) return;
  team.blocked_ = false;
  queue_.SetBlocked(handle, false);
}

void Dispatcher::Impl::ReportWaitingTasks(TeamHandle handle) {
  const Team& team = teams_[handle.value_];
  if (team.settings_.task_quota_ == 0 || !team.settings_handle_.valid()) return;
  team_limiter_.SetWaiting(team.settings_handle_, queue_.size(handle));
}

void Dispatcher::Impl::UnblockTeams(Time now) {
  const auto unblock = [&](TeamHandle handle) {
    Team& team = teams_[handle.value_];
    const bool still_blocked =
        team.blocked_ && team.settings_handle_.valid() &&
        !team_limiter_.MayRun(team.settings_handle_, now);
    if (still_blocked) return false;
    team.blocked_ = false;
    team.recheck_ = false;
    queue_.SetBlocked(handle, false);
    return true;
  };
  std::erase_if(teams_to_recheck_, unblock);
}

}  // namespace gentiandeal
