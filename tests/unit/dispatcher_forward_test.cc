#include <boost/test/unit_test.hpp>

#include "unit/dispatcher_fixture.h"

namespace gentiandeal {

struct ForwardFixture : DispatcherFixture {
  const InstanceId local_peer_{"dc1", {"127.0.0.1", 7002}, {22}};
  const InstanceId remote_peer_{"dc2", {"127.0.0.1", 7003}, {33}};
  const InstanceId second_remote_peer_{"dc2", {"127.0.0.1", 7004}, {44}};

  ForwardFixture() { SetPeers(16, 8); }
  void SetPeers(uint32_t remote_slots, uint32_t second_remote_slots) {
    Send(PeersChanged{{{local_peer_, false, 8},
                       {remote_peer_, false, remote_slots},
                       {second_remote_peer_, false, second_remote_slots}},
                      4});
  }
  static SubmissionId OwnedBy(const InstanceId& owner) {
    SubmissionId id;
    id.client_.owner_ = owner.incarnation_;
    id.client_.expires_ms_ = 1;
    id.sequence_ = 1;
    return id;
  }
  void EndForward(const ForwardSubmission& forward, bool handed_over,
                  JobAnswer answer = {}) {
    Send(ForwardEnded{forward.forward_, handed_over, std::move(answer)});
  }
  static JobAnswer Complete(size_t tasks) {
    JobAnswer answer;
    answer.outcome_ = Outcome::kComplete;
    answer.tasks_.resize(tasks);
    return answer;
  }
  void CheckOutcomeUnknown(RequestId request, Errc error) const {
    BOOST_TEST_REQUIRE(Answered(request));
    BOOST_TEST((OutcomeOf(request) == Outcome::kMayHaveRun));
    BOOST_TEST((ErrorOf(request) == error));
    BOOST_TEST(!answers_.at(request).started_known_);
  }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_forward, ForwardFixture)

BOOST_AUTO_TEST_CASE(ForwardsASubmissionToItsOwner) {
  ListWorkers(1);
  const SubmissionId id = OwnedBy(local_peer_);
  const RequestId request = Submit(Job(2), id);
  BOOST_TEST(starts_.empty());
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST((forwards_[0].peer_ == local_peer_));
  BOOST_TEST((forwards_[0].submission_->client_ == id.client_));
  BOOST_TEST(!forwards_[0].remote_execution_);
  EndForward(forwards_[0], true, Complete(2));
  BOOST_TEST((OutcomeOf(request) == Outcome::kComplete));
  BOOST_TEST(dispatcher_.load().idle_);
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_CASE(UnreachableOwnerIsAnsweredAsMayHaveRun) {
  ListWorkers(1);
  const InstanceId lost_owner{"dc1", {"127.0.0.1", 7009}, {99}};
  CheckOutcomeUnknown(Submit(Job(1), OwnedBy(lost_owner)),
                      Errc::kOwnerUnreachable);
  CheckOutcomeUnknown(Cancel(OwnedBy(lost_owner)), Errc::kOwnerUnreachable);
  const RequestId request = Submit(Job(1), OwnedBy(local_peer_));
  EndForward(forwards_[0], false);
  CheckOutcomeUnknown(request, Errc::kOwnerUnreachable);
  BOOST_TEST(starts_.empty());
}

BOOST_AUTO_TEST_CASE(DoesNotForwardWhatAPeerForwarded) {
  ListWorkers(1);
  CheckOutcomeUnknown(Submit(Job(1), OwnedBy(local_peer_), true),
                      Errc::kOwnerUnreachable);
  CheckOutcomeUnknown(Cancel(OwnedBy(local_peer_), true),
                      Errc::kOwnerUnreachable);
  ListWorkers(0);
  const RequestId remote_job = Submit(Job(1), {}, true, true);
  BOOST_TEST((ErrorOf(remote_job) == Errc::kNoWorkers));
  BOOST_TEST(forwards_.empty());
}

BOOST_AUTO_TEST_CASE(UnansweredForwardExpiresJustAfterItsDeadline) {
  const RequestId request = Submit(Job(1, 100, 1000), OwnedBy(local_peer_));
  Advance(1000);
  BOOST_TEST(!Answered(request));
  Advance(config::kForwardGrace.ms_);
  CheckOutcomeUnknown(request, Errc::kDeadlinePassed);
  BOOST_TEST(cancelled_forwards_.size() == 1U);
  EndForward(forwards_[0], true, Complete(1));
  BOOST_TEST(answers_sent_ == 1U);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsItsForward) {
  const RequestId request = Submit(Job(1), OwnedBy(local_peer_));
  Send(CallerDisconnected{request});
  BOOST_TEST(cancelled_forwards_.size() == 1U);
  BOOST_TEST(dispatcher_.load().idle_);
}

BOOST_AUTO_TEST_CASE(ForwardsACancellationToTheOwner) {
  const RequestId request = Cancel(OwnedBy(local_peer_));
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST(forwards_[0].cancel_);
  JobAnswer answer;
  answer.error_ = Errc::kCancelled;
  EndForward(forwards_[0], true, answer);
  BOOST_TEST((ErrorOf(request) == Errc::kCancelled));
}

BOOST_AUTO_TEST_CASE(RunsAJobRemotelyWithoutWorkersAndKeepsItsAnswer) {
  const SubmissionId id{dispatcher_.IssueClient(now_), 1, 0};
  const RequestId request = Submit(Job(2), id);
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST((forwards_[0].peer_ == remote_peer_));
  BOOST_TEST(forwards_[0].remote_execution_);
  BOOST_TEST(!forwards_[0].submission_.has_value());
  const RequestId joined = Submit(Job(2), id);
  EndForward(forwards_[0], true, Complete(2));
  BOOST_TEST((OutcomeOf(request) == Outcome::kComplete));
  BOOST_TEST((OutcomeOf(joined) == Outcome::kComplete));
  const RequestId retry = Submit(Job(2), id);
  BOOST_TEST((OutcomeOf(retry) == Outcome::kComplete));
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LinkLostAfterAForwardWasSentMayHaveRun) {
  const RequestId request = Submit(Job(2));
  JobAnswer lost;
  lost.outcome_ = Outcome::kMayHaveRun;
  lost.error_ = Errc::kPeerLinkLost;
  lost.started_known_ = false;
  EndForward(forwards_[0], true, lost);
  CheckOutcomeUnknown(request, Errc::kPeerLinkLost);
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IncompleteRemoteAnswerMayHaveRun) {
  const RequestId request = Submit(Job(2));
  EndForward(forwards_[0], true, Complete(1));
  CheckOutcomeUnknown(request, Errc::kPeerLinkLost);
}

BOOST_AUTO_TEST_CASE(RetriesAnUnsentForwardElsewhereOrHereOrRefusesTheJob) {
  // Earns credit for a second forward.
  for (int i = 0; i < 10; ++i) Submit(Job(0));
  const RequestId request = Submit(Job(2));
  EndForward(forwards_[0], false);
  BOOST_TEST_REQUIRE(forwards_.size() == 2U);
  BOOST_TEST((forwards_[1].peer_ == second_remote_peer_));
  EndForward(forwards_[1], false);
  BOOST_TEST((ErrorOf(request) == Errc::kNoWorkers));
  BOOST_TEST((OutcomeOf(request) == Outcome::kNotRun));

  for (int i = 0; i < 10; ++i) Submit(Job(0));
  SetPeers(16, 0);
  const RequestId local = Submit(Job(2));
  ListWorkers(1);
  EndForward(forwards_[2], false);
  BOOST_TEST(!Answered(local));
  BOOST_TEST(starts_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(LimitsTheShareOfForwardedJobs) {
  for (int i = 0; i < 1000; ++i) {
    SetPeers(1000, 1000);
    Submit(Job(1));
  }
  BOOST_TEST(forwards_.size() >= 195U);
  BOOST_TEST(forwards_.size() <= 201U);
}

BOOST_AUTO_TEST_CASE(ForwardsOnlyJobsThatAPeerHasSlotsFor) {
  ListWorkers(1, 1);
  Submit(Job(1, 400, 60000));
  SetPeers(2, 0);
  BOOST_TEST((ErrorOf(Submit(Job(3, 400, 1000))) == Errc::kDeadlineTooShort));
  BOOST_TEST(forwards_.empty());
  SetPeers(3, 0);
  BOOST_TEST(!Answered(Submit(Job(3, 400, 1000))));
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ForwardsOpenAtTheDrainLimitMayHaveRun) {
  const RequestId owned = Submit(Job(1), OwnedBy(local_peer_));
  const RequestId remote = Submit(Job(1));
  AbortAll();
  CheckOutcomeUnknown(owned, Errc::kDraining);
  CheckOutcomeUnknown(remote, Errc::kDraining);
  BOOST_TEST(cancelled_forwards_.size() == 2U);
  BOOST_TEST(dispatcher_.load().idle_);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
