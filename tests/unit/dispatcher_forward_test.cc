#include <boost/test/unit_test.hpp>

#include "unit/dispatcher_fixture.h"

namespace gentiandeal {

struct ForwardFixture : DispatcherFixture {
  const InstanceId near_{"dc1", {"127.0.0.1", 7002}, {22}};
  const InstanceId far_{"dc2", {"127.0.0.1", 7003}, {33}};
  const InstanceId farther_{"dc2", {"127.0.0.1", 7004}, {44}};

  ForwardFixture() { SetPeers(16, 8); }
  void SetPeers(uint32_t far_slots, uint32_t farther_slots) {
    Send(PeersChanged{{{near_, false, 8},
                       {far_, false, far_slots},
                       {farther_, false, farther_slots}},
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
  void CheckUnknown(RequestId request, Errc error) const {
    BOOST_TEST_REQUIRE(Answered(request));
    BOOST_TEST((OutcomeOf(request) == Outcome::kMayHaveRun));
    BOOST_TEST((ErrorOf(request) == error));
    BOOST_TEST(!answers_.at(request).started_known_);
  }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_forward, ForwardFixture)

BOOST_AUTO_TEST_CASE(SubmissionGoesToItsOwner) {
  ListWorkers(1);
  const SubmissionId id = OwnedBy(near_);
  const RequestId request = Submit(Job(2), id);
  BOOST_TEST(starts_.empty());
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST((forwards_[0].peer_ == near_));
  BOOST_TEST((forwards_[0].submission_->client_ == id.client_));
  BOOST_TEST(!forwards_[0].foreign_execution_);
  EndForward(forwards_[0], true, Complete(2));
  BOOST_TEST((OutcomeOf(request) == Outcome::kComplete));
  BOOST_TEST(dispatcher_.load().idle_);
  BOOST_TEST(dispatcher_.load().buffered_bytes_ == 0U);
}

BOOST_AUTO_TEST_CASE(UnreachableOwnerIsNeverNotRun) {
  ListWorkers(1);
  const InstanceId gone{"dc1", {"127.0.0.1", 7009}, {99}};
  CheckUnknown(Submit(Job(1), OwnedBy(gone)), Errc::kOwnerUnreachable);
  CheckUnknown(Cancel(OwnedBy(gone)), Errc::kOwnerUnreachable);
  const RequestId request = Submit(Job(1), OwnedBy(near_));
  EndForward(forwards_[0], false);
  CheckUnknown(request, Errc::kOwnerUnreachable);
  BOOST_TEST(starts_.empty());
}

BOOST_AUTO_TEST_CASE(PeersHandOverIsNotPassedOn) {
  ListWorkers(1);
  CheckUnknown(Submit(Job(1), OwnedBy(near_), true), Errc::kOwnerUnreachable);
  CheckUnknown(Cancel(OwnedBy(near_), true), Errc::kOwnerUnreachable);
  ListWorkers(0);
  const RequestId foreign = Submit(Job(1), {}, true, true);
  BOOST_TEST((ErrorOf(foreign) == Errc::kNoWorkers));
  BOOST_TEST(forwards_.empty());
}

BOOST_AUTO_TEST_CASE(ForwardThatIsNotAnsweredEndsJustAfterItsDeadline) {
  const RequestId request = Submit(Job(1, 100, 1000), OwnedBy(near_));
  Advance(1000);
  BOOST_TEST(!Answered(request));
  Advance(config::kForwardGrace.ms_);
  CheckUnknown(request, Errc::kDeadlinePassed);
  BOOST_TEST(forwards_abandoned_.size() == 1U);
  EndForward(forwards_[0], true, Complete(1));
  BOOST_TEST(answers_sent_ == 1U);
}

BOOST_AUTO_TEST_CASE(LostCallerWithdrawsItsForward) {
  const RequestId request = Submit(Job(1), OwnedBy(near_));
  Send(CallerGone{request});
  BOOST_TEST(forwards_abandoned_.size() == 1U);
  BOOST_TEST(dispatcher_.load().idle_);
}

BOOST_AUTO_TEST_CASE(CancellationGoesToTheOwner) {
  const RequestId request = Cancel(OwnedBy(near_));
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST(forwards_[0].cancel_);
  JobAnswer answer;
  answer.error_ = Errc::kCancelled;
  EndForward(forwards_[0], true, answer);
  BOOST_TEST((ErrorOf(request) == Errc::kCancelled));
}

BOOST_AUTO_TEST_CASE(WithoutWorkersAJobRunsAbroadAndItsResultStaysHere) {
  const SubmissionId id{dispatcher_.IssueClient(now_), 1, 0};
  const RequestId request = Submit(Job(2), id);
  BOOST_TEST_REQUIRE(forwards_.size() == 1U);
  BOOST_TEST((forwards_[0].peer_ == far_));
  BOOST_TEST(forwards_[0].foreign_execution_);
  BOOST_TEST(!forwards_[0].submission_.has_value());
  const RequestId joined = Submit(Job(2), id);
  EndForward(forwards_[0], true, Complete(2));
  BOOST_TEST((OutcomeOf(request) == Outcome::kComplete));
  BOOST_TEST((OutcomeOf(joined) == Outcome::kComplete));
  const RequestId retry = Submit(Job(2), id);
  BOOST_TEST((OutcomeOf(retry) == Outcome::kComplete));
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LinkLostAfterHandOverMayHaveRun) {
  const RequestId request = Submit(Job(2));
  JobAnswer lost;
  lost.outcome_ = Outcome::kMayHaveRun;
  lost.error_ = Errc::kPeerLinkLost;
  lost.started_known_ = false;
  EndForward(forwards_[0], true, lost);
  CheckUnknown(request, Errc::kPeerLinkLost);
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PartialAnswerFromAbroadIsNoAnswer) {
  const RequestId request = Submit(Job(2));
  EndForward(forwards_[0], true, Complete(1));
  CheckUnknown(request, Errc::kPeerLinkLost);
}

BOOST_AUTO_TEST_CASE(WhatWasNotHandedOverGoesElsewhereOrIsRefused) {
  for (int i = 0; i < 10; ++i) Submit(Job(0));  // Earns the second forward.
  const RequestId request = Submit(Job(2));
  EndForward(forwards_[0], false);
  BOOST_TEST_REQUIRE(forwards_.size() == 2U);
  BOOST_TEST((forwards_[1].peer_ == farther_));
  EndForward(forwards_[1], false);
  BOOST_TEST((ErrorOf(request) == Errc::kNoWorkers));
  BOOST_TEST((OutcomeOf(request) == Outcome::kNotRun));

  for (int i = 0; i < 10; ++i) Submit(Job(0));
  SetPeers(16, 0);
  const RequestId home = Submit(Job(2));
  ListWorkers(1);
  EndForward(forwards_[2], false);
  BOOST_TEST(!Answered(home));
  BOOST_TEST(starts_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ShareForwardedIsBounded) {
  for (int i = 0; i < 1000; ++i) {
    SetPeers(1000, 1000);
    Submit(Job(1));
  }
  BOOST_TEST(forwards_.size() >= 195U);
  BOOST_TEST(forwards_.size() <= 201U);
}

BOOST_AUTO_TEST_CASE(ShortageForwardsOnlyWhatAPeerHasSlotsFor) {
  ListWorkers(1, 1);
  Submit(Job(1, 400, 60000));
  SetPeers(2, 0);
  BOOST_TEST((ErrorOf(Submit(Job(3, 400, 1000))) == Errc::kDeadlineTooShort));
  BOOST_TEST(forwards_.empty());
  SetPeers(3, 0);
  BOOST_TEST(!Answered(Submit(Job(3, 400, 1000))));
  BOOST_TEST(forwards_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LimitCutsForwardsTruthfully) {
  const RequestId owned = Submit(Job(1), OwnedBy(near_));
  const RequestId abroad = Submit(Job(1));
  CutAll();
  CheckUnknown(owned, Errc::kDraining);
  CheckUnknown(abroad, Errc::kDraining);
  BOOST_TEST(forwards_abandoned_.size() == 2U);
  BOOST_TEST(dispatcher_.load().idle_);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
