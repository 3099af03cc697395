#include "task_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace gentiandeal {
namespace {

constexpr TeamHandle kTeam{0};
constexpr TeamHandle kOtherTeam{1};
constexpr Time kNow{1000};
constexpr Time kFarDeadline{1000000};

std::vector<Duration> RunTimesMs(std::initializer_list<int64_t> times) {
  std::vector<Duration> work;
  for (const int64_t ms : times) work.push_back({ms});
  return work;
}

/// Empties the queue. @returns pairs of job id and task index, in the order in
/// which they were returned.
std::vector<std::pair<uint64_t, uint16_t>> PopAll(TaskQueue* queue) {
  std::vector<std::pair<uint64_t, uint16_t>> order;
  while (const auto task = queue->Pop(kNow)) {
    order.emplace_back(task->job_.value_, task->index_);
  }
  return order;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(task_queue)

BOOST_AUTO_TEST_CASE(ServesShortestJobFirstAndItsLongestTaskFirst) {
  TaskQueue queue;
  BOOST_TEST(
      queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({5000, 9000})));
  BOOST_TEST(
      queue.Add({2}, kTeam, kNow, kFarDeadline, RunTimesMs({10, 300, 200})));
  BOOST_TEST(queue.size() == 5U);
  BOOST_TEST(queue.backlog().ms_ == 14510);
  const std::vector<std::pair<uint64_t, uint16_t>> expected = {
      {2, 1}, {2, 2}, {2, 0}, {1, 1}, {1, 0}};
  BOOST_TEST((PopAll(&queue) == expected));
  BOOST_TEST(queue.backlog().ms_ == 0);
}

BOOST_AUTO_TEST_CASE(LongJobIsServedDespiteASteadyStreamOfShortJobs) {
  TaskQueue queue;
  queue.Add({1}, kTeam, Time{0}, kFarDeadline, RunTimesMs({60000}));
  uint64_t id = 2;
  Time now{0};
  for (; now < Time{31000}; now = now + Duration{10}) {
    queue.Add({id++}, kTeam, now, kFarDeadline, RunTimesMs({10}));
    if (queue.Pop(now)->job_.value_ == 1) break;
  }
  BOOST_TEST(now.ms_ > 100);
  BOOST_TEST(now.ms_ < 31000);
}

BOOST_AUTO_TEST_CASE(
    JobsOfSimilarSizeAreServedInArrivalOrderAndDeadlinesLimitAgeing) {
  TaskQueue queue;
  queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({900}));
  queue.Add({2}, kTeam, kNow, kFarDeadline, RunTimesMs({100}));
  BOOST_TEST(queue.Pop(kNow)->job_.value_ == 1U);
  queue.Remove({2});
  const Time later = kNow + Duration{1001};
  queue.Add({3}, kTeam, kNow, kNow + Duration{2000}, RunTimesMs({60000}));
  queue.Add({4}, kTeam, later, kFarDeadline, RunTimesMs({10}));
  BOOST_TEST(queue.Pop(later)->job_.value_ == 3U);
}

BOOST_AUTO_TEST_CASE(TeamsAreServedByWeightWhateverTheSizeOfTheirTasks) {
  TaskQueue queue;
  queue.SetTeam(kTeam, 1);
  queue.SetTeam(kOtherTeam, 3);
  const std::vector<Duration> long_tasks(200, Duration{400});
  const std::vector<Duration> short_tasks(200, Duration{100});
  uint64_t id = 1;
  for (int i = 0; i < 10; ++i) {
    queue.Add({id++}, kTeam, kNow, kFarDeadline, long_tasks);
    queue.Add({id++ + 1000}, kOtherTeam, kNow, kFarDeadline, short_tasks);
  }
  int64_t served[2] = {};
  for (int i = 0; i < 1300; ++i) {
    const auto task = queue.Pop(kNow);
    const bool other = task->job_.value_ > 1000;
    served[other ? 1 : 0] += other ? 100 : 400;
  }
  const double share = static_cast<double>(served[1]) / served[0];
  BOOST_TEST(share > 2.9);
  BOOST_TEST(share < 3.1);
}

