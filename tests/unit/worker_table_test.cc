#include "worker_table.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace gentiandeal {
namespace {

constexpr Duration kNoPenalty{0};

WorkerInfo Info(uint16_t port, uint16_t slots = 8) {
  WorkerInfo info;
  info.address_ = {"10.0.0.1", port};
  info.slots_ = slots;
  return info;
}

std::vector<WorkerInfo> Infos(uint16_t count, uint16_t slots = 8) {
  std::vector<WorkerInfo> infos;
  for (uint16_t i = 0; i < count; ++i) infos.push_back(Info(1000 + i, slots));
  return infos;
}

/// Starts tasks until no worker can take another one. @returns the number of
/// starts by worker.
std::map<uint16_t, uint32_t> FillAllSlots(WorkerTable* table) {
  std::map<uint16_t, uint32_t> starts;
  for (;;) {
    const WorkerHandle worker = table->Pick({});
    if (!worker.valid()) return starts;
    table->OnStart(worker);
    ++starts[worker.value_];
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_table)

BOOST_AUTO_TEST_CASE(FillsEverySlotAndSpreadsTasksEvenly) {
  WorkerTable table(1);
  table.SetWorkers(Infos(12));
  for (int round = 1; round <= 8; ++round) {
    std::set<uint16_t> used;
    for (int i = 0; i < 12; ++i) {
      const WorkerHandle worker = table.Pick({});
      BOOST_REQUIRE(worker.valid());
      table.OnStart(worker);
      used.insert(worker.value_);
    }
    BOOST_TEST(used.size() == 12);
    BOOST_TEST(table.free_slots() == 96U - 12U * round);
  }
  BOOST_TEST(!table.Pick({}).valid());
}

BOOST_AUTO_TEST_CASE(SharesAddUpToAllSlotsAndFreeSlotsOfOthersAreUsable) {
  for (const uint32_t instance_count : {2U, 3U, 7U, 20U}) {
    uint32_t own_shares = 0;
    for (uint32_t rank = 0; rank < instance_count; ++rank) {
      WorkerTable table(rank);
      table.SetWorkers(Infos(50));
      table.SetInstanceRank(rank, instance_count);
      own_shares += table.own_share_slots();
      BOOST_TEST(table.usable_slots() == 400U);
      uint32_t starts = 0;
      for (const auto& [worker, count] : FillAllSlots(&table)) starts += count;
      BOOST_TEST(starts == 400U);
    }
    BOOST_TEST(own_shares == 400U);
  }
}

BOOST_AUTO_TEST_CASE(UsesItsShareOfAWorkerThatPeersHaveFilled) {
  WorkerTable table(1);
  const Incarnation peer{7};
  table.SetPeerLoad(peer, Info(1000).address_, 8);  // Not listed yet.
  table.SetWorkers(Infos(2));
  table.SetInstanceRank(0, 2);
  table.SetPeerLoad(peer, Info(1001).address_, 8);
  BOOST_TEST(table.free_slots() == 0U);
  const auto starts = FillAllSlots(&table);
  BOOST_TEST(starts.size() == 2U);
  for (const auto& [worker, count] : starts) BOOST_TEST(count == 4U);
  table.ForgetPeer(peer);
  BOOST_TEST(table.free_slots() == 8U);
  // This instance is at its share and gets no slot beyond it on full workers.
  table.SetPeerLoad(peer, Info(1000).address_, 4);
  table.SetPeerLoad(peer, Info(1001).address_, 4);
  BOOST_TEST(!table.Pick({}).valid());
}

BOOST_AUTO_TEST_CASE(PeerLoadIsKeptWhileAWorkerIsNotListed) {
  WorkerTable table(1);
  table.SetWorkers(Infos(2));
  table.SetPeerLoad({7}, Info(1001).address_, 5);
  table.SetWorkers(Infos(1));
  BOOST_TEST(table.free_slots() == 8U);
  table.SetWorkers(Infos(2));
  BOOST_TEST(table.free_slots() == 11U);
}

BOOST_AUTO_TEST_CASE(WorkerThatFailsFastDoesNotAttractTasks) {
  WorkerTable table(1);
  table.SetWorkers(Infos(4));
  const WorkerHandle failing = table.Find(Info(1002).address_);
  std::map<uint16_t, uint32_t> starts;
  Time now{0};
  std::vector<std::pair<Time, WorkerHandle>> running;
  for (; now < Time{10000}; now = now + Duration{5}) {
    table.Tick(now);
    std::erase_if(running, [&](const auto& task) {
      if (task.first > now) return false;
      table.OnEnd(task.second, now, kNoPenalty);
      return true;
    });
    const WorkerHandle worker = table.Pick({});
    if (!worker.valid()) continue;
    table.OnStart(worker);
    ++starts[worker.value_];
    if (worker == failing) {
      table.OnEnd(worker, now, Duration{100});
    } else {
      running.emplace_back(now + Duration{100}, worker);
    }
  }
  // An equal share of the 2000 picks would be 500 for each of four workers.
  BOOST_TEST(starts[failing.value_] <= 50U);
  BOOST_TEST(starts[failing.value_] > 0U);
  BOOST_TEST((table.Pick({}) != failing));
}

BOOST_AUTO_TEST_CASE(SlowWorkerIsUsedOnlyWhenFasterOnesAreFull) {
  WorkerTable table(1);
  table.SetWorkers(Infos(3));
  const WorkerHandle slow = table.Find(Info(1001).address_);
  for (int i = 0; i < 40; ++i) {
    table.OnServiceTime(slow, Duration{800}, Duration{100});
  }
  BOOST_TEST(table.slowness(slow) > 5);
  for (int i = 0; i < 16; ++i) {
    const WorkerHandle worker = table.Pick({});
    BOOST_TEST((worker != slow));
    table.OnStart(worker);
  }
  BOOST_TEST((table.Pick({}) == slow));
  // Its slowness decays while it is unused, so it is tried again.
  for (Time now{0}; now < Time{60000}; now = now + Duration{5}) {
    table.Tick(now);
  }
  BOOST_TEST(table.slowness(slow) < 1.1);
}

BOOST_AUTO_TEST_CASE(StateLimitsTheTasksOfAWorker) {
  WorkerTable table(1);
  table.SetWorkers(Infos(2));
  const WorkerHandle a = table.Find(Info(1000).address_);
  const WorkerHandle b = table.Find(Info(1001).address_);
  for (const WorkerState state :
       {WorkerState::kEjected, WorkerState::kBackingOff,
        WorkerState::kLeaving}) {
    table.SetState(a, state);
    BOOST_TEST((table.Pick({}) == b));
    BOOST_TEST(!table.Pick(b).valid());
    BOOST_TEST(table.placeable() == 1U);
  }
  table.SetState(a, WorkerState::kOnTrial);
  BOOST_TEST((table.Pick(b) == a));
  table.OnStart(a);
  BOOST_TEST(!table.Pick(b).valid());
  table.OnEnd(a, Time{0}, kNoPenalty);
  BOOST_TEST((table.Pick(b) == a));
  table.SetState(a, WorkerState::kLeaving);
  table.SetWorkers(Infos(2));  // A lagging list does not change the state.
  BOOST_TEST((table.state(a) == WorkerState::kLeaving));
}

BOOST_AUTO_TEST_CASE(RemovedWorkerStaysUntilItsLastAttemptAndPenaltyEnd) {
  WorkerTable table(1);
  table.SetWorkers(Infos(1));
  const WorkerHandle worker = table.Pick({});
  table.OnStart(worker);
  table.OnStart(worker);
  table.SetWorkers({});
  BOOST_TEST(!table.Pick({}).valid());
  BOOST_TEST(table.size() == 0U);
  table.OnEnd(worker, Time{0}, kNoPenalty);
  BOOST_TEST(table.valid(worker));
  table.OnEnd(worker, Time{0}, Duration{50});
  BOOST_TEST(table.valid(worker));
  table.Tick(Time{50});
  BOOST_TEST(!table.valid(worker));
  BOOST_TEST(!table.Find(Info(1000).address_).valid());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
