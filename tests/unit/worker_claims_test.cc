#include "worker_claims.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

InstanceRecord Record(const std::string& name, const std::string& data_centre,
                      std::set<std::string> workers = {}) {
  InstanceRecord record;
  record.name_ = {name};
  record.incarnation_ = {7};
  record.data_centre_ = data_centre;
  record.peers_ = {"127.0.0.1", 7};
  record.workers_ = std::move(workers);
  return record;
}

LeasedWorker Worker(const std::string& id, const std::string& data_centre) {
  LeasedWorker worker;
  worker.id_ = {id};
  worker.data_centre_ = data_centre;
  return worker;
}

struct ClaimsFixture {
  Time now_{1000};
  WorkerClaims claims_{Record("b", "west"), Time{1500}};
  ClaimOutbox out_;
  bool idle_ = true;

  ClaimsFixture() {
    claims_.SetStoreUp(true);
    for (const char* id : {"w1", "w2", "w3", "w4"}) {
      claims_.WorkerListed(Worker(id, "west"), now_, &out_);
    }
  }

  void Tick(int64_t ms = 20) {
    now_ = now_ + Duration{ms};
    claims_.Tick(
        now_, [this](const WorkerId&) { return idle_; }, &out_);
  }

  template <typename T>
  std::vector<T> Take() {
    std::vector<T> all;
    for (const ClaimCommand& command : out_) {
      if (const auto* one = std::get_if<T>(&command)) all.push_back(*one);
    }
    out_.clear();
    return all;
  }

  /// Ticks, and stores what is published. @returns the workers then owned.
  std::vector<OwnWorker> Settle(uint64_t revision) {
    Tick(600);
    out_.clear();
    claims_.Written(Fence{revision}, &out_);
    Tick();
    claims_.Written(Fence{revision + 1}, &out_);
    return Take<OwnWorker>();
  }
};

BOOST_FIXTURE_TEST_SUITE(worker_claims, ClaimsFixture)

BOOST_AUTO_TEST_CASE(SharesWorkersEvenly) {
  ClaimView view;
  view.instances_ = {{"a", "west"}, {"b", "west"}, {"c", "east"}};
  for (const char* id : {"w1", "w2", "w3", "w4"}) view.workers_[id] = "west";
  view.workers_["e1"] = "east";
  view.workers_["n1"] = "north";
  const auto wanted = AssignWorkers(view);
  std::map<std::string, int> count;
  for (const auto& [worker, owner] : wanted) ++count[owner];
  BOOST_TEST(count["a"] >= 2);
  BOOST_TEST(count["b"] == 2);
  BOOST_TEST(wanted.at("e1") == "c");
  BOOST_TEST(wanted.count("n1") == 1U);
}

BOOST_AUTO_TEST_CASE(MovesNoWorkerThatNeedNotMove) {
  ClaimView view;
  view.instances_ = {{"a", "west"}, {"b", "west"}};
  for (const char* id : {"w1", "w2", "w3"}) view.workers_[id] = "west";
  view.owners_ = {{"w1", "b"}, {"w2", "b"}, {"w3", "a"}};
  const auto wanted = AssignWorkers(view);
  BOOST_TEST((wanted == view.owners_));
}

BOOST_AUTO_TEST_CASE(ClaimsWithTheRevisionOfTheWriteAsFence) {
  const auto owned = Settle(41);
  BOOST_REQUIRE(owned.size() == 4U);
  BOOST_TEST(owned[0].fence_.value_ >= 41U);
}

BOOST_AUTO_TEST_CASE(ClaimsNothingWhileTheStoreIsAway) {
  claims_.SetStoreUp(false);
  Tick(1000);
  BOOST_TEST(Take<PublishRecord>().empty());
}

BOOST_AUTO_TEST_CASE(LeavesTheWorkersOfAReachableInstanceAlone) {
  claims_.InstanceListed(Record("a", "west", {"w1", "w2"}));
  claims_.Reachable({"a"}, true);
  BOOST_TEST(Settle(41).size() == 2U);
  // The store has lost its record, or takes no renewal from it.
  claims_.InstanceUnlisted({"a"});
  Tick();
  BOOST_TEST(Take<PublishRecord>().empty());
  claims_.Reachable({"a"}, false);
  Tick();
  const auto published = Take<PublishRecord>();
  BOOST_REQUIRE(published.size() == 1U);
  BOOST_TEST(published[0].record_.workers_.size() == 4U);
}

BOOST_AUTO_TEST_CASE(HandsBusyWorkersOverOnlyWhenNothingRuns) {
  Settle(41);
  idle_ = false;
  claims_.Drain();
  Tick();
  BOOST_TEST(Take<RetireWorker>().size() == 4U);
  Tick();
  BOOST_TEST(Take<DisownWorker>().empty());
  BOOST_TEST(!claims_.released());
  idle_ = true;
  Tick();
  BOOST_TEST(Take<DisownWorker>().size() == 4U);
}

BOOST_AUTO_TEST_CASE(GivesUpWorkersWithoutAStoreInADrain) {
  Settle(41);
  claims_.SetStoreUp(false);
  claims_.Drain();
  Tick();
  BOOST_TEST(Take<DisownWorker>().size() == 4U);
}

BOOST_AUTO_TEST_CASE(GivesRoomToAnInstanceThatJoins) {
  Settle(41);
  claims_.InstanceListed(Record("a", "west"));
  Tick();
  BOOST_TEST(Take<DisownWorker>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(KeepsAnUnlistedWorkerForTheStoresReturn) {
  Settle(41);
  claims_.WorkerUnlisted({"w1"}, now_);
  Tick(1500);
  BOOST_TEST(Take<DisownWorker>().empty());
  Tick(1000);
  BOOST_TEST(Take<DisownWorker>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordsKeepTheirFields) {
  const InstanceRecord record = Record("a", "west", {"w1", "w2"});
  InstanceRecord read;
  BOOST_REQUIRE(ParseInstanceRecord(ToJson(record), &read));
  BOOST_TEST(ToJson(read) == ToJson(record));
  BOOST_TEST(!ParseInstanceRecord("{}", &read));
  BOOST_TEST(!ParseInstanceRecord("\xff", &read));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
