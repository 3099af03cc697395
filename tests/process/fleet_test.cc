#include <boost/test/unit_test.hpp>
#include <csignal>

#include "hosted_process.h"
#include "ledger.h"

namespace gentiandeal::process {
namespace {

/// Workers and several entry instances of one data centre.
struct Fleet {
  Fleet(uint32_t instances, uint32_t workers, uint32_t slots = 8)
      : workers_(folder_, workers, slots) {
    folder_.Write("settings.ini",
                  "[service]\nworker_slots = " + std::to_string(slots) + "\n");
    for (uint32_t i = 0; i < instances; ++i) {
      BootFile boot;
      boot.peers_ =
          ports_.emplace_back(std::make_unique<ReservedPort>())->address();
      entries_.push_back(std::make_unique<Instance>(folder_, boot));
    }
    Restart();
  }

  /// Starts the instances again on the ports they were given, each with all
  /// the others as seeds.
  void Restart() {
    const size_t count = entries_.size();
    const std::vector<BootFile> boots = Boots();
    entries_.clear();
    for (const BootFile& boot : boots) {
      entries_.push_back(std::make_unique<Instance>(folder_, boot));
    }
    for (const auto& entry : entries_) {
      BOOST_REQUIRE(entry->WaitFor(workers_.addresses().size(), count - 1));
    }
  }

  /// Boot files of all instances, with the ports they hold now.
  std::vector<BootFile> Boots() {
    std::vector<BootFile> boots;
    for (const auto& entry : entries_) {
      BootFile boot;
      boot.settings_file_ = folder_.Path("settings.ini");
      boot.seed_workers_ = workers_.addresses();
      boot.peers_ = entry->peers();
      for (const auto& other : entries_) {
        if (other != entry) boot.seed_peers_.push_back(other->peers());
      }
      boots.push_back(std::move(boot));
    }
    return boots;
  }

  Address callers(size_t index) { return entries_[index]->callers(); }

  Folder folder_;
  /// Of the peers. Without these, another socket could take one between two
  /// starts.
  std::vector<std::unique_ptr<ReservedPort>> ports_;
  Workers workers_;
  std::vector<std::unique_ptr<Instance>> entries_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(SameSubmissionSentEverywhereAtOnceStartsOnce) {
  constexpr int kJobs = 20;
  Fleet fleet(3, 4);
  Ledger ledger;
  const Identity client{FetchClient(fleet.callers(1)), 0};
  for (int i = 0; i < kJobs; ++i) {
    Identity identity = client;
    identity.sequence_ = static_cast<uint64_t>(i) + 1;
    for (size_t to = 0; to < 3; ++to) {
      ledger.Submit(fleet.callers(to), "d" + std::to_string(i), {4, 20},
                    identity);
    }
  }
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) == 3 * kJobs);
  BOOST_TEST(fleet.workers_.starts().size() == 4 * kJobs);
  ledger.Check(fleet.workers_.starts());
}

BOOST_AUTO_TEST_CASE(RetryElsewhereAfterEachLossStartsOnce) {
  constexpr const char* kFaults[] = {
      "reset_after_start=1&times=1", "cut_answer=1&times=1",
      "reset_before=1&times=1", "refuse=1&times=1", "closed=1"};
  for (const char* faults : kFaults) {
    BOOST_TEST_CONTEXT(faults) {
      Fleet fleet(3, 1);
      fleet.workers_.SetFaults(0, faults);
      Ledger ledger;
      const Identity identity{FetchClient(fleet.callers(0)), 1};
      std::vector<size_t> requests;
      for (size_t to = 0; to < 3; ++to) {
        requests.push_back(
            ledger.Submit(fleet.callers(to), "r", {1, 10}, identity));
        BOOST_REQUIRE(ledger.WaitAll());
        fleet.workers_.SetFaults(0, "");
      }
      // The first outcome stands, whoever is asked.
      for (const size_t request : requests) {
        BOOST_TEST((ledger.Answer(request).outcome_ ==
                    ledger.Answer(requests[0]).outcome_));
      }
      ledger.Check(fleet.workers_.starts());
    }
  }
}

BOOST_AUTO_TEST_CASE(OwnerKilledBeforeBetweenAndAfterStarts) {
  struct Case {
    const char* name_;
    uint32_t tasks_;
    int64_t run_ms_;
    size_t blockers_;  ///< Tasks that hold slots when the job arrives.
    size_t starts_;    ///< Of the job, when its owner dies.
  };
  constexpr uint32_t kSlots = 2;
  for (const Case& c :
       {Case{"before", 2, 300, kSlots, 0}, Case{"between", 6, 300, 0, kSlots},
        Case{"after", 2, 300, 0, 2}}) {
    BOOST_TEST_CONTEXT(c.name_) {
      Fleet fleet(2, 1, kSlots);
      Ledger ledger;
      const Identity identity{FetchClient(fleet.callers(0)), 1};
      for (size_t i = 0; i < c.blockers_; ++i) {
        ledger.Submit(fleet.callers(0), "block" + std::to_string(i), {1, 1000});
      }
      BOOST_REQUIRE(ledger.caller().RunUntil(
          [&] { return fleet.workers_.starts().size() == c.blockers_; }));
      ledger.Submit(fleet.callers(0), "job", {c.tasks_, c.run_ms_}, identity);
      BOOST_REQUIRE(ledger.caller().RunUntil([&] {
        return fleet.workers_.starts().size() == c.blockers_ + c.starts_ &&
               fleet.entries_[0]->Status()["stats"]["jobs_accepted"] ==
                   c.blockers_ + 1;
      }));
      fleet.entries_[0]->process().Kill();
      const size_t retry = ledger.Submit(fleet.callers(1), "job",
                                         {c.tasks_, c.run_ms_}, identity);
      BOOST_REQUIRE(ledger.WaitAll());
      const JobAnswer answer = ledger.Answer(retry);
      BOOST_TEST((answer.outcome_ == Outcome::kMayHaveRun));
      BOOST_TEST(!answer.started_known_);
      const auto next = ledger.Submit(fleet.callers(1), "next", {2, 5},
                                      {FetchClient(fleet.callers(1)), 1});
      BOOST_REQUIRE(ledger.WaitAll());
      BOOST_TEST((ledger.Answer(next).outcome_ == Outcome::kComplete));
      ledger.Check(fleet.workers_.starts());
    }
  }
}

BOOST_AUTO_TEST_CASE(StoppedOwnerIsNeverStoodInFor) {
  Fleet fleet(2, 2);
  Ledger ledger;
  const Identity identity{FetchClient(fleet.callers(0)), 1};
  fleet.entries_[0]->process().Signal(SIGSTOP);
  const size_t retry =
      ledger.Submit(fleet.callers(1), "job", {2, 5, 16, {1000}}, identity);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(retry).outcome_ == Outcome::kMayHaveRun));
  BOOST_TEST(fleet.workers_.starts().empty());
  fleet.entries_[0]->process().Signal(SIGCONT);
  const size_t other = ledger.Submit(fleet.callers(0), "later", {2, 5});
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(other).outcome_ == Outcome::kComplete));
  ledger.Check(fleet.workers_.starts());
}

