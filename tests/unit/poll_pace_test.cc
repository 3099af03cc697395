#include "poll_pace.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Duration kLongest{1000};
constexpr LinkRate kThin{250000};
constexpr LinkRate kFast{25000000};
/// 128 workers that rewrite their entries each 1.5 s, 350 bytes each.
constexpr int64_t kStreamBytesPerS = 30000;
constexpr int64_t kFewItems = 85;

/// Plays a stream of changes, and returns the longest time that an answer takes
/// on the link after the first few.
Duration LongestAnswer(PollPace pace, LinkRate link, int64_t stream_per_s) {
  Duration longest{0};
  for (int call = 0; call < 20; ++call) {
    const Duration collected = pace.interval();
    const int64_t bytes = stream_per_s * collected.ms_ / 1000;
    if (call > 2) longest = std::max(longest, link.TimeFor(bytes));
    pace.On(collected, bytes, kFewItems);
  }
  return longest;
}

BOOST_AUTO_TEST_SUITE(poll_pace)

// Guards against tasks that wait behind the answer of a watch: a second's
// changes of all workers take a thin link 120 ms, when a job has some tens to
// start in.
BOOST_AUTO_TEST_CASE(AStreamOfChangesHoldsUpAThinLinkBriefly) {
  const PollPace pace(kLongest, kThin);
  BOOST_TEST(kThin.TimeFor(kStreamBytesPerS).ms_ == 120);
  BOOST_TEST(LongestAnswer(pace, kThin, kStreamBytesPerS).ms_ <=
             PollPace::kMaxAnswerTime.ms_);
}

BOOST_AUTO_TEST_CASE(CallsStayRareOnAFastLink) {
  PollPace pace(kLongest, kFast);
  pace.On(kLongest, kStreamBytesPerS, kFewItems);
  BOOST_TEST((pace.interval() == kLongest));
}

BOOST_AUTO_TEST_CASE(CallsStayRareWhileTheRateIsUnknown) {
  PollPace pace(kLongest, {});
  pace.On(kLongest, kStreamBytesPerS, kFewItems);
  BOOST_TEST((pace.interval() == kLongest));
}

// A link that can't carry the stream in small answers isn't filled with calls.
BOOST_AUTO_TEST_CASE(CallsAreNeverCloserThanTheirLimit) {
  PollPace pace(kLongest, kThin);
  pace.On(kLongest, 100 * kStreamBytesPerS, kFewItems);
  BOOST_TEST((pace.interval() == PollPace::kMinInterval));
  pace.On(PollPace::kMinInterval, 0, 0);
  BOOST_TEST((pace.interval() == kLongest));
}

BOOST_AUTO_TEST_CASE(WhatIsAwaitedWithoutPauseStaysSo) {
  PollPace pace(Duration{0}, kThin);
  pace.On(kLongest, kStreamBytesPerS, kFewItems);
  BOOST_TEST((pace.interval() == Duration{0}));
}

// Guards against a fast link on which more changes come about between two calls
// than one answer holds, so that the reader falls behind (1,100 workers that
// rewrite their entries each 1.5 s).
BOOST_AUTO_TEST_CASE(AnswersAreNeverExpectedToBeFull) {
  constexpr int64_t kItemsPerS = 733;
  PollPace pace(kLongest, kFast);
  for (int call = 0; call < 20; ++call) {
    const Duration collected = pace.interval();
    pace.On(collected, kStreamBytesPerS, kItemsPerS * collected.ms_ / 1000);
  }
  BOOST_TEST(kItemsPerS * pace.interval().ms_ / 1000 <=
             PollPace::kMaxAnswerItems);
  BOOST_TEST(pace.interval().ms_ > 300);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
