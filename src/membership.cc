#include "membership.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>

#include "load_report.h"
#include "peer_record.h"
#include "peer_wire.h"
#include "team_usage_report.h"

namespace gentiandeal {
namespace {

/// Shortest time between heartbeats to a live peer.
constexpr Duration kHeartbeatInterval{1000};
constexpr Duration kMaxHeartbeatInterval{30000};
/// Silence after which a peer counts as lost, in halves of its heartbeat
/// interval: 3.5 heartbeats.
constexpr int64_t kMissedHalfHeartbeats = 7;
/// First and longest interval between probes of a peer that is not live.
constexpr Duration kMinProbeInterval{250};
constexpr Duration kMaxProbeInterval{5000};
/// Shortest time between two replies to the probes of one peer.
constexpr Duration kMinReplyInterval{200};
/// Number of full reports repeated after the last change, and the time between
/// them. They repair counts that were lost on the way.
constexpr int kRefreshCount = 3;
constexpr Duration kRefreshInterval{5000};
/// A peer that is not live, not listed and not a seed is removed after this
/// silence.
constexpr Duration kForgetAfter{600 * 1000};
/// Shortest time between published views that differ only in free slots.
constexpr Duration kMinFreeSlotsInterval{100};
/// Peers in each other data centre that get an immediate heartbeat when the
/// settings revision or the draining state changes.
constexpr int kPeerFanOut = 2;
/// Replaced incarnations remembered for one address.
constexpr size_t kMaxReplacedIncarnations = 4;
/// IPv4 and UDP headers of a datagram, in bytes.
constexpr size_t kHeaderBytes = 28;
/// Shares of the byte budget that heartbeats may take: to peers of this data
/// centre, and to peers of other data centres.
constexpr double kLocalHeartbeatShare = 0.5;
constexpr double kRemoteHeartbeatShare = 0.25;
/// Time over which an unused byte budget accumulates.
constexpr Duration kBurstTime{250};

template <typename T>
T Saturate(uint32_t value) {
  constexpr uint32_t kMax = std::numeric_limits<T>::max();
  return static_cast<T>(std::min(value, kMax));
}

}  // namespace

class Membership::Impl {
 public:
  Impl(const InstanceId& self, uint32_t bytes_per_second)
      : self_(self), budget_bytes_per_second_(bytes_per_second) {
    self_.data_centre_.resize(
        std::min(self_.data_centre_.size(), kMaxDataCentreBytes));
  }

  void SetSeeds(const std::vector<Address>& seeds, Time now) {
    for (const Address& address : seeds) {
      PeerRecord* peer = FindOrAdd(address, now);
      if (peer != nullptr) peer->seed_ = true;
    }
  }

  void SetListedPeers(const std::vector<PeerInfo>& list, Time now) {
    if (list.empty()) return;
    has_list_ = true;
    for (auto& [address, peer] : peers_) peer.listed_ = false;
    // Adds peers of this data centre first, since the list may exceed
    // `config::kMaxPeers`.
    for (const bool local : {true, false}) {
      for (const PeerInfo& info : list) {
        const bool is_local = info.data_centre_ == self_.data_centre_;
        if (is_local == local) AddListed(info, now);
      }
    }
    view_changed_ = true;
  }

  void SetWorkers(const std::vector<WorkerInfo>& workers) {
    std::vector<std::vector<uint8_t>*> counts;
    for (auto& [address, peer] : peers_) counts.push_back(&peer.slots_in_use_);
    const NameHash before = load_report_.digest();
    load_report_.SetWorkers(workers, counts);
    if (load_report_.digest() == before) return;
    for (auto& [address, peer] : peers_) {
      if (IsLiveLocal(peer)) peer.next_heartbeat_ = last_tick_;
      peer.full_report_due_ = true;
    }
  }

  void SetSettings(const Settings& settings) { usages_.SetSettings(settings); }

