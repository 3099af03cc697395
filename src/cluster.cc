#include "cluster.h"

#include <event2/event.h>
#include <spdlog/spdlog.h>

#include <set>

#include "consul_platform.h"
#include "list_limit.h"
#include "peer_link.h"
#include "peer_socket.h"
#include "settings_document.h"
#include "settings_sync.h"

namespace gentiandeal {
namespace {

constexpr char kInstanceService[] = "gentiandeal";
constexpr Duration kListInterval{1000};
/// Added to the interval for each listed worker, so that the bytes per second
/// of list responses stay bounded as the number of workers grows.
constexpr Duration kListIntervalPerEntry{10};

}  // namespace

class Cluster::Impl {
 public:
  Impl(event_base* base, const Init& init,
       std::function<void(ClusterEvent)> events)
      : base_(base),
        init_(init),
        events_(std::move(events)),
        has_platform_(init.platform_.port_ != 0),
        sync_(MakeSyncOptions(init), has_platform_),
        socket_(base, [this](const Address& from, std::string_view bytes) {
          HandleDatagram(from, bytes);
        }) {
    if (has_platform_) {
      platform_.emplace(base, init.platform_, ConsulOptions{});
    }
    settings_ = BootSettings(init);
  }

  std::error_code Listen(InstanceId* self) {
    link_.emplace(base_, *self,
                  [this](PeerLinkEvent event) { DispatchLinkEvent(&event); });
    const auto error = OpenPeerPort(init_.peers_, &*link_, &socket_);
    if (error) return error;
    const bool translated = init_.peers_advertised_.port_ != 0;
    self->peer_address_ = translated ? init_.peers_advertised_ : link_->local();
    link_->Advertise(self->peer_address_);
    membership_.emplace(*self);
    return {};
  }

  void Start(TeamLimiter* team_limiter) {
    team_limiter_ = team_limiter;
    const Time now = clock_.Now();
    ApplySettings(settings_);
    WorkersListed seeds;
    for (const Address& address : init_.seed_workers_) {
      WorkerInfo worker;
      worker.address_ = address;
      worker.data_centre_ = init_.data_centre_;
      worker.slots_ = settings_->service_.worker_slots_;
      worker.max_connections_ = settings_->service_.worker_connections_;
      seeds.workers_.push_back(std::move(worker));
    }
    ApplyWorkers(std::move(seeds));
    membership_->SetSeeds(init_.seed_peers_, now);
    SyncOutbox out;
    sync_.Start(now, &out);
    sync_.AskPeers(init_.seed_peers_, now, &out);
    if (!has_platform_) PassPeersToSync(now, &out);
    ExecuteCommands(&out);
    if (has_platform_) ListInstances();
    if (has_platform_) ListWorkers();
  }

  void Tick(Time now, const Dispatcher& dispatcher, bool draining) {
    SyncOutbox out;
    sync_.Tick(now, &out);
    ExecuteCommands(&out);
    if (has_platform_ && now >= next_list_time_) {
      next_list_time_ = now + kListInterval;
      next_list_time_.ms_ += kListIntervalPerEntry.ms_ * listed_workers_;
      ListInstances();
      ListWorkers();
    }
    PeerEvents events;
    membership_->Tick(now, MakeLoad(now, dispatcher, draining),
                      MakeWorkerUsage(dispatcher), &events);
    HandlePeerEvents(std::move(events));
  }

  void On(const ForwardSubmission& forward) { link_->On(forward); }
  void On(const CancelForward& abandon) { link_->On(abandon); }
  void On(const SendAnswer& answer) { link_->On(answer); }

  bool ready() const { return sync_.ready(); }
  bool idle() const { return link_->idle(); }
  const std::vector<PeerView>& peers() const { return peers_; }
  const Settings& settings() const { return *settings_; }
  std::string settings_json() const {
    return settings_text_.empty() ? "{}" : settings_text_;
  }

