#include "worker_ownership.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

InstanceRecord Record(const std::string& name, const std::string& data_centre,
                      std::set<std::string> workers = {}) {
  InstanceRecord record;
  record.name_ = {name};
  record.incarnation_ = {7};
  record.data_centre_ = data_centre;
  record.peer_address_ = {"127.0.0.1", 7};
  record.workers_ = std::move(workers);
  return record;
}

LeasedWorker Worker(const std::string& id, const std::string& data_centre) {
  LeasedWorker worker;
  worker.id_ = {id};
  worker.data_centre_ = data_centre;
  return worker;
}

struct OwnershipFixture {
  Time now_{1000};
  WorkerOwnership ownership_{Record("b", "west"), Time{1500}};
  OwnershipOutbox out_;
  bool idle_ = true;

  OwnershipFixture() {
    ownership_.SetStoreUp(true);
    for (const char* id : {"w1", "w2", "w3", "w4"}) {
      ownership_.WorkerListed(Worker(id, "west"), now_, &out_);
    }
  }

  void Tick(int64_t ms = 20) {
    now_ = now_ + Duration{ms};
    ownership_.Tick(
        now_, [this](const WorkerId&) { return idle_; }, &out_);
  }

  template <typename T>
  std::vector<T> TakeCommands() {
    std::vector<T> all;
    for (const OwnershipCommand& command : out_) {
      if (const auto* match = std::get_if<T>(&command)) all.push_back(*match);
    }
    out_.clear();
    return all;
  }

  /// Ticks twice and confirms the write of the published record after each
  /// tick.
  /// @returns the commands to acquire workers.
  std::vector<AcquireWorker> ClaimAndStore(uint64_t revision) {
    Tick(600);
    out_.clear();
    ownership_.RecordWritten(Fence{revision}, &out_);
    Tick();
    ownership_.RecordWritten(Fence{revision + 1}, &out_);
    return TakeCommands<AcquireWorker>();
  }
};

BOOST_FIXTURE_TEST_SUITE(worker_ownership, OwnershipFixture)

BOOST_AUTO_TEST_CASE(UsesTheRevisionOfTheWriteAsFence) {
  const auto owned = ClaimAndStore(41);
  BOOST_REQUIRE(owned.size() == 4U);
  BOOST_TEST(owned[0].fence_.value_ >= 41U);
}

BOOST_AUTO_TEST_CASE(ClaimsNothingWhileTheStoreIsUnreachable) {
  ownership_.SetStoreUp(false);
  Tick(1000);
  BOOST_TEST(TakeCommands<PublishRecord>().empty());
}

