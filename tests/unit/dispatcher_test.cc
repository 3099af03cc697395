#include <boost/test/unit_test.hpp>

#include "unit/dispatcher_fixture.h"

namespace gentiandeal {

BOOST_FIXTURE_TEST_SUITE(dispatcher, DispatcherFixture)

BOOST_AUTO_TEST_CASE(AnswersAJobOnceAllTasksAreAnswered) {
  ListWorkers(2);
  const RequestId request = Submit(Job(3));
  BOOST_TEST_REQUIRE(starts_.size() == 3U);
  End(starts_[2], Verdict::kAnswered, "c");
  End(starts_[0], Verdict::kAnswered, "a");
  BOOST_TEST(!Answered(request));
  End(starts_[1], Verdict::kAnswered, "b");
  BOOST_TEST_REQUIRE(Answered(request));
  const JobAnswer& answer = answers_.at(request);
  BOOST_TEST((answer.outcome_ == Outcome::kComplete));
  for (const StartTask& start : starts_) {
    const std::string expected(1,
                               static_cast<char>('a' + (&start - &starts_[0])));
    BOOST_TEST(answer.tasks_[start.task_index_].body_ == expected);
  }
  BOOST_TEST(dispatcher_.load().idle_);
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