  void OnDatagram(const Address& from, std::string_view bytes, Time now,
                  PeerEvents* out) {
    ++stats_.datagrams_received_;
    stats_.bytes_received_ += bytes.size() + kHeaderBytes;
    const auto found = peers_.find(from);
    if (found == peers_.end()) {
      ++stats_.dropped_unknown_;
      return;
    }
    Datagram datagram;
    if (!DecodeDatagram(bytes, &datagram)) {
      ++stats_.dropped_malformed_;
      return;
    }
    std::visit(
        [&](const auto& body) { Receive(&found->second, body, now, out); },
        datagram);
  }

  void Tick(Time now, const OwnLoad& load, const SlotsInUseFunction& in_use,
            PeerEvents* out) {
    DetectPause(now);
    RefillTokens();
    usages_.Update(load.team_usages_, now);
    AnnounceOwnChanges(load, now);
    load_ = load;
    load_.team_usages_.clear();
    DropSilentPeers(now, out);
    SendHeartbeats(now, out);
    SendReports(now, in_use, out);
    PublishView(now, out);
  }

  std::vector<PeerView> peers() const {
    std::vector<PeerView> views;
    for (const auto& [address, peer] : peers_) {
      if (!peer.live_) continue;
      const InstanceId id{peer.data_centre_, address, peer.incarnation_};
      const auto free = free_slots_.find(peer.data_centre_);
      views.push_back({id, peer.draining_ || peer.listed_as_leaving_,
                       free == free_slots_.end() ? 0 : free->second});
    }
    return views;
  }

  std::vector<Address> addresses() const {
    std::vector<Address> all;
    for (const auto& [address, peer] : peers_) all.push_back(address);
    return all;
  }

  const MembershipStats& stats() const { return stats_; }

 private:
  /// Whether the peer belongs to the data centre of this instance.
  bool IsLocal(const PeerRecord& peer) const {
    return peer.data_centre_ == self_.data_centre_;
  }
  bool IsLiveLocal(const PeerRecord& peer) const {
    return peer.live_ && IsLocal(peer);
  }

  PeerRecord* FindOrAdd(const Address& address, Time now) {
    if (address == self_.peer_address_ || address.port_ == 0) return nullptr;
    const auto found = peers_.find(address);
    if (found != peers_.end()) return &found->second;
    if (peers_.size() >= config::kMaxPeers && !EvictPeer()) return nullptr;
    PeerRecord& peer = peers_[address];
    peer.address_ = address;
    peer.heartbeat_interval_ = kHeartbeatInterval;
    peer.probe_interval_ = kMinProbeInterval;
    peer.last_reply_ = now - kMinReplyInterval;
    peer.last_seen_ = now;
    peer.next_heartbeat_ = now;
    peer.slots_in_use_.resize(load_report_.size());
    return &peer;
  }

  /// Removes one peer that is not live, not listed and not a seed.
  /// @returns false when there is none.
  bool EvictPeer() {
    const auto found =
        std::find_if(peers_.begin(), peers_.end(), [](const auto& entry) {
          const PeerRecord& peer = entry.second;
          return !peer.live_ && !peer.listed_ && !peer.seed_;
        });
    if (found == peers_.end()) return false;
    peers_.erase(found);
    return true;
  }

  void AddListed(const PeerInfo& info, Time now) {
    PeerRecord* peer = FindOrAdd(info.address_, now);
    if (peer == nullptr) return;
    peer->listed_ = true;
    peer->listed_as_leaving_ = info.leaving_;
    if (!peer->incarnation_.valid()) {
      peer->data_centre_ = info.data_centre_.substr(0, kMaxDataCentreBytes);
    }
  }

  // Receiving.

  /// Records the sequence number and extends the peer's life. @returns false
  /// when the datagram is not the newest of the peer's present incarnation.
  bool AcceptSequence(PeerRecord* peer, const DatagramHeader& head, Time now) {
    if (head.incarnation_ != peer->incarnation_ ||
        head.sequence_ <= peer->last_sequence_) {
      ++stats_.dropped_stale_;
      return false;
    }
    peer->last_sequence_ = head.sequence_;
    peer->last_seen_ = now;
    peer->live_until_ = now + Duration{peer->heartbeat_interval_.ms_ *
                                       kMissedHalfHeartbeats / 2};
    return true;
  }

