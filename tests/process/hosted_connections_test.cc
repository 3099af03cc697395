#include <deque>

#include "hosted_fixture.h"

namespace gentiandeal::process {
namespace {

constexpr size_t kConnections = 300;
/// How long before the end of a time limit the instance stands still, and how
/// long in all: more than the interval at which it checks for timeouts.
constexpr Duration kStopsAhead{400};
constexpr Duration kStandsStill{1300};
/// From the last call to a silent store to the end of the process.
constexpr Duration kStoreTimeout{1500};
/// Answered 404 at once.
constexpr char kHead[] = "GET /nowhere HTTP/1.1\r\nHost: desk.example\r\n\r\n";

/// Connections to an instance that are kept open.
struct KeptConnectionsFixture : HostedFixture {
  std::string log_ = folder_.Path("c.log");
  HostedInstanceProcess c_{folder_, "c",    platform_.At("store"),
                           "rpc",   "info", log_};
  std::deque<KeptCaller> callers_;

  KeptConnectionsFixture() {
    BOOST_REQUIRE(WaitUntil([&] { return c_.Ready(); }));
    for (size_t i = 0; i < kConnections; ++i) {
      callers_.emplace_back(c_.callers());
    }
  }

  /// Changes a limit of the configuration and waits until it is in force.
  void SetLimit(const std::string& limit) {
    Report("PUT", "?" + limit, "config");
    BOOST_REQUIRE(WaitForLog("event=configuration version=4 "));
  }

  bool WaitForLog(const std::string& text) {
    return WaitUntil(
        [&] { return ReadFile(log_).find(text) != std::string::npos; });
  }

  /// Sends on the callers from `first` on.
  void SendAll(const std::string& bytes, size_t first = 0,
               size_t end = kConnections) {
    for (size_t i = first; i < end; ++i) callers_[i].Send(bytes);
  }

  /// Waits until each request is answered or its connection has ended.
  /// @returns the number answered with `status`, or with any status.
  size_t CountAnswers(int status = 0) {
    BOOST_TEST(WaitUntil([&] {
      return std::all_of(callers_.begin(), callers_.end(),
                         [](KeptCaller& caller) { return caller.Read(); });
    }));
    return static_cast<size_t>(std::count_if(
        callers_.begin(), callers_.end(), [&](const KeptCaller& caller) {
          return caller.status() != 0 &&
                 (status == 0 || caller.status() == status);
        }));
  }
};

BOOST_FIXTURE_TEST_SUITE(hosted, KeptConnectionsFixture)

// Guards against an idle connection that is closed by a late process though a
// request has arrived on it.
BOOST_AUTO_TEST_CASE(ARequestThatArrivesWhileItsInstanceStandsStillIsAnswered) {
  constexpr Duration kIdleTimeout{2000};
  SetLimit("idle_timeout_ms=" + std::to_string(kIdleTimeout.ms_));
  SendAll(kHead);
  BOOST_REQUIRE(CountAnswers(404) == kConnections);
  Wait(kIdleTimeout - kStopsAhead);
  c_.process().Signal(SIGSTOP);
  // In time, and after the end of the idle time.
  SendAll(kHead, 0, kConnections / 2);
  Wait(kStandsStill - Duration{100});
  SendAll(kHead, kConnections / 2);
  Wait(Duration{100});
  c_.process().Signal(SIGCONT);
  BOOST_TEST(CountAnswers() == kConnections);
}

// Guards against a request that is refused as late by a process that was late
// itself to read it.
BOOST_AUTO_TEST_CASE(AHeadWhoseRestArrivesDuringAStandstillIsAnswered) {
  constexpr Duration kHeadTimeout{1000};
  SetLimit("header_timeout_ms=" + std::to_string(kHeadTimeout.ms_));
  const std::string head = kHead;
  const size_t part = head.size() / 2;
  SendAll(head.substr(0, part));
  Wait(kHeadTimeout - kStopsAhead);
  c_.process().Signal(SIGSTOP);
  SendAll(head.substr(part));
  Wait(kStandsStill);
  c_.process().Signal(SIGCONT);
  BOOST_TEST(CountAnswers(408) == 0U);
  BOOST_TEST(CountAnswers(404) == kConnections);
}

// Guards against requests on kept connections that the end of a drained process
// resets unread.
BOOST_AUTO_TEST_CASE(ARequestThatArrivesBeforeTheEndOfADrainIsAnswered) {
  SendAll(kHead);
  BOOST_REQUIRE(CountAnswers(404) == kConnections);
  Report("PUT", "?store_silent=1");
  c_.process().Signal(SIGTERM);
  BOOST_REQUIRE(WaitForLog("event=stopped"));
  c_.process().Signal(SIGSTOP);
  std::vector<KeptCaller*> senders;
  for (KeptCaller& caller : callers_) {
    caller.Read();
    // A caller that was told of the end sends elsewhere.
    if (caller.ended()) continue;
    caller.Send(kHead);
    senders.push_back(&caller);
  }
  Wait(kStoreTimeout + Duration{100});
  c_.process().Signal(SIGCONT);
  CountAnswers();
  BOOST_TEST(std::count_if(senders.begin(), senders.end(),
                           [](const KeptCaller* sender) {
                             return sender->status() == 0;
                           }) == 0);
  BOOST_TEST(c_.process().WaitExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::process
