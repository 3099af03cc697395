#include "submissions.h"

#include <boost/test/unit_test.hpp>

#include "unit/dispatcher_fixture.h"

namespace gentiandeal {

struct SubmissionsFixture : DispatcherFixture {
  ClientId client_ = dispatcher_.IssueClient(now_);

  SubmissionsFixture() { ListWorkers(2); }
  SubmissionId MakeId(uint64_t sequence, uint64_t acknowledged = 0) const {
    return {client_, sequence, acknowledged};
  }
  RequestId RunToEnd(const SubmissionId& id, const std::string& body) {
    const RequestId request = Submit(Job(1), id);
    End(starts_.back(), AttemptResult::kAnswered, body);
    return request;
  }
};

BOOST_FIXTURE_TEST_SUITE(submissions, SubmissionsFixture)

BOOST_AUTO_TEST_CASE(RetryOfARunningSubmissionJoinsIt) {
  const RequestId first = Submit(Job(1), MakeId(1));
  JobSpec retried = Job(1);
  retried.deadline_ = {4000};  // A retry may have less time left.
  const RequestId second = Submit(retried, MakeId(1));
  BOOST_TEST(starts_.size() == 1U);
  End(starts_[0], AttemptResult::kAnswered, "one");
  BOOST_TEST(answers_.at(first).tasks_[0].body_ == "one");
  BOOST_TEST(answers_.at(second).tasks_[0].body_ == "one");
  BOOST_TEST(dispatcher_.stats().duplicates_joined_ == 1U);
}

BOOST_AUTO_TEST_CASE(AnswerIsKeptUntilAcknowledged) {
  RunToEnd(MakeId(1), "one");
  const RequestId kept = Submit(Job(1), MakeId(1));
  BOOST_TEST(answers_.at(kept).tasks_[0].body_ == "one");
  BOOST_TEST(dispatcher_.load().buffered_bytes_ > 0U);
  RunToEnd(MakeId(2, 1), "two");
  const RequestId forgotten = Submit(Job(1), MakeId(1));
  BOOST_TEST((OutcomeOf(forgotten) == Outcome::kMayHaveRun));
  BOOST_TEST((ErrorOf(forgotten) == Errc::kSubmissionForgotten));
  BOOST_TEST(!answers_.at(forgotten).started_known_);
  BOOST_TEST(starts_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RefusedSubmissionDoesNotRunWhenSentAgain) {
  const RequestId refused = Submit(Job(1, 300, 200), MakeId(1));
  BOOST_TEST((OutcomeOf(refused) == Outcome::kNotRun));
  const RequestId again = Submit(Job(1, 300, 5000), MakeId(1));
  BOOST_TEST((ErrorOf(again) == Errc::kSubmissionMismatch ||
              ErrorOf(again) == Errc::kDeadlineTooShort));
  BOOST_TEST(starts_.empty());
}

BOOST_AUTO_TEST_CASE(AnotherJobWithTheSameSequenceNumberIsRefused) {
  const RequestId first = Submit(Job(1), MakeId(1));
  const RequestId other = Submit(Job(2), MakeId(1));
  BOOST_TEST((ErrorOf(other) == Errc::kSubmissionMismatch));
  End(starts_[0], AttemptResult::kAnswered);
  BOOST_TEST((OutcomeOf(first) == Outcome::kComplete));
}

BOOST_AUTO_TEST_CASE(WindowBoundsUnacknowledgedAnswers) {
  for (uint64_t i = 1; i <= config::kAnswerWindow; ++i) {
    RunToEnd(MakeId(i), "x");
  }
  const uint64_t beyond = config::kAnswerWindow + 1;
  const RequestId refused = Submit(Job(1), MakeId(beyond));
  BOOST_TEST((ErrorOf(refused) == Errc::kWindowFull));
  BOOST_TEST((OutcomeOf(refused) == Outcome::kNotRun));
  RunToEnd(MakeId(beyond, 1), "next");
  BOOST_TEST(starts_.size() == beyond);
}

BOOST_AUTO_TEST_CASE(ForgedClientIdIsRefused) {
  RunToEnd(MakeId(1), "secret");
  SubmissionId forged = MakeId(1);
  forged.client_.mac_[3] ^= 1;
  SubmissionId extended = MakeId(1);
  extended.client_.expires_ms_ += 1;
  SubmissionId neighbour = MakeId(1);
  neighbour.client_.serial_ += 1;
  for (const SubmissionId& id : {forged, extended, neighbour}) {
    const RequestId request = Submit(Job(1), id);
    BOOST_TEST((ErrorOf(request) == Errc::kBadClientId));
    BOOST_TEST(answers_.at(request).tasks_.empty());
    BOOST_TEST((ErrorOf(Cancel(id)) == Errc::kBadClientId));
  }
  BOOST_TEST(starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ExpiredClientIdIsAnsweredAsMayHaveRun) {
  RunToEnd(MakeId(1), "x");
  now_ = now_ + config::kClientIdLifetime;
  for (const uint64_t sequence : {1, 2}) {
    const RequestId request = Submit(Job(1), MakeId(sequence));
    BOOST_TEST((OutcomeOf(request) == Outcome::kMayHaveRun));
    BOOST_TEST((ErrorOf(request) == Errc::kSubmissionForgotten));
  }
  Advance(10);
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_CASE(SubmissionCanBeCancelledBeforeDuringAndAfterItsRun) {
  // A cancellation that arrives before its submission prevents the run.
  BOOST_TEST((ErrorOf(Cancel(MakeId(1))) == Errc::kCancelled));
  BOOST_TEST((OutcomeOf(Submit(Job(1), MakeId(1))) == Outcome::kNotRun));
  BOOST_TEST(starts_.empty());

  const RequestId running = Submit(Job(20), MakeId(2));
  BOOST_TEST(starts_.size() == 16U);
  const RequestId cancel = Cancel(MakeId(2));
  for (const RequestId request : {running, cancel}) {
    BOOST_TEST((OutcomeOf(request) == Outcome::kMayHaveRun));
    BOOST_TEST(answers_.at(request).started_.size() == 16U);
  }
  Advance(500);
  BOOST_TEST(starts_.size() == 16U);

  RunToEnd(MakeId(3), "done");
  BOOST_TEST((OutcomeOf(Cancel(MakeId(3))) == Outcome::kComplete));
}

BOOST_AUTO_TEST_CASE(OldestKeptAnswerIsDroppedForNewWork) {
  Settings settings;
  settings.teams_.emplace_back().name_ = "/";
  settings.teams_[0].max_buffered_bytes_ = 100000;
  SetSettings(settings);
  RunToEnd(MakeId(1), std::string(50000, 'a'));
  RunToEnd(MakeId(2), std::string(50000, 'b'));
  const RequestId dropped = Submit(Job(1), MakeId(1));
  BOOST_TEST((ErrorOf(dropped) == Errc::kSubmissionForgotten));
  const RequestId kept = Submit(Job(1), MakeId(2));
  BOOST_TEST(answers_.at(kept).tasks_[0].body_[0] == 'b');
  BOOST_TEST(dispatcher_.stats().answers_expired_ == 1U);
}

BOOST_AUTO_TEST_CASE(EvictedClientsAreForgottenNotNew) {
  BufferAccount account;
  Submissions submissions(&account);
  const auto open = [&](uint64_t serial) {
    ClientId client;
    client.serial_ = serial;
    client.expires_ms_ = 100000;
    const SubmissionId id{client, 1, 0};
    const SubmissionState state = submissions.Lookup(id, {}, now_).state_;
    if (state == SubmissionState::kNew) submissions.Begin(id, {}, {});
    if (state == SubmissionState::kNew) {
      submissions.Finish(id, {0}, std::make_shared<JobAnswer>());
    }
    return state;
  };
  // Serial 2 is first used after clients with higher serials have caused
  // evictions.
  for (uint64_t serial = 1; serial <= config::kMaxActiveClients + 3; ++serial) {
    if (serial != 2) open(serial);
  }
  BOOST_TEST(submissions.clients() == config::kMaxActiveClients);
  BOOST_TEST((open(1) == SubmissionState::kForgotten));
  BOOST_TEST((open(2) == SubmissionState::kForgotten));
  BOOST_TEST((open(config::kMaxActiveClients) == SubmissionState::kFinished));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
