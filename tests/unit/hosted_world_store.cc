#include <algorithm>
#include <type_traits>
#include <utility>

#include "unit/hosted_world.h"

/// The store of the instances' records, and how instances read and write it.
namespace gentiandeal {
namespace {

constexpr int64_t kRenewMs = 670;
constexpr int64_t kStoreTimeoutMs = 1500;  // of the instances' calls
/// Time after the withdrawal at which an instance ends in any case.
constexpr int64_t kWithdrawalTimeoutMs = 400;

}  // namespace

bool HostedWorld::StoreReachable(size_t index) const {
  return !store_down_ && !instances_[index].turned_away_;
}

void HostedWorld::TickStore() {
  if (store_down_ && store_leases_pause_) {
    for (auto& [name, stored] : records_) {
      stored.until_ = stored.until_ + Duration{kTickMs};
    }
    for (auto& [lease, until] : leases_) until = until + Duration{kTickMs};
  }
  if (troubles_.answers_) {
    std::erase_if(leases_,
                  [&](const auto& entry) { return entry.second <= now_; });
    return RemoveUnleased();
  }
  std::erase_if(records_,
                [&](const auto& entry) { return entry.second.until_ <= now_; });
}

void HostedWorld::Sync(size_t index) {
  Instance& instance = instances_[index];
  const bool reachable = StoreReachable(index);
  instance.claims_->SetStoreUp(reachable);
  if (!reachable || instance.watch_held_until_ > now_) {
    instance.store_read_since_ = now_;
  }
  // Watches answer a little late.
  if (!reachable || Roll(2) == 0 || instance.watch_held_until_ > now_) return;
  for (const auto& [name, stored] : records_) {
    if (instance.seen_records_[name] == stored.revision_) continue;
    instance.seen_records_[name] = stored.revision_;
    if (troubles_.answers_ && name == instance.name_.value_) {
      instance.record_->NoteListed({stored.revision_});
      continue;
    }
    instance.claims_->InstanceListed(stored.record_);
  }
  for (auto seen = instance.seen_records_.begin();
       seen != instance.seen_records_.end();) {
    if (records_.count(seen->first) > 0) {
      ++seen;
      continue;
    }
    if (troubles_.answers_ && seen->first == instance.name_.value_) {
      instance.record_->NoteRemoved();
    } else {
      instance.claims_->InstanceUnlisted({seen->first});
    }
    seen = instance.seen_records_.erase(seen);
  }
  const auto read = [&](size_t worker,
                        const std::optional<LeasedWorker>& entry) {
    const WorkerId& id = workers_[worker].info_.id_;
    if (!entry) {
      if (instance.seen_workers_.erase(id.value_) > 0) {
        instance.claims_->WorkerUnlisted(id, now_);
      }
      return;
    }
    const int64_t present = workers_[worker].info_.started_ms_;
    if (entry->started_ms_ != present) ++seen_.late_entries_;
    const auto seen = instance.seen_workers_.find(id.value_);
    if (seen != instance.seen_workers_.end()) {
      if (seen->second == *entry) return;
      if (seen->second.started_ms_ > entry->started_ms_) ++seen_.stale_entries_;
    }
    Note("listed ", id.value_, " at ", instance.name_.value_, " started ",
         entry->started_ms_);
    instance.seen_workers_[id.value_] = *entry;
    instance.claims_->WorkerListed(*entry, now_, &instance.claims_out_);
  };
  if (!instance.workers_read_) {
    instance.workers_read_ = true;
    for (size_t i = 0; i < workers_.size(); ++i) read(i, listed_[i]);
    instance.entries_read_ = entries_.size();
  }
  for (; instance.entries_read_ < entries_.size(); ++instance.entries_read_) {
    const EntryEvent& event = entries_[instance.entries_read_];
    read(event.worker_, event.entry_);
  }
  std::map<std::string, std::vector<LeasedWorkerRef>> pools;
  for (const auto& [id, worker] : instance.seen_workers_) {
    pools[worker.pool_].push_back(std::make_shared<const LeasedWorker>(worker));
  }
  instance.desk_->SetWorkers(std::move(pools));
}

void HostedWorld::KeepRecord(size_t index) {
  Instance& instance = instances_[index];
  if (troubles_.answers_) {
    return instance.record_->Tick(now_, &instance.record_out_);
  }
  if (!StoreReachable(index)) return;
  const auto stored = records_.find(instance.name_.value_);
  const bool mine =
      stored != records_.end() &&
      stored->second.record_.incarnation_ == instance.incarnation_;
  if (!mine && !instance.unwritten_) instance.unwritten_ = instance.written_;
  if (mine && now_ >= instance.renew_at_) {
    instance.renew_at_ = now_ + Duration{kRenewMs};
    stored->second.until_ = now_ + kRecordLease;
  }
  if (!instance.unwritten_ || Roll(2) == 0) return;
  StoredRecord& record = records_[instance.name_.value_];
  record = {*instance.unwritten_, ++revision_, now_ + kRecordLease, {}, 0};
  if (Chance(10)) return;  // the answer is lost; it is written again
  instance.written_ = *instance.unwritten_;
  instance.unwritten_.reset();
  const Fence fence{breakage_ == HostedBreakage::kSameFence ? 100 : revision_};
  instance.claims_->RecordWritten(fence, &instance.claims_out_);
}

// --- Records under the leases of `LeasedRecord` ---

template <typename Ended>
void HostedWorld::CallStore(size_t index, std::function<Ended()> carry_out) {
  const uint64_t life = instances_[index].life_;
  const auto answer = [this, index, life](const Ended& ended) {
    Deliver(index, life, [this, index, ended] {
      Instance& instance = instances_[index];
      if constexpr (std::is_same_v<Ended, ReleaseEnded>) {
        instance.record_->On(ended, &instance.record_out_);
      } else {
        instance.record_->On(ended, now_, &instance.record_out_);
      }
    });
  };
  if (!StoreReachable(index)) {
    return Later(Between(1, kStoreTimeoutMs), [answer] { answer(Ended{}); });
  }
  const bool late = Chance(10);
  const bool lost = Chance(5);
  const auto delay = [&] { return late ? Between(100, 700) : Between(1, 10); };
  const int64_t answer_ms = lost ? kStoreTimeoutMs : delay();
  Later(delay(), [this, answer, carry_out, lost, answer_ms] {
    const Ended ended = carry_out();
    Later(answer_ms, [answer, ended, lost] { answer(lost ? Ended{} : ended); });
  });
}

void HostedWorld::CheckNotWithdrawn(size_t index, std::string_view call) {
  const Instance& instance = instances_[index];
  if (!instance.withdrawing_) return;
  Violate(HostedRule::kWithdrawn,
          instance.name_.value_ + " calls " + std::string(call));
}

void HostedWorld::Withdraw(size_t index) {
  Instance& instance = instances_[index];
  if (std::exchange(instance.withdrawing_, true)) return;
  ++seen_.withdrawn_;
  if (instance.record_->writing() || instance.record_->leasing()) {
    ++seen_.withdrawn_amid_calls_;
  }
  Note("withdraw ", instance.name_.value_);
  if (breakage_ == HostedBreakage::kForgetWithdrawal) {
    Do(index, ReleaseLease{instance.record_->lease()});
  } else {
    instance.record_->Withdraw(&instance.record_out_);
  }
  CarryOut(index);
  const uint64_t life = instance.life_;
  Later(kWithdrawalTimeoutMs, [this, index, life] {
    if (instances_[index].life_ == life) Kill(index, /*silent=*/false);
  });
}

void HostedWorld::Do(size_t index, const RequestLease& request) {
  CheckNotWithdrawn(index, "lease");
  CallStore<LeaseRequestEnded>(index, [this, request] {
    leases_[++last_lease_] = now_ + request.time_;
    return LeaseRequestEnded{{last_lease_}};
  });
}

void HostedWorld::Do(size_t index, const RenewLease& renew) {
  CheckNotWithdrawn(index, "renew");
  CallStore<RenewalEnded>(index, [this, renew] {
    const auto found = leases_.find(renew.lease_.value_);
    if (found == leases_.end()) return RenewalEnded{StoreResult::kNotFound};
    found->second = now_ + renew.time_;
    return RenewalEnded{StoreResult::kDone};
  });
}

void HostedWorld::Do(size_t index, const ReleaseLease& release) {
  const std::string life = instances_[index].name_.value_ + "/" +
                           std::to_string(instances_[index].life_);
  CallStore<ReleaseEnded>(index, [this, release, life] {
    leases_.erase(release.lease_.value_);
    removed_lives_.insert(life);
    RemoveUnleased();
    return ReleaseEnded{};
  });
}

void HostedWorld::Do(size_t index, const WriteRecord& write) {
  CheckNotWithdrawn(index, "write");
  const std::string name = instances_[index].name_.value_;
  const std::string life = name + "/" + std::to_string(instances_[index].life_);
  CallStore<WriteEnded>(index, [this, write, name, life] {
    if (leases_.count(write.lease_.value_) == 0) {
      return WriteEnded{StoreResult::kNotFound, {}};
    }
    const auto found = records_.find(name);
    const uint64_t present =
        found == records_.end() ? 0 : found->second.revision_;
    if (present != write.expected_.value_) return WriteEnded{};
    StoredRecord& stored = records_[name];
    ParseInstanceRecord(write.value_, &stored.record_);
    stored.value_ = write.value_;
    stored.lease_ = write.lease_.value_;
    stored.revision_ = ++revision_;
    if (removed_lives_.count(life) > 0) {
      Violate(HostedRule::kWithdrawn, life + " is stored again");
    }
    return WriteEnded{StoreResult::kDone, {revision_}};
  });
}

void HostedWorld::Do(size_t index, const ReadRecord& /*read*/) {
  CheckNotWithdrawn(index, "read");
  CallStore<ReadEnded>(index, [this, name = instances_[index].name_.value_] {
    const auto found = records_.find(name);
    if (found == records_.end()) {
      return ReadEnded{StoreResult::kNotFound, {}, {}, {}};
    }
    const StoredRecord& stored = found->second;
    return ReadEnded{
        StoreResult::kDone, stored.value_, {stored.revision_}, {stored.lease_}};
  });
}

void HostedWorld::Do(size_t index, const RecordStored& stored) {
  const Fence fence =
      breakage_ == HostedBreakage::kSameFence ? Fence{100} : stored.revision_;
  Instance& instance = instances_[index];
  instance.claims_->RecordWritten(fence, &instance.claims_out_);
}

void HostedWorld::Do(size_t index, const RecordWithdrawn& /*withdrawn*/) {
  const uint64_t life = instances_[index].life_;
  Later(0, [this, index, life] {
    if (instances_[index].life_ == life) Kill(index, /*silent=*/false);
  });
}

void HostedWorld::RemoveUnleased() {
  std::erase_if(records_, [&](const auto& entry) {
    return leases_.count(entry.second.lease_) == 0;
  });
}

}  // namespace gentiandeal
