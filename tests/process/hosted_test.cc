#include "hosted_fixture.h"

namespace gentiandeal::process {
namespace {

BOOST_FIXTURE_TEST_SUITE(hosted, HostedFixture)

// Guards against starts in an evacuated data centre by an owner that starts
// during the evacuation, and by one that lost the store for a while.
BOOST_FIXTURE_TEST_CASE(NothingStartsInAnEvacuatedDataCentre,
                        TwoCentresFixture) {
  // The first jobs may go to brest, until the workers of rennes are claimed.
  BOOST_TEST(
      WaitUntil([&] { return Serves(a_) && LastStartInRennes() > Time{}; }));
  Report("PUT", "?set=op/evacuate/rennes", "key");
  const Time requested = clock_.Now();
  Load(100, [&] {
    a_.process().Signal(SIGKILL);
    a_.process().WaitExit();
    a_.Restart();
  });
  Report("PUT", "?store_down=1");
  BOOST_TEST(Load(100, [&] { Report("PUT"); }) >= 98U);
  BOOST_TEST((clock_.Now() - requested).ms_ > 5000);
  BOOST_TEST(Load(100, [] {}) >= 98U);
  BOOST_TEST((LastStartInRennes() - requested).ms_ < 5000);
  const Time removed = clock_.Now();
  Report("PUT", "?remove=op/evacuate/rennes", "key");
  BOOST_TEST(
      WaitUntil([&] { return Serves(a_) && LastStartInRennes() > removed; }));
  CheckRules();
}

BOOST_AUTO_TEST_CASE(ServesJobsOnWorkersOfBothInstances) {
  BOOST_TEST(Load(100, [] {}) == 100U);
  CheckRules();
  BOOST_TEST(Report()["after_done"] == 0);
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNotSupportedBeforeAnythingRuns) {
  const Json before = Report();
  HttpRequest stored = Job(1, 5);
  stored.body_ = R"({"spec":"5","phases":[{"count":1,"cpu":1,"est_ms":5}]})";
  BOOST_TEST(Fetch(a_.callers(), stored, kPatience).status_ == 503);
  HttpRequest gang = Job(1, 5);
  gang.body_ =
      R"({"spec":"5","best_effort":true,"phases":[{"count":2,"gang":true}]})";
  BOOST_TEST(Fetch(a_.callers(), gang, kPatience).status_ == 503);
  HttpRequest nowhere = Job(1, 5);
  nowhere.path_ = "/other/0000000000000001";
  BOOST_TEST(Fetch(a_.callers(), nowhere, kPatience).status_ == 404);
  BOOST_TEST(Report()["starts"] == before["starts"]);
}

BOOST_AUTO_TEST_CASE(OrdersNothingWhereWorkersTakeNoCalls) {
  const HostedInstanceProcess c(folder_, "c", platform_.At("store"),
                                "heartbeat");
  BOOST_REQUIRE(WaitUntil([&] { return c.Ready(); }));
  a_.process().Signal(SIGKILL);
  b_.process().Signal(SIGKILL);
  BOOST_REQUIRE(WaitUntil([&] {
    return Fetch(c.callers(), Job(1, 5), kCallerWaits).status_ == 429;
  }));
}

// Guards against a task that takes down one worker after the other.
BOOST_AUTO_TEST_CASE(AJobWhoseTaskCrashesWorkersFails) {
  const HttpRequest job = CrashingJob();
  const HttpResponse answer = Fetch(a_.callers(), job, kCallerWaits);
  BOOST_TEST(answer.status_ == 200);
  BOOST_TEST(answer.body_ == R"({"state":"failed"})");
  const Json after = Report();
  BOOST_TEST(after["crashes"] == 2);
  // The other instance was told of it.
  const HttpResponse again = Fetch(b_.callers(), job, kCallerWaits);
  BOOST_TEST(again.body_ == R"({"state":"failed"})");
  BOOST_TEST(Report()["starts"] == after["starts"]);
  BOOST_TEST(Load(50, [] {}) == 50U);
  CheckRules();
}

// Guards against a count of crashes that is lost with its instance.
BOOST_AUTO_TEST_CASE(CrashesCountOnThoughTheirInstanceIsKilled) {
  const HttpRequest job = CrashingJob();
  const size_t lost = caller_.Send(a_.callers(), job, kCallerWaits);
  BOOST_REQUIRE(caller_.RunUntil([&] { return Report()["crashes"] == 1; },
                                 Duration{1000}));
  Wait(Duration{300});
  a_.process().Signal(SIGKILL);
  caller_.RunUntil([&] { return caller_.Answered(lost); }, kPatience);
  HttpResponse answer;
  for (int attempt = 0; attempt < 3 && answer.status_ != 200; ++attempt) {
    Wait(kResendAfter);
    answer = Fetch(b_.callers(), job, kCallerWaits);
  }
  BOOST_TEST(answer.body_ == R"({"state":"failed"})");
  BOOST_TEST(Report()["crashes"].get<int>() <= kMaxCrashes);
  CheckRules();
}

BOOST_AUTO_TEST_CASE(TakesOverTheWorkersOfAKilledInstance) {
  const size_t served = Load(200, [&] { a_.process().Signal(SIGKILL); });
  BOOST_TEST(served >= 140U);
  BOOST_TEST(WaitUntil([&] { return Serves(b_); }));
  CheckRules();
}

BOOST_AUTO_TEST_CASE(AFrozenInstanceStartsNothingOnOldBeliefs) {
  Load(120, [&] { a_.process().Signal(SIGSTOP); });
  a_.process().Signal(SIGCONT);
  Load(120, [] {});
  CheckRules();
  BOOST_TEST(WaitUntil([&] { return Serves(a_) && Serves(b_); }));
}

BOOST_AUTO_TEST_CASE(ServesOnWhileTheStoreIsDown) {
  Report("PUT", "?store_down=1");
  BOOST_TEST(Load(200, [] {}) >= 198U);
  Report("PUT");
  CheckRules();
}

// Runs of the killed process go on until their leases end; the next one finds
// them at its workers.
BOOST_AUTO_TEST_CASE(AnInstanceThatStartsAgainTakesItsWorkersBack) {
  Load(200, [&] {
    a_.process().Signal(SIGKILL);
    a_.process().WaitExit();
    a_.Restart();
  });
  BOOST_TEST(WaitUntil([&] { return a_.Ready() && Serves(a_); }));
  Load(60, [] {});
  CheckRules();
}

// Two hundred jobs write more than the 64 KiB that the pipe holds.
BOOST_AUTO_TEST_CASE(ALogThatNobodyReadsHoldsNothingUp) {
  a_.process().Signal(SIGTERM);
  BOOST_TEST(a_.process().WaitExit() == 0);
  a_.Restart("info");
  BOOST_REQUIRE(WaitUntil([&] { return a_.Ready() && Serves(a_); }));
  BOOST_TEST(Load(400, [] {}) >= 396U);
  BOOST_TEST(Serves(a_));
  a_.process().Signal(SIGTERM);
  BOOST_TEST(a_.process().WaitExit() == 0);
  CheckRules();
}

// Guards against two runs of a task after a loss that only the caller notices:
// its instance keeps an open connection, and the job is sent to another one.
BOOST_AUTO_TEST_CASE(AJobWhoseCallerVanishedRunsOnceAtATime) {
  SendAgainAfterASilentLoss(a_.callers(), b_.callers());
}

// The same where neither of the two owns workers, so that they aren't
// connected: the owners relay what is open where, and the recall.
BOOST_AUTO_TEST_CASE(AJobIsRecalledFromAnInstanceThatIsNotConnected) {
  const HostedInstanceProcess c(folder_, "entry-c", platform_.At("store"));
  const HostedInstanceProcess d(folder_, "entry-d", platform_.At("store"));
  BOOST_REQUIRE(WaitUntil([&] { return c.Ready() && d.Ready(); }));
  Wait(Duration{1500});
  SendAgainAfterASilentLoss(c.callers(), d.callers());
}

// Orders without an answer that are carried out seconds later.
BOOST_AUTO_TEST_CASE(LateOrdersNeverRunATaskTwice) {
  Report("PUT", "?silent=0.1&late_ms=700");
  Load(150, [] {});
  Report("PUT");
  caller_.RunUntil([] { return false; }, Duration{1000});
  CheckRules();
}

// Each of the following guards against two runs of a task at once, where the
// coordinator doesn't learn that its caller is lost.
BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerCloses) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const Time lost = clock_.Now();
  caller.Close();
  CheckRunsEndSoonAfter(lost);
}

BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerResets) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const Time lost = clock_.Now();
  caller.Reset();
  CheckRunsEndSoonAfter(lost);
}

BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerHalfCloses) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const Time lost = clock_.Now();
  caller.HalfClose();
  CheckRunsEndSoonAfter(lost);
}

BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerClosesAfterAPipelinedRequest) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  caller.Send(Job(1, kLongRunMs));
  const Time lost = clock_.Now();
  caller.Close();
  CheckRunsEndSoonAfter(lost);
}

BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerClosesAfterManyBytes) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const std::string bytes(kPipelinedBytes, 'x');
  caller.SendBytes(bytes);
  const Time lost = clock_.Now();
  caller.Close();
  CheckRunsEndSoonAfter(lost);
}

BOOST_AUTO_TEST_CASE(ACallerThatSentManyBytesStillGetsItsAnswer) {
  RawCaller caller(a_.callers());
  caller.Send(Job(1, 300));
  caller.SendBytes(std::string(kPipelinedBytes, 'x'));
  BOOST_TEST(caller.Receive(kCallerWaits).find(" 200 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerClosesDuringAShortStop) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const Time lost = clock_.Now();
  a_.process().Signal(SIGSTOP);
  caller.Close();
  Wait(Duration{350});
  a_.process().Signal(SIGCONT);
  CheckRunsEndSoonAfter(lost + Duration{350});
}

// Longer than the leases of its runs and than the silence that links allow.
BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerClosesDuringALongStop) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const int starts = Report()["starts"].get<int>();
  a_.process().Signal(SIGSTOP);
  caller.Close();
  Wait(kResendAfter);
  BOOST_TEST(Report()["running"] == 0);
  Wait(Duration{700});
  a_.process().Signal(SIGCONT);
  Wait(Duration{500});
  BOOST_TEST(Report()["starts"] == starts);
  BOOST_TEST(Report()["running"] == 0);
  CheckRules();
}

