#include <boost/test/unit_test.hpp>

#include "job_coordinator.h"
#include "worker_scheduler_fixture.h"

namespace gentiandeal {
namespace {

/// A lease, the time that it may be outlasted, and some ticks.
constexpr int64_t kLeaseOverMs = 1300;

struct CrashingTaskFixture : WorkerSchedulerFixture {
  void FailPolls(const std::string& worker, PollResult result) {
    for (const PollWorker& poll : All<PollWorker>()) {
      if (poll.worker_->id_.value_ != worker ||
          !answered_.insert(poll.call_.value_).second) {
        continue;
      }
      PollEnded failed;
      failed.call_ = poll.call_;
      failed.result_ = result;
      owner_.On(failed, now_, &out_);
    }
  }

  /// Its process ends; nothing listens at its address any more.
  void Crash(const std::string& worker) {
    Advance(10);
    FailPolls(worker, PollResult::kDisconnected);
    for (int i = 0; i < 3; ++i) {
      Advance(40);
      FailPolls(worker, PollResult::kRefused);
    }
  }

  void PassLease(const std::string& worker, PollResult result) {
    const size_t over = All<RunOver>().size();
    for (int64_t ms = 0; ms < kLeaseOverMs; ms += 20) {
      Advance(20);
      FailPolls(worker, result);
      if (All<RunOver>().size() > over) return;
    }
  }

  /// Starts the only task on a worker, whose process then ends.
  void StartAndCrash() {
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    const std::string worker = start.worker_->id_.value_;
    Crash(worker);
    PassLease(worker, PollResult::kRefused);
  }

  AssignTasks AssignLong(uint32_t count) {
    return Assign(count, kTaskResources, 5000, 9000);
  }
};

BOOST_FIXTURE_TEST_SUITE(crashing_task, CrashingTaskFixture)

// Guards against a task that takes down one worker after the other.
BOOST_AUTO_TEST_CASE(IsGivenUpAfterTwoCrashes) {
  for (const char* id : {"w1", "w2", "w3"}) Acquire(id);
  AssignLong(1);
  StartAndCrash();
  BOOST_REQUIRE(All<StartRun>().size() == 2U);
  const StartRun second = Last<StartRun>();
  AnswerStart(second);
  Crash(second.worker_->id_.value_);
  // Its caller needn't wait for the lease.
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kCrashes));
  PassLease(second.worker_->id_.value_, PollResult::kRefused);
  BOOST_TEST(All<StartRun>().size() == 2U);
  BOOST_TEST(All<ReportTask>().size() == 1U);
  BOOST_TEST(owner_.stats().workers_crashed_ == 2U);
}

BOOST_AUTO_TEST_CASE(IsGivenUpAfterThreeSilentWorkers) {
  for (const char* id : {"w1", "w2", "w3", "w4"}) Acquire(id);
  AssignLong(1);
  for (int i = 0; i < 3; ++i) {
    const StartRun start = Last<StartRun>();
    AnswerStart(start);
    PassLease(start.worker_->id_.value_, PollResult::kUnanswered);
  }
  BOOST_TEST(All<StartRun>().size() == 3U);
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kLostTooOften));
}

// Guards against a count that starts anew with each owner.
BOOST_AUTO_TEST_CASE(IsGivenUpByAnOwnerThatWasToldOfItsCrashes) {
  Acquire("w1");
  AssignTasks assign;
  assign.name_ = "00000000000000aa.0.0";
  assign.pool_ = "pool";
  assign.need_ = kTaskResources;
  assign.expected_run_time_ = {200};
  assign.start_within_ = {5000};
  assign.give_up_after_ = {9000};
  assign.tasks_ = {{{901}, 0, {1, 1}}, {{902}, 1, {2, 2}}};
  owner_.On(kLocalSession, assign, now_, &out_);
  BOOST_REQUIRE(All<ReportTask>().size() == 1U);
  BOOST_TEST((Last<ReportTask>().ended_.serial_ == TaskSerial{902}));
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kCrashes));
  StartAndCrash();
  BOOST_TEST((Last<ReportTask>().ended_.serial_ == TaskSerial{901}));
  BOOST_TEST((Last<ReportTask>().ended_.end_ == TaskEnd::kCrashes));
}

// Guards against a crash that nobody counts since its coordinator is gone.
BOOST_AUTO_TEST_CASE(IsChargedThoughItsCallerIsGone) {
  Acquire("w1");
  const AssignTasks assign = AssignLong(1);
  AnswerStart(Last<StartRun>());
  owner_.On(kLocalSession, CancelTasks{{assign.tasks_[0].serial_}}, now_,
            &out_);
  Crash("w1");
  BOOST_REQUIRE(All<LossesCharged>().size() == 1U);
  BOOST_TEST((Last<LossesCharged>().cause_ == LossCause::kCrash));
  BOOST_REQUIRE(Last<LossesCharged>().tasks_.size() == 1U);
  BOOST_TEST(Last<LossesCharged>().tasks_[0].task_ == assign.name_ + ".0");
}

