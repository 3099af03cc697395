#include <boost/test/unit_test.hpp>

#include "worker_scheduler_fixture.h"

namespace gentiandeal {
namespace {

BOOST_FIXTURE_TEST_SUITE(worker_scheduler, WorkerSchedulerFixture)

BOOST_AUTO_TEST_CASE(StartsNothingBeforeAPollConfirmsTheWorker) {
  owner_.Acquire(MakeWorker("w"), Fence{5}, now_, &out_);
  Assign(1);
  BOOST_TEST(All<StartRun>().empty());
  AnswerPoll();
  const uint64_t version = owner_.load_version();
  Settle();
  BOOST_TEST(owner_.load_version() > version);
  BOOST_TEST(All<StartRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(NeverOverbooksAWorker) {
  Acquire("w");
  Assign(3);
  BOOST_TEST(All<StartRun>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(StartsWaitingTaskWhenAnEndIsListed) {
  Acquire("w");
  Assign(3);
  const auto starts = All<StartRun>();
  for (const StartRun& start : starts) AnswerStart(start);
  Advance(200);
  AnswerPoll({{starts[1].task_, 1, 90}},
             {{1, starts[0].task_, 1, RunEnd::kDone}});
  BOOST_TEST(All<StartRun>().size() == 3U);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kDone));
}

// A worker takes up to its stop timeout to stop a run. Until then, it lists the
// run neither as running nor as ended.
BOOST_AUTO_TEST_CASE(ReservesResourcesOfAStoppedRunUntilItsEndIsListed) {
  Acquire("w");
  const AssignTasks first = Assign(2);
  for (const StartRun& start : All<StartRun>()) AnswerStart(start);
  const std::string task = All<StartRun>()[0].task_;
  Advance(20);
  owner_.On(kLocalSession, CancelTasks{{first.tasks_[0].serial_}}, now_, &out_);
  Assign(1);
  AnswerStop(Last<StopRun>());
  now_ = now_ + Duration{5};
  AnswerPoll({{All<StartRun>()[1].task_, 1, 10}});
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 2U);
  Advance(45);
  AnswerPoll({{All<StartRun>()[1].task_, 1, 20}},
             {{1, task, 1, RunEnd::kStopped}});
  BOOST_TEST(All<StartRun>().size() == 3U);
}

BOOST_AUTO_TEST_CASE(ReservesResourcesOfAnInheritedRunUntilItsEndIsListed) {
  owner_.Acquire(MakeWorker("w"), Fence{5}, now_, &out_);
  Assign(1);
  AnswerPoll({{"00000000000000ff.0.0.0", 1, 50}});
  BOOST_TEST(All<StartRun>().empty());
  AnswerStop(Last<StopRun>());
  now_ = now_ + Duration{5};
  AnswerPoll();
  Advance(20);
  BOOST_TEST(All<StartRun>().empty());
  Advance(50);
  AnswerPoll({}, {{1, "00000000000000ff.0.0.0", 1, RunEnd::kStopped}});
  Settle();
  BOOST_TEST(All<StartRun>().size() == 1U);
}

// The previous owner may have stopped its runs just before it lost the worker.
// They use resources until they end, but are not listed.
BOOST_AUTO_TEST_CASE(StartsNothingWhileThePreviousOwnersRunsMayBeStopping) {
  owner_.Acquire(MakeWorker("w"), Fence{5}, now_, &out_);
  Assign(1);
  AnswerPoll();
  Advance(40);
  AnswerPoll();
  BOOST_TEST(All<StartRun>().empty());
  Advance(110);
  AnswerPoll();
  BOOST_TEST(All<StartRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsForTheEndOfEveryInheritedRun) {
  owner_.Acquire(MakeWorker("w"), Fence{5}, now_, &out_);
  Assign(1);
  AnswerPoll(
      {{"00000000000000ff.0.0.0", 1, 50}, {"00000000000000ff.0.0.1", 1, 50}});
  for (const StopRun& stop : All<StopRun>()) AnswerStop(stop);
  Advance(30);
  AnswerPoll({{"00000000000000ff.0.0.1", 1, 60}},
             {{1, "00000000000000ff.0.0.0", 1, RunEnd::kStopped}});
  Advance(20);
  BOOST_TEST(All<StartRun>().empty());
  AnswerPoll({}, {{2, "00000000000000ff.0.0.1", 1, RunEnd::kStopped}});
  Settle();
  BOOST_TEST(All<StartRun>().size() == 1U);
}

// The start may still be in transit. Only an answered stop keeps it from being
// carried out.
BOOST_AUTO_TEST_CASE(StopsAnUnansweredStartBeforeReusingItsResources) {
  Acquire("w");
  Assign(3);
  const auto starts = All<StartRun>();
  AnswerStart(starts[0], StartResult::kUnanswered);
  AnswerStart(starts[1]);
  AnswerPoll({{starts[1].task_, 1, 1}});
  BOOST_REQUIRE(All<StopRun>().size() == 1U);
  BOOST_TEST(All<StartRun>().size() == 2U);
  AnswerStop(Last<StopRun>());
  AnswerPoll({{starts[1].task_, 1, 50}});
  Advance(10);
  BOOST_TEST(All<StartRun>().size() == 2U);
  Advance(200);
  AnswerPoll({{starts[1].task_, 1, 50}});
  BOOST_TEST(All<StartRun>().size() == 3U);
}

// A start may get no answer and be carried out late. Waiting for the timeout of
// the call would make a short task late.
BOOST_AUTO_TEST_CASE(ReschedulesATaskWhoseStartIsNeitherAnsweredNorListed) {
  Acquire("w");
  Assign(1);
  AnswerPoll();
  Advance(70);
  AnswerPoll();
  BOOST_REQUIRE(All<StopRun>().size() == 1U);
  AnswerStop(Last<StopRun>());
  AnswerPoll();
  Advance(90);
  AnswerPoll();
  BOOST_TEST(All<StartRun>().size() == 2U);
  BOOST_TEST(Last<StartRun>().run_ == 2U);
}

// The first list was made just before the run started but is processed after
// the answer to its start. The next list is made while a stop hides the run.
BOOST_AUTO_TEST_CASE(AListFromBeforeARunStartedDoesNotMarkItMissing) {
  Acquire("w");
  Assign(3);
  const auto starts = All<StartRun>();
  for (const StartRun& start : starts) AnswerStart(start);
  AnswerPoll({{starts[1].task_, 1, 1}});
  now_ = now_ + Duration{90};
  owner_.On(kLocalSession, CancelTasks{{{1}}}, now_, &out_);
  owner_.Tick(now_, &out_);
  AnswerPoll({{starts[1].task_, 1, 50}});
  AnswerPoll({{starts[1].task_, 1, 50}});
  BOOST_TEST(All<StartRun>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(KeepsAnUnansweredStartWhoseRunIsListed) {
  Acquire("w");
  Assign(1);
  const StartRun start = Last<StartRun>();
  AnswerStart(start, StartResult::kUnanswered);
  AnswerPoll({{start.task_, 1, 1}});
  BOOST_TEST(All<StopRun>().empty());
  Advance(100);
  AnswerPoll({}, {{1, start.task_, 1, RunEnd::kDone}});
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kDone));
}

// A single lost answer must not suspend a worker.
BOOST_AUTO_TEST_CASE(KeepsUsingAWorkerAfterOneUnansweredPoll) {
  Acquire("w");
  PollEnded lost;
  lost.call_ = Last<PollWorker>().call_;
  owner_.On(lost, now_, &out_);
  Assign(1);
  BOOST_TEST(All<StartRun>().size() == 1U);
}

// In a burst of wide jobs, the work of a started job must not be lost to a job
// that is as late but has not started.
BOOST_AUTO_TEST_CASE(PrefersALateStartedJobToALateUnstartedOne) {
  Acquire("w");
  Assign(1, kTaskResources, 40);
  Assign(3, kTaskResources, 60);
  const auto starts = All<StartRun>();
  BOOST_REQUIRE(starts.size() == 2U);
  for (const StartRun& start : starts) AnswerStart(start);
  Assign(1, kTaskResources, 50);
  Advance(70);
  AnswerPoll({{starts[1].task_, 1, 10}},
             {{1, starts[0].task_, 1, RunEnd::kDone}});
  BOOST_REQUIRE(All<StartRun>().size() == 3U);
  BOOST_TEST(Last<StartRun>().task_ == starts[1].task_.substr(0, 21) + "1");
}

// Under overload, tasks that can be on time go before late ones, even if the
// job of a late one has started.
BOOST_AUTO_TEST_CASE(StartsOnTimeTasksBeforeLateOnes) {
  Acquire("w");
  Assign(3, kTaskResources, 30);
  const auto starts = All<StartRun>();
  BOOST_REQUIRE(starts.size() == 2U);
  for (const StartRun& start : starts) AnswerStart(start);
  Advance(40);
  const AssignTasks urgent = Assign(1, kTaskResources, 300);
  AnswerPoll({{starts[1].task_, 1, 10}},
             {{1, starts[0].task_, 1, RunEnd::kDone}});
  BOOST_REQUIRE(All<StartRun>().size() == 3U);
  BOOST_TEST(Last<StartRun>().task_ == urgent.name_ + ".0");
}

// Under overload, a late job that has not started expires before its give-up
// time.
BOOST_AUTO_TEST_CASE(ExpiresAnUnstartedJobSoonAfterItIsLate) {
  Acquire("w");
  Assign(2);
  Assign(1, kTaskResources, 100, 1000);
  Advance(155);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kExpired));
  BOOST_TEST(!Last<ReportTask>().ended_.started_);
}

BOOST_AUTO_TEST_CASE(OffloadsWaitingTasksThatFitElsewhere) {
  Acquire("w");
  Assign(4);
  PoolLoad elsewhere;
  elsewhere.pool_ = "pool";
  elsewhere.free_ = {{20000, 1000, 0}};
  owner_.OffloadWaiting({elsewhere}, now_, &out_);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kRefused));
  BOOST_TEST(owner_.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsEveryEndOfOneList) {
  Acquire("w");
  Assign(2);
  const auto starts = All<StartRun>();
  AnswerStart(starts[0]);
  AnswerStart(starts[1]);
  Advance(200);
  AnswerPoll({}, {{1, starts[0].task_, 1, RunEnd::kDone},
                  {2, starts[1].task_, 1, RunEnd::kDone}});
  BOOST_TEST(All<ReportTask>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(LosesAWorkerThatHasAHigherFence) {
  Acquire("w");
  Assign(1);
  PollEnded stale;
  stale.call_ = LatestUnansweredPoll();
  stale.result_ = PollResult::kStaleFence;
  owner_.On(stale, now_, &out_);
  BOOST_REQUIRE(All<WorkerLost>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kUnknown));
  BOOST_TEST(!owner_.Owns({"w"}));
}

BOOST_AUTO_TEST_CASE(ReschedulesRunsAfterTheirLeaseExpired) {
  Acquire("w");
  Acquire("v");
  Assign(1, kTaskResources, 500, 3000);
  AnswerStart(Last<StartRun>());
  const std::string first = Last<StartRun>().worker_->id_.value_;
  for (int i = 0; i < 60; ++i) {
    for (const PollWorker& poll : All<PollWorker>()) {
      if (poll.worker_->id_.value_ != first) {
        owner_.On(Listing(poll.call_), now_, &out_);
        continue;
      }
      PollEnded silent;
      silent.call_ = poll.call_;
      owner_.On(silent, now_, &out_);
    }
    Advance(20);
    if (All<StartRun>().size() > 1) break;
  }
  BOOST_REQUIRE(All<StartRun>().size() == 2U);
  BOOST_TEST(Last<StartRun>().worker_->id_.value_ != first);
  BOOST_TEST(now_.ms_ >= 1000000 + WorkerSchedulerLimits{}.lease_.ms_);
}

// Guards against a start after as many failures as are allowed: a worker was
// silent until the lease was over, and then lists the failure of the run.
BOOST_AUTO_TEST_CASE(ReportsAnEndThatIsListedAfterTheLeaseWasOver) {
  for (const RunEnd end : {RunEnd::kFailed, RunEnd::kDone}) {
    owner_ = WorkerScheduler();
    out_.clear();
    answered_.clear();
    Acquire("w");
    Assign(1, kTaskResources, 500, 5000);
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    for (int i = 0; i < 70; ++i) {
      PollEnded silent;
      silent.call_ = LatestUnansweredPoll();
      answered_.insert(silent.call_.value_);
      owner_.On(silent, now_, &out_);
      Advance(20);
    }
    BOOST_TEST(owner_.waiting() == 1U);
    Advance(400);
    AnswerPoll({}, {{1, start.task_, start.run_, end}});
    Settle();
    BOOST_TEST(Last<StartRun>().call_.value_ == start.call_.value_);
    BOOST_REQUIRE(!All<ReportTask>().empty());
    BOOST_TEST((Last<ReportTask>().ended_.end_ ==
                (end == RunEnd::kFailed ? TaskEnd::kFailed : TaskEnd::kDone)));
    BOOST_TEST(owner_.idle());
  }
}

BOOST_AUTO_TEST_CASE(ExpiresTasksPastTheirGiveUpTime) {
  Acquire("w");
  Assign(3, kTaskResources, 100, 300);
  Advance(301);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kExpired));
  BOOST_TEST(!Last<ReportTask>().ended_.started_);
}

