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
constexpr double kClassBounds[] = {1.5, 2.5, 5.0};
constexpr uint32_t kClasses = std::size(kClassBounds) + 1;
/// A class is left downwards only below its lower bound by this factor.
constexpr double kClassHysteresis = 0.85;
/// Weight of one observation in the slowness of a worker.
constexpr double kSlownessGain = 1.0 / 16;
/// Largest ratio taken from one observation.
constexpr double kMaxSlownessSample = 16;
/// A worker that fails every task counts as slower by this.
constexpr double kFailureSlowness = 6;
/// Without observations, slowness and failures of a worker halve this often.
constexpr Duration kMemoryHalfLife{5000};

/// Buckets of workers with a free slot: class, then own home slots before
/// lent ones, then the most free slots first.
constexpr uint32_t kFreeBuckets = kClasses * 2 * kMaxSlots;
/// Buckets of full workers where this instance is below its home share:
/// class, then the least overcommitted first.
constexpr uint32_t kReclaimBuckets = kClasses * kMaxSlots;
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
  bool present_ = false;  ///< This index is in use.
  bool listed_ = false;   ///< In the last list.
  uint16_t slots_ = 0;    ///< Slots that may be used at once.
  uint16_t home_slots_ = 0;
  uint32_t running_ = 0;  ///< Own tasks.
  uint32_t held_ = 0;     ///< Own slots counted as used after a failure.
  uint32_t peer_use_ = 0;
  uint32_t bucket_ = kNoBucket;
  uint32_t class_ = 0;
  double slowness_ = 1;
  double failures_ = 0;  ///< Part of recent tasks that failed.
  Time observed_at_;     ///< Last observation or decay.

  uint32_t own_use() const { return running_ + held_; }
  uint32_t total_use() const { return own_use() + peer_use_; }
  uint32_t free() const {
    return total_use() < slots_ ? slots_ - total_use() : 0;
  }
  bool placeable() const {
    return listed_ &&
           (state_ == WorkerState::kActive || state_ == WorkerState::kOnTrial);
  }
};

struct Hold {
  Time due_;
  WorkerHandle worker_;
  friend bool operator>(const Hold& a, const Hold& b) {
    return a.due_ > b.due_;
  }
};

/// What one peer uses, by worker index, and of workers not listed here yet.
struct Peer {
  std::vector<uint16_t> in_use_;
  std::unordered_map<Address, uint16_t, AddressHash> unlisted_;
};

uint32_t ClassOf(double slowness, uint32_t current) {
  uint32_t result = 0;
  while (result + 1 < kClasses) {
    const double factor = result < current ? kClassHysteresis : 1;
    if (slowness < kClassBounds[result] * factor) break;
    ++result;
  }
  return result;
}

uint32_t BucketOf(const Worker& worker) {
  if (!worker.placeable()) return kNoBucket;
  const bool idle = worker.own_use() == 0;
  if (worker.state_ == WorkerState::kOnTrial && !idle) return kNoBucket;
  const bool home = worker.own_use() < worker.home_slots_;
  if (worker.free() > 0) {
    const uint32_t group = worker.class_ * 2 + (home ? 0 : 1);
    return group * kMaxSlots + kMaxSlots - worker.free();
  }
  if (!home) return kNoBucket;
  const uint32_t over = worker.total_use() - worker.slots_;
  return kFreeBuckets + worker.class_ * kMaxSlots +
         std::min(over, kMaxSlots - 1);
}