  void Receive(PeerRecord* peer, const HeartbeatDatagram& state, Time now,
               PeerEvents* out) {
    const auto& replaced = peer->replaced_incarnations_;
    if (std::find(replaced.begin(), replaced.end(),
                  state.header_.incarnation_) != replaced.end()) {
      ++stats_.dropped_stale_;
      return;
    }
    if (state.header_.incarnation_ != peer->incarnation_) {
      ReplaceIncarnation(peer, state.header_.incarnation_, out);
    }
    peer->heartbeat_interval_ =
        std::clamp(Duration{state.interval_ms_}, kHeartbeatInterval,
                   kMaxHeartbeatInterval);
    if (!AcceptSequence(peer, state.header_, now)) return;
    if (!peer->live_ || peer->draining_ != state.draining_ ||
        peer->data_centre_ != state.data_centre_) {
      view_changed_ = true;
    }
    if (!peer->live_) {
      peer->live_ = true;
      peer->full_report_due_ = true;
      peer->next_heartbeat_ = now;
      peer->probe_interval_ = kMinProbeInterval;
    }
    peer->data_centre_ = state.data_centre_;
    peer->draining_ = state.draining_;
    if (peer->worker_list_ != state.worker_list_digest_) {
      peer->full_report_due_ = true;
    }
    peer->worker_list_ = state.worker_list_digest_;
    uint32_t& free_slots = free_slots_[state.data_centre_];
    if (free_slots != state.free_slots_) free_slots_changed_ = true;
    free_slots = state.free_slots_;
    EmitPeerUsages(*peer, state.teams_, out);
    if (state.wants_reply_ && now - peer->last_reply_ >= kMinReplyInterval) {
      peer->last_reply_ = now;
      peer->next_heartbeat_ = now;
    }
    if (state.revision_ > load_.revision_) {
      out->push_back(PeerHasNewerRevision{
          {peer->data_centre_, peer->address_, peer->incarnation_},
          state.revision_});
    }
  }

  void Receive(PeerRecord* peer, const LoadDatagram& report, Time now,
               PeerEvents* out) {
    if (!peer->live_ || report.header_.incarnation_ != peer->incarnation_) {
      // No heartbeat of this incarnation has arrived yet: ask for one.
      if (now - peer->last_reply_ >= kMinReplyInterval) {
        peer->last_reply_ = now;
        peer->next_heartbeat_ = now;
        peer->request_reply_ = true;
      }
      ++stats_.dropped_stale_;
      return;
    }
    if (!AcceptSequence(peer, report.header_, now) || !IsLocal(*peer)) return;
    PeerLoad load;
    load.peer_ = peer->incarnation_;
    load.queued_tasks_ = report.queued_tasks_;
    load.entries_ = load_report_.Apply(report, &peer->slots_in_use_);
    out->push_back(std::move(load));
    EmitPeerUsages(*peer, report.teams_, out);
  }

  void ReplaceIncarnation(PeerRecord* peer, Incarnation incarnation,
                          PeerEvents* out) {
    if (peer->incarnation_.valid()) {
      if (peer->replaced_incarnations_.size() == kMaxReplacedIncarnations) {
        peer->replaced_incarnations_.erase(
            peer->replaced_incarnations_.begin());
      }
      peer->replaced_incarnations_.push_back(peer->incarnation_);
    }
    if (peer->live_) MarkLost(peer, out);
    peer->incarnation_ = incarnation;
    peer->last_sequence_ = 0;
  }

  void EmitPeerUsages(const PeerRecord& peer,
                      const std::vector<WireTeamUsage>& usages,
                      PeerEvents* out) const {
    for (const WireTeamUsage& use : usages) {
      const std::optional<TeamUsage> usage = usages_.FromWire(use);
      if (usage) out->push_back(PeerTeamUsage{peer.incarnation_, *usage});
    }
  }

  // Clock and liveness.

