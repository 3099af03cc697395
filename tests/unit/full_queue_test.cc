#include <boost/test/unit_test.hpp>
#include <memory>
#include <utility>

#include "job_coordinator.h"
#include "unit/worker_scheduler_fixture.h"

namespace gentiandeal {
namespace {

constexpr int32_t kCpuMilli = 256000;
constexpr Resources kCore{1000, 64, 0};
constexpr uint32_t kWidth = 259;
constexpr int kJobs = 30;
constexpr size_t kTasks = kJobs * (kWidth + 1);

/// A coordinator and an owner in one process, whose commands are executed as an
/// instance does: until none is left.
struct FullQueueFixture : WorkerSchedulerFixture {
  JobCoordinator coordinator_{{"self"}, "west"};
  CoordinatorOutbox commands_;
  std::vector<AnswerHostedJob> answers_;
  std::vector<StartRun> starts_;
  std::vector<WorkerCallId> polls_;
  uint64_t last_request_ = 0;

  FullQueueFixture() {
    Acquire("w", kCpuMilli);
    coordinator_.SetWorkers(
        {{"pool",
          {std::make_shared<LeasedWorker>(MakeWorker("w", kCpuMilli))}}});
    Execute();
    Tick();
  }

  /// @returns the number of commands of one pass of the event loop.
  size_t Execute() {
    size_t executed = 0;
    while (!commands_.empty() || !out_.empty()) {
      for (const CoordinatorCommand& command : std::exchange(commands_, {})) {
        ++executed;
        std::visit([this](const auto& value) { this->Do(value); }, command);
      }
      for (const SchedulerCommand& command : std::exchange(out_, {})) {
        ++executed;
        std::visit([this](const auto& value) { this->Do(value); }, command);
      }
      BOOST_REQUIRE_MESSAGE(executed < 10 * kTasks, "endless commands");
    }
    return executed;
  }
  void Do(const SendAssign& send) {
    owner_.On(kLocalSession, send.assign_, now_, &out_);
  }
  void Do(const SendCancel& send) {
    owner_.On(kLocalSession, send.cancel_, now_, &out_);
  }
  void Do(const ReportTask& report) {
    coordinator_.On({"self"}, report.ended_, now_, &commands_);
  }
  void Do(const ReportRefused& report) {
    coordinator_.On({"self"}, report.refused_, now_, &commands_);
  }
  void Do(const AnswerHostedJob& answer) { answers_.push_back(answer); }
  void Do(const StartRun& start) { starts_.push_back(start); }
  void Do(const PollWorker& poll) { polls_.push_back(poll.call_); }
  template <typename Other>
  void Do(const Other& /*other*/) {}

  size_t Tick() {
    owner_.Tick(now_, &out_);
    coordinator_.OwnerLoadReported({"self"}, "west", owner_.load(now_));
    coordinator_.Tick(now_, &commands_);
    return Execute();
  }

  /// A first step of one task, then one of `kWidth`.
  void SubmitWide() {
    HostedJob job;
    job.id_ = "job" + std::to_string(++last_request_);
    job.queue_ = "queue";
    job.pool_ = "pool";
    job.steps_.resize(2);
    job.steps_[0] = {1, kCore, {200}, "", {}};
    job.steps_[1] = {kWidth, kCore, {200}, "", {0}};
    job.objective_ = {3000};
    job.useful_within_ = {8000};
    job.deadline_ = {8000};
    coordinator_.On(SubmitHostedJob{{last_request_}, job, {}}, now_,
                    &commands_);
    Execute();
  }

  /// Ends all runs that were started. @returns the commands that follow.
  size_t EndRuns() {
    std::vector<FinishedRun> finished;
    for (const StartRun& start : std::exchange(starts_, {})) {
      AnswerStart(start);
      finished.push_back(
          {++last_finished_, start.task_, start.run_, RunEnd::kDone});
    }
    Execute();
    now_ = now_ + Duration{200};
    for (const WorkerCallId poll : std::exchange(polls_, {})) {
      PollEnded ended = Listing(poll);
      ended.finished_ = finished;
      owner_.On(ended, now_, &out_);
    }
    return Execute();
  }
  uint64_t last_finished_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(full_queue, FullQueueFixture)

// Guards against an instance that answers nothing for seconds: tasks that its
// own full queue returns are assigned to it again within the same pass.
BOOST_AUTO_TEST_CASE(ABurstOfWideSecondStepsIsBoundedWork) {
  for (int i = 0; i < kJobs; ++i) SubmitWide();
  BOOST_REQUIRE(starts_.size() == size_t{kJobs});
  // Each task is assigned once, and started or returned once at most.
  BOOST_TEST(EndRuns() < 2 * kTasks);
  BOOST_TEST(coordinator_.stats().awaited_room_ > 0U);
  BOOST_TEST(answers_.empty());
  for (int i = 0; i < 20; ++i) {
    now_ = now_ + Duration{20};
    // Two jobs' tasks, all of them returned.
    BOOST_TEST(Tick() < size_t{5} * (kWidth + 1));
  }
}

// Guards against tasks that wait for room for ever.
BOOST_AUTO_TEST_CASE(TasksWithoutRoomRunOnceThereIsSome) {
  constexpr int kWide = 18;  // 4,662 tasks of second steps
  for (int i = 0; i < kWide; ++i) SubmitWide();
  EndRuns();
  BOOST_TEST(coordinator_.stats().awaited_room_ > 0U);
  for (int i = 0; i < 30; ++i) {
    Tick();
    EndRuns();
  }
  BOOST_TEST(answers_.size() == size_t{kWide});
  for (const AnswerHostedJob& answer : answers_) {
    BOOST_TEST((answer.outcome_ == HostedJobOutcome::kComplete));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
