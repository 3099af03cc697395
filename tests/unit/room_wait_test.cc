#include "room_wait.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Room kTask{14000, 64, 0};

/// A pool whose rooms are taken by tasks that end at an even rate.
PoolLoad BusyPool(uint64_t release_milli_per_s) {
  PoolLoad load;
  load.pool_ = "pool";
  load.release_milli_per_s_ = release_milli_per_s;
  return load;
}

BOOST_AUTO_TEST_SUITE(room_wait)

BOOST_AUTO_TEST_CASE(NothingWaitsWhereAllTasksFit) {
  PoolLoad load = BusyPool(0);
  load.free_ = {{32000, 1000, 0}, {18000, 1000, 0}};
  BOOST_TEST(ExpectedWait({&load}, {3, kTask, {100}}).ms_ == 0);
}

BOOST_AUTO_TEST_CASE(RestsTooSmallForATaskAreNoRoom) {
  const std::vector<Room> rooms = {{13000, 1000, 0}, {32000, 100, 0}};
  BOOST_TEST(CountFitting(rooms, kTask, 8) == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsForTheCoresThatRunningTasksGiveBack) {
  // 14 cores each 10 ms: two tasks take 20 ms.
  const PoolLoad load = BusyPool(1400000);
  BOOST_TEST(ExpectedWait({&load}, {2, kTask, {100}}).ms_ == 20);
}

// Burst of long jobs: short ones go before them and must not be refused for
// the backlog that waits behind.
BOOST_AUTO_TEST_CASE(CountsOnlyWhatIsAsUrgent) {
  PoolLoad load = BusyPool(1400000);
  load.queued_milli_[UrgencyClass({600})] = 140000;
  BOOST_TEST(ExpectedWait({&load}, {1, kTask, {90}}).ms_ == 10);
  BOOST_TEST(ExpectedWait({&load}, {1, kTask, {700}}).ms_ == 110);
}

// Burst that outlasts the slack: tasks that are late already wait behind all
// others and hold nobody up.
BOOST_AUTO_TEST_CASE(LateTasksHoldNobodyUp) {
  PoolLoad load = BusyPool(1400000);
  load.queued_milli_[UrgencyClass({-1})] = 1400000;
  BOOST_TEST(ExpectedWait({&load}, {1, kTask, {500}}).ms_ == 10);
}

// Wide jobs wait longer than narrow ones by what they ask for themselves.
BOOST_AUTO_TEST_CASE(WideJobsNeedMoreRoom) {
  const PoolLoad load = BusyPool(1400000);
  BOOST_TEST(ExpectedWait({&load}, {16, kTask, {100}}).ms_ == 160);
}

BOOST_AUTO_TEST_CASE(AddsTheOwnersUp) {
  const PoolLoad a = BusyPool(700000);
  const PoolLoad b = BusyPool(700000);
  BOOST_TEST(ExpectedWait({&a, &b}, {2, kTask, {100}}).ms_ == 20);
}

BOOST_AUTO_TEST_CASE(TakesTheTightestRoom) {
  std::vector<Room> rooms = {{32000, 100, 0}, {15000, 100, 0}, {9000, 100, 0}};
  BOOST_TEST(TightestRoom(&rooms, kTask) == &rooms[1]);
  BOOST_TEST(TightestRoom(&rooms, {40000, 1, 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