BOOST_AUTO_TEST_CASE(EjectsAWorkerAfterConsecutiveFailures) {
  Acquire("w");
  Assign(4);
  uint64_t number = 0;
  for (int i = 0; i < 2; ++i) {
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    AnswerPoll({}, {{++number, start.task_, 1, RunEnd::kFailed}});
  }
  BOOST_TEST(owner_.stats().ejections_ == 1U);
  const size_t before = All<StartRun>().size();
  Advance(100);
  BOOST_TEST(All<StartRun>().size() == before);
}

BOOST_AUTO_TEST_CASE(StopsARunThatMakesNoProgress) {
  Acquire("w");
  Acquire("v");
  Assign(1);
  const StartRun start = Last<StartRun>();
  AnswerStart(start);
  for (int i = 0; i < 40 && All<StopRun>().empty(); ++i) {
    Advance(20);
    for (const PollWorker& poll : All<PollWorker>()) {
      PollEnded listing = Listing(poll.call_);
      if (poll.worker_->id_.value_ == start.worker_->id_.value_) {
        listing.running_ = {{start.task_, 1, 3}};
      }
      owner_.On(listing, now_, &out_);
    }
  }
  BOOST_REQUIRE(All<StopRun>().size() == 1U);
  BOOST_TEST(owner_.stats().stalled_ == 1U);
}

