#include "job_coordinator.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Resources kTask{14000, 64, 0};

struct CoordinatorFixture {
  JobCoordinator coordinator_{{"self"}, "west"};
  CoordinatorOutbox out_;
  Time now_{1000};
  uint64_t last_request_ = 0;

  CoordinatorFixture() {
    LeasedWorker worker;
    worker.id_ = {"w"};
    worker.pool_ = "pool";
    worker.capacity_ = {32000, 131072, 0};
    coordinator_.SetWorkers(
        {{"pool", {std::make_shared<LeasedWorker>(worker)}}});
  }

  static OwnerLoad Load(std::vector<Resources> free,
                        uint64_t release = 1400000) {
    OwnerLoad load;
    PoolLoad& pool = load.pools_.emplace_back();
    pool.pool_ = "pool";
    pool.free_ = std::move(free);
    pool.released_cpu_milli_per_s_ = release;
    return load;
  }

  static HostedJob Job(const std::string& id, uint32_t count) {
    HostedJob job;
    job.id_ = id;
    job.queue_ = "queue";
    job.pool_ = "pool";
    job.steps_.resize(1);
    job.steps_[0].count_ = count;
    job.steps_[0].need_ = kTask;
    job.steps_[0].expected_ = {200};
    job.objective_ = {380};
    job.useful_within_ = {1140};
    job.deadline_ = {1500};
    return job;
  }

  RequestId Submit(const HostedJob& job, Duration waited = {}) {
    const RequestId request{++last_request_};
    coordinator_.On(SubmitHostedJob{request, job, waited}, now_, &out_);
    return request;
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> all;
    for (const CoordinatorCommand& command : out_) {
      if (const auto* match = std::get_if<T>(&command)) all.push_back(*match);
    }
    return all;
  }

  void End(const SendAssign& assign, size_t task, TaskEnd end,
           bool started = true) {
    coordinator_.On(assign.owner_,
                    {assign.assign_.tasks_[task].serial_, end, started}, now_,
                    &out_);
  }

  HostedJobOutcome Answer() const {
    BOOST_REQUIRE(All<AnswerHostedJob>().size() == 1U);
    return All<AnswerHostedJob>()[0].outcome_;
  }
};

BOOST_FIXTURE_TEST_SUITE(job_coordinator, CoordinatorFixture)

BOOST_AUTO_TEST_CASE(AnswersOnceEveryTaskIsDone) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  BOOST_REQUIRE(assigns.size() == 1U);
  End(assigns[0], 0, TaskEnd::kDone);
  BOOST_TEST(All<AnswerHostedJob>().empty());
  End(assigns[0], 1, TaskEnd::kDone);
  BOOST_TEST((Answer() == HostedJobOutcome::kComplete));
  BOOST_TEST(coordinator_.idle());
}

