#include <boost/test/unit_test.hpp>

#include "unit/worker_scheduler_fixture.h"

namespace gentiandeal {
namespace {

constexpr Resources kWholeWorker{32000, 64, 0};

/// A worker that restarts under its identifier.
struct WorkerIncarnationFixture : WorkerSchedulerFixture {
  AssignTasks AssignLabelled(const std::string& label,
                             Resources need = kTaskResources) {
    AssignTasks assign;
    assign.name_ = "00000000000000c" + std::to_string(++last_serial_) + ".0.0";
    assign.pool_ = "pool";
    assign.label_ = label;
    assign.need_ = need;
    assign.expected_run_time_ = {200};
    assign.start_within_ = {5000};
    assign.give_up_after_ = {10000};
    assign.tasks_ = {{{last_serial_}, 0}};
    owner_.On(kLocalSession, assign, now_, &out_);
    return assign;
  }

  /// Lets the worker list no runs in a new incarnation, until a worker whose
  /// entry is known would be in use.
  void Restart(int64_t started_ms) {
    incarnation_ms_ = started_ms;
    Advance(20);
    AnswerPoll();
    Settle();
    Settle();
  }

  LeasedWorker Entry(int64_t started_ms, const std::string& kind,
                     int32_t cpu = 32000) const {
    LeasedWorker entry = MakeWorker("w", cpu);
    entry.started_ms_ = started_ms;
    entry.labels_ = {kind, "r1"};
    return entry;
  }
};

BOOST_FIXTURE_TEST_SUITE(worker_incarnation, WorkerIncarnationFixture)

// Guards against starts by the labels of an earlier incarnation, on a worker
// that is back under its identifier as another kind.
BOOST_AUTO_TEST_CASE(StartsNothingByTheLabelsOfAnEarlierIncarnation) {
  Acquire("w");
  Restart(8);
  AssignLabelled("a");
  AssignLabelled("b");
  Advance(20);
  BOOST_TEST(All<StartRun>().empty());
  owner_.Update(Entry(8, "b"), now_, &out_);
  BOOST_REQUIRE(All<StartRun>().size() == 1U);
  BOOST_TEST(Last<StartRun>().worker_->labels_.front() == "b");
  BOOST_TEST(owner_.waiting() == 1U);
}

// Guards against starts beyond the resources of a worker that is back smaller.
BOOST_AUTO_TEST_CASE(StartsNothingByTheCapacityOfAnEarlierIncarnation) {
  Acquire("w");
  Restart(8);
  AssignLabelled("", kWholeWorker);
  Advance(20);
  BOOST_TEST(All<StartRun>().empty());
  BOOST_TEST(owner_.load(now_).pools_.empty());
  owner_.Update(Entry(8, "a", 16000), now_, &out_);
  BOOST_TEST(All<StartRun>().empty());
  AssignLabelled("");
  BOOST_TEST(All<StartRun>().size() == 1U);
}

// Guards against a worker that is taken for leaving, as its earlier incarnation
// was, and against the use of one for which only that one's entry is read.
BOOST_AUTO_TEST_CASE(AnEntryOfAnEarlierIncarnationDescribesNoOther) {
  LeasedWorker leaving = Entry(7, "a");
  Acquire("w");
  leaving.leaving_ = true;
  owner_.Update(leaving, now_, &out_);
  Restart(8);
  BOOST_TEST(owner_.undescribed_workers() == 1U);
  AssignLabelled("a");
  owner_.Update(Entry(7, "a"), now_, &out_);
  Settle();
  BOOST_TEST(All<StartRun>().empty());
  owner_.Update(Entry(8, "a"), now_, &out_);
  BOOST_TEST(All<StartRun>().size() == 1U);
  BOOST_TEST(owner_.undescribed_workers() == 0U);
}

// Guards against a worker that is never used again: its entry was read while
// another incarnation was taken for the present one, and isn't told again.
BOOST_AUTO_TEST_CASE(AnEntryThatWasReadBeforeItsIncarnationAnswersCounts) {
  Acquire("w");
  Restart(9);
  owner_.Update(Entry(8, "a"), now_, &out_);
  owner_.Update(Entry(9, "b"), now_, &out_);
  AssignLabelled("b");
  Restart(9);
  Settle();
  BOOST_REQUIRE(All<StartRun>().size() == 1U);
  BOOST_TEST(Last<StartRun>().worker_->labels_.front() == "b");
}

// Guards against a healthy worker that stays ejected for the failures of its
// earlier incarnation.
BOOST_AUTO_TEST_CASE(AnEjectionEndsWithItsIncarnation) {
  Acquire("w");
  Assign(2);
  for (const StartRun& start : All<StartRun>()) {
    AnswerStart(start, StartResult::kUnavailable);
  }
  const size_t before = All<StartRun>().size();
  AssignLabelled("");
  Advance(20);
  BOOST_TEST(All<StartRun>().size() == before);
  owner_.Update(Entry(8, "a"), now_, &out_);
  Restart(8);
  BOOST_TEST(All<StartRun>().size() > before);
}

// Guards against a worker that counts as slow for runs that it carries out from
// its start on, but that were sent to its earlier incarnation.
BOOST_AUTO_TEST_CASE(RunsSentToAnEarlierIncarnationTellNoSpeed) {
  Acquire("w");
  Assign(5, {5000, 64, 0}, 500, 20000);
  std::vector<RunningRun> running;
  for (const StartRun& start : All<StartRun>()) {
    AnswerStart(start);
    running.push_back({start.task_, start.run_, 1});
  }
  BOOST_REQUIRE(running.size() == 5U);
  owner_.Update(Entry(8, "a"), now_, &out_);
  incarnation_ms_ = 8;
  now_ = now_ + Duration{2000};
  AnswerPoll(running);
  BOOST_TEST(owner_.stats().workers_slowed_ == 0U);
}

// Guards against "not run" for a task that an earlier incarnation had started:
// its answer was lost, and the present one can't know of it.
BOOST_AUTO_TEST_CASE(AStartBeforeARestartMayHaveRun) {
  Acquire("w");
  Assign(1);
  incarnation_ms_ = 8;
  for (int i = 0; i < 5; ++i) {
    Advance(100);
    AnswerPoll();
    for (const StopRun& stop : All<StopRun>()) AnswerStop(stop);
  }
  BOOST_REQUIRE(owner_.waiting() == 1U);
  BOOST_TEST((Last<RunOver>().reason_ == RunOverReason::kNeverStarted));
  owner_.Drain(&out_);
  BOOST_TEST(Last<ReportTask>().ended_.started_);
}

// What operators see of a worker of unknown kind.
BOOST_AUTO_TEST_CASE(TellsWhetherARestartedWorkerIsDescribed) {
  Acquire("w");
  Restart(8);
  BOOST_TEST(!Last<WorkerRestarted>().described_);
  now_ = now_ + Duration{300};
  owner_.Update(Entry(8, "a"), now_, &out_);
  BOOST_REQUIRE(All<WorkerDescribed>().size() == 1U);
  BOOST_TEST(Last<WorkerDescribed>().started_ms_ == 8);
  BOOST_TEST(Last<WorkerDescribed>().after_.ms_ >= 300);
  owner_.Update(Entry(9, "a"), now_, &out_);
  BOOST_TEST(Last<WorkerRestarted>().described_);
  BOOST_TEST(All<WorkerDescribed>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