  std::vector<std::pair<std::string, uint64_t>> counters() const {
    const MembershipStats& members = membership_->stats();
    const PeerLinkStats& links = link_->stats();
    const SyncStats& sync = sync_.stats();
    const PlatformCalls calls =
        has_platform_ ? platform_->calls() : PlatformCalls{};
    return {
        {"datagrams_sent", members.datagrams_sent_},
        {"datagram_bytes_sent", members.bytes_sent_},
        {"datagrams_received", members.datagrams_received_},
        {"datagram_bytes_received", members.bytes_received_},
        {"datagrams_malformed", members.dropped_malformed_},
        {"datagrams_unknown", members.dropped_unknown_},
        {"peers_lost", members.peers_lost_},
        {"link_forwards", links.forwards_},
        {"link_forwards_uncertain", links.forwards_uncertain_},
        {"link_bytes_sent", links.bytes_sent_},
        {"link_bytes_received", links.bytes_received_},
        {"settings_adopted", sync.adopted_},
        {"settings_refused", sync.refused_},
        {"settings_rollbacks_seen", sync.rollbacks_},
        {"settings_write_backs", sync.write_backs_},
        {"platform_gets", calls.gets_},
        {"platform_swaps", calls.swaps_},
        {"platform_watches", calls.watches_},
        {"platform_lists", calls.lists_},
        {"platform_failures", calls.failures_},
    };
  }

 private:
  static SyncOptions MakeSyncOptions(const Init& init) {
    SyncOptions options;
    options.start_wait_ = init.settings_wait_;
    return options;
  }

  static std::shared_ptr<const Settings> BootSettings(const Init& init) {
    auto settings = std::make_shared<Settings>();
    Diagnostics diagnostics;
    if (init.settings_file_.empty()) {
      ParseSettingsTree({}, {}, settings.get(), &diagnostics);
    } else if (LoadSettings(init.settings_file_, settings.get(),
                            &diagnostics)) {
      for (const Diagnostic& diagnostic : diagnostics) {
        spdlog::error("settings file: {}", ToString(diagnostic));
      }
      ParseSettingsTree({}, {}, settings.get(), &diagnostics);
    }
    return settings;
  }

  void ApplySettings(std::shared_ptr<const Settings> settings) {
    settings_ = std::move(settings);
    membership_->SetSettings(*settings_);
    events_(SettingsChanged{settings_});
  }

  void ApplyWorkers(WorkersListed listed) {
    membership_->SetWorkers(listed.workers_);
    events_(std::move(listed));
  }

  void ListInstances() {
    if (listing_instances_) return;
    listing_instances_ = true;
    platform_->List(kInstanceService,
                    [this](std::error_code error,
                           const std::vector<ListedService>& services) {
                      listing_instances_ = false;
                      HandleInstances(error, services);
                    });
  }

  void HandleInstances(std::error_code error,
                       const std::vector<ListedService>& services) {
    const Time now = clock_.Now();
    LogPlatformState(error);
    if (!error) {
      std::vector<PeerInfo> peers;
      for (const ListedService& service : services) {
        if (service.peer_address_.port_ == 0) continue;
        peers.push_back(
            {service.peer_address_, service.data_centre_, service.leaving_});
      }
      LogLimit("instances", CountWithSeeds(peers), &instance_limit_);
      membership_->SetListedPeers(peers, now);
    }
    SyncOutbox out;
    PassPeersToSync(now, &out);
    ExecuteCommands(&out);
  }

  /// Seeds that aren't listed take places of listed instances.
  size_t CountWithSeeds(const std::vector<PeerInfo>& listed) const {
    std::set<Address> addresses(init_.seed_peers_.begin(),
                                init_.seed_peers_.end());
    for (const PeerInfo& peer : listed) addresses.insert(peer.address_);
    return addresses.size();
  }

  void PassPeersToSync(Time now, SyncOutbox* out) {
    sync_.OnPeersKnown(membership_->addresses(), now, out);
  }

  void ListWorkers() {
    if (listing_workers_) return;
    listing_workers_ = true;
    platform_->List(
        init_.service_, [this](std::error_code error,
                               const std::vector<ListedService>& services) {
          listing_workers_ = false;
          LogPlatformState(error);
          // An empty or failed list says nothing: keep the last one.
          if (error || services.empty()) return;
          listed_workers_ = static_cast<int64_t>(services.size());
          WorkersListed listed;
          listed.workers_ = ToWorkers(services, init_.data_centre_,
                                      settings_->service_.worker_slots_,
                                      settings_->service_.worker_connections_);
          LogLimit("workers of this data centre", listed.workers_.size(),
                   &worker_limit_);
          ApplyWorkers(std::move(listed));
        });
  }

