#include "peer_liveness.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Time kOpened{1000000};

BOOST_AUTO_TEST_SUITE(peer_liveness)

// Guards against runs that outlive a lost coordinator: its last heartbeats are
// read long after they were sent.
BOOST_AUTO_TEST_CASE(AHeartbeatThatIsReadLateIsDatedByItsEcho) {
  PeerLiveness link(kOpened);
  const MeshHeartbeat sent = link.MakeHeartbeat(kOpened + Duration{100});
  BOOST_TEST(link.On({Time{5}, sent.sent_}, kOpened + Duration{900}));
  BOOST_TEST((link.alive_at() == kOpened + Duration{100}));
}

BOOST_AUTO_TEST_CASE(AnEarlierEchoTakesNothingBack) {
  PeerLiveness link(kOpened);
  BOOST_TEST(
      link.On({Time{6}, kOpened + Duration{50}}, kOpened + Duration{60}));
  BOOST_TEST(
      !link.On({Time{5}, kOpened + Duration{10}}, kOpened + Duration{70}));
  BOOST_TEST((link.alive_at() == kOpened + Duration{50}));
}

// Echoes of another connection, or of a peer that has heard nothing yet, prove
// nothing.
BOOST_AUTO_TEST_CASE(IgnoresEchoesThatThisLinkCannotHaveSent) {
  PeerLiveness link(kOpened);
  const Time now = kOpened + Duration{100};
  BOOST_TEST(!link.On({Time{5}, Time{}}, now));
  BOOST_TEST(!link.On({Time{6}, kOpened - Duration{1}}, now));
  BOOST_TEST(!link.On({Time{7}, now + Duration{1}}, now));
  BOOST_TEST((link.alive_at() == kOpened));
}

// Guards against a coordinator that vouches for a job whose caller's loss it
// has been given but hasn't handled.
BOOST_AUTO_TEST_CASE(EchoesAHeartbeatOnlyAfterThePassThatReadIt) {
  PeerLiveness link(kOpened);
  link.On({Time{5}, Time{}}, kOpened);
  BOOST_TEST((link.MakeHeartbeat(kOpened).echo_ == Time{}));
  link.EchoReceived();
  link.On({Time{6}, Time{}}, kOpened);
  BOOST_TEST((link.MakeHeartbeat(kOpened).echo_ == Time{5}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
