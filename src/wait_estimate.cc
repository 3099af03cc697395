#include "wait_estimate.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// Estimate where no running task is expected to release any cores.
constexpr Duration kUnknownWait{60000};

/// Whether a queue class holds late tasks, which wait behind all others.
constexpr bool IsLateClass(size_t queue_class) {
  return queue_class % kUrgencyClasses == kUrgencyClasses - 1;
}

/// Number of tasks that fit into the free resources of one worker.
uint32_t CountInOne(const Resources& free, const Resources& need) {
  const auto quotient = [](int32_t available, int32_t requested) {
    return requested <= 0 ? INT32_MAX : std::max(0, available) / requested;
  };
  const int32_t count = std::min({quotient(free.cpu_milli_, need.cpu_milli_),
                                  quotient(free.memory_mb_, need.memory_mb_),
                                  quotient(free.gpu_, need.gpu_)});
  return static_cast<uint32_t>(count);
}

}  // namespace

uint32_t CountFitting(const std::vector<Resources>& free, const Resources& need,
                      uint32_t limit) {
  uint32_t count = 0;
  for (const Resources& worker : free) {
    if (count >= limit) return limit;
    count += std::min(limit - count, CountInOne(worker, need));
  }
  return count;
}

Resources* FindBestFit(std::vector<Resources>* free, const Resources& need) {
  Resources* best = nullptr;
  for (Resources& worker : *free) {
    if (!Fits(need, worker)) continue;
    if (best == nullptr || worker.cpu_milli_ < best->cpu_milli_) best = &worker;
  }
  return best;
}

WaitEstimate EstimateWait(const std::vector<const PoolLoad*>& loads,
                          const PlacementRequest& request) {
  WaitEstimate estimate;
  const size_t queue_class = QueueClass(request.band_, request.slack_);
  for (const PoolLoad* load : loads) {
    estimate.fitting_ += CountFitting(load->free_, request.need_,
                                      request.count_ - estimate.fitting_);
    estimate.released_per_s_ +=
        static_cast<double>(load->released_cpu_milli_per_s_);
    for (size_t band = 0; band < request.band_; ++band) {
      estimate.taken_per_s_ += load->started_cpu_milli_per_s_[band];
    }
    for (size_t i = 0; i <= queue_class; ++i) {
      if (i != queue_class && IsLateClass(i)) continue;
      estimate.ahead_milli_ += load->queued_cpu_milli_[i];
    }
  }
  estimate.requested_milli_ = static_cast<uint64_t>(request.need_.cpu_milli_) *
                              (request.count_ - estimate.fitting_);
  const double usable = estimate.released_per_s_ * kPackingEfficiency;
  estimate.usable_per_s_ =
      std::max(usable - estimate.taken_per_s_, usable * kLeastShareOfRelease);
  if (estimate.fitting_ >= request.count_) return estimate;
  if (estimate.released_per_s_ == 0) {
    estimate.wait_ = kUnknownWait;
    return estimate;
  }
  estimate.wait_ = {static_cast<int64_t>(
      static_cast<double>(estimate.ahead_milli_ + estimate.requested_milli_) *
      1000 / estimate.usable_per_s_)};
  return estimate;
}

}  // namespace gentiandeal