// Guards against a healthy worker that is left idle since 3 % of its runs take
// 7 times as long: the run starts elsewhere, and the worker gets the next task.
BOOST_AUTO_TEST_CASE(ALongRunDoesNotEjectItsWorker) {
  Acquire("w");
  Assign(1);
  const StartRun start = Last<StartRun>();
  AnswerStart(start);
  Advance(190);
  AnswerPoll({{start.task_, 1, 12}});
  BOOST_REQUIRE(All<StopRun>().size() == 1U);
  BOOST_TEST(owner_.stats().ejections_ == 0U);
  Assign(1);
  BOOST_TEST(All<StartRun>().size() == 2U);
}

// Guards against tasks that start on a worker that became 4.5 times slower, and
// against coordinators that count on its resources.
BOOST_AUTO_TEST_CASE(StartsNothingUrgentOnASlowWorker) {
  Acquire("w");
  uint64_t end = 0;
  const auto run = [&](int64_t ms) {
    Assign(1);
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    now_ = now_ + Duration{ms};
    AnswerPoll({}, {{++end, start.task_, 1, RunEnd::kDone}});
  };
  for (int i = 0; i < 10; ++i) run(200);
  for (int i = 0; i < 3; ++i) run(900);
  BOOST_REQUIRE(All<WorkerSpeedChanged>().size() == 1U);
  BOOST_TEST(Last<WorkerSpeedChanged>().slow_);
  BOOST_TEST(owner_.load(now_).pools_.front().free_.empty());
  const size_t starts = All<StartRun>().size();
  Assign(1, kTaskResources, 300);
  BOOST_TEST(All<StartRun>().size() == starts);
  Acquire("v");
  BOOST_TEST(Last<StartRun>().worker_->id_.value_ == "v");
}