BOOST_AUTO_TEST_CASE(PrefersItsOwnDataCentreAndSpreadsOtherTasks) {
  coordinator_.OwnerLoadReported({"far"}, "east", Load({{32000, 1000, 0}}));
  coordinator_.OwnerLoadReported({"near"}, "west", Load({{15000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  BOOST_REQUIRE(assigns.size() == 2U);
  BOOST_TEST(assigns[0].owner_.value_ == "far");
  BOOST_TEST(assigns[1].owner_.value_ == "near");
  BOOST_TEST(assigns[0].assign_.tasks_.size() == 1U);
}

// In a burst beyond the capacity, a job that can't start in time must be
// refused at once.
BOOST_AUTO_TEST_CASE(RefusesAJobThatWouldMissItsObjective) {
  OwnerLoad load = Load({});
  load.pools_[0].queued_cpu_milli_[UrgencyClass({100})] = 1400000;
  coordinator_.OwnerLoadReported({"self"}, "west", load);
  Submit(Job("a", 2));
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
  BOOST_TEST(All<SendAssign>().empty());
  BOOST_TEST(All<AnswerHostedJob>()[0].retry_after_.ms_ > 0);
}

BOOST_AUTO_TEST_CASE(RefusesAJobThatFitsNoWorker) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  HostedJob job = Job("a", 1);
  job.steps_[0].need_ = {40000, 64, 0};
  Submit(job);
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(ReportsNotRunOnlyIfNoTaskStarted) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  End(assigns[0], 0, TaskEnd::kExpired, /*started=*/false);
  BOOST_TEST(All<AnswerHostedJob>().empty());
  BOOST_TEST(All<SendCancel>().size() == 1U);
  End(assigns[0], 1, TaskEnd::kCancelled, /*started=*/false);
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(ReportsTimedOutIfATaskStarted) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  End(assigns[0], 0, TaskEnd::kExpired, /*started=*/false);
  End(assigns[0], 1, TaskEnd::kCancelled, /*started=*/true);
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
}

BOOST_AUTO_TEST_CASE(RetriesAFailedTaskUpToMaxFailures) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  HostedJob job = Job("a", 1);
  job.max_failures_ = 2;
  Submit(job);
  End(All<SendAssign>()[0], 0, TaskEnd::kFailed);
  BOOST_TEST(All<AnswerHostedJob>().empty());
  BOOST_REQUIRE(All<SendAssign>().size() == 2U);
  End(All<SendAssign>()[1], 0, TaskEnd::kFailed);
  BOOST_TEST((Answer() == HostedJobOutcome::kFailed));
}

// Guards against a full owner that gets a task again and again.
BOOST_AUTO_TEST_CASE(ATaskWithoutRoomWaitsAndIsNotAssignedAtOnce) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const SendAssign first = All<SendAssign>()[0];
  End(first, 0, TaskEnd::kDone);
  End(first, 1, TaskEnd::kNoRoom, /*started=*/false);
  now_ = now_ + Duration{20};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<SendAssign>().size() == 1U);
  BOOST_TEST(All<JobAwaitsRoom>().size() == 1U);
  // New jobs are refused at once meanwhile.
  Submit(Job("b", 1));
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
  BOOST_TEST(All<AnswerHostedJob>()[0].reason_ == "overloaded");
  now_ = now_ + Duration{100};
  coordinator_.Tick(now_, &out_);
  BOOST_REQUIRE(All<SendAssign>().size() == 2U);
  End(All<SendAssign>()[1], 0, TaskEnd::kDone);
  BOOST_TEST(
      (All<AnswerHostedJob>()[1].outcome_ == HostedJobOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(ATaskWithoutRoomGoesToAnotherOwnerAtTheNextTick) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const SendAssign first = All<SendAssign>()[0];
  coordinator_.OwnerLoadReported({"other"}, "west", Load({{32000, 1000, 0}}));
  End(first, 0, TaskEnd::kDone);
  End(first, 1, TaskEnd::kNoRoom, /*started=*/false);
  coordinator_.Tick(now_, &out_);
  BOOST_REQUIRE(All<SendAssign>().size() == 2U);
  BOOST_TEST(All<SendAssign>()[1].owner_.value_ == "other");
}

// Guards against a caller that waits until its deadline for a task that comes
// too late, and against a "not run" of a job that has started.
BOOST_AUTO_TEST_CASE(AJobWithoutRoomIsAnsweredOnceItComesTooLate) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const SendAssign first = All<SendAssign>()[0];
  End(first, 0, TaskEnd::kDone);
  for (int i = 0; i < 10 && All<AnswerHostedJob>().empty(); ++i) {
    End(All<SendAssign>().back(), i == 0 ? 1 : 0, TaskEnd::kNoRoom,
        /*started=*/false);
    now_ = now_ + Duration{100};
    coordinator_.Tick(now_, &out_);
  }
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
  BOOST_TEST(coordinator_.idle());
  // Useful within 1,140 ms, of which the task takes 200.
  BOOST_TEST((now_ - Time{1000}).ms_ == 1000);
}

// Guards against a task that nobody places again: no owner took tasks when it
// was lost, while another one of its job was assigned.
BOOST_AUTO_TEST_CASE(ATaskLostWhileNoOwnerTakesTasksIsPlacedLater) {
  coordinator_.OwnerLoadReported({"near"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  BOOST_REQUIRE(assigns.size() == 1U);
  OwnerLoad draining = Load({});
  draining.draining_ = true;
  coordinator_.OwnerLoadReported({"near"}, "west", draining);
  End(assigns[0], 0, TaskEnd::kLost);
  End(assigns[0], 1, TaskEnd::kDone);
  coordinator_.OwnerLoadReported({"far"}, "east", Load({{32000, 1000, 0}}));
  coordinator_.Tick(now_, &out_);
  BOOST_REQUIRE(All<SendAssign>().size() == 2U);
  End(All<SendAssign>()[1], 0, TaskEnd::kDone);
  BOOST_TEST((Answer() == HostedJobOutcome::kComplete));
}

// The same while no owner comes: the caller waits for nothing.
BOOST_AUTO_TEST_CASE(AJobWhoseTasksNobodyTakesIsAnswered) {
  coordinator_.OwnerLoadReported({"near"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 2));
  const auto assigns = All<SendAssign>();
  BOOST_REQUIRE(assigns.size() == 1U);
  OwnerLoad draining = Load({});
  draining.draining_ = true;
  coordinator_.OwnerLoadReported({"near"}, "west", draining);
  End(assigns[0], 0, TaskEnd::kLost);
  End(assigns[0], 1, TaskEnd::kDone);
  coordinator_.Tick(now_, &out_);
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
  BOOST_TEST(coordinator_.idle());
}

// Guards against starts for a job that is being given up, and whose tasks have
// been cancelled elsewhere.
BOOST_AUTO_TEST_CASE(AnAbandonedJobNoLongerAwaitsRoom) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 3));
  const SendAssign first = All<SendAssign>()[0];
  End(first, 0, TaskEnd::kLost);
  for (int i = 0; i < 3; ++i) End(All<SendAssign>().back(), 0, TaskEnd::kLost);
  End(first, 1, TaskEnd::kNoRoom, /*started=*/false);
  const size_t assigned = All<SendAssign>().size();
  End(All<SendAssign>().back(), 0, TaskEnd::kLost);
  BOOST_TEST(All<SendCancel>().size() == 1U);
  now_ = now_ + Duration{100};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<SendAssign>().size() == assigned);
  End(first, 2, TaskEnd::kCancelled);
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
}

