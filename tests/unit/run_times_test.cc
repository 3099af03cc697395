#include "run_times.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace gentiandeal {

BOOST_AUTO_TEST_SUITE(run_times)

BOOST_AUTO_TEST_CASE(DeclaredRunTimeIsUsedOnlyUntilRunTimesAreObserved) {
  RunTimes times;
  const KindHandle kind = times.Find("convocation");
  BOOST_TEST(times.Expect(kind, Duration{2000}).ms_ == 2000);
  for (int i = 0; i < 30; ++i) {
    times.Observe(kind, Duration{2000}, Duration{200});
  }
  const int64_t expected = times.Expect(kind, Duration{2000}).ms_;
  BOOST_TEST(expected >= 150);
  BOOST_TEST(expected <= 350);
  BOOST_TEST(times.Expect(kind, Duration{}).ms_ <= 350);
}

BOOST_AUTO_TEST_CASE(DeclaredRunTimesOffByAConstantFactorAreCorrected) {
  RunTimes times;
  const KindHandle kind = times.Find("report");
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    const int64_t run = 50 + static_cast<int64_t>(random() % 950);
    times.Observe(kind, Duration{run * 10}, Duration{run});
  }
  const auto near = [&](int64_t run) {
    const auto expected = times.Expect(kind, Duration{run * 10}).ms_;
    return expected > run * 0.8 && expected < run * 1.25;
  };
  BOOST_TEST(near(100));
  BOOST_TEST(near(900));
}

BOOST_AUTO_TEST_CASE(DeclaredRunTimesWithoutCorrelationAreIgnored) {
  RunTimes times;
  const KindHandle kind = times.Find("booking");
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    const Duration declared{1 + static_cast<int64_t>(random() % 10000)};
    times.Observe(kind, declared,
                  Duration{180 + static_cast<int64_t>(random() % 40)});
  }
  for (const int64_t declared : {20, 10000}) {
    const int64_t expected = times.Expect(kind, Duration{declared}).ms_;
    BOOST_TEST(expected > 150);
    BOOST_TEST(expected < 1000);
  }
}

BOOST_AUTO_TEST_CASE(OutlierHasLittleInfluenceOnTheEstimate) {
  RunTimes times;
  const KindHandle kind = times.Find("status");
  for (int i = 0; i < 100; ++i) times.Observe(kind, {}, Duration{100});
  times.Observe(kind, {}, Duration{1000000});
  BOOST_TEST(times.Expect(kind, {}).ms_ < 150);
}

BOOST_AUTO_TEST_CASE(UpperEstimateCoversMostTasks) {
  RunTimes times;
  const KindHandle kind = times.Find("drill");
  std::mt19937_64 random(3);
  const auto draw = [&] {
    return Duration{50 + static_cast<int64_t>(random() % 950)};
  };
  for (int i = 0; i < 500; ++i) times.Observe(kind, {}, draw());
  int covered = 0;
  for (int i = 0; i < 1000; ++i) {
    if (draw() <= times.ExpectHigh(kind, {})) ++covered;
  }
  BOOST_TEST(covered >= 930);
  BOOST_TEST((times.ExpectHigh(kind, {}) >= times.Expect(kind, {})));
  BOOST_TEST(times.ExpectHigh(kind, {}).ms_ <= 1500);
}

BOOST_AUTO_TEST_CASE(KindsBeyondTheTableSizeShareOneEntry) {
  RunTimes times;
  const KindHandle first = times.Find("kind-0");
  uint32_t shared = 0;
  for (uint32_t i = 1; i < 4 * config::kMaxKinds; ++i) {
    const KindHandle kind = times.Find("kind-" + std::to_string(i));
    if (kind.value_ == config::kMaxKinds) ++shared;
    times.Observe(kind, {}, Duration{100});
  }
  BOOST_TEST(shared >= 3 * config::kMaxKinds - 1);
  BOOST_TEST((times.Find("kind-0") == first));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
