#include "worker_choice.h"

#include <algorithm>
#include <cmath>

namespace gentiandeal {
namespace {

/// Standard deviation of a normal distribution over its mean absolute one, and
/// the slope of the logistic function that approximates its distribution.
constexpr double kDeviationPerSpread = 1.25;
constexpr double kLogisticSlope = 1.7;
/// Lowest spread: a shorter series of similar runs doesn't make run times
/// certain.
constexpr double kMinSpread = 0.1;

/// Cost of the expected run time, for each time that it exceeds the one on a
/// typical worker. Separates workers where a task is in time, or late, on all.
constexpr double kDelayCost = 0.05;
/// Cost of a fast worker for a task that a typical one would end in time, for
/// each unit of the logarithm of its speed.
constexpr double kReserveCost = 0.1;
/// Cost of CPU left over, for each multiple of the task's need. Among workers
/// alike, a tight fit leaves larger free blocks for larger tasks.
constexpr double kFitCost = 0.02;
/// Cost of the worker on which the task did not complete last: above that of a
/// certain delay.
constexpr double kAvoidCost = 2;

/// A task waits for another worker if its chance is below the first value here
/// and above the second on a typical worker.
constexpr double kPoorChance = 0.2;
constexpr double kGoodChance = 0.4;
/// Added to the first value for each further task of the batch, up to the
/// limit: with 8 tasks, one in twenty on a slow worker makes a third of the
/// jobs late. The second value exceeds the first by at least the gap.
constexpr double kPoorChancePerTask = 0.04;
constexpr double kMaxPoorChance = 0.5;
constexpr double kMinChanceGap = 0.1;

/// A run is restarted when its estimated remaining time reaches this multiple
/// of the expected run time plus the slack: a restart costs one run time, and
/// estimates are off by up to one. A task that was restarted before is likely
/// to take as long again.
constexpr double kRestartFactor = 2;
constexpr double kRepeatedRestartFactor = 4;
constexpr double kRestartSlackMs = 60;

/// Run time, and share of the expected run time, before which progress says
/// nothing about the speed; on a slow worker, it only confirms what is known.
constexpr double kMinProgressMs = 100;
constexpr double kMinProgressShare = 0.85;
constexpr double kMinProgressMsIfSlow = 40;
constexpr double kMinProgressShareIfSlow = 0.4;
/// Lowest share of a run that counts as done.
constexpr double kMinShareDone = 0.005;

double ToMs(Duration time) { return static_cast<double>(time.ms_); }

double ExpectedMs(const TaskDemand& task, const WorkerOffer& worker) {
  return std::max(1.0, ToMs(task.expected_)) * worker.ratio_;
}

}  // namespace

double ChanceInTime(const TaskDemand& task, const WorkerOffer& worker) {
  if (task.until_deadline_.ms_ <= 0) return 0;
  const double margin =
      std::log(ToMs(task.until_deadline_) / ExpectedMs(task, worker));
  const double deviation =
      kDeviationPerSpread * std::max(worker.spread_, kMinSpread);
  return 1 / (1 + std::exp(-kLogisticSlope * margin / deviation));
}

double PlacementCost(const TaskDemand& task, const WorkerOffer& worker) {
  WorkerOffer typical = worker;
  typical.ratio_ = 1;
  const double ratio = ExpectedMs(task, worker) / ExpectedMs(task, typical);
  double cost = 1 - ChanceInTime(task, worker) + kDelayCost * (ratio - 1) +
                kFitCost * worker.left_over_;
  if (ratio < 1) {
    cost -= kReserveCost * std::log(ratio) * ChanceInTime(task, typical);
  }
  if (worker.avoided_) cost += kAvoidCost;
  return cost;
}

double CostOverTypical(const TaskDemand& task, const WorkerOffer& worker) {
  WorkerOffer typical;
  typical.spread_ = worker.spread_;
  typical.left_over_ = worker.left_over_;
  return PlacementCost(task, worker) - PlacementCost(task, typical);
}

bool RatherWaits(const TaskDemand& task, const WorkerOffer& worker) {
  if (ExpectedMs(task, worker) <= ToMs(task.until_deadline_)) return false;
  WorkerOffer typical;
  typical.spread_ = worker.spread_;
  const double poor = std::min(
      kPoorChance + kPoorChancePerTask * (std::max(task.tasks_, 1U) - 1.0),
      kMaxPoorChance);
  return ChanceInTime(task, worker) < poor &&
         ChanceInTime(task, typical) >
             std::max(kGoodChance, poor + kMinChanceGap);
}

bool IsProgressTelling(const RunProgress& run) {
  const double min_ms =
      run.slow_worker_ ? kMinProgressMsIfSlow : kMinProgressMs;
  const double min_share =
      run.slow_worker_ ? kMinProgressShareIfSlow : kMinProgressShare;
  return ToMs(run.elapsed_) >=
         std::max(min_ms, min_share * ToMs(run.expected_));
}

bool ShouldRestart(const RunProgress& run) {
  if (!IsProgressTelling(run) || run.until_useless_ <= run.expected_) {
    return false;
  }
  const double share = std::clamp(run.share_done_, kMinShareDone, 1.0);
  const double left_ms = ToMs(run.elapsed_) * (1 - share) / share;
  if (left_ms <= ToMs(run.until_deadline_)) return false;
  const double factor = run.run_ > 1 ? kRepeatedRestartFactor : kRestartFactor;
  return left_ms >= factor * ToMs(run.expected_) + kRestartSlackMs;
}

}  // namespace gentiandeal