// A process that is gone is told within milliseconds; a run there may go on for
// the time of its lease if only the path to it is broken.
BOOST_AUTO_TEST_CASE(IsChargedAtOnceAndStartsAgainOnceItsLeaseIsOver) {
  Acquire("w1");
  Acquire("w2");
  AssignLong(1);
  const StartRun start = Last<StartRun>();
  AnswerStart(start);
  Crash(start.worker_->id_.value_);
  BOOST_TEST(All<LossesCharged>().size() == 1U);
  BOOST_TEST(All<StartRun>().size() == 1U);
  PassLease(start.worker_->id_.value_, PollResult::kRefused);
  BOOST_TEST(All<LossesCharged>().size() == 1U);
  BOOST_REQUIRE(All<StartRun>().size() == 2U);
  BOOST_TEST((Last<RunOver>().reason_ == RunOverReason::kCrashed));
}

// A worker may refuse a connection for other reasons than that it is gone.
BOOST_AUTO_TEST_CASE(IsNotChargedWhileAConnectionToItsWorkerIsOpen) {
  Acquire("w1");
  AssignLong(2);
  const auto starts = All<StartRun>();
  BOOST_REQUIRE(starts.size() == 2U);
  AnswerStart(starts[0]);
  const size_t polls = All<PollWorker>().size();
  AnswerStart(starts[1], StartResult::kNotSent);
  BOOST_REQUIRE(All<PollWorker>().size() == polls + 1);
  PollEnded refused;
  refused.call_ = Last<PollWorker>().call_;
  refused.result_ = PollResult::kRefused;
  owner_.On(refused, now_, &out_);
  BOOST_TEST(All<LossesCharged>().empty());
}

// A connection that was reset is no crash.
BOOST_AUTO_TEST_CASE(IsNotChargedForAWorkerThatAnswersAfterAReset) {
  Acquire("w1");
  AssignLong(1);
  const StartRun start = Last<StartRun>();
  AnswerStart(start);
  FailPolls("w1", PollResult::kDisconnected);
  Advance(60);
  AnswerPoll({{start.task_, 1, 10}});
  AssignLong(1);
  BOOST_TEST(All<StartRun>().size() == 2U);
  BOOST_TEST(All<LossesCharged>().empty());
}

// Guards against tasks that wait for a lease which they never had: starts on a
// worker that has just crashed.
BOOST_AUTO_TEST_CASE(StartsOfOthersLeaveACrashedWorkerAtOnce) {
  Acquire("w1");
  AssignLong(1);
  const StartRun start = Last<StartRun>();
  Acquire("w2");
  AnswerStart(start, StartResult::kNotSent);
  BOOST_REQUIRE(All<StartRun>().size() == 2U);
  BOOST_TEST(Last<StartRun>().worker_->id_.value_ == "w2");
  AssignLong(3);
  for (const StartRun& one : All<StartRun>()) {
    if (one.call_ != start.call_) BOOST_TEST(one.worker_->id_.value_ == "w2");
  }
  BOOST_TEST(All<LossesCharged>().empty());
}

BOOST_AUTO_TEST_CASE(ASuspectStartsWhereLittleRunsBesideIt) {
  Acquire("full");
  AssignLong(1);
  Acquire("idle");
  owner_.NoteLosses({{"00000000000000bb.0.0.0", {1, 1}}}, now_);
  AssignTasks assign = AssignTasks();
  assign.name_ = "00000000000000bb.0.0";
  assign.pool_ = "pool";
  assign.need_ = kTaskResources;
  assign.start_within_ = {500};
  assign.give_up_after_ = {1000};
  assign.tasks_ = {{{903}, 0}};
  owner_.On(kLocalSession, assign, now_, &out_);
  BOOST_TEST(Last<StartRun>().worker_->id_.value_ == "idle");
}

