#include "worker_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <boost/intrusive/list.hpp>
#include <queue>
#include <unordered_map>

namespace gentiandeal {
namespace {

namespace bi = boost::intrusive;

constexpr uint32_t kMaxSlots = config::kMaxSlotsPerWorker;
/// Upper bounds of the slowness classes; the last class has none.
constexpr double kSlownessClassBounds[] = {1.5, 2.5, 5.0};
constexpr uint32_t kSlownessClasses = std::size(kSlownessClassBounds) + 1;
/// A worker moves to a lower class only when its slowness is below this factor
/// times the lower bound of its class.
constexpr double kSlownessHysteresis = 0.85;
/// Weight of one observation in the slowness and in the failure rate.
constexpr double kSlownessGain = 1.0 / 16;
/// Limit of the ratio of observed to expected service time of one observation.
constexpr double kMaxSlownessSample = 16;
/// Added to the slowness of a worker that fails every task.
constexpr double kFailureSlowness = 6;
/// Half-life of the excess slowness and of the failure rate of a worker without
/// observations.
constexpr Duration kDecayHalfLife{5000};

/// Number of buckets of workers with a free slot. They are ordered by slowness
/// class, then workers where this instance is below its share first, then by
/// most free slots.
constexpr uint32_t kFreeBuckets = kSlownessClasses * 2 * kMaxSlots;
/// Number of buckets of full workers where this instance is below its share.
/// They are ordered by slowness class, then by least overcommitted slots.
constexpr uint32_t kReclaimBuckets = kSlownessClasses * kMaxSlots;
constexpr uint32_t kBuckets = kFreeBuckets + kReclaimBuckets;
constexpr uint32_t kNoBucket = kBuckets;

struct AddressHash {
  size_t operator()(const Address& address) const {
    return XXH3_64bits_withSeed(address.host_.data(), address.host_.size(),
                                address.port_);
  }
};

struct Worker : bi::list_base_hook<> {
  WorkerInfo info_;
  WorkerState state_ = WorkerState::kActive;
  bool valid_ = false;   ///< This index is in use.
  bool listed_ = false;  ///< In the last list.
  uint16_t slots_ = 0;   ///< Slots, at most its connections and `kMaxSlots`.
  uint16_t own_share_slots_ = 0;
  uint32_t running_ = 0;        ///< Tasks of this instance.
  uint32_t penalty_slots_ = 0;  ///< Slots of tasks that failed, still counted.
  uint32_t peer_usage_ = 0;
  uint32_t bucket_ = kNoBucket;
  uint32_t slowness_class_ = 0;
  double slowness_ = 1;
  double failure_rate_ = 0;  ///< Moving average, from 0 to 1.
  Time updated_at_;          ///< Last observation or decay.