BOOST_AUTO_TEST_CASE(AJobThatHasNotStartedIsRefusedIfThereIsNoRoom) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  End(All<SendAssign>()[0], 0, TaskEnd::kNoRoom, /*started=*/false);
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
  BOOST_TEST(All<AnswerHostedJob>()[0].reason_ == "overloaded");
}

// Guards against an owner and its coordinator in one process that pass a task
// to and fro without an end, while the load report that says why is due.
BOOST_AUTO_TEST_CASE(ATaskReturnedTwiceByOneReportWaitsForTheNextTick) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  for (size_t i = 0; i < 2; ++i) {
    BOOST_REQUIRE(All<SendAssign>().size() == i + 1);
    End(All<SendAssign>()[i], 0, TaskEnd::kRefused, /*started=*/false);
  }
  BOOST_TEST(All<SendAssign>().size() == 2U);
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<SendAssign>().size() == 3U);
  End(All<SendAssign>()[2], 0, TaskEnd::kDone);
  BOOST_TEST((Answer() == HostedJobOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(CancelsTasksWhenTheCallerDisconnects) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  const RequestId request = Submit(Job("a", 2));
  coordinator_.On(CallerDisconnected{request}, now_, &out_);
  BOOST_REQUIRE(All<SendCancel>().size() == 1U);
  BOOST_TEST(All<SendCancel>()[0].cancel_.tasks_.size() == 2U);
  BOOST_TEST(coordinator_.idle());
}

// A lost owner may run tasks until its leases end, so they must not be assigned
// to another owner.
BOOST_AUTO_TEST_CASE(InterruptsJobsOfALostOwner) {
  coordinator_.OwnerLoadReported({"near"}, "west", Load({{32000, 1000, 0}}));
  coordinator_.OwnerLoadReported({"far"}, "east", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  coordinator_.OwnerLost({"near"}, now_, &out_);
  BOOST_TEST((Answer() == HostedJobOutcome::kInterrupted));
  BOOST_TEST(All<SendAssign>().size() == 1U);
}

// Guards against two runs of a task: an owner reports a run that it is still
// stopping, and the task is assigned again at once.
BOOST_AUTO_TEST_CASE(InterruptsAJobWhoseTaskWasCancelledUnasked) {
  coordinator_.OwnerLoadReported({"near"}, "west", Load({{32000, 1000, 0}}));
  coordinator_.OwnerLoadReported({"far"}, "east", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  End(All<SendAssign>()[0], 0, TaskEnd::kCancelled);
  BOOST_TEST(All<SendAssign>().size() == 1U);
  BOOST_TEST((Answer() == HostedJobOutcome::kInterrupted));
}

BOOST_AUTO_TEST_CASE(JoinsAJobSubmittedAgainWhileItRuns) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  const RequestId first = Submit(Job("a", 1));
  const RequestId again = Submit(Job("a", 1));
  BOOST_TEST(All<SendAssign>().size() == 1U);
  End(All<SendAssign>()[0], 0, TaskEnd::kDone);
  const auto answers = All<AnswerHostedJob>();
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST((answers[0].request_ == first));
  BOOST_TEST((answers[1].request_ == again));
  for (const AnswerHostedJob& answer : answers) {
    BOOST_TEST((answer.outcome_ == HostedJobOutcome::kComplete));
  }
  BOOST_TEST(coordinator_.idle());
}

// The caller sends a job again on a new connection and may close the earlier
// one only then.
BOOST_AUTO_TEST_CASE(AJobSentAgainEndsWithItsLatestConnection) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  const RequestId first = Submit(Job("a", 1));
  const RequestId second = Submit(Job("a", 1));
  const RequestId third = Submit(Job("a", 1));
  coordinator_.On(CallerDisconnected{first}, now_, &out_);
  BOOST_TEST(All<SendCancel>().empty());
  coordinator_.On(CallerDisconnected{third}, now_, &out_);
  BOOST_TEST(All<SendCancel>().size() == 1U);
  BOOST_TEST((Answer() == HostedJobOutcome::kInterrupted));
  BOOST_TEST((All<AnswerHostedJob>()[0].request_ == second));
  BOOST_TEST(coordinator_.idle());
}

// Guards against a refusal "not run" for a job whose runs are still being
// stopped while the process ends.
BOOST_AUTO_TEST_CASE(AStoppingInstanceDoesntDenyRunsThatItStops) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  HostedJob job = Job("a", 1);
  job.deadline_ = {20000};
  Submit(job);
  now_ = now_ + Duration{5000};
  coordinator_.Resume(now_, &out_);
  coordinator_.StopAccepting();
  const RequestId again = Submit(job);
  const auto answers = All<AnswerHostedJob>();
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST((answers[1].request_ == again));
  BOOST_TEST((answers[1].outcome_ == HostedJobOutcome::kInterrupted));
}

