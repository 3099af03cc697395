#include "run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace gentiandeal {

BOOST_AUTO_TEST_SUITE(run_time_estimator)

BOOST_AUTO_TEST_CASE(DeclaredRunTimeIsUsedOnlyUntilRunTimesAreObserved) {
  RunTimeEstimator times;
  const KindHandle kind = times.FindOrAdd("convocation");
  BOOST_TEST(times.Estimate(kind, Duration{2000}).ms_ == 2000);
  for (int i = 0; i < 30; ++i) {
    times.Observe(kind, Duration{2000}, Duration{200});
  }
  const int64_t expected = times.Estimate(kind, Duration{2000}).ms_;
  BOOST_TEST(expected >= 150);
  BOOST_TEST(expected <= 350);
  BOOST_TEST(times.Estimate(kind, Duration{}).ms_ <= 350);
}

BOOST_AUTO_TEST_CASE(DeclaredRunTimesOffByAConstantFactorAreCorrected) {
  RunTimeEstimator times;
  const KindHandle kind = times.FindOrAdd("report");
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    const int64_t run = 50 + static_cast<int64_t>(random() % 950);
    times.Observe(kind, Duration{run * 10}, Duration{run});
  }
  const auto near = [&](int64_t run) {
    const auto expected = times.Estimate(kind, Duration{run * 10}).ms_;
    return expected > run * 0.8 && expected < run * 1.25;
  };
  BOOST_TEST(near(100));
  BOOST_TEST(near(900));
}

BOOST_AUTO_TEST_CASE(DeclaredRunTimesWithoutCorrelationAreIgnored) {
  RunTimeEstimator times;
  const KindHandle kind = times.FindOrAdd("booking");
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    const Duration declared{1 + static_cast<int64_t>(random() % 10000)};
    times.Observe(kind, declared,
                  Duration{180 + static_cast<int64_t>(random() % 40)});
  }
  for (const int64_t declared : {20, 10000}) {
    const int64_t expected = times.Estimate(kind, Duration{declared}).ms_;
    BOOST_TEST(expected > 150);
    BOOST_TEST(expected < 1000);
  }
}

BOOST_AUTO_TEST_CASE(OutlierHasLittleInfluenceOnTheEstimate) {
  RunTimeEstimator times;
  const KindHandle kind = times.FindOrAdd("status");
  for (int i = 0; i < 100; ++i) times.Observe(kind, {}, Duration{100});
  times.Observe(kind, {}, Duration{1000000});
  BOOST_TEST(times.Estimate(kind, {}).ms_ < 150);
}

BOOST_AUTO_TEST_CASE(UpperEstimateCoversMostTasks) {
  RunTimeEstimator times;
  const KindHandle kind = times.FindOrAdd("drill");
  std::mt19937_64 random(3);
  const auto draw = [&] {
    return Duration{50 + static_cast<int64_t>(random() % 950)};
  };
  for (int i = 0; i < 500; ++i) times.Observe(kind, {}, draw());
  int covered = 0;
  for (int i = 0; i < 1000; ++i) {
    if (draw() <= times.EstimateP95(kind, {})) ++covered;
  }
  BOOST_TEST(covered >= 930);
  BOOST_TEST((times.EstimateP95(kind, {}) >= times.Estimate(kind, {})));
  BOOST_TEST(times.EstimateP95(kind, {}).ms_ <= 1500);
}

BOOST_AUTO_TEST_CASE(KindsBeyondTheTableSizeShareOneEntry) {
  RunTimeEstimator times;
  const KindHandle first = times.FindOrAdd("kind-0");
  uint32_t shared = 0;
  for (uint32_t i = 1; i < 4 * config::kMaxKinds; ++i) {
    const KindHandle kind = times.FindOrAdd("kind-" + std::to_string(i));
    if (kind.value_ == config::kMaxKinds) ++shared;
    times.Observe(kind, {}, Duration{100});
  }
  BOOST_TEST(shared >= 3 * config::kMaxKinds - 1);
  BOOST_TEST((times.FindOrAdd("kind-0") == first));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