BOOST_AUTO_TEST_CASE(PartedDataCentresServeTheirOwnAndJoinAgain) {
  constexpr const char* kNames[] = {"rennes", "brest"};
  const Folder folder;
  std::vector<std::unique_ptr<Workers>> workers;
  std::vector<BootFile> boots(2);
  std::vector<std::unique_ptr<Instance>> entries;
  Proxy proxy;
  // A first run takes the ports; each instance is then known by its proxy.
  for (size_t i = 0; i < 2; ++i) {
    workers.push_back(std::make_unique<Workers>(folder, 2));
    boots[i].data_centre_ = kNames[i];
    boots[i].seed_workers_ = workers[i]->addresses();
    entries.push_back(std::make_unique<Instance>(folder, boots[i]));
    boots[i].peers_ = entries[i]->peers();
    proxy.Add(boots[i].peers_, &boots[i].peers_advertised_);
  }
  entries.clear();
  for (size_t i = 0; i < 2; ++i) {
    boots[i].seed_peers_ = {boots[1 - i].peers_advertised_};
    entries.push_back(std::make_unique<Instance>(folder, boots[i]));
  }
  for (const auto& entry : entries) BOOST_REQUIRE(entry->WaitFor(2, 1));
  const Identity identity{FetchClient(entries[0]->callers()), 1};
  const Address elsewhere = entries[1]->callers();
  Ledger ledger;
  const size_t joined = ledger.Submit(elsewhere, "joined", {2, 5}, identity);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(joined).outcome_ == Outcome::kComplete));

  for (const size_t pair : {0, 1}) proxy.SetFaults(pair, "mode=blackhole");
  Identity second = identity;
  second.sequence_ = 2;
  const size_t parted =
      ledger.Submit(elsewhere, "parted", {2, 5, 16, {1000}}, second);
  const size_t own = ledger.Submit(elsewhere, "own", {2, 5});
  const size_t other = ledger.Submit(entries[0]->callers(), "other", {2, 5});
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(parted).outcome_ == Outcome::kMayHaveRun));
  BOOST_TEST((ledger.Answer(own).outcome_ == Outcome::kComplete));
  BOOST_TEST((ledger.Answer(other).outcome_ == Outcome::kComplete));

  for (const size_t pair : {0, 1}) proxy.SetFaults(pair, "");
  for (const auto& entry : entries) BOOST_REQUIRE(entry->WaitFor(2, 1));
  Identity third = identity;
  third.sequence_ = 3;
  const size_t again = ledger.Submit(elsewhere, "joined", {2, 5}, identity);
  const size_t fresh = ledger.Submit(elsewhere, "fresh", {2, 5}, third);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST((ledger.Answer(again).outcome_ == Outcome::kComplete));
  BOOST_TEST((ledger.Answer(fresh).outcome_ == Outcome::kComplete));
  std::vector<LoggedStart> starts = workers[0]->starts();
  for (const LoggedStart& start : workers[1]->starts()) {
    starts.push_back(start);
  }
  ledger.Check(starts);
}

BOOST_AUTO_TEST_CASE(RollingTermUnderLoadCutsNothing) {
  constexpr int kJobs = 80;
  Fleet fleet(2, 2, 4);
  Ledger ledger;
  for (int i = 0; i < kJobs; ++i) {
    ledger.Submit(fleet.callers(i % 2), "t" + std::to_string(i), {2, 25});
  }
  BOOST_REQUIRE(ledger.caller().RunUntil(
      [&] { return fleet.workers_.starts().size() >= 16; }));
  fleet.entries_[0]->process().Signal(SIGTERM);
  BOOST_REQUIRE(ledger.WaitAll());
  BOOST_TEST(ledger.Count(Outcome::kComplete) == kJobs);
  BOOST_TEST(fleet.entries_[0]->process().WaitExit() == 0);
  ledger.Check(fleet.workers_.starts());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal::process