BOOST_AUTO_TEST_CASE(ClaimsNoWorkerOfAReachableInstance) {
  ownership_.InstanceListed(Record("a", "west", {"w1", "w2"}));
  ownership_.SetReachable({"a"}, true);
  BOOST_TEST(ClaimAndStore(41).size() == 2U);
  // The store has lost the instance's record or doesn't accept its renewals.
  ownership_.InstanceUnlisted({"a"});
  Tick();
  BOOST_TEST(TakeCommands<PublishRecord>().empty());
  ownership_.SetReachable({"a"}, false);
  Tick();
  const auto published = TakeCommands<PublishRecord>();
  BOOST_REQUIRE(published.size() == 1U);
  BOOST_TEST(published[0].record_.workers_.size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReleasesBusyWorkersOnlyOnceTheyAreIdle) {
  ClaimAndStore(41);
  idle_ = false;
  ownership_.Drain();
  Tick();
  BOOST_TEST(TakeCommands<DrainWorker>().size() == 4U);
  Tick();
  BOOST_TEST(TakeCommands<ReleaseWorker>().empty());
  BOOST_TEST(!ownership_.released());
  idle_ = true;
  Tick();
  BOOST_TEST(TakeCommands<ReleaseWorker>().size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReleasesWorkersInADrainWithoutTheStore) {
  ClaimAndStore(41);
  ownership_.SetStoreUp(false);
  ownership_.Drain();
  Tick();
  BOOST_TEST(TakeCommands<ReleaseWorker>().size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReleasesWorkersForAnInstanceThatJoins) {
  ClaimAndStore(41);
  ownership_.InstanceListed(Record("a", "west"));
  Tick();
  BOOST_TEST(TakeCommands<ReleaseWorker>().size() == 2U);
}

// Guards against a job that is cut off because its owner is no longer one.
BOOST_AUTO_TEST_CASE(StaysConnectedWhileTasksAreOpenElsewhere) {
  for (const char* name : {"a", "c", "d"}) {
    InstanceRecord record = Record(name, "west");
    record.cpu_milli_ = 100;
    ownership_.InstanceListed(record);
  }
  Tick();
  const auto links = [&](bool awaited) {
    std::set<std::string> names;
    for (const InstanceRecord& target :
         ownership_.LinkTargets([&](const InstanceName&) { return awaited; })) {
      names.insert(target.name_.value_);
    }
    return names;
  };
  const std::set<std::string> before = links(false);
  BOOST_REQUIRE(before.size() < 3U);
  BOOST_TEST(links(true).size() == 3U);
  // One that still owns workers of this data centre may have free resources.
  InstanceRecord owner = Record("d", "west", {"w1"});
  owner.cpu_milli_ = 1;
  ownership_.InstanceListed(owner);
  Tick();
  BOOST_TEST(links(false).count("d") == 1U);
}

BOOST_AUTO_TEST_CASE(ChangesItsPlanOnlyWithItsView) {
  ownership_.InstanceListed(Record("a", "west"));
  Tick();
  const uint64_t version = ownership_.plan_version();
  ownership_.WorkerListed(Worker("w1", "west"), now_, &out_);
  for (int i = 0; i < 10; ++i) Tick();
  BOOST_TEST(ownership_.plan_version() == version);
  ownership_.InstanceUnlisted({"a"});
  Tick();
  BOOST_TEST(ownership_.plan_version() > version);
}

// Guards against a plan of all workers for each record that changes while a
// large fleet starts or restarts.
BOOST_AUTO_TEST_CASE(PlansOfALargeFleetAreSpacedOut) {
  for (int i = 0; i < 2000; ++i) {
    ownership_.WorkerListed(Worker("m" + std::to_string(i), "east"), now_,
                            &out_);
  }
  Tick();
  const uint64_t version = ownership_.plan_version();
  for (int i = 0; i < 50; ++i) {
    ownership_.InstanceListed(Record("a" + std::to_string(i), "west"));
    Tick();
  }
  const uint64_t plans = ownership_.plan_version() - version;
  BOOST_TEST(plans >= 3U);
  BOOST_TEST(plans <= 6U);
}

// Guards against an instance that starts, plans from the workers alone and then
// claims the whole fleet when the list of instances has just arrived.
BOOST_AUTO_TEST_CASE(ClaimsNothingByAPlanFromBeforeTheViewChanged) {
  ownership_.SetStoreUp(false);
  for (int i = 0; i < 2000; ++i) {
    ownership_.WorkerListed(Worker("m" + std::to_string(i), "west"), now_,
                            &out_);
  }
  Tick(600);
  InstanceRecord owner = Record("a", "west");
  for (const auto& [id, worker] : ownership_.workers()) {
    owner.workers_.insert(id);
  }
  ownership_.InstanceListed(owner);
  ownership_.SetStoreUp(true);
  for (int i = 0; i < 20; ++i) Tick();
  for (const PublishRecord& published : TakeCommands<PublishRecord>()) {
    BOOST_TEST(published.record_.workers_.empty());
  }
}

// Guards against instances that start together and claim the same workers, each
// by a list from before the other one's record: they took them from each other
// for half a second, and a store outage meanwhile left workers without an
// owner.
BOOST_AUTO_TEST_CASE(ClaimsNothingByAnOldListOfInstances) {
  ownership_.SetViewAge(Duration{150});
  for (int i = 0; i < 30; ++i) Tick();
  for (const PublishRecord& published : TakeCommands<PublishRecord>()) {
    BOOST_TEST(published.record_.workers_.empty());
  }
  ownership_.RecordWritten(Fence{41}, &out_);
  ownership_.InstanceListed(Record("a", "west"));
  ownership_.SetViewAge(Duration{0});
  Tick();
  const auto published = TakeCommands<PublishRecord>();
  BOOST_REQUIRE(published.size() == 1U);
  BOOST_TEST(published[0].record_.workers_.size() == 2U);
}

// Guards against a worker that each of two owners expects the other to claim:
// one has planned before its own claims, the other after them.
// A worker in an old list may have said since that it is leaving.
BOOST_AUTO_TEST_CASE(ClaimsNothingByAnOldListOfWorkers) {
  ownership_.SetWorkersCurrent(false);
  Tick(600);
  Tick(600);
  BOOST_TEST(ClaimAndStore(41).empty());
  ownership_.SetWorkersCurrent(true);
  BOOST_TEST(ClaimAndStore(43).size() == 4U);
}

// Guards against a fleet in which every instance reads all that workers write,
// and against workers that stay without an owner as none was reading.
BOOST_AUTO_TEST_CASE(OwnersAndTheNextOneInLineNeedCurrentWorkers) {
  BOOST_TEST(ownership_.needs_current_workers());
  const auto list = [&](const std::string& name, int32_t cpu_milli,
                        std::set<std::string> workers = {}) {
    InstanceRecord record = Record(name, "west", std::move(workers));
    record.cpu_milli_ = cpu_milli;
    ownership_.InstanceListed(record);
  };
  // An unknown processor share counts as one core: "b" is the last in line.
  list("a", 2000, {"w1", "w2"});
  list("c", 2000, {"w3", "w4"});
  list("d", 2000);
  Tick();
  BOOST_TEST(!ownership_.needs_current_workers());
  const uint64_t version = ownership_.near_owners_version();
  ownership_.InstanceUnlisted({"d"});
  Tick();
  BOOST_TEST(ownership_.needs_current_workers());
  BOOST_TEST(ownership_.near_owners_version() == version);
  ownership_.InstanceUnlisted({"c"});
  Tick();
  BOOST_TEST(ownership_.near_owners_version() == version + 1);
}

BOOST_AUTO_TEST_CASE(PlansAgainOnceItsClaimsAreStored) {
  ownership_.InstanceListed(Record("c", "west", {"w3", "w4"}));
  ClaimAndStore(41);
  const uint64_t planned = ownership_.plan_version();
  ownership_.WorkerListed(Worker("w5", "west"), now_, &out_);
  ownership_.InstanceUnlisted({"c"});
  Tick(600);
  BOOST_TEST(ownership_.plan_version() == planned + 1);
  ownership_.RecordWritten(Fence{43}, &out_);
  BOOST_TEST(TakeCommands<AcquireWorker>().size() == 3U);
  Tick(600);
  BOOST_TEST(ownership_.plan_version() == planned + 2);
}

// Its entry may have expired in a store outage and come back with the store.
// Guards against a worker without an owner: the records of two instances list
// it, and each of them plans that the other one is to own it.
BOOST_AUTO_TEST_CASE(InstancesAgreeOnTheOwnerOfAWorkerThatTwoRecordsList) {
  const std::set<std::string> workers = {"w1"};
  std::set<std::string> claims;
  for (const auto& [self, other] : {std::pair("a", "c"), std::pair("c", "a")}) {
    WorkerOwnership one(Record(self, "west", workers), Time{0});
    one.SetStoreUp(true);
    one.WorkerListed(Worker("w1", "west"), now_, &out_);
    one.InstanceListed(Record(other, "west", workers));
    one.RecordWritten(Fence{9}, &out_);
    for (int i = 0; i < 100; ++i) {
      now_ = now_ + Duration{20};
      one.Tick(
          now_, [](const WorkerId&) { return true; }, &out_);
    }
    if (one.owned() > 0) claims.insert(self);
  }
  BOOST_TEST(claims.size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsAnUnlistedWorkerForAGracePeriod) {
  ClaimAndStore(41);
  ownership_.WorkerUnlisted({"w1"}, now_);
  Tick(1500);
  BOOST_TEST(TakeCommands<ReleaseWorker>().empty());
  Tick(1000);
  BOOST_TEST(TakeCommands<ReleaseWorker>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordsSurviveSerialization) {
  const InstanceRecord record = Record("a", "west", {"w1", "w2"});
  InstanceRecord read;
  BOOST_REQUIRE(ParseInstanceRecord(ToJson(record), &read));
  BOOST_TEST(ToJson(read) == ToJson(record));
  BOOST_TEST(!ParseInstanceRecord("{}", &read));
  BOOST_TEST(!ParseInstanceRecord("\xff", &read));
}

// The processor share and the link of an instance decide who owns workers.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeMakeARecordUnusable) {
  InstanceRecord record = Record("a", "west", {"w1"});
  record.cpu_milli_ = 500;
  record.link_rate_ = {250000};
  const std::string good = ToJson(record);
  InstanceRecord read;
  BOOST_REQUIRE(ParseInstanceRecord(good, &read));
  BOOST_TEST((read == record));
  const auto parses = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return ParseInstanceRecord(text, &read);
  };
  for (const char* number : {"4294967796", "-500", "1e30", "1e400", "true"}) {
    BOOST_TEST(!parses(":500", ":" + std::string(number)), number);
  }
  for (const char* number : {"-1", "1e30", "18446744073709551615", "\"x\""}) {
    BOOST_TEST(!parses(":250000", ":" + std::string(number)), number);
  }
  BOOST_TEST(!parses("\"a\"", "\"a\\r\\nb\""));
  BOOST_TEST(!parses("[\"w1\"]", "{\"w1\":1}"));
  BOOST_TEST(!parses(":7\"", ":70000\""));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
