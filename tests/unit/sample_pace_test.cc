#include "sample_pace.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Time kNow{100000};
/// 1,100 entries of 400 bytes.
constexpr int64_t kListBytes = 440000;

BOOST_AUTO_TEST_SUITE(sample_pace)

BOOST_AUTO_TEST_CASE(ListsAreRareOnAFastLink) {
  SamplePace pace({25000000});
  pace.OnList(kNow, kListBytes, false);
  BOOST_TEST((pace.next() == kNow + SamplePace::kInterval));
}

// Guards against lists that hold up the tasks on a thin link.
BOOST_AUTO_TEST_CASE(ListsTakeAHundredthOfAThinLink) {
  constexpr LinkRate kThin{250000};
  SamplePace pace(kThin);
  pace.OnList(kNow, kListBytes, false);
  const Duration interval = pace.next() - kNow;
  BOOST_TEST(kThin.TimeFor(kListBytes).ms_ * 100 <= interval.ms_);
}

// Entries that expired with the store come back within two seconds; until then
// the fleet looks smaller than it is.
BOOST_AUTO_TEST_CASE(ListsAreReadMoreOftenAfterItemsWentMissing) {
  SamplePace pace({});
  pace.OnList(kNow, kListBytes, true);
  Time now = pace.next();
  BOOST_TEST((now == kNow + SamplePace::kMinInterval));
  int lists = 1;
  for (; now < kNow + SamplePace::kInterval; ++lists) {
    pace.OnList(now, kListBytes, false);
    now = pace.next();
  }
  BOOST_TEST(lists > 2);
  BOOST_TEST(lists < 6);
}

BOOST_AUTO_TEST_CASE(AListIsHurriedButNotAtOnce) {
  SamplePace pace({});
  pace.OnList(kNow, kListBytes, false);
  pace.Hurry();
  BOOST_TEST((pace.next() == kNow + SamplePace::kMinInterval));
  pace.OnFailure(kNow);
  BOOST_TEST((pace.next() == kNow + SamplePace::kMinInterval));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
