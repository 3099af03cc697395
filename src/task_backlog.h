#ifndef GENTIANDEAL_SRC_TASK_BACKLOG_H_
#define GENTIANDEAL_SRC_TASK_BACKLOG_H_

#include <map>
#include <set>
#include <unordered_map>

#include "leased_worker.h"

/// Waiting batches of an owner, indexed by priority, urgency and size, so that
/// the cost of a decision doesn't grow with their number. Performs no I/O and
/// reads no clock.
namespace gentiandeal {

/// Identifies a batch of identical tasks at its owner.
using BatchId = Id<struct BatchTag, uint64_t, 0>;

/// Identical tasks that wait together.
struct WaitingBatch {
  BatchId id_;
  uint8_t band_ = 0;
  bool started_ = false;  ///< A task of the job has started.
  std::string pool_;
  std::string label_;
  Resources need_;      ///< Of each task.
  uint32_t count_ = 0;  ///< Tasks that wait.
  Time start_by_;       ///< Latest start to meet the latency objective.
  Time expires_at_;     ///< A start after this would be useless.
};

/// Order of service: tasks that can be on time before late ones; among those by
/// priority band, then batches whose job has started. Within these, the task
/// that fills most of a worker's free resources, unless another one is urgent.
/// Late tasks of started jobs go before other late ones.
class TaskBacklog {
 public:
  void Add(const WaitingBatch& batch, Time now);
  /// Removes waiting tasks of a batch, all of them if there are no more.
  void Remove(BatchId id, uint32_t count);
  /// Records that a task of the batch's job has started.
  void SetStarted(BatchId id, Time expires_at);

  bool empty() const { return batches_.empty(); }
  size_t tasks() const { return tasks_; }
  const WaitingBatch* Find(BatchId id) const;

  /// Chooses the batch of which a task should start next with some free
  /// resources; null if none fits.
  /// @param order Bands in the order in which they are served.
  /// @param allowed Whether a task of a batch may start there.
  template <typename Predicate>
  const WaitingBatch* Select(const std::string& pool, const Resources& free,
                             const std::array<uint8_t, kPriorityBands>& order,
                             Time now, const Predicate& allowed) const;

  /// Batches of a pool in order of service, without regard to their size.
  std::vector<const WaitingBatch*> InOrder(
      const std::string& pool, const std::array<uint8_t, kPriorityBands>& order,
      Time now) const;

  /// Most urgent batches of each size that can be on time, largest first, of
  /// the first band that has any.
  std::vector<const WaitingBatch*> LargestFirst(
      const std::string& pool, const std::array<uint8_t, kPriorityBands>& order,
      Time now) const;

  /// Ids of the batches that have expired.
  std::vector<BatchId> Expired(Time now) const;

  /// CPU of the waiting tasks of a pool, by queue class.
  const QueuedCpu& queued(const std::string& pool) const;
  /// Updates the queue classes, which depend on the time.
  void Refresh(Time now);
  std::vector<std::string> pools() const;

 private:
  using Order = std::set<std::pair<Time, uint64_t>>;
  /// Quarter octaves of CPU from a quarter of a core to 128 cores.
  static constexpr size_t kSizeClasses = 37;
  /// Batches of a size class that are looked at. Nearly always the first fits:
  /// others differ in labels, memory or session.
  static constexpr int kLookAhead = 4;
  /// Time before the latest start within which urgency outweighs a tight fit.
  static constexpr Duration kUrgentTime{80};

  /// Batches of one band, started or not.
  struct Lane {
    std::array<Order, kSizeClasses> sizes_;
    uint64_t filled_ = 0;  ///< Bit i: `sizes_[i]` isn't empty.
  };
  struct Pool {
    std::array<std::array<Lane, 2>, kPriorityBands> lanes_;
    QueuedCpu queued_{};
  };
  struct Entry {
    WaitingBatch batch_;
    size_t queue_class_ = 0;
  };

  static size_t SizeClass(int32_t cpu_milli);
  void Link(const WaitingBatch& batch);
  void Unlink(const WaitingBatch& batch);
  void Count(const Entry& entry, int64_t tasks);

  template <typename Predicate>
  const WaitingBatch* SelectIn(const Lane& lane, const Resources& free,
                               bool late, Time now,
                               const Predicate& allowed) const;

  std::unordered_map<uint64_t, Entry> batches_;
  std::map<std::string, Pool> pools_;
  std::set<std::pair<Time, uint64_t>> by_expiry_;
  size_t tasks_ = 0;
};

template <typename Predicate>
const WaitingBatch* TaskBacklog::Select(
    const std::string& pool, const Resources& free,
    const std::array<uint8_t, kPriorityBands>& order, Time now,
    const Predicate& allowed) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return nullptr;
  const auto& lanes = found->second.lanes_;
  for (const uint8_t band : order) {
    for (const size_t unstarted : {0U, 1U}) {
      const WaitingBatch* batch = SelectIn(lanes[band][unstarted], free,
                                           /*late=*/false, now, allowed);
      if (batch != nullptr) return batch;
    }
  }
  for (const size_t unstarted : {0U, 1U}) {
    for (const uint8_t band : order) {
      const WaitingBatch* batch = SelectIn(lanes[band][unstarted], free,
                                           /*late=*/true, now, allowed);
      if (batch != nullptr) return batch;
    }
  }
  return nullptr;
}

template <typename Predicate>
const WaitingBatch* TaskBacklog::SelectIn(const Lane& lane,
                                          const Resources& free, bool late,
                                          Time now,
                                          const Predicate& allowed) const {
  const WaitingBatch* best = nullptr;
  double best_score = 0;
  for (size_t size = 0; size <= SizeClass(free.cpu_milli_); ++size) {
    if ((lane.filled_ >> size & 1) == 0) continue;
    const Order& waiting = lane.sizes_[size];
    auto next = late ? waiting.begin() : waiting.lower_bound({now, 0});
    for (int i = 0; i < kLookAhead && next != waiting.end(); ++i, ++next) {
      if (late && next->first >= now) break;
      const WaitingBatch& batch = batches_.at(next->second).batch_;
      if (!Fits(batch.need_, free) || !allowed(batch)) continue;
      const double fit = static_cast<double>(batch.need_.cpu_milli_) /
                         std::max(1, free.cpu_milli_);
      const double left = static_cast<double>((batch.start_by_ - now).ms_) /
                          static_cast<double>(kUrgentTime.ms_);
      const double score = fit + 1 - std::clamp(left, 0.0, 1.0);
      if (best == nullptr || score > best_score) {
        best = &batch;
        best_score = score;
      }
      break;
    }
  }
  return best;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TASK_BACKLOG_H_
