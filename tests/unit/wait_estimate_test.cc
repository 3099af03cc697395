#include "wait_estimate.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Resources kTask{14000, 64, 0};

/// Pool without free resources whose running tasks release the cores for one
/// task per interval. The rate includes the released cores that no task can use
/// (`kPackingEfficiency`).
PoolLoad BusyPool(int64_t interval_ms) {
  PoolLoad load;
  load.pool_ = "pool";
  const auto cores = static_cast<double>(kTask.cpu_milli_);
  load.released_cpu_milli_per_s_ = static_cast<uint64_t>(
      cores * 1000 / static_cast<double>(interval_ms) / kPackingEfficiency);
  return load;
}

/// Whether a wait equals the expected one up to rounding.
bool Near(Duration wait, int64_t ms) {
  return wait.ms_ >= ms - 1 && wait.ms_ <= ms + 1;
}

BOOST_AUTO_TEST_SUITE(wait_estimate)

BOOST_AUTO_TEST_CASE(ExpectsNoWaitIfAllTasksFit) {
  PoolLoad load;
  load.free_ = {{32000, 1000, 0}, {18000, 1000, 0}};
  BOOST_TEST(ExpectedWait({&load}, {3, kTask, {100}}).ms_ == 0);
}

BOOST_AUTO_TEST_CASE(IgnoresFreeResourcesTooSmallForATask) {
  const std::vector<Resources> free = {{13000, 1000, 0}, {32000, 100, 0}};
  BOOST_TEST(CountFitting(free, kTask, 8) == 1U);
}

BOOST_AUTO_TEST_CASE(ExpectsToWaitUntilRunningTasksReleaseCores) {
  const PoolLoad load = BusyPool(10);
  BOOST_TEST(Near(ExpectedWait({&load}, {2, kTask, {100}}), 20));
}

// In a burst of long jobs, short ones are more urgent and start first. They
// must not be refused because of the backlog behind them.
BOOST_AUTO_TEST_CASE(CountsOnlyTheBacklogThatIsAtLeastAsUrgent) {
  PoolLoad load = BusyPool(10);
  load.queued_cpu_milli_[UrgencyClass({600})] = 140000;
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {90}}), 10));
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {700}}), 110));
}

// In a burst that outlasts their slack, tasks that are late already wait behind
// all others and must not add to the wait of those.
BOOST_AUTO_TEST_CASE(IgnoresTheBacklogOfLateTasks) {
  PoolLoad load = BusyPool(10);
  load.queued_cpu_milli_[UrgencyClass({-1})] = 1400000;
  BOOST_TEST(Near(ExpectedWait({&load}, {1, kTask, {500}}), 10));
}

// A job with many tasks waits longer than one with few, since its own request
// counts.
BOOST_AUTO_TEST_CASE(CountsTheResourcesOfTheRequestItself) {
  const PoolLoad load = BusyPool(10);
  BOOST_TEST(Near(ExpectedWait({&load}, {16, kTask, {100}}), 160));
}

BOOST_AUTO_TEST_CASE(AddsUpTheLoadsOfAllOwners) {
  const PoolLoad a = BusyPool(20);
  const PoolLoad b = BusyPool(20);
  BOOST_TEST(Near(ExpectedWait({&a, &b}, {2, kTask, {100}}), 20));
}

BOOST_AUTO_TEST_CASE(SelectsTheBestFit) {
  std::vector<Resources> free = {
      {32000, 100, 0}, {15000, 100, 0}, {9000, 100, 0}};
  BOOST_TEST(FindBestFit(&free, kTask) == &free[1]);
  BOOST_TEST(FindBestFit(&free, {40000, 1, 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