  /// Logs when a list starts or ceases to exceed what this build can use.
  static void LogLimit(const char* what, size_t listed, ListLimit* limit) {
    switch (limit->On(listed)) {
      case ListLimit::Change::kNone:
        return;
      case ListLimit::Change::kExceeded:
        return spdlog::error(
            "platform: {} {} with the seeds, of which {} are used: split the "
            "data centre, or use `gentiandeal hosted`",
            listed, what, limit->limit());
      case ListLimit::Change::kKeptAgain:
        spdlog::info("platform: {} {} with the seeds, all are used again",
                     listed, what);
    }
  }

  void LogPlatformState(std::error_code error) {
    const bool up = !error;
    if (up == platform_reachable_) return;
    platform_reachable_ = up;
    if (up) {
      spdlog::info("platform: reachable again");
    } else {
      spdlog::warn("platform: {}", error.message());
    }
  }

  static OwnLoad MakeOwnLoad(const Dispatcher& dispatcher) {
    const DispatcherLoad load = dispatcher.load();
    OwnLoad own;
    own.queued_tasks_ = load.queued_tasks_;
    own.running_tasks_ = load.running_tasks_;
    own.free_slots_ = load.free_slots_;
    own.task_starts_ = dispatcher.stats().task_starts_;
    return own;
  }

  OwnLoad MakeLoad(Time now, const Dispatcher& dispatcher, bool draining) {
    OwnLoad own = MakeOwnLoad(dispatcher);
    own.revision_ = settings_->revision_;
    own.draining_ = draining;
    own.team_usages_ = team_limiter_->TakeChangedUsages(now);
    return own;
  }

  static SlotsInUseFunction MakeWorkerUsage(const Dispatcher& dispatcher) {
    return [&dispatcher](const Address& address) {
      const WorkerTable& workers = dispatcher.workers();
      const WorkerHandle worker = workers.Find(address);
      if (!worker.valid()) return uint16_t{0};
      return static_cast<uint16_t>(workers.in_use(worker));
    };
  }

  void HandleDatagram(const Address& from, std::string_view bytes) {
    PeerEvents events;
    membership_->OnDatagram(from, bytes, clock_.Now(), &events);
    HandlePeerEvents(std::move(events));
  }

  void HandlePeerEvents(PeerEvents events) {
    for (PeerEvent& event : events) {
      std::visit([this](auto& one) { HandlePeerEvent(std::move(one)); }, event);
    }
  }

  void HandlePeerEvent(const SendDatagram& datagram) {
    socket_.Send(datagram.to_, datagram.bytes_);
  }
  void HandlePeerEvent(PeersChanged changed) {
    peers_ = changed.peers_;
    link_->On(changed);
    events_(std::move(changed));
  }
  void HandlePeerEvent(PeerLoad load) { events_(std::move(load)); }
  void HandlePeerEvent(const PeerLost& lost) {
    team_limiter_->ForgetPeer(lost.peer_);
  }
  void HandlePeerEvent(const PeerTeamUsage& use) {
    team_limiter_->SetPeerUsage(use.peer_, use.usage_, clock_.Now());
  }
  void HandlePeerEvent(const PeerHasNewerRevision& holds) {
    SyncOutbox out;
    sync_.OnPeerRevision(holds.peer_.peer_address_, holds.revision_,
                         clock_.Now(), &out);
    ExecuteCommands(&out);
  }
  void HandlePeerEvent(const InstancesChanged& changed) {
    SyncOutbox out;
    sync_.OnRank(changed.own_rank_, clock_.Now(), &out);
    ExecuteCommands(&out);
  }

  void DispatchLinkEvent(PeerLinkEvent* event) {
    std::visit([this](auto& one) { HandleLinkEvent(std::move(one)); }, *event);
  }
  template <typename T>
  void HandleLinkEvent(T event) {
    events_(std::move(event));
  }
  void HandleLinkEvent(const SettingsPulled& pulled) {
    SyncOutbox out;
    sync_.OnPulled(pulled.peer_, pulled.document_.text_, clock_.Now(), &out);
    ExecuteCommands(&out);
  }

