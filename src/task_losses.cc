#include "task_losses.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// A task that crashes its worker does so soon after its start.
constexpr Duration kCrashWindow{250};

constexpr Duration kExpiryInterval{1000};

constexpr uint8_t Increment(uint8_t count) {
  return static_cast<uint8_t>(std::min(count + 1, 255));
}

}  // namespace

WorkerLosses TaskLossLedger::Find(const std::string& task) const {
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? WorkerLosses{} : found->second.losses_;
}

void TaskLossLedger::Set(const std::string& task, const WorkerLosses& losses,
                         Time now) {
  if (tasks_.size() >= kMaxTasks && tasks_.count(task) == 0) {
    ++evicted_;
    tasks_.erase(std::min_element(tasks_.begin(), tasks_.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.until_ < b.second.until_;
                                  }));
  }
  tasks_[task] = {losses, now + kMemory};
}

bool TaskLossLedger::Merge(const TaskLosses& known, Time now) {
  const WorkerLosses before = Find(known.task_);
  const WorkerLosses merged{std::max(before.lost_, known.losses_.lost_),
                            std::max(before.crashes_, known.losses_.crashes_)};
  if (merged == before) return false;
  Set(known.task_, merged, now);
  return true;
}

std::vector<TaskLosses> TaskLossLedger::Charge(const std::vector<LostRun>& runs,
                                               LossCause cause, Time lost_at,
                                               Time now) {
  // Neither a start that met a worker which was already gone, nor a run that
  // had ended, shows anything.
  const auto suspected = [&](const LostRun& run) {
    return cause == LossCause::kCrash && run.running_ &&
           lost_at - run.sent_at_ <= kCrashWindow;
  };
  uint8_t most_crashes = 0;
  for (const LostRun& run : runs) {
    if (!suspected(run)) continue;
    most_crashes = std::max(most_crashes, Find(run.task_).crashes_);
  }
  std::vector<TaskLosses> charged;
  for (const LostRun& run : runs) {
    WorkerLosses losses = Find(run.task_);
    losses.lost_ = Increment(losses.lost_);
    if (suspected(run) && losses.crashes_ == most_crashes) {
      losses.crashes_ = Increment(losses.crashes_);
    }
    charged.push_back({run.task_, losses});
  }
  for (const TaskLosses& task : charged) Set(task.task_, task.losses_, now);
  return charged;
}

std::vector<TaskLosses> TaskLossLedger::Suspects() const {
  std::vector<TaskLosses> suspects;
  for (const auto& [task, entry] : tasks_) {
    if (entry.losses_.crashes_ > 0 || entry.losses_.lost_ > 1) {
      suspects.push_back({task, entry.losses_});
    }
  }
  return suspects;
}

void TaskLossLedger::Expire(Time now) {
  if (now - expired_at_ < kExpiryInterval) return;
  expired_at_ = now;
  std::erase_if(
      tasks_, [now](const auto& entry) { return entry.second.until_ <= now; });
}

}  // namespace gentiandeal
