#include "membership.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>

#include "load_report.h"
#include "peer_record.h"
#include "peer_wire.h"
#include "team_use_report.h"

namespace gentiandeal {
namespace {

/// Shortest time between heartbeats to a live peer.
constexpr Duration kHeartbeatInterval{1000};
constexpr Duration kMaxHeartbeatInterval{30000};
/// Heartbeats missed before a peer leaves the live view, in halves.
constexpr int64_t kMissedHalfHeartbeats = 7;
/// Probes of a peer that is not live: the first and the slowest interval.
constexpr Duration kFirstProbe{250};
constexpr Duration kSlowProbe{5000};
/// Shortest time between two answers to one peer's probes.
constexpr Duration kReplyGap{200};
/// Full reports that follow the last change, and the time between them.
constexpr int kRefreshes = 3;
constexpr Duration kRefreshInterval{5000};
/// A peer that is neither listed nor a seed is forgotten after this silence.
constexpr Duration kForgetAfter{600 * 1000};
/// Shortest time between views that differ in free slots alone.
constexpr Duration kFreeSlotsGap{100};
/// Peers of each other data centre told of a new revision at once.
constexpr int kRevisionFanOut = 2;
/// Replaced runs of one address that are remembered.
constexpr size_t kReplacedKept = 4;
/// IPv4 and UDP headers of a datagram, in bytes.
constexpr size_t kHeaderBytes = 28;
/// Parts of the budget that heartbeats may take.
constexpr double kOwnHeartbeatShare = 0.5;
constexpr double kRemoteHeartbeatShare = 0.25;
/// Time over which an unused budget may be saved.
constexpr Duration kBurst{250};

template <typename T>
T Saturate(uint32_t value) {
  constexpr uint32_t kMax = std::numeric_limits<T>::max();
  return static_cast<T>(std::min(value, kMax));
}

}  // namespace

class Membership::Impl {
 public:
  Impl(const InstanceId& self, uint32_t bytes_per_second)
      : self_(self), budget_(bytes_per_second) {
    self_.data_centre_.resize(
        std::min(self_.data_centre_.size(), kMaxDataCentreBytes));
  }

  void SetSeeds(const std::vector<Address>& seeds, Time now) {
    for (const Address& address : seeds) {
      PeerRecord* peer = FindOrAdd(address, now);
      if (peer != nullptr) peer->seed_ = true;
    }
  }

  void SetList(const std::vector<PeerInfo>& list, Time now) {
    if (list.empty()) return;
    has_list_ = true;
    for (auto& [address, peer] : peers_) peer.listed_ = false;
    // Peers of this data centre first, in case the list exceeds the limit.
    for (const bool own : {true, false}) {
      for (const PeerInfo& info : list) {
        const bool is_own = info.data_centre_ == self_.data_centre_;
        if (is_own == own) AddListed(info, now);
      }
    }
    view_changed_ = true;
  }

