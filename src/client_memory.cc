#include "client_memory.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// Share of the machine's memory for clients. The process itself, workers,
/// peers, open jobs and the allocator's fragments have to fit into the rest of
/// three quarters.
constexpr uint64_t kClientPercent = 25;
constexpr uint64_t kLargeRequestPercent = 75;
/// Share of the connections that a single address may use. A load balancer
/// forwards all callers from one address, and the last quarter is left for
/// others.
constexpr uint64_t kAddressPercent = 75;
/// Descriptors that the platform sets aside for files.
constexpr uint64_t kFileDescriptors = 200;
/// Share of the other descriptors for clients. The rest is for workers, peers
/// and the store.
constexpr uint64_t kClientFdPercent = 75;
/// A request head, as large as it may be, and a reply with all metrics.
constexpr uint64_t kProbeBytes = 2 * kConnectionBytes + 32 * 1024;

}  // namespace

ClientMemoryLimits LimitsForMemory(uint64_t memory_mb, uint64_t max_fds) {
  ClientMemoryLimits limits;
  uint64_t connections = limits.max_connections_;
  if (memory_mb > 0) {
    constexpr uint64_t kProbes = kReadinessConnections + kMetricsConnections;
    limits.max_bytes_ = memory_mb * 1024 * 1024 / 100 * kClientPercent;
    limits.max_bytes_ -= std::min(limits.max_bytes_, kProbes * kProbeBytes);
    limits.max_bytes_for_large_ =
        limits.max_bytes_ / 100 * kLargeRequestPercent;
    // Connections without a request use at most half of the bytes.
    connections = limits.max_bytes_ / 2 / kConnectionBytes;
  }
  if (max_fds > 0) {
    const uint64_t fds = max_fds - std::min(max_fds, kFileDescriptors);
    connections = std::min(connections, fds * kClientFdPercent / 100);
  }
  if (memory_mb == 0 && max_fds == 0) return limits;
  limits.max_connections_ = static_cast<uint32_t>(connections);
  limits.max_per_address_ =
      static_cast<uint32_t>(connections * kAddressPercent / 100);
  return limits;
}

ClientMemoryLimits ProbeLimits(uint32_t connections) {
  ClientMemoryLimits limits;
  limits.max_connections_ = connections;
  limits.max_per_address_ = connections - connections / 4;
  limits.max_bytes_ = connections * kProbeBytes;
  return limits;
}

ClientMemory::Decision ClientMemory::Open(Connection id,
                                          const std::string& host, Time now) {
  Decision decision;
  const auto found = hosts_.find(host);
  const size_t open = entries_.size() - closing_;
  if (found != hosts_.end() &&
      found->second.connections_ >= limits_.max_per_address_) {
    decision.granted_ = CloseOne(found->second.orders_, id, now, &decision);
  } else if (open >= limits_.max_connections_) {
    decision.granted_ = CloseOne(orders_, id, now, &decision);
  }
  while (decision.granted_ && total_ + kConnectionBytes > limits_.max_bytes_) {
    decision.granted_ = CloseOne(orders_, id, now, &decision);
  }
  if (!decision.granted_) return decision;
  Entry& entry = entries_[id];
  entry.host_ = hosts_.try_emplace(host).first;
  ++entry.host_->second.connections_;
  Set(&entry, HeldKind::kConnection, kConnectionBytes);
  Order& in_all = orders_[static_cast<size_t>(entry.state_)];
  Order& in_host =
      entry.host_->second.orders_[static_cast<size_t>(entry.state_)];
  entry.in_all_ = in_all.insert(in_all.end(), id);
  entry.in_host_ = in_host.insert(in_host.end(), id);
  entry.progress_at_ = now;
  return decision;
}

void ClientMemory::Close(Connection id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.closing_) --closing_;
  Clear(&entry);
  const auto state = static_cast<size_t>(entry.state_);
  orders_[state].erase(entry.in_all_);
  entry.host_->second.orders_[state].erase(entry.in_host_);
  if (--entry.host_->second.connections_ == 0) hosts_.erase(entry.host_);
  entries_.erase(found);
}

