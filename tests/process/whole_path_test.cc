#include <boost/test/unit_test.hpp>
#include <csignal>

#include "ledger.h"

namespace gentiandeal::process {
namespace {

/// Workers and one entry instance in front of them.
struct Desk {
  explicit Desk(uint32_t workers = 2, uint32_t slots = 8,
                const std::string& settings = "")
      : workers_(folder_, workers, slots),
        entry_(folder_, Boot(slots, settings)) {
    BOOST_REQUIRE(entry_.WaitFor(workers, 0));
  }

  /// @param settings Further lines of the service section.
  BootFile Boot(uint32_t slots, const std::string& settings) {
    BootFile boot;
    boot.seed_workers_ = workers_.addresses();
    boot.settings_file_ = folder_.Write(
        "settings.ini",
        "[service]\nworker_slots = " + std::to_string(slots) + "\n" + settings);
    return boot;
  }

  uint64_t Stat(const std::string& name) {
    return entry_.Status().at("stats").at(name).get<uint64_t>();
  }

  Folder folder_;
  Workers workers_;
  Instance entry_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(whole_path)

BOOST_AUTO_TEST_CASE(SingleTaskAndLargestJobComeBackWholeAndInOrder) {
  Desk desk;
  Ledger ledger;
  ledger.Submit(desk.entry_.callers(), "one", {1, 5});
  const size_t largest = ledger.Submit(desk.entry_.callers(), "largest",
                                       {config::kMaxTasksPerJob, 5, 300});
  const size_t above = ledger.Submit(desk.entry_.callers(), "above",
                                     {config::kMaxTasksPerJob + 1, 5});
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) == 2);
  BOOST_TEST(ledger.Answer(largest).tasks_.size() == config::kMaxTasksPerJob);
  BOOST_TEST((ledger.Answer(above).outcome_ == Outcome::kNotRun));
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(CheckSeesALostStartAndADoubledOne) {
  Desk desk;
  Ledger ledger;
  ledger.Submit(desk.entry_.callers(), "a", {3, 1});
  BOOST_REQUIRE(ledger.WaitAll());
  std::vector<LoggedStart> starts = desk.workers_.starts();
  BOOST_REQUIRE(ledger.Violations(starts).empty());
  starts.push_back(starts.front());
  BOOST_TEST(!ledger.Violations(starts).empty());
  starts.resize(2);
  BOOST_TEST(!ledger.Violations(starts).empty());
}

BOOST_AUTO_TEST_CASE(AnotherClientNeverGetsTheAnswer) {
  Desk desk;
  Ledger ledger;
  const Address entry = desk.entry_.callers();
  const Identity own{FetchClient(entry), 1};
  ledger.Submit(entry, "own", {2, 5}, own);
  BOOST_REQUIRE(ledger.WaitAll());
  Identity forged = own;
  forged.client_.back() = forged.client_.back() == '0' ? '1' : '0';
  const size_t by_forged = ledger.Submit(entry, "forged", {2, 5}, forged);
  const Identity other{FetchClient(entry), 1};
  const size_t by_other = ledger.Submit(entry, "other", {2, 5}, other);
  const size_t again = ledger.Submit(entry, "own", {2, 5}, own);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(by_forged).outcome_ == Outcome::kNotRun));
  BOOST_TEST((ledger.Answer(by_other).outcome_ == Outcome::kComplete));
  BOOST_TEST((ledger.Answer(again).outcome_ == Outcome::kComplete));
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(EachLossAtAWorkerIsToldTruthfully) {
  struct Case {
    const char* faults_;
    Outcome outcome_;
    size_t starts_;
  };
  Desk desk(1, 8, "min_task_timeout = 300ms\n");
  const Address entry = desk.entry_.callers();
  int number = 0;
  for (const Case& c :
       {Case{"reset_after_start=1&times=1", Outcome::kMayHaveRun, 1},
        Case{"cut_answer=1&times=1", Outcome::kMayHaveRun, 1},
        Case{"wrong_echo=1&times=1", Outcome::kMayHaveRun, 1},
        Case{"late=6000&times=1", Outcome::kMayHaveRun, 1},
        Case{"fail_ms=1&times=1", Outcome::kMayHaveRun, 1},
        Case{"refuse_unmarked=1&times=1", Outcome::kMayHaveRun, 0},
        Case{"", Outcome::kComplete, 1}}) {
    BOOST_TEST_CONTEXT(c.faults_) {
      // A fresh connection each time: one kept alive is not accepted again.
      desk.workers_.SetFaults(0, "closed=1");
      desk.workers_.SetFaults(0, c.faults_);
      Ledger ledger;
      const std::string name = "f" + std::to_string(++number);
      const size_t hit = ledger.Submit(entry, name, {1, 10});
      BOOST_REQUIRE(ledger.WaitAll());
      BOOST_TEST((ledger.Answer(hit).outcome_ == c.outcome_),
                 ledger.caller().Answer(hit).body_);
      BOOST_TEST(desk.workers_.StartsOf(ledger.PathOf(name, 0)) == c.starts_);
      ledger.Submit(entry, "after" + name, {1, 10});
      BOOST_REQUIRE(ledger.WaitAll());
      BOOST_TEST(ledger.Count(Outcome::kComplete) ==
                 (c.outcome_ == Outcome::kComplete ? 2 : 1));
      ledger.Check(desk.workers_.starts());
    }
  }
}

BOOST_AUTO_TEST_CASE(ResetOnAcceptIsToldTruthfully) {
  constexpr int kJobs = 10;
  Desk desk(1);
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    desk.workers_.SetFaults(0, "closed=1");
    desk.workers_.SetFaults(0, "reset_before=1&times=1");
    // The reset may be seen before or after the first byte was written, so
    // that more than one answer is true; the check tells them from lies.
    ledger.Submit(desk.entry_.callers(), "r" + std::to_string(i), {1, 2});
    BOOST_REQUIRE(ledger.WaitAll());
    BOOST_TEST(ledger.Answered(i));
  }
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(TaskMovesOnlyWhenItProvablyDidNotStart) {
  constexpr int kEarning = 120;  // First dispatches that earn the retries.
  constexpr int kJobs = 12;
  for (const char* faults : {"closed=1", "refuse=1", "refuse=1&leaving=1"}) {
    BOOST_TEST_CONTEXT(faults) {
      Desk desk(2);
      Ledger ledger;
      for (int i = 0; i < kEarning; ++i) {
        ledger.Submit(desk.entry_.callers(), "e" + std::to_string(i), {1, 1});
      }
      BOOST_REQUIRE(ledger.WaitAll());
      desk.workers_.SetFaults(0, faults);
      for (int i = 0; i < kJobs; ++i) {
        ledger.Submit(desk.entry_.callers(), "m" + std::to_string(i), {1, 20});
      }
      BOOST_REQUIRE(ledger.WaitAll());
      BOOST_TEST(ledger.Count(Outcome::kComplete) == kEarning + kJobs);
      BOOST_TEST(desk.Stat("task_retries") >= 1);
      ledger.Check(desk.workers_.starts());
    }
  }
}

BOOST_AUTO_TEST_CASE(ResetInTheWriteIsUncertainAndNeverRepeated) {
  const Folder folder;
  Workers workers(folder, 1);
  Proxy proxy;
  BootFile boot;
  const size_t pair = proxy.Add(workers.addresses().front(),
                                &boot.seed_workers_.emplace_back());
  Instance entry(folder, boot);
  BOOST_REQUIRE(entry.WaitFor(1, 0));
  for (const char* faults : {"reset_up=0", "reset_up=40", "reset_down=20"}) {
    BOOST_TEST_CONTEXT(faults) {
      proxy.SetFaults(pair, faults);
      Ledger ledger;
      const std::string name = std::string("w") + (faults + 9);
      const size_t hit = ledger.Submit(entry.callers(), name, {1, 2});
      BOOST_REQUIRE(ledger.WaitAll());
      BOOST_TEST((ledger.Answer(hit).outcome_ == Outcome::kMayHaveRun));
      ledger.Check(workers.starts());
    }
  }
}

BOOST_AUTO_TEST_CASE(FailingFastWinsNoWork) {
  constexpr uint32_t kWorkers = 6;
  constexpr int kJobs = 300;
  Desk desk(kWorkers, 8, "ejection = on\n");
  desk.workers_.SetFaults(0, "fail_ms=1");
  const uint16_t failing = desk.workers_.addresses()[0].port_;
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    ledger.Submit(desk.entry_.callers(), "j" + std::to_string(i), {1, 20});
    const bool flowing = ledger.caller().RunUntil(
        [&] { return ledger.caller().open() < kWorkers * 6; });
    BOOST_REQUIRE(flowing);
  }
  BOOST_REQUIRE(ledger.WaitAll());
  size_t at_failing = 0;
  for (const LoggedStart& start : desk.workers_.starts()) {
    at_failing += start.port_ == failing;
  }
  // Not more than its share by number, ejection or not.
  BOOST_TEST(at_failing <= kJobs / kWorkers);
  BOOST_TEST(ledger.Count(Outcome::kMayHaveRun) == at_failing);
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(StragglersGetLessWorkAndNothingIsLost) {
  constexpr uint32_t kWorkers = 6;
  constexpr int kJobs = 240;
  Desk desk(kWorkers, 2);
  std::set<uint16_t> slow;
  for (uint32_t i = 0; i < kWorkers / 2; ++i) {
    desk.workers_.SetFaults(static_cast<int>(i), "slow_factor=8");
    slow.insert(desk.workers_.addresses()[i].port_);
  }
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    ledger.Submit(desk.entry_.callers(), "s" + std::to_string(i), {1, 20});
    const bool flowing = ledger.caller().RunUntil(
        [&] { return ledger.caller().open() < kWorkers; });
    BOOST_REQUIRE(flowing);
  }
  BOOST_REQUIRE(ledger.WaitAll());
  size_t at_slow = 0;
  for (const LoggedStart& start : desk.workers_.starts()) {
    at_slow += slow.contains(start.port_);
  }
  BOOST_TEST(ledger.Count(Outcome::kComplete) == kJobs);
  BOOST_TEST(at_slow < kJobs / 3);
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(CancelledTasksThatWaitNeverStart) {
  constexpr int kJobs = 100;
  Desk desk(1, 4);
  const Address entry = desk.entry_.callers();
  Ledger ledger;
  std::vector<Identity> identities;
  for (int i = 0; i < kJobs; ++i) {
    identities.push_back({FetchClient(entry), 1});
    ledger.Submit(entry, "c" + std::to_string(i), {2, 30}, identities.back());
  }
  BOOST_REQUIRE(ledger.caller().RunUntil(
      [&] { return desk.Stat("jobs_accepted") == kJobs; }));
  for (int i = kJobs / 10; i < kJobs; ++i) {
    ledger.Cancel(entry, "c" + std::to_string(i), identities[i]);
  }
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) >= kJobs / 10);
  BOOST_TEST(ledger.Count(Outcome::kNotRun) >= kJobs);
  BOOST_TEST(desk.workers_.starts().size() < kJobs);
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(TermUnderFullLoadCutsNothing) {
  constexpr int kJobs = 120;
  Desk desk(2, 4);
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    ledger.Submit(desk.entry_.callers(), "t" + std::to_string(i), {2, 25});
  }
  BOOST_REQUIRE(ledger.caller().RunUntil(
      [&] { return desk.workers_.starts().size() >= 8; }));
  desk.entry_.process().Signal(SIGTERM);
  // The balancer lags: this one arrives after the signal.
  BOOST_REQUIRE(WaitUntil([&] { return !desk.entry_.Ready(); }));
  ledger.Submit(desk.entry_.callers(), "late", {1, 5});
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) == kJobs + 1);
  BOOST_TEST(desk.entry_.process().WaitExit() == 0);
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(ResumedInstanceStartsNothingHeldFromBefore) {
  constexpr int kJobs = 40;
  constexpr size_t kSlots = 8;
  constexpr Duration kDeadline{1000};
  constexpr Duration kStopped{1600};
  Desk desk(1, kSlots, "min_task_timeout = 300ms\n");
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    ledger.Submit(desk.entry_.callers(), "p" + std::to_string(i),
                  {1, 150, 16, kDeadline});
  }
  BOOST_REQUIRE(ledger.caller().RunUntil(
      [&] { return desk.workers_.starts().size() >= kSlots; }));
  desk.entry_.process().Signal(SIGSTOP);
  const Time stopped = MonotonicClock().Now();
  WaitUntil([&] { return MonotonicClock().Now() - stopped >= kStopped; });
  // Requests sent before the stop have long reached the worker's log.
  const size_t before = desk.workers_.starts().size();
  desk.entry_.process().Signal(SIGCONT);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(desk.workers_.starts().size() == before);
  BOOST_TEST(ledger.Count(Outcome::kNotRun) >= 1);
  ledger.Submit(desk.entry_.callers(), "fresh", {1, 5});
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(kJobs).outcome_ == Outcome::kComplete));
  ledger.Check(desk.workers_.starts());
}

BOOST_AUTO_TEST_CASE(ServesItsSeedsWhileThePlatformIsDown) {
  const Folder folder;
  Workers workers(folder, 2);
  BootFile boot;
  boot.seed_workers_ = workers.addresses();
  Proxy proxy;
  const size_t pair = proxy.Add(workers.addresses().front(), &boot.platform_);
  proxy.SetFaults(pair, "mode=cut");
  Instance entry(folder, boot);
  BOOST_REQUIRE(entry.WaitFor(2, 0));
  Ledger ledger;
  for (int i = 0; i < 20; ++i) {
    ledger.Submit(entry.callers(), "d" + std::to_string(i), {3, 5});
  }
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) == 20);
  ledger.Check(workers.starts());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal::process