BOOST_AUTO_TEST_CASE(IdleTeamAccumulatesNoCredit) {
  TaskQueue queue;
  queue.Add({1}, kTeam, kNow, kFarDeadline,
            std::vector<Duration>(100, Duration{10}));
  for (int i = 0; i < 50; ++i) queue.Pop(kNow);
  queue.Add({2}, kOtherTeam, kNow, kFarDeadline,
            std::vector<Duration>(50, Duration{10}));
  std::map<uint64_t, int> served;
  for (int i = 0; i < 20; ++i) ++served[queue.Pop(kNow)->job_.value_];
  BOOST_TEST(served[1] >= 9);
  BOOST_TEST(served[2] >= 9);
}

BOOST_AUTO_TEST_CASE(BlockedTeamIsSkippedUntilUnblocked) {
  TaskQueue queue;
  queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({10, 10}));
  queue.Add({2}, kOtherTeam, kNow, kFarDeadline, RunTimesMs({10, 10}));
  queue.SetBlocked(kTeam, true);
  BOOST_TEST(queue.Pop(kNow)->job_.value_ == 2U);
  BOOST_TEST(queue.Pop(kNow)->job_.value_ == 2U);
  BOOST_TEST(!queue.Pop(kNow));
  BOOST_TEST(queue.size(kTeam) == 2U);
  queue.SetBlocked(kTeam, false);
  BOOST_TEST(queue.Pop(kNow)->job_.value_ == 1U);
}

BOOST_AUTO_TEST_CASE(RequeuedTaskIsServedFirstUnlessItsJobWasRemoved) {
  TaskQueue queue;
  queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({10, 20}));
  queue.Add({2}, kTeam, kNow, kFarDeadline, RunTimesMs({500}));
  const auto task = queue.Pop(kNow);
  queue.Pop(kNow);
  queue.Requeue(*task, Duration{20});
  BOOST_TEST((queue.Pop(kNow)->job_ == task->job_));
  queue.Requeue(*task, Duration{20});
  queue.Remove({1});
  queue.Requeue(*task, Duration{20});  // The job was removed.
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST(queue.backlog().ms_ == 500);
  BOOST_TEST(queue.Pop(kNow)->job_.value_ == 2U);
  BOOST_TEST(!queue.Pop(kNow));
}

BOOST_AUTO_TEST_CASE(RefusesMoreThanMaxJobsUntilJobsAreRemoved) {
  TaskQueue queue;
  for (uint64_t id = 1; id <= config::kMaxJobs; ++id) {
    BOOST_REQUIRE(queue.Add({id}, kTeam, kNow, kFarDeadline, RunTimesMs({10})));
  }
  BOOST_TEST(!queue.Add({90000}, kTeam, kNow, kFarDeadline, RunTimesMs({10})));
  BOOST_TEST(!queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({10})));
  for (uint64_t id = 1; id <= config::kMaxJobs; ++id) queue.Remove({id});
  BOOST_TEST(queue.size() == 0U);
  BOOST_TEST(!queue.Pop(kNow));
  BOOST_TEST(queue.Add({90000}, kTeam, kNow, kFarDeadline, RunTimesMs({10})));
}

BOOST_AUTO_TEST_CASE(BacklogAheadCountsOnlyWorkThatIsServedFirst) {
  TaskQueue queue;
  BOOST_TEST(queue.BacklogAhead(kTeam, kNow, Duration{100}).ms_ == 0);
  queue.Add({1}, kTeam, kNow, kFarDeadline, RunTimesMs({100}));
  queue.Add({2}, kTeam, kNow, kFarDeadline,
            std::vector<Duration>(200, Duration{1000}));
  const Time later = kNow + Duration{200};
  // A new short job waits for the earlier short job, not for the long one.
  BOOST_TEST(queue.BacklogAhead(kTeam, later, Duration{100}).ms_ == 100);
  const Duration long_work{400000};
  BOOST_TEST(queue.BacklogAhead(kTeam, later, long_work).ms_ == 200100);
  // Two teams of equal weight receive equal service, so an equal amount of the
  // other team's work is ahead.
  const Duration ahead = queue.BacklogAhead(kOtherTeam, later, Duration{500});
  BOOST_TEST(ahead.ms_ == 500);
  queue.SetTeam(kOtherTeam, 4);
  BOOST_TEST(queue.BacklogAhead(kOtherTeam, later, Duration{500}).ms_ == 125);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