// Guards against starts beyond resources that have shrunk below their use.
BOOST_AUTO_TEST_CASE(AShrunkenWorkerStartsNothingUntilItsRunsFit) {
  Acquire("w");
  AssignLong(2);
  const auto starts = All<StartRun>();
  BOOST_REQUIRE(starts.size() == 2U);
  for (const StartRun& start : starts) AnswerStart(start);
  LeasedWorker shrunken = MakeWorker("w", 15000);
  owner_.Update(shrunken, now_, &out_);
  AssignLong(1);
  Advance(100);
  AnswerPoll({{starts[1].task_, 1, 50}},
             {{1, starts[0].task_, 1, RunEnd::kDone}});
  BOOST_TEST(All<StartRun>().size() == 2U);
  Advance(20);
  AnswerPoll({}, {{2, starts[1].task_, 1, RunEnd::kDone}});
  BOOST_TEST(All<StartRun>().size() == 3U);
  AssignLong(1);
  BOOST_TEST(All<StartRun>().size() == 3U);
  owner_.Update(MakeWorker("w"), now_, &out_);
  BOOST_TEST(All<StartRun>().size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

struct CrashingJobFixture {
  JobCoordinator coordinator_{{"self"}, "west"};
  CoordinatorOutbox out_;
  Time now_{1000000};
  uint64_t last_request_ = 0;

  CrashingJobFixture() {
    LeasedWorker worker;
    worker.id_ = {"w"};
    worker.pool_ = "pool";
    worker.capacity_ = {32000, 131072, 0};
    coordinator_.SetWorkers(
        {{"pool", {std::make_shared<LeasedWorker>(worker)}}});
    OwnerLoad load;
    load.pools_.emplace_back().pool_ = "pool";
    load.pools_[0].free_ = {worker.capacity_};
    coordinator_.OwnerLoadReported({"owner"}, "west", load);
  }

  void Submit(const std::string& id) {
    HostedJob job;
    job.id_ = id;
    job.pool_ = "pool";
    job.steps_.resize(1);
    job.steps_[0].count_ = 2;
    job.steps_[0].need_ = {14000, 64, 0};
    job.steps_[0].expected_ = {200};
    job.objective_ = {380};
    job.useful_within_ = {1140};
    job.deadline_ = {1500};
    coordinator_.On(SubmitHostedJob{{++last_request_}, job}, now_, &out_);
  }

  template <typename T>
  T Last() const {
    for (auto one = out_.rbegin(); one != out_.rend(); ++one) {
      if (const auto* match = std::get_if<T>(&*one)) return *match;
    }
    BOOST_FAIL("no such command");
    return {};
  }
};

BOOST_FIXTURE_TEST_SUITE(crashing_job, CrashingJobFixture)

BOOST_AUTO_TEST_CASE(FailsAtOnceAndCancelsItsOtherTasks) {
  Submit("job");
  const AssignTasks assign = Last<SendAssign>().assign_;
  coordinator_.On({"owner"},
                  {assign.tasks_[0].serial_, TaskEnd::kCrashes, true}, now_,
                  &out_);
  const auto answer = Last<AnswerHostedJob>();
  BOOST_TEST((answer.outcome_ == HostedJobOutcome::kFailed));
  BOOST_TEST(answer.reason_ == "crashes-workers");
  BOOST_TEST((Last<SendCancel>().cancel_.tasks_ ==
              std::vector{assign.tasks_[1].serial_}));
  BOOST_TEST(coordinator_.idle());
}

// Guards against a job that is reported as failed although it could be done.
BOOST_AUTO_TEST_CASE(TimesOutIfItsTasksAreNotKnownToCrashWorkers) {
  Submit("job");
  const AssignTasks assign = Last<SendAssign>().assign_;
  coordinator_.On({"owner"},
                  {assign.tasks_[0].serial_, TaskEnd::kLostTooOften, true},
                  now_, &out_);
  BOOST_TEST((Last<AnswerHostedJob>().outcome_ == HostedJobOutcome::kTimedOut));
  coordinator_.NoteLosses({{"job.0.0.0", {3, 1}}}, now_);
  out_.clear();
  Submit("job");
  BOOST_REQUIRE(out_.size() == 1U);
  BOOST_TEST((Last<AnswerHostedJob>().outcome_ == HostedJobOutcome::kTimedOut));
}

// Guards against a count that starts anew when a job is sent again elsewhere.
BOOST_AUTO_TEST_CASE(SentAgainFailsWithoutAnotherStart) {
  coordinator_.NoteLosses({{"job.0.0.1", {2, 2}}}, now_);
  Submit("job");
  BOOST_REQUIRE(out_.size() == 1U);
  BOOST_TEST((Last<AnswerHostedJob>().outcome_ == HostedJobOutcome::kFailed));
  Submit("other");
  BOOST_TEST(Last<SendAssign>().assign_.tasks_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(TellsItsOwnersOfEarlierCrashes) {
  coordinator_.NoteLosses({{"job.0.0.1", {1, 1}}}, now_);
  Submit("job");
  const AssignTasks assign = Last<SendAssign>().assign_;
  BOOST_TEST((assign.tasks_[0].losses_ == WorkerLosses{}));
  BOOST_TEST((assign.tasks_[1].losses_ == WorkerLosses{1, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
