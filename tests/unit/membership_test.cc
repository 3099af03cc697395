#include "membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

#include "peer_wire.h"

namespace gentiandeal {
namespace {

Address PeerAddress(int index) {
  return {"10.0.0." + std::to_string(index + 1), 7000};
}

std::vector<WorkerInfo> MakeWorkers(int count) {
  std::vector<WorkerInfo> workers;
  for (int i = 0; i < count; ++i) {
    WorkerInfo worker;
    worker.address_ = {"10.1.0." + std::to_string(i + 1), 8000};
    workers.push_back(worker);
  }
  return workers;
}

/// Simulated instances on one virtual network and clock.
class Fleet {
 public:
  struct Node {
    InstanceId id_;
    std::unique_ptr<Membership> membership_;
    OwnLoad load_;
    std::map<Address, uint16_t> in_use_;
    // Contents of the events that the node's membership emitted.
    std::vector<PeerView> view_;
    InstancesChanged counts_;
    std::map<std::pair<Incarnation, Address>, uint16_t> peer_slots_in_use_;
    std::map<std::pair<Incarnation, uint16_t>, TeamUsage> team_usage_;
    std::vector<Incarnation> lost_peers_;
    Revision newest_peer_revision_;
    int reports_received_ = 0;
    bool is_up_ = true;
  };

  /// Adds a node that no list contains yet.
  Node& Add(const std::string& data_centre) {
    auto node = std::make_unique<Node>();
    node->id_ = {data_centre,
                 PeerAddress(static_cast<int>(nodes_.size())),
                 {++last_incarnation_}};
    nodes_.push_back(std::move(node));
    Start(nodes_.back().get());
    return *nodes_.back();
  }

  void Restart(Node* node) {
    node->id_.incarnation_ = {++last_incarnation_};
    Start(node);
    List(node);
  }

  void ListAll() {
    for (auto& node : nodes_) List(node.get());
  }

  void List(Node* to) {
    std::vector<PeerInfo> list;
    for (auto& node : nodes_) {
      list.push_back({node->id_.peer_address_, node->id_.data_centre_, false});
    }
    to->membership_->SetListedPeers(list, now_);
  }

  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ = now_ + config::kTickInterval;
      Deliver();
      for (auto& node : nodes_) {
        if (node->is_up_) Tick(node.get());
      }
    }
  }

  void Deliver() {
    std::deque<Packet> due;
    due.swap(packets_);
    if (shuffle_) std::shuffle(due.begin(), due.end(), random_);
    for (const Packet& packet : due) {
      for (auto& node : nodes_) {
        if (node->id_.peer_address_ != packet.to_ || !node->is_up_) continue;
        PeerEvents events;
        node->membership_->OnDatagram(packet.from_, packet.bytes_, now_,
                                      &events);
        HandleEvents(node.get(), events);
      }
    }
  }

  void Tick(Node* node) {
    PeerEvents events;
    node->membership_->Tick(
        now_, node->load_,
        [node](const Address& worker) { return node->in_use_[worker]; },
        &events);
    HandleEvents(node, events);
  }

  void HandleEvents(Node* node, const PeerEvents& events) {
    for (const PeerEvent& event : events) {
      std::visit([&](const auto& e) { Handle(node, e); }, event);
    }
  }

  static bool Sees(const Node& node, const Node& other) {
    return std::any_of(node.view_.begin(), node.view_.end(),
                       [&](const PeerView& v) { return v.id_ == other.id_; });
  }

  Node& operator[](size_t index) { return *nodes_[index]; }

  Time now_{100000};
  double loss_ = 0;
  bool duplicate_ = false;
  bool shuffle_ = false;
  std::function<bool(const Address& from, const Address& to)> is_cut_;
  std::vector<Address> sent_to_;

 private:
  struct Packet {
    Address from_;
    Address to_;
    std::string bytes_;
  };

  void Start(Node* node) {
    node->membership_ = std::make_unique<Membership>(node->id_);
    node->membership_->SetWorkers(MakeWorkers(12));
  }