// Guards against healthy workers that count as slow since this process, short
// of CPU time, reads their answers late: nothing of them is free then, and all
// jobs are refused.
BOOST_AUTO_TEST_CASE(OwnDelayDoesNotMakeAWorkerSlow) {
  Acquire("w");
  for (uint64_t end = 1; end <= 13; ++end) {
    Assign(1);
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    now_ = now_ + Duration{200};
    PollEnded ended = Listing(LatestUnansweredPoll());
    answered_.insert(ended.call_.value_);
    ended.finished_ = {{end, start.task_, 1, RunEnd::kDone}};
    if (end > 10) now_ = now_ + Duration{700};
    owner_.On(ended, now_, &out_);
  }
  BOOST_TEST(All<WorkerSpeedChanged>().empty());
  BOOST_TEST(owner_.load(now_).pools_.front().free_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StopsAllRunsOfAnEndedSession) {
  Acquire("w");
  AssignTasks assign = Assign(2);
  for (const StartRun& start : All<StartRun>()) AnswerStart(start);
  owner_.EndSession(kLocalSession, now_, &out_);
  BOOST_TEST(All<StopRun>().size() == 2U);
}

// Guards against a run that is started only to be stopped, beside the one of
// the same job sent again: its cancellation arrived together with the
// assignment.
BOOST_AUTO_TEST_CASE(TakesBackAStartThatIsCancelledBeforeItIsSent) {
  Acquire("w");
  const AssignTasks assign = Assign(2);
  owner_.On(kLocalSession,
            CancelTasks{{assign.tasks_[0].serial_, assign.tasks_[1].serial_}},
            now_, &out_);
  BOOST_TEST(All<StartRun>().empty());
  BOOST_TEST(All<StopRun>().empty());
  const auto reports = All<ReportTask>();
  BOOST_REQUIRE(reports.size() == 2U);
  for (const ReportTask& report : reports) {
    BOOST_TEST((report.ended_.end_ == TaskEnd::kCancelled));
    BOOST_TEST(!report.ended_.started_);
  }
  BOOST_TEST(owner_.idle());
  Assign(2);
  BOOST_TEST(All<StartRun>().size() == 2U);
}

// The worker has resources for a second task, so only the pause keeps it
// waiting.
BOOST_AUTO_TEST_CASE(StartsNothingAfterAPauseBeforeANewPoll) {
  Acquire("w");
  Assign(1);
  AnswerStart(Last<StartRun>());
  now_ = now_ + Duration{3000};
  owner_.Resume(now_, &out_);
  BOOST_TEST(All<StopRun>().size() == 1U);
  Assign(1);
  BOOST_TEST(All<StartRun>().size() == 1U);
  AnswerPoll();
  BOOST_TEST(All<StartRun>().size() == 2U);
}

// Guards against a lease that is renewed, and a task that starts, although the
// loss of the caller has arrived during a stall and is yet to be read.
BOOST_AUTO_TEST_CASE(RenewsAndStartsNothingBeforeItHasCaughtUpAfterAStall) {
  Acquire("w");
  const AssignTasks first = Assign(1);
  AnswerStart(Last<StartRun>());
  const RunningRun running{Last<StartRun>().task_, 1, 50};
  now_ = now_ + Duration{300};
  owner_.CatchUp();
  const size_t polls = All<PollWorker>().size();
  AnswerPoll({running});
  const AssignTasks second = Assign(1);
  BOOST_TEST(All<StartRun>().size() == 1U);
  BOOST_REQUIRE(All<PollWorker>().size() > polls);
  BOOST_TEST(!Last<PollWorker>().lease_until_ms_);
  owner_.On(kLocalSession, CancelTasks{{first.tasks_[0].serial_}}, now_, &out_);
  Advance(1);
  BOOST_TEST(All<StartRun>().size() == 2U);
  BOOST_TEST(Last<StartRun>().task_ == TaskName(second.name_, 0));
}

// Guards against a full queue that is taken for an expiry: the coordinator of
// a started job would assign the task here again at once.
BOOST_AUTO_TEST_CASE(ReturnsTasksThatExceedTheQueueLimit) {
  Acquire("w1");
  for (int i = 0; i < 5; ++i) Assign(1000, kTaskResources, 500, 1000);
  const auto reports = All<ReportTask>();
  BOOST_REQUIRE(!reports.empty());
  BOOST_TEST(
      std::all_of(reports.begin(), reports.end(), [](const ReportTask& report) {
        return report.ended_.end_ == TaskEnd::kNoRoom;
      }));
}

// A poll that was already waiting when a new owner gave its first order is
// still answered, and a run that the new owner is stopping is not listed at
// all.
BOOST_AUTO_TEST_CASE(StartsNoSecondRunWhileANewOwnerStopsTheFirst) {
  Acquire("w");
  Assign(1);
  AnswerStart(Last<StartRun>());
  const RunningRun run{Last<StartRun>().task_, 1, 90};
  now_ = now_ + Duration{200};
  AnswerPoll({run});
  now_ = now_ + Duration{20};
  AnswerPoll();
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 1U);
  PollEnded stale = Listing(LatestUnansweredPoll());
  stale.result_ = PollResult::kStaleFence;
  owner_.On(stale, now_, &out_);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kUnknown));
}