  void DetectPause(Time now) {
    const bool paused = ticked_ && now - last_tick_ > config::kPauseThreshold;
    if (paused) {
      ++stats_.pauses_;
      for (auto& [address, peer] : peers_) {
        // Datagrams queued in the socket during the pause are read first, then
        // each peer has one interval to answer.
        peer.live_until_ =
            std::max(peer.live_until_,
                     now + peer.heartbeat_interval_ + kHeartbeatInterval);
        peer.next_heartbeat_ = now;
        peer.request_reply_ = true;
      }
    }
    since_last_tick_ = ticked_ && !paused ? now - last_tick_ : Duration();
    ticked_ = true;
    last_tick_ = now;
  }

  void RefillTokens() {
    const double per_ms = budget_bytes_per_second_ / 1000;
    const double capacity = std::max(
        per_ms * static_cast<double>(kBurstTime.ms_), report_round_bytes_);
    tokens_ = std::min(
        capacity, tokens_ + per_ms * static_cast<double>(since_last_tick_.ms_));
  }

  /// Schedules heartbeats at once when the settings revision or the draining
  /// state of this instance changed.
  void AnnounceOwnChanges(const OwnLoad& load, Time now) {
    const bool revision_changed = load.revision_ != load_.revision_;
    const bool draining_changed = load.draining_ != load_.draining_;
    if (!revision_changed && !draining_changed) return;
    std::map<std::string, int> sent;
    for (auto& [address, peer] : peers_) {
      if (!peer.live_) continue;
      if (!IsLocal(peer) && sent[peer.data_centre_]++ >= kPeerFanOut) continue;
      peer.next_heartbeat_ = now;
    }
  }

  void MarkLost(PeerRecord* peer, PeerEvents* out) {
    peer->live_ = false;
    peer->full_report_due_ = true;
    std::fill(peer->slots_in_use_.begin(), peer->slots_in_use_.end(),
              uint8_t{0});
    view_changed_ = true;
    ++stats_.peers_lost_;
    out->push_back(PeerLost{peer->incarnation_});
  }

  void DropSilentPeers(Time now, PeerEvents* out) {
    for (auto entry = peers_.begin(); entry != peers_.end();) {
      PeerRecord& peer = entry->second;
      if (peer.live_ && now > peer.live_until_) {
        MarkLost(&peer, out);
        peer.next_heartbeat_ = now;
      }
      const bool keep = peer.live_ || peer.listed_ || peer.seed_;
      const bool forget = !keep && now - peer.last_seen_ > kForgetAfter;
      entry = forget ? peers_.erase(entry) : std::next(entry);
    }
  }

  // Sending.

  void Send(const PeerRecord& peer, const std::string& bytes, PeerEvents* out) {
    const size_t size = bytes.size() + kHeaderBytes;
    tokens_ -= static_cast<double>(size);
    ++stats_.datagrams_sent_;
    stats_.bytes_sent_ += size;
    out->push_back(SendDatagram{peer.address_, bytes});
  }

  DatagramHeader NextHead() { return {self_.incarnation_, ++sequence_}; }