  void Handle(Node* node, const SendDatagram& send) {
    sent_to_.push_back(send.to_);
    const Address& from = node->id_.peer_address_;
    if (is_cut_ && is_cut_(from, send.to_)) return;
    const double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    if (drawn < loss_) return;
    packets_.push_back({from, send.to_, send.bytes_});
    if (duplicate_) packets_.push_back({from, send.to_, send.bytes_});
  }
  void Handle(Node* node, const PeersChanged& changed) {
    node->view_ = changed.peers_;
  }
  void Handle(Node* node, const PeerLoad& load) {
    ++node->reports_received_;
    for (const auto& entry : load.entries_) {
      node->peer_slots_in_use_[{load.peer_, entry.worker_}] = entry.in_use_;
    }
  }
  void Handle(Node* node, const PeerLost& lost) {
    node->lost_peers_.push_back(lost.peer_);
    std::erase_if(node->peer_slots_in_use_, [&](const auto& entry) {
      return entry.first.first == lost.peer_;
    });
  }
  void Handle(Node* node, const PeerTeamUsage& use) {
    node->team_usage_[{use.peer_, use.usage_.team_.value_}] = use.usage_;
  }
  void Handle(Node* node, const PeerHasNewerRevision& holds) {
    node->newest_peer_revision_ =
        std::max(node->newest_peer_revision_, holds.revision_);
  }
  void Handle(Node* node, const InstancesChanged& counts) {
    node->counts_ = counts;
  }

  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<Packet> packets_;
  std::mt19937 random_{7};
  uint64_t last_incarnation_ = 100;
};

constexpr Duration kSecond{1000};

void SetSlotsInUse(Fleet::Node* node, int worker, uint16_t in_use) {
  node->in_use_[MakeWorkers(12)[static_cast<size_t>(worker)].address_] = in_use;
  ++node->load_.task_starts_;
}

uint16_t SlotsInUseSeen(const Fleet::Node& node, const Fleet::Node& peer,
                        int worker) {
  const Address address = MakeWorkers(12)[static_cast<size_t>(worker)].address_;
  const auto found =
      node.peer_slots_in_use_.find({peer.id_.incarnation_, address});
  return found == node.peer_slots_in_use_.end() ? 0 : found->second;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(ListedPeersSeeEachOtherAndReportSlots) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  auto& c = fleet.Add("brest");
  fleet.ListAll();
  fleet.Run(kSecond);
  BOOST_TEST(Fleet::Sees(a, b));
  BOOST_TEST(Fleet::Sees(a, c));
  BOOST_TEST(b.counts_.live_in_data_centre_ == 2U);
  BOOST_TEST(b.counts_.own_rank_ == 1U);
  BOOST_TEST(b.counts_.known_instances_ == 3U);
  SetSlotsInUse(&a, 3, 5);
  fleet.Run(Duration{15});
  BOOST_TEST(SlotsInUseSeen(b, a, 3) == 5);
  BOOST_TEST(c.reports_received_ == 0);
}

BOOST_AUTO_TEST_CASE(ReportsAreCorrectWhenWorkerListsDiffer) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  // More workers than fit one datagram; some in the middle are missing in the
  // list of b.
  std::vector<WorkerInfo> all = MakeWorkers(250);
  a.membership_->SetWorkers(all);
  for (const WorkerInfo& worker : all) a.in_use_[worker.address_] = 3;
  a.in_use_[all[40].address_] = 7;
  all.erase(all.begin() + 20, all.begin() + 30);
  b.membership_->SetWorkers(all);
  fleet.ListAll();
  fleet.Run(Duration{2000});
  for (const WorkerInfo& worker : all) {
    const auto seen =
        b.peer_slots_in_use_.find({a.id_.incarnation_, worker.address_});
    BOOST_REQUIRE(seen != b.peer_slots_in_use_.end());
    BOOST_TEST(seen->second == a.in_use_[worker.address_]);
  }
  BOOST_TEST(b.peer_slots_in_use_.size() == all.size());
  BOOST_TEST(b.membership_->stats().dropped_malformed_ == 0U);
  // Once the lists are equal again, counts by rank are used, and the ranks
  // refer to the same workers.
  a.membership_->SetWorkers(all);
  a.in_use_[all[100].address_] = 5;
  ++a.load_.task_starts_;
  fleet.Run(Duration{2000});
  BOOST_TEST(
      (b.peer_slots_in_use_[{a.id_.incarnation_, all[100].address_}] == 5));
}