ClientMemory::Decision ClientMemory::Hold(Connection id, HeldKind kind,
                                          uint64_t bytes, Time now) {
  Decision decision;
  Entry* entry = Find(id);
  if (entry == nullptr) return decision;
  const uint64_t before = entry->held_[static_cast<size_t>(kind)];
  const uint64_t limit = bytes > kSmallRequestBytes
                             ? limits_.max_bytes_for_large_
                             : limits_.max_bytes_;
  while (decision.granted_ && bytes > before &&
         total_ + (bytes - before) > limit) {
    decision.granted_ = CloseOne(orders_, id, now, &decision);
  }
  if (decision.granted_) Set(entry, kind, bytes);
  return decision;
}

void ClientMemory::HoldAnyway(Connection id, HeldKind kind, uint64_t bytes) {
  if (Entry* entry = Find(id)) Set(entry, kind, bytes);
}

void ClientMemory::SetState(Connection id, ClientState state, Time now) {
  Entry* entry = Find(id);
  if (entry == nullptr) return;
  Move(entry, state, now);
}

void ClientMemory::Progress(Connection id, uint64_t bytes, Time now) {
  Entry* entry = Find(id);
  if (entry == nullptr) return;
  entry->unnoted_bytes_ += bytes;
  if (entry->unnoted_bytes_ >= kProgressBytes) Move(entry, entry->state_, now);
}

ClientMemory::Entry* ClientMemory::Find(Connection id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.closing_) return nullptr;
  return &found->second;
}

void ClientMemory::Clear(Entry* entry) {
  for (size_t i = 0; i < kHeldKinds; ++i) {
    Set(entry, static_cast<HeldKind>(i), 0);
  }
}

void ClientMemory::Set(Entry* entry, HeldKind kind, uint64_t bytes) {
  uint64_t& held = entry->held_[static_cast<size_t>(kind)];
  const uint64_t before = held;
  held = bytes;
  // Unsigned arithmetic: the sums are right also when `bytes` is smaller.
  held_[static_cast<size_t>(kind)] += bytes - before;
  total_ += bytes - before;
  Host& host = entry->host_->second;
  host.bytes_ += bytes - before;
  peak_.total_ = std::max(peak_.total_, total_);
  if (host.bytes_ <= peak_.host_bytes_) return;
  peak_.host_bytes_ = host.bytes_;
  if (peak_.host_ != entry->host_->first) peak_.host_ = entry->host_->first;
}

ClientMemory::Peak ClientMemory::TakePeak() {
  Peak peak = std::move(peak_);
  peak_ = {};
  peak_.total_ = total_;
  return peak;
}

void ClientMemory::Move(Entry* entry, ClientState state, Time now) {
  const auto from = static_cast<size_t>(entry->state_);
  const auto to = static_cast<size_t>(state);
  Orders& of_host = entry->host_->second.orders_;
  orders_[to].splice(orders_[to].end(), orders_[from], entry->in_all_);
  of_host[to].splice(of_host[to].end(), of_host[from], entry->in_host_);
  entry->state_ = state;
  entry->progress_at_ = now;
  entry->unnoted_bytes_ = 0;
}

bool ClientMemory::CloseOne(const Orders& orders, Connection except, Time now,
                            Decision* out) {
  for (size_t state = 0; state < static_cast<size_t>(ClientState::kBusy);
       ++state) {
    const Order& order = orders[state];
    auto first = order.begin();
    if (first != order.end() && *first == except) ++first;
    if (first == order.end()) continue;
    const Connection id = *first;
    Entry& entry = entries_.at(id);
    if (now - entry.progress_at_ < kMinStall) continue;
    Clear(&entry);
    Move(&entry, ClientState::kBusy, now);
    entry.closing_ = true;
    ++closing_;
    out->close_.push_back(id);
    return true;
  }
  return false;
}

}  // namespace gentiandeal