/// Slots of a worker that belong to one of `count` instances: an equal part,
/// and the remainder to those ranked highest by hash.
uint16_t HomeSlots(const Address& address, uint32_t slots, uint32_t rank,
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

  /// Applies `change` to a worker and keeps its bucket and the sums right.
  template <typename Change>
  void Update(Worker& worker, Change change) {
    AddSums(worker, -1);
    change(worker);
    AddSums(worker, 1);
    Place(worker);
  }

  void SetWorkers(const std::vector<WorkerInfo>& list);
  void SetSharers(uint32_t own_rank, uint32_t count);
  void SetPeerLoad(Incarnation id, const Address& address, uint16_t in_use);
  void ForgetPeer(Incarnation id);
  WorkerHandle Pick(WorkerHandle avoid);
  void OnEnd(WorkerHandle handle, Time now, Duration hold);
  void OnServiceTime(Worker& worker, Duration observed, Duration expected);
  void Tick(Time now);

  std::vector<Worker> workers_;  ///< Never reallocated.
  std::unordered_map<Address, WorkerHandle, AddressHash> by_address_;
  uint32_t listed_ = 0;
  uint32_t placeable_ = 0;
  uint32_t usable_slots_ = 0;
  uint32_t free_slots_ = 0;
  uint32_t home_slots_ = 0;
  uint32_t largest_ = 0;

 private:
  using Bucket = bi::list<Worker, bi::constant_time_size<false>>;

  void AddSums(const Worker& worker, int sign) {
    if (!worker.placeable()) return;
    placeable_ += sign;
    usable_slots_ += sign * static_cast<int>(worker.slots_);
    free_slots_ += sign * static_cast<int>(worker.free());
    home_slots_ += sign * static_cast<int>(worker.home_slots_);
  }
  void Place(Worker& worker);
  void Unlink(Worker& worker);
  void Reclassify(Worker& worker, Time now);
  Worker* Insert(const WorkerInfo& info);
  void SetInfo(Worker& worker, const WorkerInfo& info);
  void RemoveIfUnused(Worker& worker);
  void DecayOne(Time now);
  bool RandomBit() {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return (random_ >> 32 & 1) != 0;
  }

  std::array<Bucket, kBuckets> buckets_;
  std::array<uint64_t, (kBuckets + 63) / 64> occupied_{};
  std::vector<uint16_t> free_indices_;
  std::priority_queue<Hold, std::vector<Hold>, std::greater<>> holds_;
  std::unordered_map<uint64_t, Peer> peers_;
  uint32_t own_rank_ = 0;
  uint32_t sharers_ = 1;
  uint32_t decay_cursor_ = 0;
  Time now_;
  uint64_t random_;
};

void WorkerTable::Impl::Unlink(Worker& worker) {
  if (worker.bucket_ == kNoBucket) return;
  Bucket& bucket = buckets_[worker.bucket_];
  bucket.erase(bucket.iterator_to(worker));
  if (bucket.empty()) {
    occupied_[worker.bucket_ / 64] &= ~(uint64_t{1} << worker.bucket_ % 64);
  }
  worker.bucket_ = kNoBucket;
}

void WorkerTable::Impl::Place(Worker& worker) {
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
  occupied_[target / 64] |= uint64_t{1} << target % 64;
  worker.bucket_ = target;
}