// Guards against a caller that is answered only at the later deadline of the
// request that came first.
BOOST_AUTO_TEST_CASE(AJobSentAgainEndsAtTheEarliestDeadline) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  now_ = now_ + Duration{300};
  HostedJob again = Job("a", 1);
  again.deadline_ = {900};
  Submit(again, /*waited=*/Duration{100});
  now_ = now_ + Duration{799};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<AnswerHostedJob>().empty());
  now_ = now_ + Duration{1};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<AnswerHostedJob>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(StartsAStepOnlyAfterItsDependencies) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  HostedJob job = Job("a", 1);
  job.steps_.push_back(job.steps_[0]);
  job.steps_[1].depends_on_ = {0};
  Submit(job);
  BOOST_REQUIRE(All<SendAssign>().size() == 1U);
  End(All<SendAssign>()[0], 0, TaskEnd::kDone);
  BOOST_REQUIRE(All<SendAssign>().size() == 2U);
  BOOST_TEST(All<SendAssign>()[1].assign_.name_ == "a.0.1");
}

// Under overload, a task must be dropped once its answer would be of no use to
// the caller, long before the caller's deadline.
BOOST_AUTO_TEST_CASE(DropsTasksOnceTheirAnswerIsUseless) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  HostedJob job = Job("a", 1);
  job.deadline_ = {9000};
  Submit(job);
  BOOST_REQUIRE(All<SendAssign>().size() == 1U);
  BOOST_TEST(All<SendAssign>()[0].assign_.give_up_after_.ms_ == 940);
}