  /// Interval that keeps the heartbeats within their share of the budget.
  /// @param local For peers of this data centre, otherwise for all others.
  Duration HeartbeatInterval(bool local) const {
    const auto count =
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return entry.second.live_ && IsLocal(entry.second) == local;
        });
    const double share = local ? kLocalHeartbeatShare : kRemoteHeartbeatShare;
    const double ms = 1000 * heartbeat_bytes_ * static_cast<double>(count) /
                      (budget_bytes_per_second_ * share);
    return std::clamp(Duration{static_cast<int64_t>(ms)}, kHeartbeatInterval,
                      kMaxHeartbeatInterval);
  }

  void SendHeartbeats(Time now, PeerEvents* out) {
    const Duration local_interval = HeartbeatInterval(true);
    const Duration remote_interval = HeartbeatInterval(false);
    for (auto& [address, peer] : peers_) {
      if (now < peer.next_heartbeat_) continue;
      const Duration interval =
          IsLocal(peer) ? local_interval : remote_interval;
      HeartbeatDatagram state;
      state.header_ = NextHead();
      state.data_centre_ = self_.data_centre_;
      state.revision_ = load_.revision_;
      state.queued_tasks_ = load_.queued_tasks_;
      state.free_slots_ = load_.free_slots_;
      state.worker_list_digest_ = load_report_.digest();
      state.interval_ms_ =
          Saturate<uint16_t>(static_cast<uint32_t>(interval.ms_));
      state.draining_ = load_.draining_;
      state.wants_reply_ = !peer.live_ || peer.request_reply_;
      if (peer.live_) state.teams_ = usages_.NextToRepeat(now);
      peer.request_reply_ = false;
      const std::string bytes = EncodeDatagram(state);
      heartbeat_bytes_ = static_cast<double>(bytes.size() + kHeaderBytes);
      Send(peer, bytes, out);
      ScheduleHeartbeat(&peer, interval, now);
    }
  }

  static void ScheduleHeartbeat(PeerRecord* peer, Duration interval, Time now) {
    if (peer->live_) {
      peer->next_heartbeat_ = now + interval;
      return;
    }
    peer->next_heartbeat_ = now + peer->probe_interval_;
    peer->probe_interval_ =
        std::min(Duration{peer->probe_interval_.ms_ * 2}, kMaxProbeInterval);
  }

  bool RefreshDue(Time now) const {
    return refreshes_left_ > 0 && now - last_refresh_ >= kRefreshInterval;
  }

  /// Whether a report may be due, judged by totals alone so that idle ticks do
  /// not query every worker.
  bool ReportDue(Time now, size_t receivers) const {
    if (receivers == 0) return false;
    if (RefreshDue(now)) return true;
    if (any_full_report_due_ || usages_.pending()) return true;
    return load_.running_tasks_ != reported_running_ ||
           load_.task_starts_ != reported_starts_ ||
           load_.queued_tasks_ != reported_queued_;
  }

  void SendReports(Time now, const SlotsInUseFunction& in_use,
                   PeerEvents* out) {
    size_t receivers = 0;
    any_full_report_due_ = false;
    for (const auto& [address, peer] : peers_) {
      if (!IsLiveLocal(peer)) continue;
      ++receivers;
      any_full_report_due_ |= peer.full_report_due_;
    }
    if (!ReportDue(now, receivers) || tokens_ < report_round_bytes_) return;
    for (size_t i = 0; i < load_report_.size(); ++i) {
      load_report_.SetInUse(i, in_use(load_report_.worker(i)));
    }
    const bool refresh = RefreshDue(now);
    const bool queue_changed = load_.queued_tasks_ != reported_queued_;
    reported_running_ = load_.running_tasks_;
    reported_starts_ = load_.task_starts_;
    reported_queued_ = load_.queued_tasks_;
    if (!load_report_.changed() && !queue_changed && !usages_.pending() &&
        !refresh && !any_full_report_due_) {
      return;
    }
    if (load_report_.changed()) refreshes_left_ = kRefreshCount;
    if (refresh) {
      --refreshes_left_;
      last_refresh_ = now;
    }
    SendReportRound(refresh, out);
  }

  /// Sends one report to each live peer of this data centre. Each form for
  /// peers with the same list of workers is encoded once for all of them.
  void SendReportRound(bool refresh, PeerEvents* out) {
    LoadDatagram base;
    base.header_ = NextHead();
    base.queued_tasks_ = Saturate<uint16_t>(load_.queued_tasks_);
    base.teams_ = usages_.TakePending();
    LoadDatagram changes = base;
    load_report_.FillChanges(&changes);
    LoadDatagram all = base;
    load_report_.FillAll(&all);
    const std::string changes_bytes = EncodeDatagram(changes);
    const std::string all_bytes = EncodeDatagram(all);
    const double before = tokens_;
    for (auto& [address, peer] : peers_) {
      if (!IsLiveLocal(peer)) continue;
      const bool full = refresh || peer.full_report_due_;
      peer.full_report_due_ = false;
      if (peer.worker_list_ == load_report_.digest()) {
        Send(peer, full ? all_bytes : changes_bytes, out);
      } else {
        SendEntries(peer, base, full, out);
      }
      ++stats_.load_reports_sent_;
    }
    report_round_bytes_ = before - tokens_;
    load_report_.MarkSent();
  }

  /// Sends a report by name hash, split over as many datagrams as needed.
  void SendEntries(const PeerRecord& peer, LoadDatagram base, bool full,
                   PeerEvents* out) {
    const std::vector<WireWorkerUsage> entries = load_report_.Entries(full);
    size_t next = 0;
    do {
      const size_t end =
          std::min(entries.size(), next + kMaxHashEntriesPerDatagram);
      base.header_ = NextHead();
      base.in_use_by_hash_.assign(
          entries.begin() + static_cast<ptrdiff_t>(next),
          entries.begin() + static_cast<ptrdiff_t>(end));
      Send(peer, EncodeDatagram(base), out);
      base.teams_.clear();
      next = end;
    } while (next < entries.size());
  }

  // Publishing the view.

  void PublishView(Time now, PeerEvents* out) {
    const bool free_slots_due =
        free_slots_changed_ && now - last_view_at_ >= kMinFreeSlotsInterval;
    if (!view_changed_ && !free_slots_due) return;
    const InstancesChanged counts = CountInstances();
    PeersChanged changed;
    changed.peers_ = peers();
    changed.known_instances_ = counts.known_instances_;
    out->push_back(std::move(changed));
    if (view_changed_) out->push_back(counts);
    view_changed_ = false;
    free_slots_changed_ = false;
    last_view_at_ = now;
  }

  InstancesChanged CountInstances() const {
    InstancesChanged counts;
    for (const auto& [address, peer] : peers_) {
      if (IsLiveLocal(peer)) {
        ++counts.live_in_data_centre_;
        if (address < self_.peer_address_) ++counts.own_rank_;
      }
      // Without any list from the platform, every peer seen so far stays
      // known.
      const bool known = peer.live_ || peer.listed_ ||
                         (!has_list_ && peer.incarnation_.valid());
      if (known) ++counts.known_instances_;
    }
    return counts;
  }

  InstanceId self_;
  double budget_bytes_per_second_;
  std::map<Address, PeerRecord> peers_;
  LoadReport load_report_;
  OwnLoad load_;
  MembershipStats stats_;
  std::map<std::string, uint32_t> free_slots_;  ///< By data centre.

  TeamUsageReport usages_;

  bool has_list_ = false;
  bool view_changed_ = true;
  bool free_slots_changed_ = false;
  Time last_view_at_;

  bool ticked_ = false;
  Time last_tick_;
  Duration since_last_tick_;

  uint32_t sequence_ = 0;
  double tokens_ = 0;
  double report_round_bytes_ = 0;  ///< Sent in the last round of reports.
  double heartbeat_bytes_ = 0;     ///< Size of the last heartbeat.
  bool any_full_report_due_ = false;
  int refreshes_left_ = 0;
  Time last_refresh_;
  uint32_t reported_running_ = 0;
  uint64_t reported_starts_ = 0;
  uint32_t reported_queued_ = 0;
};