WorkerHandle WorkerTable::Impl::Pick(WorkerHandle avoid) {
  for (uint32_t word = 0; word < occupied_.size(); ++word) {
    for (uint64_t bits = occupied_[word]; bits != 0; bits &= bits - 1) {
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
  worker.present_ = true;
  by_address_.emplace(info.address_, HandleOf(worker));
  const uint16_t index = HandleOf(worker).value_;
  for (auto& [id, peer] : peers_) {
    const auto it = peer.unlisted_.find(info.address_);
    if (it == peer.unlisted_.end()) continue;
    if (peer.in_use_.size() <= index) peer.in_use_.resize(index + 1);
    peer.in_use_[index] = it->second;
    worker.peer_use_ += it->second;
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
  worker.home_slots_ =
      HomeSlots(info.address_, worker.slots_, own_rank_, sharers_);
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
  largest_ = 0;
  for (Worker& worker : workers_) {
    RemoveIfUnused(worker);
    if (!worker.listed_) continue;
    ++listed_;
    largest_ = std::max<uint32_t>(largest_, worker.slots_);
  }
}

void WorkerTable::Impl::RemoveIfUnused(Worker& worker) {
  if (!worker.present_ || worker.listed_ || worker.own_use() > 0) return;
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

void WorkerTable::Impl::SetSharers(uint32_t own_rank, uint32_t count) {
  const uint32_t sharers = std::max(count, 1U);
  const uint32_t rank = std::min(own_rank, sharers - 1);
  if (sharers == sharers_ && rank == own_rank_) return;
  sharers_ = sharers;
  own_rank_ = rank;
  for (Worker& worker : workers_) {
    if (!worker.present_) continue;
    Update(worker, [&](Worker& w) {
      w.home_slots_ = HomeSlots(w.info_.address_, w.slots_, rank, sharers);
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
         [&](Worker& w) { w.peer_use_ = w.peer_use_ - before + in_use; });
}

void WorkerTable::Impl::ForgetPeer(Incarnation id) {
  const auto it = peers_.find(id.value_);
  if (it == peers_.end()) return;
  const std::vector<uint16_t>& in_use = it->second.in_use_;
  for (size_t i = 0; i < in_use.size(); ++i) {
    if (in_use[i] == 0) continue;
    Update(workers_[i], [&](Worker& w) { w.peer_use_ -= in_use[i]; });
  }
  peers_.erase(it);
}

void WorkerTable::Impl::OnEnd(WorkerHandle handle, Time now, Duration hold) {
  Worker& worker = At(handle);
  const bool held = hold > Duration{};
  Update(worker, [held](Worker& w) {
    if (w.running_ > 0) --w.running_;
    if (held) ++w.held_;
  });
  if (held) {
    holds_.push({now + hold, handle});
    worker.failures_ += kSlownessGain * (1 - worker.failures_);
    Reclassify(worker, now);
  }
  RemoveIfUnused(worker);
}

void WorkerTable::Impl::OnServiceTime(Worker& worker, Duration observed,
                                      Duration expected) {
  const double base = static_cast<double>(std::max<int64_t>(expected.ms_, 1));
  const double sample =
      std::min(static_cast<double>(observed.ms_) / base, kMaxSlownessSample);
  worker.slowness_ += kSlownessGain * (sample - worker.slowness_);
  worker.failures_ -= kSlownessGain * worker.failures_;
  Reclassify(worker, now_);
}

void WorkerTable::Impl::Reclassify(Worker& worker, Time now) {
  worker.observed_at_ = now;
  const double cost = worker.slowness_ + kFailureSlowness * worker.failures_;
  worker.class_ = ClassOf(cost, worker.class_);
  Place(worker);
}

void WorkerTable::Impl::Tick(Time now) {
  now_ = now;
  while (!holds_.empty() && holds_.top().due_ <= now) {
    Worker& worker = At(holds_.top().worker_);
    holds_.pop();
    Update(worker, [](Worker& w) { --w.held_; });
    RemoveIfUnused(worker);
  }
  DecayOne(now);
}

/// Fades the memory of one worker at a time, so that a former straggler,
/// which gets no tasks, is tried again.
void WorkerTable::Impl::DecayOne(Time now) {
  if (workers_.empty()) return;
  decay_cursor_ = (decay_cursor_ + 1) % workers_.size();
  Worker& worker = workers_[decay_cursor_];
  if (!worker.present_ || now - worker.observed_at_ < kMemoryHalfLife) return;
  worker.slowness_ = 1 + (worker.slowness_ - 1) / 2;
  worker.failures_ /= 2;
  Reclassify(worker, now);
}

WorkerTable::WorkerTable(uint64_t seed) : impl_(std::make_unique<Impl>(seed)) {}
WorkerTable::~WorkerTable() = default;

void WorkerTable::SetWorkers(const std::vector<WorkerInfo>& workers) {
  impl_->SetWorkers(workers);
}

void WorkerTable::SetSharers(uint32_t own_rank, uint32_t count) {
  impl_->SetSharers(own_rank, count);
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

void WorkerTable::OnEnd(WorkerHandle worker, Time now, Duration hold) {
  impl_->OnEnd(worker, now, hold);
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
  return worker.value_ < impl_->workers_.size() && impl_->At(worker).present_;
}

const WorkerInfo& WorkerTable::info(WorkerHandle worker) const {
  return impl_->At(worker).info_;
}

WorkerHandle WorkerTable::Find(const Address& address) const {
  const auto it = impl_->by_address_.find(address);
  return it == impl_->by_address_.end() ? WorkerHandle() : it->second;
}

uint32_t WorkerTable::in_use(WorkerHandle worker) const {
  return impl_->At(worker).own_use();
}

double WorkerTable::slowness(WorkerHandle worker) const {
  return impl_->At(worker).slowness_;
}

uint32_t WorkerTable::size() const { return impl_->listed_; }
uint32_t WorkerTable::placeable() const { return impl_->placeable_; }
uint32_t WorkerTable::usable_slots() const { return impl_->usable_slots_; }
uint32_t WorkerTable::free_slots() const { return impl_->free_slots_; }
uint32_t WorkerTable::own_share_slots() const { return impl_->home_slots_; }
uint32_t WorkerTable::largest_worker() const { return impl_->largest_; }

uint16_t WorkerTable::capacity() const {
  return static_cast<uint16_t>(impl_->workers_.size());
}

}  // namespace gentiandeal