// The path to the caller is cut: neither its close nor a reset arrives.
BOOST_AUTO_TEST_CASE(RunsEndWhenTheCallerFallsSilent) {
  RawCaller caller(a_.callers());
  StartLongRun(&caller);
  const Json done = Report()["done"];
  const Time lost = clock_.Now();
  caller.FallSilent();
  BOOST_TEST(WaitUntil([&] { return Report()["running"] == 0; }));
  const Duration took = clock_.Now() - lost;
  BOOST_TEST_MESSAGE("runs of a silent caller ended after " << took.ms_
                                                            << " ms");
  // The run's own end would come at 1.9 s.
  BOOST_TEST(took.ms_ < 1600);
  BOOST_TEST(Report()["done"] == done);
  CheckRules();
}

// A caller that answers keepalive probes and sends nothing else is not lost.
BOOST_AUTO_TEST_CASE(AQuietCallerGetsItsAnswer) {
  RawCaller caller(a_.callers());
  caller.Send(Job(1, 2600));
  BOOST_TEST(caller.Receive(kCallerWaits).find(" 200 ") != std::string::npos);
}

// The caller waits from when it sent the request, not from when it was read.
BOOST_AUTO_TEST_CASE(RunsEndAtTheDeadlineThoughTheRequestWasReadLate) {
  constexpr Duration kWaits{1500};
  HttpRequest job = Job(1, 2600);
  job.fields_ = {{"Host", "desk.example"},
                 {"Deadline-Ms", std::to_string(kWaits.ms_)}};
  BOOST_REQUIRE(WaitUntil([&] { return Report()["running"] == 0; }));
  a_.process().Signal(SIGSTOP);
  RawCaller caller(a_.callers());
  const Time sent = clock_.Now();
  caller.Send(job);
  Wait(Duration{400});
  a_.process().Signal(SIGCONT);
  BOOST_REQUIRE(WaitUntil([&] { return Report()["running"] == 1; }));
  BOOST_TEST(WaitUntil([&] { return Report()["running"] == 0; }));
  const Duration took = clock_.Now() - sent;
  BOOST_TEST(took.ms_ >= kWaits.ms_);
  // A stop of 50 ms, and room for a busy machine.
  BOOST_TEST(took.ms_ < kWaits.ms_ + 250);
}

BOOST_AUTO_TEST_CASE(NothingStartsForACallerThatClosedBeforeAShortStopEnded) {
  BOOST_TEST(StartsAfterACloseBeforeTheRead(Duration{300}, 0) == 0);
}

BOOST_AUTO_TEST_CASE(NothingStartsForACallerThatClosedBeforeALongStopEnded) {
  BOOST_TEST(StartsAfterACloseBeforeTheRead(Duration{2000}, 0) == 0);
}

// Guards against runs for a request that a lost path has held up for longer
// than its caller waits, so that the job is running elsewhere: its close
// follows it.
BOOST_AUTO_TEST_CASE(NothingStartsForALateRequestWhoseCloseFollowsIt) {
  BOOST_REQUIRE(WaitUntil([&] { return Report()["running"] == 0; }));
  const auto starts = Report()["starts"].get<int>();
  RawCaller caller(a_.callers());
  Wait(Duration{1200});
  caller.Send(Job(2, 40));
  Wait(Duration{5});
  caller.Close();
  Wait(Duration{200});
  BOOST_TEST(Report()["starts"].get<int>() == starts);
}

// A caller that connects long before it sends is served all the same.
BOOST_AUTO_TEST_CASE(ALateFirstRequestIsServed) {
  RawCaller caller(a_.callers());
  Wait(Duration{1200});
  caller.Send(Job(2, 40));
  BOOST_TEST(caller.Receive(kCallerWaits).find(" 200 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(NothingStartsForACallerThatPipelinedAndClosed) {
  BOOST_TEST(StartsAfterACloseBeforeTheRead(Duration{300}, 1000) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::process