// A stop may be carried out long after it was sent; from then on the run isn't
// listed until it has ended.
BOOST_AUTO_TEST_CASE(ReservesResourcesOfARunThatALateStopHides) {
  Acquire("w");
  const AssignTasks first = Assign(2);
  for (const StartRun& start : All<StartRun>()) AnswerStart(start);
  const std::string task = All<StartRun>()[0].task_;
  const RunningRun other{All<StartRun>()[1].task_, 1, 80};
  Advance(20);
  owner_.On(kLocalSession, CancelTasks{{first.tasks_[0].serial_}}, now_, &out_);
  Assign(1);
  AnswerPoll({{task, 1, 10}, other});
  now_ = now_ + Duration{200};
  AnswerPoll({{task, 1, 10}, other});
  now_ = now_ + Duration{5};
  AnswerPoll({other});
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 2U);
  AnswerPoll({other}, {{1, task, 1, RunEnd::kStopped}});
  BOOST_TEST(All<StartRun>().size() == 3U);
}

// After a pause, an answer from before it may be processed after a newer list.
BOOST_AUTO_TEST_CASE(ADelayedAnswerDoesNotRestoreAnOlderIncarnation) {
  Acquire("w");
  const WorkerCallId before = LatestUnansweredPoll();
  now_ = now_ + Duration{500};
  LeasedWorker restarted = MakeWorker("w");
  restarted.started_ms_ = 8;
  owner_.Update(restarted, now_, &out_);
  owner_.On(Listing(before), now_, &out_);
  Advance(20);
  BOOST_TEST(Last<PollWorker>().worker_->started_ms_ == 8);
}

