#include "connection_timeout.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

struct FakeSocket {
  bool unread_ = false;
  bool writable_ = false;

  bool HasUnread() const { return unread_; }
  bool IsWritable() const { return writable_; }
};

struct TimeoutFixture {
  HttpLimits limits_;
  ConnectionTimeout timeout_;
  FakeSocket socket_;

  TimeoutFixture() {
    limits_.head_timeout_ = {3000};
    limits_.request_timeout_ = {10000};
    limits_.idle_timeout_ = {15000};
    limits_.min_bytes_per_s_ = 1000;
    timeout_.Begin(limits_, Time{0});
  }

  bool IsOver(ConnectionWait wait, int64_t at_ms, uint64_t bytes = 0) {
    return timeout_.CheckOver(wait, bytes, Time{at_ms}, socket_);
  }
};

BOOST_FIXTURE_TEST_SUITE(connection_timeout, TimeoutFixture)

// Guards against a close that crosses a request sent within the time that the
// other side was told.
BOOST_AUTO_TEST_CASE(AnIdleConnectionStaysOpenForAGraceBeyondItsTimeout) {
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 16000));
  BOOST_TEST(IsOver(ConnectionWait::kRequest, 16001));
}

// Guards against a request that gets no answer since the process was late.
BOOST_AUTO_TEST_CASE(AnUnreadRequestEndsNoWaitForOne) {
  socket_.unread_ = true;
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 20000));
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 21000));
  socket_.unread_ = false;
  BOOST_TEST(IsOver(ConnectionWait::kRequest, 22000));
}

// Guards against ends in bulk when the settings shorten a timeout.
BOOST_AUTO_TEST_CASE(AShorterTimeoutHoldsFromTheNextWaitOn) {
  limits_.idle_timeout_ = {2000};
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 16000));
  timeout_.Restart(Time{10000});
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 26000));
  timeout_.Begin(limits_, Time{20000});
  BOOST_TEST(!IsOver(ConnectionWait::kRequest, 23000));
  BOOST_TEST(IsOver(ConnectionWait::kRequest, 23001));
}

// Guards against a refusal of a request that had arrived in time, and against
// senders that keep a wait open by single bytes.
BOOST_AUTO_TEST_CASE(ARequestWhoseRestIsUnreadIsExtendedOnce) {
  socket_.unread_ = true;
  for (const auto wait : {ConnectionWait::kHead, ConnectionWait::kBody,
                          ConnectionWait::kSkippedBody}) {
    timeout_.Begin(limits_, Time{0});
    BOOST_TEST(!IsOver(wait, 11000));
    BOOST_TEST(IsOver(wait, 12000));
  }
}

// Guards against a reply that is cut though the other side takes it.
BOOST_AUTO_TEST_CASE(AReplyThatTheKernelTakesIsExtendedOnce) {
  BOOST_TEST(!IsOver(ConnectionWait::kReplySent, 5000, 2000));
  socket_.writable_ = true;
  BOOST_TEST(!IsOver(ConnectionWait::kReplySent, 5001, 2000));
  BOOST_TEST(IsOver(ConnectionWait::kReplySent, 6001, 2000));
  timeout_.Begin(limits_, Time{0});
  socket_.writable_ = false;
  BOOST_TEST(IsOver(ConnectionWait::kReplySent, 5001, 2000));
}

// Guards against connections that are kept after their last reply by a sender
// that goes on sending.
BOOST_AUTO_TEST_CASE(UnreadBytesDoNotExtendTheLingering) {
  socket_.unread_ = true;
  BOOST_TEST(!IsOver(ConnectionWait::kPeerEnd, 2000));
  BOOST_TEST(IsOver(ConnectionWait::kPeerEnd, 2001));
}

BOOST_AUTO_TEST_CASE(TheServersOwnTimeHasNoTimeout) {
  BOOST_TEST(!IsOver(ConnectionWait::kNone, INT64_MAX));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