BOOST_AUTO_TEST_CASE(PartitionedDataCentresReconnect) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  auto& c = fleet.Add("brest");
  fleet.ListAll();
  fleet.Run(kSecond);
  const Address far = c.id_.peer_address_;
  fleet.is_cut_ = [&](const Address& from, const Address& to) {
    return (from == far) != (to == far);
  };
  fleet.Run(Duration{10 * 1000});
  BOOST_TEST(!Fleet::Sees(a, c));
  BOOST_TEST(!Fleet::Sees(c, a));
  BOOST_TEST(Fleet::Sees(a, b));
  BOOST_TEST(a.counts_.known_instances_ == 3U);
  fleet.is_cut_ = nullptr;
  fleet.Run(Duration{6 * 1000});
  BOOST_TEST(Fleet::Sees(a, c));
  BOOST_TEST(Fleet::Sees(c, a));
}

BOOST_AUTO_TEST_CASE(NewIncarnationReplacesOldOneForGood) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  fleet.ListAll();
  fleet.Run(kSecond);
  const Incarnation old = b.id_.incarnation_;
  HeartbeatDatagram late;
  late.header_ = {old, 1000000};
  late.data_centre_ = "rennes";
  fleet.Restart(&b);
  fleet.Run(kSecond);
  BOOST_TEST(Fleet::Sees(a, b));
  BOOST_TEST(a.view_.size() == 1U);
  BOOST_TEST((a.lost_peers_ == std::vector<Incarnation>{old}));
  PeerEvents events;
  a.membership_->OnDatagram(b.id_.peer_address_, EncodeDatagram(late),
                            fleet.now_, &events);
  BOOST_TEST(events.empty());
  BOOST_TEST((a.membership_->peers()[0].id_ == b.id_));
}

BOOST_AUTO_TEST_CASE(CountsConvergeDespiteLostReorderedAndDuplicatedDatagrams) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  fleet.ListAll();
  fleet.Run(kSecond);
  fleet.loss_ = 0.3;
  fleet.duplicate_ = true;
  fleet.shuffle_ = true;
  std::mt19937 random(11);
  for (int i = 0; i < 400; ++i) {
    SetSlotsInUse(&a, static_cast<int>(random() % 12),
                  static_cast<uint16_t>(random() % 9));
    fleet.Run(config::kTickInterval);
  }
  // Full reports after the last change repair the counts that were lost.
  fleet.Run(Duration{20 * 1000});
  for (int worker = 0; worker < 12; ++worker) {
    const Address address =
        MakeWorkers(12)[static_cast<size_t>(worker)].address_;
    BOOST_TEST(SlotsInUseSeen(b, a, worker) == a.in_use_[address]);
  }
  BOOST_TEST(b.membership_->stats().dropped_stale_ > 0U);
}

BOOST_AUTO_TEST_CASE(PeersGetOneIntervalToAnswerAfterPause) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  fleet.ListAll();
  fleet.Run(kSecond);
  a.is_up_ = false;
  fleet.Run(Duration{60 * 1000});
  BOOST_TEST(!Fleet::Sees(b, a));
  a.is_up_ = true;
  fleet.Run(Duration{3000});
  BOOST_TEST(a.lost_peers_.empty());
  BOOST_TEST(Fleet::Sees(a, b));
  BOOST_TEST(Fleet::Sees(b, a));
  BOOST_TEST(a.membership_->stats().pauses_ == 1U);
  // Without a pause of the observer, a silent peer leaves the view.
  b.is_up_ = false;
  fleet.Run(Duration{5000});
  BOOST_TEST(!Fleet::Sees(a, b));
}

