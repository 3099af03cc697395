#include "task_backlog.h"

namespace gentiandeal {
namespace {

/// CPU below which all tasks are of the first size class.
constexpr double kSmallestSizeMilli = 250;
constexpr double kSizesPerOctave = 4;

}  // namespace

size_t TaskBacklog::SizeClass(int32_t cpu_milli) {
  if (cpu_milli <= kSmallestSizeMilli) return 0;
  const double octaves = std::log2(cpu_milli / kSmallestSizeMilli);
  return std::min(static_cast<size_t>(octaves * kSizesPerOctave) + 1,
                  kSizeClasses - 1);
}

void TaskBacklog::Link(const WaitingBatch& batch) {
  const size_t size = SizeClass(batch.need_.cpu_milli_);
  Lane& lane = pools_[batch.pool_].lanes_[batch.band_][batch.started_ ? 0 : 1];
  lane.sizes_[size].emplace(batch.start_by_, batch.id_.value_);
  lane.filled_ |= uint64_t{1} << size;
  by_expiry_.emplace(batch.expires_at_, batch.id_.value_);
}

void TaskBacklog::Unlink(const WaitingBatch& batch) {
  const size_t size = SizeClass(batch.need_.cpu_milli_);
  Lane& lane = pools_[batch.pool_].lanes_[batch.band_][batch.started_ ? 0 : 1];
  lane.sizes_[size].erase({batch.start_by_, batch.id_.value_});
  if (lane.sizes_[size].empty()) lane.filled_ &= ~(uint64_t{1} << size);
  by_expiry_.erase({batch.expires_at_, batch.id_.value_});
}

void TaskBacklog::Count(const Entry& entry, int64_t tasks) {
  const WaitingBatch& batch = entry.batch_;
  uint32_t& queued = pools_[batch.pool_].queued_[entry.queue_class_];
  queued = static_cast<uint32_t>(queued + tasks * batch.need_.cpu_milli_);
}

void TaskBacklog::Add(const WaitingBatch& batch, Time now) {
  const auto [found, added] = batches_.try_emplace(batch.id_.value_);
  Entry& entry = found->second;
  if (added) {
    entry.batch_ = batch;
    entry.queue_class_ = QueueClass(batch.band_, batch.start_by_ - now);
    Link(batch);
  } else {
    entry.batch_.count_ += batch.count_;
  }
  tasks_ += batch.count_;
  Count(entry, batch.count_);
}

void TaskBacklog::Remove(BatchId id, uint32_t count) {
  const auto found = batches_.find(id.value_);
  if (found == batches_.end()) return;
  WaitingBatch& batch = found->second.batch_;
  count = std::min(count, batch.count_);
  Count(found->second, -static_cast<int64_t>(count));
  tasks_ -= count;
  batch.count_ -= count;
  if (batch.count_ > 0) return;
  Unlink(batch);
  batches_.erase(found);
}

void TaskBacklog::SetStarted(BatchId id, Time expires_at) {
  const auto found = batches_.find(id.value_);
  if (found == batches_.end() || found->second.batch_.started_) return;
  WaitingBatch& batch = found->second.batch_;
  Unlink(batch);
  batch.started_ = true;
  batch.expires_at_ = expires_at;
  Link(batch);
}

const WaitingBatch* TaskBacklog::Find(BatchId id) const {
  const auto found = batches_.find(id.value_);
  return found == batches_.end() ? nullptr : &found->second.batch_;
}

std::vector<const WaitingBatch*> TaskBacklog::InOrder(
    const std::string& pool, const std::array<uint8_t, kPriorityBands>& order,
    Time now) const {
  std::vector<const WaitingBatch*> batches;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return batches;
  std::array<size_t, kPriorityBands> rank{};
  for (size_t i = 0; i < order.size(); ++i) rank[order[i]] = i;
  for (const auto& [id, entry] : batches_) {
    if (entry.batch_.pool_ == pool) batches.push_back(&entry.batch_);
  }
  const auto key = [&](const WaitingBatch& batch) {
    const bool late = batch.start_by_ < now;
    return std::tuple(late, late ? 0 : rank[batch.band_], !batch.started_,
                      batch.start_by_.ms_, batch.id_.value_);
  };
  std::sort(batches.begin(), batches.end(),
            [&](const WaitingBatch* a, const WaitingBatch* b) {
              return key(*a) < key(*b);
            });
  return batches;
}

std::vector<const WaitingBatch*> TaskBacklog::LargestFirst(
    const std::string& pool, const std::array<uint8_t, kPriorityBands>& order,
    Time now) const {
  std::vector<const WaitingBatch*> batches;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return batches;
  for (const uint8_t band : order) {
    for (size_t size = kSizeClasses; size-- > 0;) {
      for (const Lane& lane : found->second.lanes_[band]) {
        if ((lane.filled_ >> size & 1) == 0) continue;
        const auto first = lane.sizes_[size].lower_bound({now, 0});
        if (first == lane.sizes_[size].end()) continue;
        batches.push_back(&batches_.at(first->second).batch_);
      }
    }
    if (!batches.empty()) break;
  }
  return batches;
}

std::vector<BatchId> TaskBacklog::Expired(Time now) const {
  std::vector<BatchId> expired;
  for (const auto& [at, id] : by_expiry_) {
    if (at > now) break;
    expired.push_back({id});
  }
  return expired;
}

const QueuedCpu& TaskBacklog::queued(const std::string& pool) const {
  static constexpr QueuedCpu kNone{};
  const auto found = pools_.find(pool);
  return found == pools_.end() ? kNone : found->second.queued_;
}

void TaskBacklog::Refresh(Time now) {
  for (auto& [id, entry] : batches_) {
    const size_t queue_class =
        QueueClass(entry.batch_.band_, entry.batch_.start_by_ - now);
    if (queue_class == entry.queue_class_) continue;
    Count(entry, -static_cast<int64_t>(entry.batch_.count_));
    entry.queue_class_ = queue_class;
    Count(entry, entry.batch_.count_);
  }
}

std::vector<std::string> TaskBacklog::pools() const {
  std::vector<std::string> names;
  for (const auto& [name, pool] : pools_) names.push_back(name);
  return names;
}

}  // namespace gentiandeal