  void ExecuteCommands(SyncOutbox* out) {
    for (SyncCommand& command : *out) {
      std::visit([this](auto& one) { Execute(std::move(one)); }, command);
    }
  }

  void Execute(GetDocument) {
    platform_->Get(kSettingsStoreKey,
                   [this](std::error_code error, const StoreValue& value) {
                     SyncOutbox out;
                     sync_.OnStoreRead(error, value, clock_.Now(), &out);
                     ExecuteCommands(&out);
                   });
  }
  void Execute(const WatchDocument& watch) {
    platform_->Watch(kSettingsStoreKey, watch.index_, watch.wait_,
                     [this](std::error_code error, const StoreValue& value) {
                       SyncOutbox out;
                       sync_.OnWatchEnded(error, value, clock_.Now(), &out);
                       ExecuteCommands(&out);
                     });
  }
  void Execute(const PullDocument& pull) {
    link_->PullSettings(pull.peer_, SyncOptions{}.pull_timeout_);
  }
  void Execute(const WriteBack& write) {
    spdlog::warn("settings: the store lost revisions; writing revision {} back",
                 settings_->revision_.value_);
    platform_->CompareAndSwap(kSettingsStoreKey, write.text_, write.index_,
                              [this](std::error_code error, SwapResult result) {
                                SyncOutbox out;
                                sync_.OnSwapped(error, result, clock_.Now(),
                                                &out);
                                ExecuteCommands(&out);
                              });
  }
  void Execute(AdoptDocument adopt) {
    spdlog::info("settings: revision {} in force, from {}",
                 adopt.settings_->revision_.value_, Name(sync_.source()));
    settings_text_ = adopt.text_;
    link_->SetSettings({adopt.settings_->revision_, std::move(adopt.text_)});
    ApplySettings(std::move(adopt.settings_));
  }

  event_base* base_;
  Init init_;
  std::function<void(ClusterEvent)> events_;
  MonotonicClock clock_;
  bool has_platform_;
  SettingsSync sync_;
  std::optional<ConsulPlatform> platform_;
  PeerSocket socket_;
  std::optional<PeerLink> link_;
  std::optional<Membership> membership_;
  TeamLimiter* team_limiter_ = nullptr;
  std::shared_ptr<const Settings> settings_;
  std::string settings_text_;
  std::vector<PeerView> peers_;
  Time next_list_time_;
  int64_t listed_workers_ = 0;
  bool listing_instances_ = false;
  bool listing_workers_ = false;
  ListLimit instance_limit_{config::kMaxPeers};
  ListLimit worker_limit_{config::kMaxWorkers};
  bool platform_reachable_ = true;
};

Cluster::Cluster(event_base* base, const Init& init,
                 std::function<void(ClusterEvent)> events)
    : impl_(std::make_unique<Impl>(base, init, std::move(events))) {}
Cluster::~Cluster() = default;

std::error_code Cluster::Listen(InstanceId* self) {
  return impl_->Listen(self);
}
void Cluster::Start(TeamLimiter* team_limiter) { impl_->Start(team_limiter); }
void Cluster::Tick(Time now, const Dispatcher& dispatcher, bool draining) {
  impl_->Tick(now, dispatcher, draining);
}
void Cluster::On(const ForwardSubmission& forward) { impl_->On(forward); }
void Cluster::On(const CancelForward& abandon) { impl_->On(abandon); }
void Cluster::On(const SendAnswer& answer) { impl_->On(answer); }
bool Cluster::ready() const { return impl_->ready(); }
bool Cluster::idle() const { return impl_->idle(); }
const std::vector<PeerView>& Cluster::peers() const { return impl_->peers(); }
const Settings& Cluster::settings() const { return impl_->settings(); }
std::string Cluster::settings_json() const { return impl_->settings_json(); }
std::vector<std::pair<std::string, uint64_t>> Cluster::counters() const {
  return impl_->counters();
}

}  // namespace gentiandeal
