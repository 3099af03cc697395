#include "load_report.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace gentiandeal {
namespace {

/// Sizes on the wire in which the two forms differ: an entry by name hash, and
/// the digest that accompanies counts by rank.
constexpr size_t kBytesPerEntry = sizeof(uint32_t) + sizeof(uint8_t);
constexpr size_t kDigestBytes = sizeof(uint32_t);

}  // namespace

void LoadReport::SetWorkers(const std::vector<WorkerInfo>& workers,
                            const std::vector<std::vector<uint8_t>*>& peers) {
  std::unordered_map<uint32_t, size_t> old_ranks;
  for (size_t i = 0; i < workers_.size(); ++i) {
    old_ranks[workers_[i].hash_.value_] = i;
  }
  std::vector<Worker> old_workers = std::move(workers_);
  workers_.clear();
  for (const WorkerInfo& info : workers) {
    if (workers_.size() == config::kMaxWorkers) break;
    workers_.push_back({HashName(ToString(info.address_)), info.address_});
  }
  std::sort(
      workers_.begin(), workers_.end(), [](const Worker& a, const Worker& b) {
        return std::tie(a.hash_, a.address_) < std::tie(b.hash_, b.address_);
      });
  std::string joined_hashes;
  std::vector<std::vector<uint8_t>> moved(peers.size());
  for (auto& counts : moved) counts.resize(workers_.size());
  changed_ = 0;
  for (size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    joined_hashes += std::to_string(worker.hash_.value_) + ',';
    const auto found = old_ranks.find(worker.hash_.value_);
    if (found == old_ranks.end()) continue;
    worker.in_use_ = old_workers[found->second].in_use_;
    worker.sent_in_use_ = old_workers[found->second].sent_in_use_;
    if (worker.in_use_ != worker.sent_in_use_) ++changed_;
    for (size_t p = 0; p < peers.size(); ++p) {
      moved[p][i] = (*peers[p])[found->second];
    }
  }
  for (size_t p = 0; p < peers.size(); ++p) *peers[p] = std::move(moved[p]);
  digest_ = workers_.empty() ? NameHash() : HashName(joined_hashes);
}

void LoadReport::SetInUse(size_t rank, uint16_t in_use) {
  Worker& worker = workers_[rank];
  constexpr uint16_t kMaxInUse = std::numeric_limits<uint8_t>::max();
  const bool was_changed = worker.in_use_ != worker.sent_in_use_;
  worker.in_use_ = static_cast<uint8_t>(std::min(in_use, kMaxInUse));
  const bool is_changed = worker.in_use_ != worker.sent_in_use_;
  if (is_changed && !was_changed) ++changed_;
  if (!is_changed && was_changed) --changed_;
}

void LoadReport::FillChanges(LoadDatagram* out) const {
  const size_t all_counts_bytes = kDigestBytes + (workers_.size() + 1) / 2;
  if (changed_ * kBytesPerEntry < all_counts_bytes &&
      changed_ <= kMaxHashEntriesPerDatagram) {
    out->in_use_by_hash_ = Entries(false);
  } else {
    FillAll(out);
  }
}

void LoadReport::FillAll(LoadDatagram* out) const {
  out->worker_list_digest_ = digest_;
  out->in_use_by_rank_.reserve(workers_.size());
  for (const Worker& worker : workers_) {
    out->in_use_by_rank_.push_back(worker.in_use_);
  }
}

std::vector<WireWorkerUsage> LoadReport::Entries(bool all) const {
  std::vector<WireWorkerUsage> entries;
  for (const Worker& worker : workers_) {
    if (!all && worker.in_use_ == worker.sent_in_use_) continue;
    entries.push_back({worker.hash_, worker.in_use_});
  }
  return entries;
}

void LoadReport::MarkSent() {
  for (Worker& worker : workers_) worker.sent_in_use_ = worker.in_use_;
  changed_ = 0;
}

std::vector<PeerLoad::Entry> LoadReport::Apply(
    const LoadDatagram& report, std::vector<uint8_t>* counts) const {
  std::vector<PeerLoad::Entry> changes;
  const auto set = [&](size_t rank, uint8_t in_use) {
    if ((*counts)[rank] == in_use) return;
    (*counts)[rank] = in_use;
    changes.push_back({workers_[rank].address_, in_use});
  };
  const bool same_list = report.worker_list_digest_ == digest_ &&
                         report.in_use_by_rank_.size() == workers_.size();
  for (size_t i = 0; same_list && i < report.in_use_by_rank_.size(); ++i) {
    set(i, report.in_use_by_rank_[i]);
  }
  for (const WireWorkerUsage& use : report.in_use_by_hash_) {
    const auto found =
        std::lower_bound(workers_.begin(), workers_.end(), use.worker_,
                         [](const Worker& worker, NameHash hash) {
                           return worker.hash_ < hash;
                         });
    if (found == workers_.end() || found->hash_ != use.worker_) continue;
    set(static_cast<size_t>(found - workers_.begin()), use.in_use_);
  }
  return changes;
}

}  // namespace gentiandeal