BOOST_AUTO_TEST_CASE(TimesOutAtTheCallersDeadline) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1));
  now_ = now_ + Duration{1500};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
  BOOST_TEST(All<SendCancel>().size() == 1U);
}

// Guards against two runs of a task whose job is still open at the instance
// that its caller lost, although that instance believes the caller connected.
BOOST_AUTO_TEST_CASE(RecallsAJobThatIsOpenElsewhereBeforeItRunsHere) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 4096, 0}}));
  coordinator_.JobsOpenElsewhere({"other"}, {"a", "b"}, now_);
  now_ = now_ + Duration{300};
  Submit(Job("b", 1));
  BOOST_REQUIRE(All<SendRecall>().size() == 1U);
  BOOST_TEST(All<SendRecall>()[0].coordinator_.value_ == "other");
  BOOST_TEST(All<SendRecall>()[0].job_ == "b");
  BOOST_TEST(All<SendAssign>().empty());
  BOOST_REQUIRE(All<AnswerHostedJob>().size() == 1U);
  BOOST_TEST(
      (All<AnswerHostedJob>()[0].outcome_ == HostedJobOutcome::kInterrupted));
  coordinator_.JobsOpenElsewhere({"other"}, {"a"}, now_);
  Submit(Job("b", 1));
  BOOST_TEST(All<SendAssign>().size() == 1U);
}

// The runs of an instance that has fallen silent end by their leases.
BOOST_AUTO_TEST_CASE(ForgetsTheOpenJobsOfASilentInstance) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 4096, 0}}));
  coordinator_.JobsOpenElsewhere({"other"}, {"a"}, now_);
  now_ = now_ + Duration{1451};
  Submit(Job("a", 1));
  BOOST_TEST(All<SendRecall>().empty());
  BOOST_TEST(All<SendAssign>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ARecalledJobIsCancelledAndAnswered) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 4096, 0}}));
  Submit(Job("a", 1));
  BOOST_TEST(coordinator_.LongOpenJobs(now_).empty());
  now_ = now_ + Duration{600};
  BOOST_TEST(coordinator_.LongOpenJobs(now_) == std::vector<std::string>{"a"},
             boost::test_tools::per_element());
  coordinator_.Recall("a", now_, &out_);
  BOOST_TEST(All<SendCancel>().size() == 1U);
  BOOST_REQUIRE(All<AnswerHostedJob>().size() == 1U);
  BOOST_TEST(
      (All<AnswerHostedJob>()[0].outcome_ == HostedJobOutcome::kInterrupted));
  BOOST_TEST(coordinator_.idle());
}

// A request may have waited unread, for example while the process stood
// still. Its caller's time is counted from its arrival.
BOOST_AUTO_TEST_CASE(CountsTheDeadlineFromTheArrivalOfTheRequest) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1), Duration{300});
  BOOST_REQUIRE(All<SendAssign>().size() == 1U);
  BOOST_TEST(All<SendAssign>()[0].assign_.start_within_.ms_ == 380 - 200 - 300);
  now_ = now_ + Duration{1199};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(All<AnswerHostedJob>().empty());
  now_ = now_ + Duration{1};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST((Answer() == HostedJobOutcome::kTimedOut));
}

BOOST_AUTO_TEST_CASE(RefusesAJobWhoseCallerNoLongerWaits) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 1000, 0}}));
  Submit(Job("a", 1), Duration{1500});
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
  BOOST_TEST(All<SendAssign>().empty());
}