// Shortage: guards against batches that are accepted, wait beyond their
// objective, and take the resources of others with some of their tasks.
BOOST_AUTO_TEST_CASE(RefusesABatchThatCannotStartInTime) {
  Acquire("w");
  Assign(2);
  AssignTasks batch;
  batch.name_ = "00000000000000b0.0.0";
  batch.pool_ = "pool";
  batch.need_ = kTaskResources;
  batch.expected_run_time_ = {200};
  batch.start_within_ = {50};
  batch.give_up_after_ = {1000};
  batch.refusable_ = true;
  batch.tasks_ = {{{901}, 0}, {{902}, 1}};
  owner_.On(kLocalSession, batch, now_, &out_);
  BOOST_REQUIRE(All<ReportRefused>().size() == 1U);
  BOOST_TEST(Last<ReportRefused>().refused_.tasks_.size() == 2U);
  BOOST_TEST(Last<ReportRefused>().refused_.expected_wait_.ms_ > 50);
  BOOST_TEST(owner_.waiting() == 0U);
  batch.start_within_ = {400};
  owner_.On(kLocalSession, batch, now_, &out_);
  BOOST_TEST(All<ReportRefused>().size() == 1U);
  BOOST_TEST(owner_.waiting() == 2U);
}

// Guards against accepted batches that wait until their deadline although more
// urgent ones have come before them.
BOOST_AUTO_TEST_CASE(ShedsAWaitingBatchThatOthersOvertake) {
  Acquire("w");
  Assign(2);
  AssignTasks batch;
  batch.name_ = "00000000000000b0.0.0";
  batch.pool_ = "pool";
  batch.need_ = kTaskResources;
  batch.expected_run_time_ = {200};
  batch.start_within_ = {400};
  batch.give_up_after_ = {2000};
  batch.refusable_ = true;
  batch.tasks_ = {{{901}, 0}, {{902}, 1}};
  owner_.On(kLocalSession, batch, now_, &out_);
  BOOST_TEST(owner_.waiting() == 2U);
  Assign(6, kTaskResources, 300, 3000);
  Advance(50);
  BOOST_REQUIRE(All<ReportRefused>().size() == 1U);
  BOOST_TEST(Last<ReportRefused>().queued_);
  BOOST_TEST(owner_.waiting() == 6U);
}

// Guards against tasks that are sent to workers which accept connections and
// never answer.
BOOST_AUTO_TEST_CASE(StartsNothingBesideAnUnansweredStart) {
  Acquire("w");
  Assign(1);
  Advance(70);
  Assign(1);
  BOOST_TEST(All<StartRun>().size() == 1U);
  BOOST_TEST(owner_.load(now_).pools_.empty());
  AnswerStart(All<StartRun>()[0]);
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