BOOST_AUTO_TEST_CASE(OutdatedOrEmptyListDoesNotRemoveLivePeers) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  fleet.ListAll();
  fleet.Run(kSecond);
  a.membership_->SetListedPeers({}, fleet.now_);
  fleet.Run(kSecond);
  BOOST_TEST(a.counts_.known_instances_ == 2U);
  // A peer that still sends stays in the view although the list lacks it.
  a.membership_->SetListedPeers({{PeerAddress(9), "rennes", false}},
                                fleet.now_);
  fleet.Run(Duration{5000});
  BOOST_TEST(Fleet::Sees(a, b));
  // A listed peer that never sends is not live and is probed rarely.
  fleet.sent_to_.clear();
  fleet.Run(Duration{60 * 1000});
  const auto probes =
      std::count(fleet.sent_to_.begin(), fleet.sent_to_.end(), PeerAddress(9));
  BOOST_TEST(probes >= 8);
  BOOST_TEST(probes <= 14);
  BOOST_TEST(a.view_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DatagramsFromUnknownAddressAreDroppedWithoutReply) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  HeartbeatDatagram forged;
  forged.header_ = {{99}, 1};
  forged.data_centre_ = "rennes";
  forged.wants_reply_ = true;
  PeerEvents events;
  a.membership_->OnDatagram({"10.9.9.9", 1}, EncodeDatagram(forged), fleet.now_,
                            &events);
  fleet.Run(kSecond);
  BOOST_TEST(events.empty());
  BOOST_TEST(fleet.sent_to_.empty());
  BOOST_TEST(a.membership_->stats().dropped_unknown_ == 1U);
}

BOOST_AUTO_TEST_CASE(RevisionDrainingAndTeamUsageReachEveryPeer) {
  Fleet fleet;
  auto& a = fleet.Add("rennes");
  auto& b = fleet.Add("rennes");
  auto& c = fleet.Add("brest");
  fleet.ListAll();
  Settings settings;
  settings.teams_.resize(2);
  settings.teams_[1].name_ = "care/night";
  for (auto* node : {&a, &b, &c}) {
    node->membership_->SetSettings(settings);
  }
  fleet.Run(kSecond);
  a.load_.revision_ = {7};
  a.load_.draining_ = true;
  a.load_.team_usages_ = {{{1}, 4, 2, 1.5}};
  fleet.Run(Duration{20});
  a.load_.team_usages_.clear();
  BOOST_TEST(b.newest_peer_revision_.value_ == 7U);
  BOOST_TEST(c.newest_peer_revision_.value_ == 7U);
  BOOST_TEST((b.team_usage_[{a.id_.incarnation_, 1}].running_ == 4U));
  BOOST_TEST(b.view_[0].draining_);
  fleet.Run(Duration{3000});
  BOOST_TEST((c.team_usage_[{a.id_.incarnation_, 1}].waiting_ == 2U));
}

BOOST_AUTO_TEST_CASE(IdleFleetSendsOnlyHeartbeatsAndBusyFleetKeepsByteBudget) {
  Fleet fleet;
  for (int i = 0; i < 8; ++i) fleet.Add(i < 4 ? "rennes" : "brest");
  fleet.ListAll();
  fleet.Run(kSecond);
  auto& a = fleet[0];
  const uint64_t before = a.membership_->stats().datagrams_sent_;
  fleet.Run(Duration{10 * 1000});
  const uint64_t quiet = a.membership_->stats().datagrams_sent_ - before;
  BOOST_TEST(quiet >= 7 * 9U);
  BOOST_TEST(quiet <= 7 * 11U);
  const uint64_t bytes = a.membership_->stats().bytes_sent_;
  std::mt19937 random(3);
  for (int i = 0; i < 2000; ++i) {
    for (size_t node = 0; node < 8; ++node) {
      SetSlotsInUse(&fleet[node], static_cast<int>(random() % 12),
                    static_cast<uint16_t>(random() % 9));
    }
    fleet.Run(config::kTickInterval);
  }
  const uint64_t busy = a.membership_->stats().bytes_sent_ - bytes;
  BOOST_TEST(busy <= 11 * Membership::kMaxSentBytesPerSecond);
  BOOST_TEST(a.membership_->stats().load_reports_sent_ > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