Membership::Membership(const InstanceId& self, uint32_t bytes_per_second)
    : impl_(std::make_unique<Impl>(self, bytes_per_second)) {}
Membership::~Membership() = default;

void Membership::SetSeeds(const std::vector<Address>& seeds, Time now) {
  impl_->SetSeeds(seeds, now);
}
void Membership::SetListedPeers(const std::vector<PeerInfo>& peers, Time now) {
  impl_->SetListedPeers(peers, now);
}
void Membership::SetWorkers(const std::vector<WorkerInfo>& workers) {
  impl_->SetWorkers(workers);
}
void Membership::SetSettings(const Settings& settings) {
  impl_->SetSettings(settings);
}
void Membership::OnDatagram(const Address& from, std::string_view bytes,
                            Time now, PeerEvents* out) {
  impl_->OnDatagram(from, bytes, now, out);
}
void Membership::Tick(Time now, const OwnLoad& load,
                      const SlotsInUseFunction& in_use, PeerEvents* out) {
  impl_->Tick(now, load, in_use, out);
}
std::vector<PeerView> Membership::peers() const { return impl_->peers(); }
std::vector<Address> Membership::addresses() const {
  return impl_->addresses();
}
const MembershipStats& Membership::stats() const { return impl_->stats(); }

}  // namespace gentiandeal