  uint32_t own_usage() const { return running_ + penalty_slots_; }
  uint32_t total_usage() const { return own_usage() + peer_usage_; }
  uint32_t free() const {
    return total_usage() < slots_ ? slots_ - total_usage() : 0;
  }
  bool placeable() const {
    return listed_ &&
           (state_ == WorkerState::kActive || state_ == WorkerState::kOnTrial);
  }
};

/// A slot that counts as used for a time after a failed task.
struct Penalty {
  Time ends_at_;
  WorkerHandle worker_;
  friend bool operator>(const Penalty& a, const Penalty& b) {
    return a.ends_at_ > b.ends_at_;
  }
};

/// Slots that one peer uses, by worker index, and by address for workers that
/// are not in the table.
struct Peer {
  std::vector<uint16_t> in_use_;
  std::unordered_map<Address, uint16_t, AddressHash> unlisted_;
};

uint32_t SlownessClass(double slowness, uint32_t current) {
  uint32_t result = 0;
  while (result + 1 < kSlownessClasses) {
    const double factor = result < current ? kSlownessHysteresis : 1;
    if (slowness < kSlownessClassBounds[result] * factor) break;
    ++result;
  }
  return result;
}

uint32_t BucketOf(const Worker& worker) {
  if (!worker.placeable()) return kNoBucket;
  const bool idle = worker.own_usage() == 0;
  if (worker.state_ == WorkerState::kOnTrial && !idle) return kNoBucket;
  const bool below_share = worker.own_usage() < worker.own_share_slots_;
  if (worker.free() > 0) {
    const uint32_t group = worker.slowness_class_ * 2 + (below_share ? 0 : 1);
    return group * kMaxSlots + kMaxSlots - worker.free();
  }
  if (!below_share) return kNoBucket;
  const uint32_t over = worker.total_usage() - worker.slots_;
  return kFreeBuckets + worker.slowness_class_ * kMaxSlots +
         std::min(over, kMaxSlots - 1);
}

/// Slots of a worker in the share of one of `count` instances: the slots are
/// divided equally, and the remainder goes to the instances with the highest
/// hashes of rank and address (rendezvous hashing).
uint16_t OwnShareSlots(const Address& address, uint32_t slots, uint32_t rank,
                       uint32_t count) {
  const uint64_t base = AddressHash()(address);
  const auto score = [base](uint32_t r) {
    return XXH3_64bits_withSeed(&r, sizeof(r), base);
  };
  const uint64_t own = score(rank);
  uint32_t position = 0;
  for (uint32_t r = 0; r < count; ++r) {
    if (score(r) > own) ++position;
  }
  const uint32_t remainder = slots % count;
  return static_cast<uint16_t>(slots / count + (position < remainder ? 1 : 0));
}

}  // namespace

class WorkerTable::Impl {
 public:
  explicit Impl(uint64_t seed) : random_(seed | 1) {
    workers_.reserve(config::kMaxWorkers);
  }
  ~Impl() {
    for (auto& bucket : buckets_) bucket.clear();
  }

  Worker& At(WorkerHandle handle) { return workers_[handle.value_]; }
  WorkerHandle HandleOf(const Worker& worker) const {
    return {static_cast<uint16_t>(&worker - workers_.data())};
  }

  /// Applies `change` to a worker and updates its bucket and the totals.
  template <typename Change>
  void Update(Worker& worker, Change change) {
    AddToTotals(worker, -1);
    change(worker);
    AddToTotals(worker, 1);
    UpdateBucket(worker);
  }

  void SetWorkers(const std::vector<WorkerInfo>& list);
  void SetInstanceRank(uint32_t own_rank, uint32_t count);
  void SetPeerLoad(Incarnation id, const Address& address, uint16_t in_use);
  void ForgetPeer(Incarnation id);
  WorkerHandle Pick(WorkerHandle avoid);
  void OnEnd(WorkerHandle handle, Time now, Duration penalty);
  void OnServiceTime(Worker& worker, Duration observed, Duration expected);
  void Tick(Time now);

  std::vector<Worker> workers_;  ///< Never reallocated.
  std::unordered_map<Address, WorkerHandle, AddressHash> by_address_;
  uint32_t listed_ = 0;
  uint32_t placeable_ = 0;
  uint32_t usable_slots_ = 0;
  uint32_t free_slots_ = 0;
  uint32_t own_share_slots_ = 0;
  uint32_t max_worker_slots_ = 0;

 private:
  using Bucket = bi::list<Worker, bi::constant_time_size<false>>;

  /// Adds (`sign` 1) or subtracts (-1) a worker in the totals.
  void AddToTotals(const Worker& worker, int sign) {
    if (!worker.placeable()) return;
    placeable_ += sign;
    usable_slots_ += sign * static_cast<int>(worker.slots_);
    free_slots_ += sign * static_cast<int>(worker.free());
    own_share_slots_ += sign * static_cast<int>(worker.own_share_slots_);
  }
  void UpdateBucket(Worker& worker);
  void Unlink(Worker& worker);
  void UpdateSlownessClass(Worker& worker, Time now);
  Worker* Insert(const WorkerInfo& info);
  void SetInfo(Worker& worker, const WorkerInfo& info);
  void RemoveIfUnused(Worker& worker);
  void DecayNextWorker(Time now);
  bool RandomBit() {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return (random_ >> 32 & 1) != 0;
  }

