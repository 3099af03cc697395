#include <boost/test/unit_test.hpp>

#include "worker_scheduler_fixture.h"

namespace gentiandeal {
namespace {

BOOST_FIXTURE_TEST_SUITE(worker_scheduler, WorkerSchedulerFixture)

// Runs of a session whose coordinator has died must end before its callers
// resubmit their jobs, 1300 ms after the loss, even if this process is paused.
BOOST_AUTO_TEST_CASE(LeasesOfASilentSessionEndBeforeItsJobsAreResubmitted) {
  Acquire("w");
  AssignTasks assign = Assign(1);
  assign.tasks_ = {{{++last_serial_}, 0}};
  owner_.NoteSessionAlive(SessionId{7}, now_);
  owner_.On(SessionId{7}, assign, now_, &out_);
  const Time heard = now_;
  for (const StartRun& start : All<StartRun>()) AnswerStart(start);
  int64_t last = 0;
  for (int i = 0; i < 60; ++i) {
    Advance(10);
    AnswerPoll({{All<StartRun>()[0].task_, 1, 50}});
    for (const PollWorker& poll : All<PollWorker>()) {
      last = std::max(last, poll.lease_until_ms_.value_or(0));
    }
  }
  const int64_t resubmitted = WorkerClock() + (heard - now_).ms_ + 1300;
  BOOST_TEST(last > WorkerClock());
  BOOST_TEST(last < resubmitted - 50);
}

// Guards against a run beside the one of its job sent again: the loss of the
// caller was noticed late, and the lease was renewed while stops got no answer.
BOOST_AUTO_TEST_CASE(LeaseOfACancelledRunEndsBeforeItsJobIsResubmitted) {
  constexpr int64_t kResendDelay = 1300;
  Acquire("w");
  const AssignTasks assign = Assign(1);
  AnswerStart(Last<StartRun>());
  const int64_t resubmitted = WorkerClock() + kResendDelay;
  Advance(300);
  now_ = now_ + Duration{100};
  const size_t before = All<PollWorker>().size();
  owner_.On(kLocalSession, CancelTasks{{assign.tasks_[0].serial_}}, now_,
            &out_);
  for (int i = 0; i < 60; ++i) {
    AnswerPoll({{All<StartRun>()[0].task_, 1, 50}});
    Advance(10);
  }
  const auto polls = All<PollWorker>();
  BOOST_REQUIRE(polls.size() > before);
  for (size_t i = before; i < polls.size(); ++i) {
    BOOST_TEST(polls[i].lease_until_ms_.value_or(0) < resubmitted - 50);
  }
}

// A worker has one lease, which never shortens. A run that starts beside others
// for a session that has long been silent would still run when the callers of
// that session resubmit their jobs.
BOOST_AUTO_TEST_CASE(StartsNothingForASilentSessionWhereTheLeaseOutlastsIt) {
  Acquire("w");
  Assign(2);
  const auto starts = All<StartRun>();
  for (const StartRun& start : starts) AnswerStart(start);
  AssignTasks assign;
  assign.name_ = "00000000000000ff.0.0";
  assign.pool_ = "pool";
  assign.need_ = kTaskResources;
  assign.expected_run_time_ = {200};
  assign.start_within_ = {1000};
  assign.give_up_after_ = {1500};
  assign.tasks_ = {{{++last_serial_}, 0}};
  owner_.NoteSessionAlive(SessionId{7}, now_);
  owner_.On(SessionId{7}, assign, now_, &out_);
  const RunningRun other{starts[1].task_, 1, 90};
  Advance(500);
  AnswerPoll({{starts[0].task_, 1, 90}, other});
  Advance(100);
  AnswerPoll({other}, {{1, starts[0].task_, 1, RunEnd::kDone}});
  BOOST_TEST(All<StartRun>().size() == 2U);
  owner_.NoteSessionAlive(SessionId{7}, now_);
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 3U);
}

// Guards against a run that outlasts the loss of its session: the owner before
// granted a longer lease, which this one doesn't know.
BOOST_AUTO_TEST_CASE(StartsNothingForASilentSessionOnAWorkerJustTakenOver) {
  owner_.NoteSessionAlive(SessionId{7}, now_);
  Advance(300);
  Acquire("w");
  AssignTasks assign;
  assign.name_ = "00000000000000ff.0.0";
  assign.pool_ = "pool";
  assign.need_ = kTaskResources;
  assign.expected_run_time_ = {200};
  assign.start_within_ = {1000};
  assign.give_up_after_ = {1500};
  assign.tasks_ = {{{++last_serial_}, 0}};
  owner_.On(SessionId{7}, assign, now_, &out_);
  BOOST_TEST(All<StartRun>().empty());
  owner_.NoteSessionAlive(SessionId{7}, now_);
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