  void SetWorkers(const std::vector<WorkerInfo>& workers) {
    std::vector<std::vector<uint8_t>*> counts;
    for (auto& [address, peer] : peers_) counts.push_back(&peer.slots_in_use_);
    const NameHash before = report_.digest();
    report_.SetWorkers(workers, counts);
    if (report_.digest() == before) return;
    for (auto& [address, peer] : peers_) {
      if (OwnLive(peer)) peer.next_heartbeat_ = last_tick_;
      peer.needs_full_report_ = true;
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
    if (!Decode(bytes, &datagram)) {
      ++stats_.dropped_malformed_;
      return;
    }
    std::visit(
        [&](const auto& body) { Receive(&found->second, body, now, out); },
        datagram);
  }

  void Tick(Time now, const OwnLoad& load, const WorkerUse& in_use,
            PeerEvents* out) {
    NoticePause(now);
    Refill();
    usages_.Update(load.team_uses_, now);
    NoticeOwnChanges(load, now);
    load_ = load;
    load_.team_uses_.clear();
    DropSilent(now, out);
    SendStates(now, out);
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
  bool Own(const PeerRecord& peer) const {
    return peer.data_centre_ == self_.data_centre_;
  }
  bool OwnLive(const PeerRecord& peer) const { return peer.live_ && Own(peer); }

  PeerRecord* FindOrAdd(const Address& address, Time now) {
    if (address == self_.peer_address_ || address.port_ == 0) return nullptr;
    const auto found = peers_.find(address);
    if (found != peers_.end()) return &found->second;
    if (peers_.size() >= config::kMaxPeers && !EvictOne()) return nullptr;
    PeerRecord& peer = peers_[address];
    peer.address_ = address;
    peer.heartbeat_interval_ = kHeartbeatInterval;
    peer.probe_interval_ = kFirstProbe;
    peer.last_reply_ = now - kReplyGap;
    peer.last_heard_ = now;
    peer.next_heartbeat_ = now;
    peer.slots_in_use_.resize(report_.size());
    return &peer;
  }

  /// Makes room by dropping a peer that is silent and not listed.
  bool EvictOne() {
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

  /// Takes the sequence number. @returns false when the datagram is not the
  /// newest of the peer's present run.
  bool IsNews(PeerRecord* peer, const DatagramHead& head, Time now) {
    if (head.incarnation_ != peer->incarnation_ ||
        head.sequence_ <= peer->last_sequence_) {
      ++stats_.dropped_stale_;
      return false;
    }
    peer->last_sequence_ = head.sequence_;
    peer->last_heard_ = now;
    peer->live_until_ = now + Duration{peer->heartbeat_interval_.ms_ *
                                       kMissedHalfHeartbeats / 2};
    return true;
  }

  void Receive(PeerRecord* peer, const StateDatagram& state, Time now,
               PeerEvents* out) {
    const auto& replaced = peer->replaced_incarnations_;
    if (std::find(replaced.begin(), replaced.end(), state.head_.incarnation_) !=
        replaced.end()) {
      ++stats_.dropped_stale_;
      return;
    }
    if (state.head_.incarnation_ != peer->incarnation_) {
      Replace(peer, state.head_.incarnation_, out);
    }
    peer->heartbeat_interval_ =
        std::clamp(Duration{state.interval_ms_}, kHeartbeatInterval,
                   kMaxHeartbeatInterval);
    if (!IsNews(peer, state.head_, now)) return;
    if (!peer->live_ || peer->draining_ != state.draining_ ||
        peer->data_centre_ != state.data_centre_) {
      view_changed_ = true;
    }
    if (!peer->live_) {
      peer->live_ = true;
      peer->needs_full_report_ = true;
      peer->next_heartbeat_ = now;
      peer->probe_interval_ = kFirstProbe;
    }
    peer->data_centre_ = state.data_centre_;
    peer->draining_ = state.draining_;
    if (peer->worker_list_digest_ != state.worker_list_)
      peer->needs_full_report_ = true;
    peer->worker_list_digest_ = state.worker_list_;
    uint32_t& free_slots = free_slots_[state.data_centre_];
    if (free_slots != state.free_slots_) free_slots_changed_ = true;
    free_slots = state.free_slots_;
    TakePeerUses(*peer, state.teams_, out);
    if (state.wants_reply_ && now - peer->last_reply_ >= kReplyGap) {
      peer->last_reply_ = now;
      peer->next_heartbeat_ = now;
    }
    if (state.revision_ > load_.revision_) {
      out->push_back(PeerHoldsRevision{
          {peer->data_centre_, peer->address_, peer->incarnation_},
          state.revision_});
    }
  }

  void Receive(PeerRecord* peer, const LoadDatagram& report, Time now,
               PeerEvents* out) {
    if (!peer->live_ || report.head_.incarnation_ != peer->incarnation_) {
      // A run that did not say who it is yet: ask.
      if (now - peer->last_reply_ >= kReplyGap) {
        peer->last_reply_ = now;
        peer->next_heartbeat_ = now;
        peer->request_reply_ = true;
      }
      ++stats_.dropped_stale_;
      return;
    }
    if (!IsNews(peer, report.head_, now) || !Own(*peer)) return;
    PeerLoad load;
    load.peer_ = peer->incarnation_;
    load.queued_tasks_ = report.queued_tasks_;
    load.entries_ = report_.Apply(report, &peer->slots_in_use_);
    out->push_back(std::move(load));
    TakePeerUses(*peer, report.teams_, out);
  }

  void Replace(PeerRecord* peer, Incarnation incarnation, PeerEvents* out) {
    if (peer->incarnation_.valid()) {
      if (peer->replaced_incarnations_.size() == kReplacedKept) {
        peer->replaced_incarnations_.erase(
            peer->replaced_incarnations_.begin());
      }
      peer->replaced_incarnations_.push_back(peer->incarnation_);
    }
    if (peer->live_) Lose(peer, out);
    peer->incarnation_ = incarnation;
    peer->last_sequence_ = 0;
  }

  void TakePeerUses(const PeerRecord& peer,
                    const std::vector<WireTeamUse>& uses,
                    PeerEvents* out) const {
    for (const WireTeamUse& use : uses) {
      const std::optional<TeamUse> read = usages_.FromWire(use);
      if (read) out->push_back(PeerTeamUse{peer.incarnation_, *read});
    }
  }

  // Time.

  void NoticePause(Time now) {
    const bool paused = ticked_ && now - last_tick_ > config::kPauseGap;
    if (paused) {
      ++stats_.pauses_;
      for (auto& [address, peer] : peers_) {
        // What waits in the socket is read first; then peers may answer.
        peer.live_until_ =
            std::max(peer.live_until_,
                     now + peer.heartbeat_interval_ + kHeartbeatInterval);
        peer.next_heartbeat_ = now;
        peer.request_reply_ = true;
      }
    }
    elapsed_ = ticked_ && !paused ? now - last_tick_ : Duration();
    ticked_ = true;
    last_tick_ = now;
  }

  void Refill() {
    const double per_ms = budget_ / 1000;
    const double most =
        std::max(per_ms * static_cast<double>(kBurst.ms_), round_bytes_);
    tokens_ =
        std::min(most, tokens_ + per_ms * static_cast<double>(elapsed_.ms_));
  }

  void NoticeOwnChanges(const OwnLoad& load, Time now) {
    const bool newer = load.revision_ != load_.revision_;
    const bool draining = load.draining_ != load_.draining_;
    if (!newer && !draining) return;
    std::map<std::string, int> told;
    for (auto& [address, peer] : peers_) {
      if (!peer.live_) continue;
      if (!Own(peer) && told[peer.data_centre_]++ >= kRevisionFanOut) continue;
      peer.next_heartbeat_ = now;
    }
  }

  void Lose(PeerRecord* peer, PeerEvents* out) {
    peer->live_ = false;
    peer->needs_full_report_ = true;
    std::fill(peer->slots_in_use_.begin(), peer->slots_in_use_.end(),
              uint8_t{0});
    view_changed_ = true;
    ++stats_.peers_lost_;
    out->push_back(PeerLost{peer->incarnation_});
  }

  void DropSilent(Time now, PeerEvents* out) {
    for (auto entry = peers_.begin(); entry != peers_.end();) {
      PeerRecord& peer = entry->second;
      if (peer.live_ && now > peer.live_until_) {
        Lose(&peer, out);
        peer.next_heartbeat_ = now;
      }
      const bool wanted = peer.live_ || peer.listed_ || peer.seed_;
      const bool forget = !wanted && now - peer.last_heard_ > kForgetAfter;
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

  DatagramHead NextHead() { return {self_.incarnation_, ++sequence_}; }

  /// Interval of heartbeats that keeps them within their part of the budget.
  Duration HeartbeatInterval(bool own) const {
    const auto count =
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return entry.second.live_ && Own(entry.second) == own;
        });
    const double share = own ? kOwnHeartbeatShare : kRemoteHeartbeatShare;
    const double ms =
        1000 * state_bytes_ * static_cast<double>(count) / (budget_ * share);
    return std::clamp(Duration{static_cast<int64_t>(ms)}, kHeartbeatInterval,
                      kMaxHeartbeatInterval);
  }

  void SendStates(Time now, PeerEvents* out) {
    const Duration own_interval = HeartbeatInterval(true);
    const Duration remote_interval = HeartbeatInterval(false);
    for (auto& [address, peer] : peers_) {
      if (now < peer.next_heartbeat_) continue;
      const Duration interval = Own(peer) ? own_interval : remote_interval;
      StateDatagram state;
      state.head_ = NextHead();
      state.data_centre_ = self_.data_centre_;
      state.revision_ = load_.revision_;
      state.queued_tasks_ = load_.queued_tasks_;
      state.free_slots_ = load_.free_slots_;
      state.worker_list_ = report_.digest();
      state.interval_ms_ =
          Saturate<uint16_t>(static_cast<uint32_t>(interval.ms_));
      state.draining_ = load_.draining_;
      state.wants_reply_ = !peer.live_ || peer.request_reply_;
      if (peer.live_) state.teams_ = usages_.NextToRepeat(now);
      peer.request_reply_ = false;
      const std::string bytes = Encode(state);
      state_bytes_ = static_cast<double>(bytes.size() + kHeaderBytes);
      Send(peer, bytes, out);
      ScheduleState(&peer, interval, now);
    }
  }

  static void ScheduleState(PeerRecord* peer, Duration interval, Time now) {
    if (peer->live_) {
      peer->next_heartbeat_ = now + interval;
      return;
    }
    peer->next_heartbeat_ = now + peer->probe_interval_;
    peer->probe_interval_ =
        std::min(Duration{peer->probe_interval_.ms_ * 2}, kSlowProbe);
  }

  bool RefreshDue(Time now) const {
    return refreshes_left_ > 0 && now - last_full_ >= kRefreshInterval;
  }

  /// Whether anything differs from the last report, as far as it shows
  /// without asking for each worker.
  bool ReportDue(Time now, size_t receivers) const {
    if (receivers == 0) return false;
    if (RefreshDue(now)) return true;
    if (someone_needs_full_ || usages_.pending()) return true;
    return load_.running_tasks_ != reported_running_ ||
           load_.task_starts_ != reported_starts_ ||
           load_.queued_tasks_ != reported_queued_;
  }

  void SendReports(Time now, const WorkerUse& in_use, PeerEvents* out) {
    size_t receivers = 0;
    someone_needs_full_ = false;
    for (const auto& [address, peer] : peers_) {
      if (!OwnLive(peer)) continue;
      ++receivers;
      someone_needs_full_ |= peer.needs_full_report_;
    }
    if (!ReportDue(now, receivers) || tokens_ < round_bytes_) return;
    for (size_t i = 0; i < report_.size(); ++i) {
      report_.SetInUse(i, in_use(report_.worker(i)));
    }
    const bool refresh = RefreshDue(now);
    const bool queue_changed = load_.queued_tasks_ != reported_queued_;
    reported_running_ = load_.running_tasks_;
    reported_starts_ = load_.task_starts_;
    reported_queued_ = load_.queued_tasks_;
    if (!report_.changed() && !queue_changed && !usages_.pending() &&
        !refresh && !someone_needs_full_) {
      return;
    }
    if (report_.changed()) refreshes_left_ = kRefreshes;
    if (refresh) {
      --refreshes_left_;
      last_full_ = now;
    }
    SendRound(refresh, out);
  }

  /// One report to each live peer of this data centre. Each wire form is
  /// encoded once.
  void SendRound(bool refresh, PeerEvents* out) {
    LoadDatagram base;
    base.head_ = NextHead();
    base.queued_tasks_ = Saturate<uint16_t>(load_.queued_tasks_);
    base.teams_ = usages_.TakePending();
    LoadDatagram changes = base;
    report_.FillChanges(&changes);
    LoadDatagram all = base;
    report_.FillAll(&all);
    const std::string changes_bytes = Encode(changes);
    const std::string all_bytes = Encode(all);
    const double before = tokens_;
    for (auto& [address, peer] : peers_) {
      if (!OwnLive(peer)) continue;
      const bool full = refresh || peer.needs_full_report_;
      peer.needs_full_report_ = false;
      if (peer.worker_list_digest_ == report_.digest()) {
        Send(peer, full ? all_bytes : changes_bytes, out);
      } else {
        SendEntries(peer, base, full, out);
      }
      ++stats_.load_reports_sent_;
    }
    round_bytes_ = before - tokens_;
    report_.MarkSent();
  }

  /// Reports by name hash, in as many datagrams as it takes.
  void SendEntries(const PeerRecord& peer, LoadDatagram base, bool full,
                   PeerEvents* out) {
    const std::vector<WireWorkerUse> entries = report_.Entries(full);
    size_t next = 0;
    do {
      const size_t end =
          std::min(entries.size(), next + kMaxChangesPerDatagram);
      base.head_ = NextHead();
      base.changes_.assign(entries.begin() + static_cast<ptrdiff_t>(next),
                           entries.begin() + static_cast<ptrdiff_t>(end));
      Send(peer, Encode(base), out);
      base.teams_.clear();
      next = end;
    } while (next < entries.size());
  }

  // The view.

  void PublishView(Time now, PeerEvents* out) {
    const bool free_slots_due =
        free_slots_changed_ && now - last_view_ >= kFreeSlotsGap;
    if (!view_changed_ && !free_slots_due) return;
    const InstancesChanged counts = Count();
    PeersChanged changed;
    changed.peers_ = peers();
    changed.known_instances_ = counts.known_everywhere_;
    out->push_back(std::move(changed));
    if (view_changed_) out->push_back(counts);
    view_changed_ = false;
    free_slots_changed_ = false;
    last_view_ = now;
  }

  InstancesChanged Count() const {
    InstancesChanged counts;
    for (const auto& [address, peer] : peers_) {
      if (OwnLive(peer)) {
        ++counts.count_;
        if (address < self_.peer_address_) ++counts.own_rank_;
      }
      // With no list at all, whoever was heard of stays known.
      const bool known = peer.live_ || peer.listed_ ||
                         (!has_list_ && peer.incarnation_.valid());
      if (known) ++counts.known_everywhere_;
    }
    return counts;
  }

  InstanceId self_;
  double budget_;
  std::map<Address, PeerRecord> peers_;
  LoadReport report_;
  OwnLoad load_;
  MembershipStats stats_;
  std::map<std::string, uint32_t> free_slots_;  ///< By data centre.

  TeamUsageReport usages_;

  bool has_list_ = false;
  bool view_changed_ = true;
  bool free_slots_changed_ = false;
  Time last_view_;

  bool ticked_ = false;
  Time last_tick_;
  Duration elapsed_;

  uint32_t sequence_ = 0;
  double tokens_ = 0;
  double round_bytes_ = 0;  ///< Cost of the last round of reports.
  double state_bytes_ = 0;  ///< Size of the last heartbeat.
  bool someone_needs_full_ = false;
  int refreshes_left_ = 0;
  Time last_full_;
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
void Membership::SetList(const std::vector<PeerInfo>& peers, Time now) {
  impl_->SetList(peers, now);
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
void Membership::Tick(Time now, const OwnLoad& load, const WorkerUse& in_use,
                      PeerEvents* out) {
  impl_->Tick(now, load, in_use, out);
}
std::vector<PeerView> Membership::peers() const { return impl_->peers(); }
std::vector<Address> Membership::addresses() const {
  return impl_->addresses();
}
const MembershipStats& Membership::stats() const { return impl_->stats(); }

}  // namespace gentiandeal
