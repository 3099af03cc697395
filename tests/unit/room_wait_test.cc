#include "room_wait.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Room kTask{14000, 64, 0};

/// A pool without room that gives back as many cores as one task needs at this
/// interval, those counted that are too small to use.
PoolLoad BusyPool(int64_t interval_ms) {
  PoolLoad load;
  load.pool_ = "pool";
  const auto cores = static_cast<double>(kTask.cpu_milli_);
  load.release_milli_per_s_ = static_cast<uint64_t>(
      cores * 1000 / static_cast<double>(interval_ms) / kPackingShare);
  return load;
}

/// Whether a wait is the one expected, but for rounding.
bool Near(Duration wait, int64_t ms) {
  return wait.ms_ >= ms - 1 && wait.ms_ <= ms + 1;
}

BOOST_AUTO_TEST_SUITE(room_wait)

BOOST_AUTO_TEST_CASE(NothingWaitsWhereAllTasksFit) {
  PoolLoad load;
  load.free_ = {{32000, 1000, 0}, {18000, 1000, 0}};
  BOOST_TEST(ExpectedWait({&load}, {3, kTask, {100}}).ms_ == 0);
}

BOOST_AUTO_TEST_CASE(RestsTooSmallForATaskAreNoRoom) {
  const std::vector<Room> rooms = {{13000, 1000, 0}, {32000, 100, 0}};
  BOOST_TEST(CountFitting(rooms, kTask, 8) == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsForTheCoresThatRunningTasksGiveBack) {
  const PoolLoad load = BusyPool(10);
  BOOST_TEST(Near(ExpectedWait({&load}, {2, kTask, {100}}), 20));
}

// Burst of long jobs: short ones go before them and must not be refused for
// the backlog that waits behind.
BOOST_AUTO_TEST_CASE(CountsOnlyWhatIsAsUrgent) {
  PoolLoad load = BusyPool(10);
  load.queued_milli_[UrgencyClass({600})] = 140000;
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {90}}), 10));
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {700}}), 110));
}

// Burst that outlasts the slack: tasks that are late already wait behind all
// others and hold nobody up.
BOOST_AUTO_TEST_CASE(LateTasksHoldNobodyUp) {
  PoolLoad load = BusyPool(10);
  load.queued_milli_[UrgencyClass({-1})] = 1400000;
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {500}}), 10));
}

// Wide jobs wait longer than narrow ones by what they ask for themselves.
BOOST_AUTO_TEST_CASE(WideJobsNeedMoreRoom) {
  const PoolLoad load = BusyPool(10);
  BOOST_TEST(Near(ExpectedWait({&load}, {16, kTask, {100}}), 160));
}

BOOST_AUTO_TEST_CASE(AddsTheOwnersUp) {
  const PoolLoad a = BusyPool(20);
  const PoolLoad b = BusyPool(20);
  BOOST_TEST(Near(ExpectedWait({&a, &b}, {2, kTask, {100}}), 20));
}

BOOST_AUTO_TEST_CASE(TakesTheTightestRoom) {
  std::vector<Room> rooms = {{32000, 100, 0}, {15000, 100, 0}, {9000, 100, 0}};
  BOOST_TEST(TightestRoom(&rooms, kTask) == &rooms[1]);
  BOOST_TEST(TightestRoom(&rooms, {40000, 1, 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
