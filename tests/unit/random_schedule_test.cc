#include <boost/test/unit_test.hpp>

#include "unit/random_world.h"

namespace gentiandeal {

constexpr int kSteps = 4000;

BOOST_AUTO_TEST_SUITE(random_schedule)

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomSchedules) {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomWorld world(seed, Breakage::kNone);
      world.Run(kSteps);
      for (const Violation& violation : world.checker().Check(true)) {
        BOOST_ERROR(violation.invariant_ << ": " << violation.detail_);
      }
      BOOST_TEST(world.all_idle());
      // The schedule has to reach what it is meant to test.
      BOOST_TEST(world.answers(Outcome::kComplete) > 200U);
      BOOST_TEST(world.answers(Outcome::kNotRun) > 200U);
      BOOST_TEST(world.answers(Outcome::kMayHaveRun) > 200U);
      BOOST_TEST(world.pauses() > 5U);
      BOOST_TEST(world.joined() > 50U);
      BOOST_TEST(world.moved() > 20U);
      BOOST_TEST(world.sent_to_owner() > 200U);
      BOOST_TEST(world.sent_abroad() > 5U);
    }
  }
}

BOOST_AUTO_TEST_CASE(EachBrokenVariantIsCaught) {
  struct Case {
    Breakage breakage_;
    Invariant invariant_;
  };
  const Case cases[] = {
      {Breakage::kRepeatStart, Invariant::kTaskStartsOnce},
      {Breakage::kLostLooksRefused, Invariant::kTaskStartsOnce},
      {Breakage::kMaybeLooksNotRun, Invariant::kNotRunIsTrue},
      {Breakage::kDropTaskAnswer, Invariant::kAnswerIsWhole},
      {Breakage::kSwapAnswers, Invariant::kAnswerIsOwn},
      {Breakage::kHideStarted, Invariant::kStartedIsExact},
      {Breakage::kDropAnswer, Invariant::kRequestAnsweredOnce},
      {Breakage::kRepeatAnswer, Invariant::kRequestAnsweredOnce},
  };
  for (const Case& one : cases) {
    RandomWorld world(1, one.breakage_);
    world.Run(kSteps / 2);
    bool caught = false;
    for (const Violation& violation : world.checker().Check(true)) {
      caught = caught || violation.invariant_ == one.invariant_;
    }
    BOOST_TEST(caught, "breakage " << static_cast<int>(one.breakage_)
                                   << " passed " << one.invariant_);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
