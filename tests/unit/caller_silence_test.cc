#include "caller_silence.h"

#include <poll.h>

#include <boost/test/unit_test.hpp>

#include "test_sockets.h"

namespace gentiandeal {
namespace {

constexpr Duration kLimit{1150};
constexpr Time kStart{5000};

PeerActivity Silent(int64_t ms, bool unanswered = true) {
  return {{ms}, {ms}, unanswered};
}

void Sleep(Duration time) { poll(nullptr, 0, static_cast<int>(time.ms_)); }

/// A connection with two ends in this process.
struct ConnectionFixture {
  TestListener listener_;
  TestSocket caller_{listener_.address()};
  std::unique_ptr<TestSocket> accepted_ = listener_.Accept();

  ConnectionFixture() { BOOST_REQUIRE(accepted_ != nullptr); }

  PeerActivity Activity() const {
    PeerActivity activity;
    BOOST_REQUIRE(!GetPeerActivity(accepted_->fd(), &activity));
    return activity;
  }
};

BOOST_AUTO_TEST_SUITE(caller_silence)

BOOST_AUTO_TEST_CASE(LimitLeavesTimeToCancelAndRoomForTheAnswerOfAProbe) {
  BOOST_TEST(CallerSilenceLimit({1300}, {50}).value().ms_ == 1150);
  BOOST_TEST(CallerSilenceLimit({3000}, {200}).value().ms_ == 2700);
  BOOST_TEST(!CallerSilenceLimit({1200}, {50}).has_value());
}

BOOST_AUTO_TEST_CASE(ACallerIsLostOnceItsSilenceReachesTheLimit) {
  CallerSilence silence(kLimit, kStart);
  BOOST_TEST(!silence.Check(Silent(1149), kStart));
  BOOST_TEST(silence.Check(Silent(1150), kStart));
}

// A probe that the kernel has not sent yet proves nothing.
BOOST_AUTO_TEST_CASE(SilenceWithoutAnUnansweredProbeDoesNotCount) {
  CallerSilence silence(kLimit, kStart);
  BOOST_TEST(!silence.Check(Silent(1400, /*unanswered=*/false), kStart));
  BOOST_TEST(silence.IsCheckDue(kStart + Duration{1}));
}

BOOST_AUTO_TEST_CASE(TheNextCheckIsDueWhenTheLimitCanBeReached) {
  CallerSilence silence(kLimit, kStart);
  BOOST_TEST(silence.IsCheckDue(kStart));
  BOOST_TEST(!silence.Check(Silent(150), kStart));
  BOOST_TEST(!silence.IsCheckDue(kStart + Duration{999}));
  BOOST_TEST(silence.IsCheckDue(kStart + Duration{1000}));
}

BOOST_FIXTURE_TEST_CASE(ActivityAgesWhileNothingArrives, ConnectionFixture) {
  caller_.Send("x");
  BOOST_TEST(Activity().segment_age_.ms_ < 200);
  Sleep(Duration{400});
  const PeerActivity later = Activity();
  BOOST_TEST(later.segment_age_.ms_ >= 390);
  BOOST_TEST(later.data_age_.ms_ >= 390);
  BOOST_TEST(!later.unanswered_);
}

// The kernel answers for a caller whose process stands still.
BOOST_FIXTURE_TEST_CASE(TheAnswerOfAProbeIsActivityButNoData,
                        ConnectionFixture) {
  SetCallerKeepAlive(accepted_->fd());
  caller_.Send("x");
  Sleep(kKeepAliveInterval + Duration{300});
  const PeerActivity activity = Activity();
  BOOST_TEST(activity.segment_age_.ms_ < 1000);
  BOOST_TEST(activity.data_age_.ms_ >= 1290);
  BOOST_TEST(!activity.unanswered_);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredProbeShows, ConnectionFixture) {
  SetCallerKeepAlive(accepted_->fd());
  caller_.Send("x");
  Sleep(Duration{50});
  BOOST_REQUIRE(caller_.DiscardArrivals());
  Sleep(kKeepAliveInterval + Duration{300});
  const PeerActivity activity = Activity();
  BOOST_TEST(activity.segment_age_.ms_ >= 1290);
  BOOST_TEST(activity.unanswered_);
}

// A caller's request and its close can wait in the kernel of a process that
// stood still before it accepts the connection.
BOOST_AUTO_TEST_CASE(AcceptedConnectionsInheritTheProbes) {
  const TestListener listener;
  SetCallerKeepAlive(listener.fd());
  TestSocket caller(listener.address());
  caller.Send("x");
  Sleep(kKeepAliveInterval + Duration{300});
  const auto accepted = const_cast<TestListener&>(listener).Accept();
  BOOST_REQUIRE(accepted != nullptr);
  PeerActivity activity;
  BOOST_REQUIRE(!GetPeerActivity(accepted->fd(), &activity));
  BOOST_TEST(activity.segment_age_.ms_ < 1000);
  BOOST_TEST(activity.data_age_.ms_ >= 1290);
}

BOOST_AUTO_TEST_CASE(ActivityOfNoConnectionIsAnError) {
  PeerActivity activity;
  const TestListener listener;
  BOOST_TEST(!!GetPeerActivity(-1, &activity));
  BOOST_TEST(!!GetPeerActivity(listener.fd(), &activity));
}

BOOST_FIXTURE_TEST_CASE(AClosedPeerIsSeenBehindUnreadBytes, ConnectionFixture) {
  BOOST_TEST(!HasPeerClosed(accepted_->fd()));
  caller_.Send("x");
  BOOST_TEST(!HasPeerClosed(accepted_->fd()));
  caller_.Close();
  BOOST_TEST(HasPeerClosed(accepted_->fd()));
}

BOOST_FIXTURE_TEST_CASE(APeerThatResetIsSeen, ConnectionFixture) {
  caller_.Close(/*hard=*/true);
  BOOST_TEST(HasPeerClosed(accepted_->fd()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