  std::array<Bucket, kBuckets> buckets_;
  std::array<uint64_t, (kBuckets + 63) / 64> occupied_buckets_{};
  std::vector<uint16_t> free_indices_;
  std::priority_queue<Penalty, std::vector<Penalty>, std::greater<>> penalties_;
  std::unordered_map<uint64_t, Peer> peers_;
  uint32_t own_rank_ = 0;
  uint32_t instance_count_ = 1;
  uint32_t decay_cursor_ = 0;
  Time now_;
  uint64_t random_;
};

void WorkerTable::Impl::Unlink(Worker& worker) {
  if (worker.bucket_ == kNoBucket) return;
  Bucket& bucket = buckets_[worker.bucket_];
  bucket.erase(bucket.iterator_to(worker));
  if (bucket.empty()) {
    occupied_buckets_[worker.bucket_ / 64] &=
        ~(uint64_t{1} << worker.bucket_ % 64);
  }
  worker.bucket_ = kNoBucket;
}

void WorkerTable::Impl::UpdateBucket(Worker& worker) {
  const uint32_t target = BucketOf(worker);
  if (target == worker.bucket_) return;
  Unlink(worker);
  if (target == kNoBucket) return;
  Bucket& bucket = buckets_[target];
  if (RandomBit()) {
    bucket.push_front(worker);
  } else {
    bucket.push_back(worker);
  }
  occupied_buckets_[target / 64] |= uint64_t{1} << target % 64;
  worker.bucket_ = target;
}

WorkerHandle WorkerTable::Impl::Pick(WorkerHandle avoid) {
  for (uint32_t word = 0; word < occupied_buckets_.size(); ++word) {
    for (uint64_t bits = occupied_buckets_[word]; bits != 0; bits &= bits - 1) {
      const Bucket& bucket = buckets_[word * 64 + std::countr_zero(bits)];
      auto it = bucket.begin();
      if (HandleOf(*it) != avoid) return HandleOf(*it);
      if (++it != bucket.end()) return HandleOf(*it);
    }
  }
  return {};
}

Worker* WorkerTable::Impl::Insert(const WorkerInfo& info) {
  if (by_address_.size() >= config::kMaxWorkers) return nullptr;
  if (free_indices_.empty()) {
    free_indices_.push_back(static_cast<uint16_t>(workers_.size()));
    workers_.emplace_back();
  }
  Worker& worker = workers_[free_indices_.back()];
  free_indices_.pop_back();
  worker.valid_ = true;
  by_address_.emplace(info.address_, HandleOf(worker));
  const uint16_t index = HandleOf(worker).value_;
  for (auto& [id, peer] : peers_) {
    const auto it = peer.unlisted_.find(info.address_);
    if (it == peer.unlisted_.end()) continue;
    if (peer.in_use_.size() <= index) peer.in_use_.resize(index + 1);
    peer.in_use_[index] = it->second;
    worker.peer_usage_ += it->second;
    peer.unlisted_.erase(it);
  }
  return &worker;
}

void WorkerTable::Impl::SetInfo(Worker& worker, const WorkerInfo& info) {
  const bool was_leaving = worker.info_.leaving_;
  worker.info_ = info;
  worker.listed_ = true;
  const auto most = std::min<uint32_t>(info.max_connections_, kMaxSlots);
  worker.slots_ = std::clamp<uint32_t>(info.slots_, 1, std::max(most, 1U));
  worker.own_share_slots_ =
      OwnShareSlots(info.address_, worker.slots_, own_rank_, instance_count_);
  if (info.leaving_) {
    worker.state_ = WorkerState::kLeaving;
  } else if (was_leaving && worker.state_ == WorkerState::kLeaving) {
    worker.state_ = WorkerState::kActive;
  }
}

void WorkerTable::Impl::SetWorkers(const std::vector<WorkerInfo>& list) {
  for (Worker& worker : workers_) {
    if (!worker.listed_) continue;
    Update(worker, [](Worker& w) { w.listed_ = false; });
  }
  for (const WorkerInfo& info : list) {
    const auto it = by_address_.find(info.address_);
    Worker* worker = it == by_address_.end() ? Insert(info) : &At(it->second);
    if (worker == nullptr) continue;
    Update(*worker, [&](Worker& w) { SetInfo(w, info); });
  }
  listed_ = 0;
  max_worker_slots_ = 0;
  for (Worker& worker : workers_) {
    RemoveIfUnused(worker);
    if (!worker.listed_) continue;
    ++listed_;
    max_worker_slots_ = std::max<uint32_t>(max_worker_slots_, worker.slots_);
  }
}

void WorkerTable::Impl::RemoveIfUnused(Worker& worker) {
  if (!worker.valid_ || worker.listed_ || worker.own_usage() > 0) return;
  const WorkerHandle handle = HandleOf(worker);
  for (auto& [id, peer] : peers_) {
    if (peer.in_use_.size() <= handle.value_) continue;
    const uint16_t in_use = std::exchange(peer.in_use_[handle.value_], 0);
    if (in_use > 0) peer.unlisted_[worker.info_.address_] = in_use;
  }
  by_address_.erase(worker.info_.address_);
  Unlink(worker);
  worker = Worker();
  free_indices_.push_back(handle.value_);
}

void WorkerTable::Impl::SetInstanceRank(uint32_t own_rank, uint32_t count) {
  const uint32_t instance_count = std::max(count, 1U);
  const uint32_t rank = std::min(own_rank, instance_count - 1);
  if (instance_count == instance_count_ && rank == own_rank_) return;
  instance_count_ = instance_count;
  own_rank_ = rank;
  for (Worker& worker : workers_) {
    if (!worker.valid_) continue;
    Update(worker, [&](Worker& w) {
      w.own_share_slots_ =
          OwnShareSlots(w.info_.address_, w.slots_, rank, instance_count);
    });
  }
}

void WorkerTable::Impl::SetPeerLoad(Incarnation id, const Address& address,
                                    uint16_t in_use) {
  auto known = peers_.find(id.value_);
  if (known == peers_.end()) {
    if (peers_.size() >= config::kMaxPeers) return;
    known = peers_.emplace(id.value_, Peer()).first;
  }
  Peer& peer = known->second;
  const auto it = by_address_.find(address);
  if (it == by_address_.end()) {
    if (in_use == 0) {
      peer.unlisted_.erase(address);
    } else if (peer.unlisted_.size() < config::kMaxWorkers) {
      peer.unlisted_[address] = in_use;
    }
    return;
  }
  const uint16_t index = it->second.value_;
  if (peer.in_use_.size() <= index) peer.in_use_.resize(workers_.size());
  const uint16_t before = std::exchange(peer.in_use_[index], in_use);
  Update(workers_[index],
         [&](Worker& w) { w.peer_usage_ = w.peer_usage_ - before + in_use; });
}

void WorkerTable::Impl::ForgetPeer(Incarnation id) {
  const auto it = peers_.find(id.value_);
  if (it == peers_.end()) return;
  const std::vector<uint16_t>& in_use = it->second.in_use_;
  for (size_t i = 0; i < in_use.size(); ++i) {
    if (in_use[i] == 0) continue;
    Update(workers_[i], [&](Worker& w) { w.peer_usage_ -= in_use[i]; });
  }
  peers_.erase(it);
}

void WorkerTable::Impl::OnEnd(WorkerHandle handle, Time now, Duration penalty) {
  Worker& worker = At(handle);
  const bool has_penalty = penalty > Duration{};
  Update(worker, [has_penalty](Worker& w) {
    if (w.running_ > 0) --w.running_;
    if (has_penalty) ++w.penalty_slots_;
  });
  if (has_penalty) {
    penalties_.push({now + penalty, handle});
    worker.failure_rate_ += kSlownessGain * (1 - worker.failure_rate_);
    UpdateSlownessClass(worker, now);
  }
  RemoveIfUnused(worker);
}

void WorkerTable::Impl::OnServiceTime(Worker& worker, Duration observed,
                                      Duration expected) {
  const double base = static_cast<double>(std::max<int64_t>(expected.ms_, 1));
  const double sample =
      std::min(static_cast<double>(observed.ms_) / base, kMaxSlownessSample);
  worker.slowness_ += kSlownessGain * (sample - worker.slowness_);
  worker.failure_rate_ -= kSlownessGain * worker.failure_rate_;
  UpdateSlownessClass(worker, now_);
}

void WorkerTable::Impl::UpdateSlownessClass(Worker& worker, Time now) {
  worker.updated_at_ = now;
  const double cost =
      worker.slowness_ + kFailureSlowness * worker.failure_rate_;
  worker.slowness_class_ = SlownessClass(cost, worker.slowness_class_);
  UpdateBucket(worker);
}

void WorkerTable::Impl::Tick(Time now) {
  now_ = now;
  while (!penalties_.empty() && penalties_.top().ends_at_ <= now) {
    Worker& worker = At(penalties_.top().worker_);
    penalties_.pop();
    Update(worker, [](Worker& w) { --w.penalty_slots_; });
    RemoveIfUnused(worker);
  }
  DecayNextWorker(now);
}

/// Decays the slowness and the failure rate of one worker per call, so that a
/// worker that gets no tasks because it was slow is tried again.
void WorkerTable::Impl::DecayNextWorker(Time now) {
  if (workers_.empty()) return;
  decay_cursor_ = (decay_cursor_ + 1) % workers_.size();
  Worker& worker = workers_[decay_cursor_];
  if (!worker.valid_ || now - worker.updated_at_ < kDecayHalfLife) return;
  worker.slowness_ = 1 + (worker.slowness_ - 1) / 2;
  worker.failure_rate_ /= 2;
  UpdateSlownessClass(worker, now);
}

WorkerTable::WorkerTable(uint64_t seed) : impl_(std::make_unique<Impl>(seed)) {}
WorkerTable::~WorkerTable() = default;

void WorkerTable::SetWorkers(const std::vector<WorkerInfo>& workers) {
  impl_->SetWorkers(workers);
}

void WorkerTable::SetInstanceRank(uint32_t own_rank, uint32_t count) {
  impl_->SetInstanceRank(own_rank, count);
}

void WorkerTable::SetPeerLoad(Incarnation peer, const Address& worker,
                              uint16_t in_use) {
  impl_->SetPeerLoad(peer, worker, in_use);
}

void WorkerTable::ForgetPeer(Incarnation peer) { impl_->ForgetPeer(peer); }

WorkerHandle WorkerTable::Pick(WorkerHandle avoid) {
  return impl_->Pick(avoid);
}

void WorkerTable::OnStart(WorkerHandle worker) {
  impl_->Update(impl_->At(worker), [](Worker& w) { ++w.running_; });
}

void WorkerTable::OnEnd(WorkerHandle worker, Time now, Duration penalty) {
  impl_->OnEnd(worker, now, penalty);
}

void WorkerTable::OnServiceTime(WorkerHandle worker, Duration observed,
                                Duration expected) {
  impl_->OnServiceTime(impl_->At(worker), observed, expected);
}

void WorkerTable::Tick(Time now) { impl_->Tick(now); }

void WorkerTable::SetState(WorkerHandle worker, WorkerState state) {
  impl_->Update(impl_->At(worker), [state](Worker& w) { w.state_ = state; });
}

WorkerState WorkerTable::state(WorkerHandle worker) const {
  return impl_->At(worker).state_;
}

bool WorkerTable::valid(WorkerHandle worker) const {
  return worker.value_ < impl_->workers_.size() && impl_->At(worker).valid_;
}

const WorkerInfo& WorkerTable::info(WorkerHandle worker) const {
  return impl_->At(worker).info_;
}

WorkerHandle WorkerTable::Find(const Address& address) const {
  const auto it = impl_->by_address_.find(address);
  return it == impl_->by_address_.end() ? WorkerHandle() : it->second;
}

uint32_t WorkerTable::in_use(WorkerHandle worker) const {
  return impl_->At(worker).own_usage();
}

double WorkerTable::slowness(WorkerHandle worker) const {
  return impl_->At(worker).slowness_;
}

uint32_t WorkerTable::size() const { return impl_->listed_; }
uint32_t WorkerTable::placeable() const { return impl_->placeable_; }
uint32_t WorkerTable::usable_slots() const { return impl_->usable_slots_; }
uint32_t WorkerTable::free_slots() const { return impl_->free_slots_; }
uint32_t WorkerTable::own_share_slots() const {
  return impl_->own_share_slots_;
}
uint32_t WorkerTable::max_worker_slots() const {
  return impl_->max_worker_slots_;
}

uint16_t WorkerTable::capacity() const {
  return static_cast<uint16_t>(impl_->workers_.size());
}

}  // namespace gentiandeal