// Guards against two runs of a task whose job was given up long after its
// caller had lost it: its stop may get no answer, and the caller may be back at
// once.
BOOST_AUTO_TEST_CASE(AJobGivenUpLateStaysListedWhileItsRunsMayLast) {
  coordinator_.OwnerLoadReported({"self"}, "west", Load({{32000, 4096, 0}}));
  const RequestId request = Submit(Job("a", 1));
  now_ = now_ + Duration{600};
  coordinator_.On(CallerDisconnected{request}, now_, &out_);
  BOOST_TEST(coordinator_.LongOpenJobs(now_) == std::vector<std::string>{"a"},
             boost::test_tools::per_element());
  Submit(Job("a", 1));
  BOOST_TEST(All<SendAssign>().size() == 1U);
  BOOST_TEST(All<SendRecall>().empty());
  now_ = now_ + Duration{1000};
  coordinator_.Tick(now_, &out_);
  BOOST_TEST(coordinator_.LongOpenJobs(now_).empty());
  Submit(Job("a", 1));
  BOOST_TEST(All<SendAssign>().size() == 2U);
}

// Shortage: guards against jobs of which some tasks run for nothing, since
// their tasks were spread over owners without room for all.
BOOST_AUTO_TEST_CASE(AsksOneOwnerForAllTasksOfAStep) {
  coordinator_.OwnerLoadReported({"a"}, "west", Load({{15000, 1000, 0}}));
  coordinator_.OwnerLoadReported({"b"}, "west",
                                 Load({{15000, 1000, 0}, {15000, 1000, 0}}));
  HostedJob job = Job("a", 2);
  job.admitted_by_owners_ = true;
  Submit(job);
  const auto assigns = All<SendAssign>();
  BOOST_REQUIRE(assigns.size() == 1U);
  BOOST_TEST(assigns[0].owner_.value_ == "b");
  BOOST_TEST(assigns[0].assign_.refusable_);
}

// Shortage: guards against instances that all ask the owner with the shortest
// wait of the same reports, which then refuses while others have time.
BOOST_AUTO_TEST_CASE(InstancesShareOutJobsAmongOwnersThatCanStartThemInTime) {
  std::map<std::string, size_t> asked;
  for (size_t i = 0; i < 60; ++i) {
    JobCoordinator instance({"instance-" + std::to_string(i)}, "west");
    LeasedWorker worker;
    worker.pool_ = "pool";
    worker.capacity_ = {32000, 131072, 0};
    instance.SetWorkers({{"pool", {std::make_shared<LeasedWorker>(worker)}}});
    instance.OwnerLoadReported({"soon"}, "west", Load({}, 350000));
    instance.OwnerLoadReported({"later"}, "west", Load({}, 240000));
    instance.OwnerLoadReported({"late"}, "west", Load({}, 70000));
    HostedJob job = Job("a", 1);
    job.admitted_by_owners_ = true;
    instance.On(SubmitHostedJob{{1}, job, {}}, now_, &out_);
  }
  for (const auto& assign : All<SendAssign>()) ++asked[assign.owner_.value_];
  BOOST_TEST(asked["soon"] > asked["later"]);
  BOOST_TEST(asked["later"] >= 15U);
  BOOST_TEST(asked["late"] == 0U);
}

// Guards against callers that are held until their deadline, and against a
// refusal while another owner could have taken the job.
BOOST_AUTO_TEST_CASE(AsksASecondOwnerThenRefusesAtOnce) {
  coordinator_.OwnerLoadReported({"c"}, "west", Load({}));
  for (const char* owner : {"a", "b"}) {
    coordinator_.OwnerLoadReported({owner}, "west",
                                   Load({{15000, 1000, 0}, {15000, 1000, 0}}));
  }
  HostedJob job = Job("a", 2);
  job.admitted_by_owners_ = true;
  Submit(job);
  for (size_t i = 0; i < 2; ++i) {
    const auto assigns = All<SendAssign>();
    BOOST_REQUIRE(assigns.size() == i + 1);
    BatchRefused refused{{}, {3500}};
    for (const AssignedTask& task : assigns[i].assign_.tasks_) {
      refused.tasks_.push_back(task.serial_);
    }
    coordinator_.On(assigns[i].owner_, refused, now_, &out_);
  }
  BOOST_TEST(All<SendAssign>().size() == 2U);
  BOOST_TEST((Answer() == HostedJobOutcome::kNotRun));
  BOOST_TEST(All<AnswerHostedJob>()[0].retry_after_.ms_ > 1000);
  BOOST_TEST(coordinator_.idle());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
