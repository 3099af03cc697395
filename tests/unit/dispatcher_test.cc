#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "run_time_estimator.h"
#include "unit/dispatcher_fixture.h"

namespace gentiandeal {

BOOST_FIXTURE_TEST_SUITE(dispatcher, DispatcherFixture)

BOOST_AUTO_TEST_CASE(AnswersAJobOnceAllTasksAreAnswered) {
  ListWorkers(2);
  const RequestId request = Submit(Job(3));
  BOOST_TEST_REQUIRE(starts_.size() == 3U);
  const auto body = [](uint16_t index) { return std::to_string(index * 7); };
  for (const size_t i : {2, 0, 1}) {
    BOOST_TEST(!Answered(request));
    End(starts_[i], AttemptResult::kAnswered, body(starts_[i].task_index_));
  }
  BOOST_TEST_REQUIRE(Answered(request));
  const JobAnswer& answer = answers_.at(request);
  BOOST_TEST((answer.outcome_ == Outcome::kComplete));
  for (uint16_t i = 0; i < 3; ++i) {
    BOOST_TEST(answer.tasks_[i].body_ == body(i));
  }
  BOOST_TEST(dispatcher_.load().idle_);
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_CASE(FailsAJobAtItsFirstFailedTaskAndListsStartedTasks) {
  for (const AttemptResult verdict :
       {AttemptResult::kFailed, AttemptResult::kUncertain}) {
    DispatcherFixture fixture;
    fixture.ListWorkers(1, 2);
    const RequestId request = fixture.Submit(Job(4));
    BOOST_TEST_REQUIRE(fixture.starts_.size() == 2U);
    fixture.End(fixture.starts_[0], verdict);
    BOOST_TEST((fixture.OutcomeOf(request) == Outcome::kMayHaveRun));
    std::vector<uint16_t> started{fixture.starts_[0].task_index_,
                                  fixture.starts_[1].task_index_};
    std::sort(started.begin(), started.end());
    BOOST_TEST(fixture.answers_.at(request).started_ == started);
    BOOST_TEST(fixture.answers_.at(request).tasks_.empty());
    BOOST_TEST(fixture.cancelled_attempts_.size() == 1U);
    // The job's other tasks are not started, and a late answer is ignored.
    fixture.End(fixture.starts_[1], AttemptResult::kAnswered);
    fixture.Advance(500);
    BOOST_TEST(fixture.starts_.size() == 2U);
    BOOST_TEST(fixture.answers_sent_ == 1U);
    BOOST_TEST(fixture.dispatcher_.load().idle_);
    BOOST_TEST(fixture.dispatcher_.workers().free_slots() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(FailedTaskKeepsItsSlotInUseForTheExpectedTime) {
  ListWorkers(1, 1);
  Submit(Job(1, 100));
  End(starts_[0], AttemptResult::kFailed);
  const RequestId next = Submit(Job(1, 100));
  Advance(95);
  BOOST_TEST(starts_.size() == 1U);
  Advance(5);
  BOOST_TEST(starts_.size() == 2U);
  BOOST_TEST(!Answered(next));
}

BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoNewTask) {
  ListWorkers(1);
  Submit(Job(1));
  AttemptEnded end;
  end.attempt_ = starts_[0].attempt_;
  end.result_ = AttemptResult::kAnswered;
  end.worker_leaving_ = true;
  Send(end);
  ListWorkers(1);
  BOOST_TEST((ErrorOf(Submit(Job(1))) == Errc::kNoWorkers));
  BOOST_TEST(starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PassesThroughTheResponseOfAFailedTask) {
  ListWorkers(1);
  JobSpec job = Job(1);
  job.passthrough_ = true;
  const RequestId request = Submit(job);
  End(starts_[0], AttemptResult::kFailed, "why");
  BOOST_TEST((ErrorOf(request) == Errc::kWorkerFailed));
  BOOST_TEST_REQUIRE(answers_.at(request).tasks_.size() == 1U);
  BOOST_TEST(answers_.at(request).tasks_[0].body_ == "why");
}

BOOST_AUTO_TEST_CASE(RetriesARefusedTaskOnlyWithinTheRetryBudget) {
  for (const AttemptResult verdict :
       {AttemptResult::kRefused, AttemptResult::kNotSent}) {
    DispatcherFixture fixture;
    fixture.ListWorkers(4);
    // The retry budget starts empty, so the first refusal fails its job as not
    // run.
    const RequestId refused = fixture.Submit(Job(1));
    fixture.End(fixture.starts_[0], verdict);
    BOOST_TEST((fixture.ErrorOf(refused) == Errc::kRetryBudgetSpent));
    BOOST_TEST((fixture.OutcomeOf(refused) == Outcome::kNotRun));
    for (int i = 0; i < 20; ++i) {
      fixture.Submit(Job(1));
      fixture.End(fixture.starts_.back(), AttemptResult::kAnswered);
    }
    fixture.Advance(100);
    const RequestId retried = fixture.Submit(Job(1));
    const StartTask first = fixture.starts_.back();
    fixture.End(first, verdict);
    const StartTask second = fixture.starts_.back();
    BOOST_TEST((second.attempt_ != first.attempt_));
    BOOST_TEST(second.task_id_ == first.task_id_);
    BOOST_TEST((second.worker_ != first.worker_));
    fixture.End(second, AttemptResult::kAnswered);
    BOOST_TEST((fixture.OutcomeOf(retried) == Outcome::kComplete));
    BOOST_TEST(fixture.dispatcher_.stats().task_retries_ == 1U);
  }
}

BOOST_AUTO_TEST_CASE(SendsFewerThan110StartsPer100TasksWhenAllWorkersRefuse) {
  ListWorkers(12);
  uint64_t tasks = 0;
  size_t ended = 0;
  for (int round = 0; round < 2000; ++round) {
    Submit(Job(1, 100, 400));
    ++tasks;
    while (ended < starts_.size()) {
      End(starts_[ended++], AttemptResult::kRefused);
    }
    Advance(20);
  }
  Advance(1000);
  while (ended < starts_.size()) End(starts_[ended++], AttemptResult::kRefused);
  BOOST_TEST(dispatcher_.stats().task_starts_ * 10 < tasks * 11);
  BOOST_TEST(answers_.size() == tasks);
  for (const auto& [request, answer] : answers_) {
    BOOST_TEST((answer.outcome_ == Outcome::kNotRun));
  }
}

BOOST_AUTO_TEST_CASE(RefusesInvalidAndUnrunnableJobsAtOnce) {
  ListWorkers(1);
  JobSpec large = Job(1);
  large.tasks_[0].declared_slots_ = 9;
  BOOST_TEST((ErrorOf(Submit(large)) == Errc::kNeverRunnable));
  BOOST_TEST((ErrorOf(Submit(Job(config::kMaxTasksPerJob + 1))) ==
              Errc::kNeverRunnable));
  BOOST_TEST((ErrorOf(Submit(Job(0))) == Errc::kBadRequest));
  JobSpec unknown_team_job = Job(1);
  unknown_team_job.team_ = "nobody";
  BOOST_TEST((ErrorOf(Submit(unknown_team_job)) == Errc::kUnknownTeam));
  BOOST_TEST((ErrorOf(Submit(Job(1, 300, 200))) == Errc::kDeadlineTooShort));
  for (const auto& [request, answer] : answers_) {
    BOOST_TEST((answer.outcome_ == Outcome::kNotRun));
  }
  BOOST_TEST(starts_.empty());
  BOOST_TEST(dispatcher_.load().idle_);
}

BOOST_AUTO_TEST_CASE(RefusesAJobThatTheBacklogDelaysPastItsDeadline) {
  ListWorkers(1);
  // 8 slots and tasks of 100 ms: the 40 that wait take 500 ms.
  for (int i = 0; i < 6; ++i) Submit(Job(8));
  BOOST_TEST((ErrorOf(Submit(Job(8, 100, 400))) == Errc::kDeadlineTooShort));
  BOOST_TEST(answers_.begin()->second.retry_after_.ms_ > 0);
  BOOST_TEST(!Answered(Submit(Job(8, 100, 5000))));
}

BOOST_AUTO_TEST_CASE(RefusesJobsBeyondTheQueueLimits) {
  Settings settings;
  settings.teams_.resize(2);
  settings.teams_[0].name_ = "/";
  settings.teams_[1].name_ = "care";
  settings.teams_[1].max_queued_tasks_ = 10;
  settings.service_.max_queued_tasks_ = 30;
  SetSettings(settings);
  ListWorkers(1, 1);
  JobSpec care = Job(11);
  care.team_ = "care";
  BOOST_TEST((ErrorOf(Submit(care)) == Errc::kQueueFull));
  BOOST_TEST(!Answered(Submit(Job(25))));
  BOOST_TEST((ErrorOf(Submit(Job(25))) == Errc::kQueueFull));
}

BOOST_AUTO_TEST_CASE(RefusesJobsAndAnswersBeyondTheBufferLimit) {
  Settings settings;
  settings.teams_.emplace_back().name_ = "/";
  settings.teams_[0].max_buffered_bytes_ = 100000;
  SetSettings(settings);
  ListWorkers(1);
  JobSpec job = Job(1);
  job.tasks_[0].body_.assign(40000, 'x');
  const RequestId first = Submit(job);
  BOOST_TEST((ErrorOf(Submit(job)) == Errc::kQueueFull));
  // An answer that does not fit into the buffer limit fails its job.
  End(starts_[0], AttemptResult::kAnswered, std::string(70000, 'y'));
  BOOST_TEST((ErrorOf(first) == Errc::kAnswerTooLarge));
  BOOST_TEST((OutcomeOf(first) == Outcome::kMayHaveRun));
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_CASE(FailsAWaitingJobAfterItsLatestStart) {
  ListWorkers(1, 1);
  Submit(Job(1, 100, 60000));
  const RequestId waiting = Submit(Job(1, 100, 1000));
  // The latest start leaves time for the upper estimate of the run time, but at
  // most half of the time to the deadline.
  RunTimeEstimator fresh;
  const Duration high = fresh.EstimateP95(fresh.FindOrAdd(""), Duration{100});
  const int64_t latest = 1000 - std::min<int64_t>(high.ms_, 500);
  Advance(latest - 10);
  BOOST_TEST(!Answered(waiting));
  Advance(20);
  BOOST_TEST((OutcomeOf(waiting) == Outcome::kNotRun));
  BOOST_TEST((ErrorOf(waiting) == Errc::kDeadlineTooShort));
}

BOOST_AUTO_TEST_CASE(DeadlineEndsAStartedJobAsMayHaveRun) {
  ListWorkers(1);
  const RequestId request = Submit(Job(1, 100, 1000));
  BOOST_TEST(starts_[0].timeout_.ms_ == 1000);
  Advance(995);
  BOOST_TEST(!Answered(request));
  Advance(5);
  BOOST_TEST((OutcomeOf(request) == Outcome::kMayHaveRun));
  BOOST_TEST((ErrorOf(request) == Errc::kDeadlinePassed));
  BOOST_TEST(cancelled_attempts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusesJobsWithoutActiveWorkers) {
  BOOST_TEST((ErrorOf(Submit(Job(1))) == Errc::kNoWorkers));
  ListWorkers(2, 8, 2);
  BOOST_TEST((ErrorOf(Submit(Job(1))) == Errc::kNoWorkers));
  ListWorkers(2);
  Submit(Job(1));
  BOOST_TEST(starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsOnlyJobsWithoutSubmissionId) {
  ListWorkers(1, 1);
  Submit(Job(1));
  const RequestId anonymous = Submit(Job(1));
  const SubmissionId id{dispatcher_.IssueClient(now_), 1, 0};
  const RequestId identified = Submit(Job(1), id);
  Send(CallerDisconnected{anonymous});
  Send(CallerDisconnected{identified});
  BOOST_TEST(dispatcher_.load().queued_tasks_ == 1U);
  End(starts_[0], AttemptResult::kAnswered);
  BOOST_TEST_REQUIRE(starts_.size() == 2U);
  End(starts_[1], AttemptResult::kAnswered, "kept");
  const RequestId retry = Submit(Job(1), id);
  BOOST_TEST(answers_.at(retry).tasks_[0].body_ == "kept");
  BOOST_TEST(!Answered(anonymous));
}

BOOST_AUTO_TEST_CASE(StartsNoWaitingJobAfterAPause) {
  ListWorkers(1, 1);
  const RequestId running = Submit(Job(1, 100, 10000));
  const RequestId waiting = Submit(Job(1, 100, 10000));
  const RequestId expired = Submit(Job(1, 100, 1500));
  now_ = now_ + Duration{2000};
  // The first message after the pause is the answer that frees the slot.
  End(starts_[0], AttemptResult::kAnswered);
  BOOST_TEST((OutcomeOf(running) == Outcome::kComplete));
  BOOST_TEST((OutcomeOf(waiting) == Outcome::kNotRun));
  BOOST_TEST((ErrorOf(waiting) == Errc::kResumedAfterPause));
  BOOST_TEST((OutcomeOf(expired) == Outcome::kNotRun));
  BOOST_TEST(starts_.size() == 1U);
  BOOST_TEST(dispatcher_.stats().pauses_ == 1U);
}

BOOST_AUTO_TEST_CASE(AcceptsJobsWhileDrainingAndReportsStartedJobsAtTheLimit) {
  ListWorkers(1, 1);
  Send(DrainRequested{});
  const RequestId running = Submit(Job(1));
  const RequestId waiting = Submit(Job(1));
  BOOST_TEST(!dispatcher_.load().idle_);
  AbortAll();
  BOOST_TEST((OutcomeOf(running) == Outcome::kMayHaveRun));
  BOOST_TEST((OutcomeOf(waiting) == Outcome::kNotRun));
  BOOST_TEST(dispatcher_.load().idle_);
  BOOST_TEST(dispatcher_.stats().cut_at_exit_ == 2U);
  BOOST_TEST((ErrorOf(Submit(Job(1))) == Errc::kDraining));
}

BOOST_AUTO_TEST_CASE(QuotaDelaysTasksAndRateLimitRefusesJobs) {
  Settings settings;
  settings.teams_.resize(3);
  settings.teams_[0].name_ = "/";
  settings.teams_[1].name_ = "care";
  settings.teams_[1].task_quota_ = 2;
  settings.teams_[2].name_ = "pool";
  settings.teams_[2].starts_per_second_ = 4;
  SetSettings(settings);
  ListWorkers(1);
  JobSpec care = Job(4);
  care.team_ = "care";
  const RequestId held = Submit(care);
  BOOST_TEST(starts_.size() == 2U);
  // Slots that a team may not use because of its quota go to other teams.
  Submit(Job(3));
  BOOST_TEST(starts_.size() == 5U);
  for (int i = 0; i < 2; ++i) End(starts_[i], AttemptResult::kAnswered);
  BOOST_TEST_REQUIRE(starts_.size() == 7U);
  for (int i = 5; i < 7; ++i) End(starts_[i], AttemptResult::kAnswered);
  BOOST_TEST((OutcomeOf(held) == Outcome::kComplete));

  JobSpec pool = Job(4);
  pool.team_ = "pool";
  BOOST_TEST(!Answered(Submit(pool)));
  const RequestId limited = Submit(pool);
  BOOST_TEST((ErrorOf(limited) == Errc::kRateLimited));
  BOOST_TEST(answers_.at(limited).retry_after_.ms_ > 0);
}

BOOST_AUTO_TEST_CASE(TeamsKeepTheirJobsWhenTheirIndicesChange) {
  Settings settings;
  settings.teams_.resize(2);
  settings.teams_[0].name_ = "/";
  settings.teams_[1].name_ = "pool";
  settings.teams_[1].task_quota_ = 1;
  SetSettings(settings);
  ListWorkers(1);
  JobSpec pool = Job(2);
  pool.team_ = "pool";
  const RequestId request = Submit(pool);
  settings.teams_.insert(settings.teams_.begin() + 1, TeamSettings{});
  settings.teams_[1].name_ = "care";
  SetSettings(settings);
  JobSpec care = Job(2);
  care.team_ = "care";
  Submit(care);
  BOOST_TEST(starts_.size() == 3U);
  settings.teams_.pop_back();
  SetSettings(settings);
  BOOST_TEST((ErrorOf(Submit(pool)) == Errc::kUnknownTeam));
  End(starts_[0], AttemptResult::kAnswered);
  End(starts_.back(), AttemptResult::kAnswered);
  BOOST_TEST((OutcomeOf(request) == Outcome::kComplete));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
