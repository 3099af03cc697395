#include "task_losses.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr Time kNow{1000000};

WorkerLosses Charge(TaskLossLedger* ledger, const std::vector<LostRun>& runs,
                    LossCause cause, const std::string& task) {
  ledger->Charge(runs, cause, kNow, kNow);
  return ledger->Find(task);
}

LostRun RunFor(const std::string& task, int64_t age_ms, bool running = true) {
  return {task, kNow - Duration{age_ms}, running};
}

BOOST_AUTO_TEST_SUITE(task_losses)

BOOST_AUTO_TEST_CASE(ATaskIsGivenUpAfterTwoCrashesOfItsOwn) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("deadly", 10)}, LossCause::kCrash, "deadly");
  BOOST_TEST(!IsExhausted(ledger.Find("deadly")));
  Charge(&ledger, {RunFor("deadly", 10)}, LossCause::kCrash, "deadly");
  BOOST_TEST(IsExhausted(ledger.Find("deadly")));
}

BOOST_AUTO_TEST_CASE(ATaskIsGivenUpAfterThreeLostWorkersOfAnyCause) {
  TaskLossLedger ledger;
  for (int i = 0; i < 2; ++i) {
    Charge(&ledger, {RunFor("task", 10)}, LossCause::kSilence, "task");
  }
  BOOST_TEST(!IsExhausted(ledger.Find("task")));
  Charge(&ledger, {RunFor("task", 10)}, LossCause::kSilence, "task");
  BOOST_TEST(IsExhausted(ledger.Find("task")));
  BOOST_TEST(!IsToBlame(ledger.Find("task")));
}

// Guards against failing the jobs of tasks that only stand beside a crash.
BOOST_AUTO_TEST_CASE(OnlyTasksThatHadJustBeenStartedAreBlamed) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("bystander", 800), RunFor("deadly", 10)},
         LossCause::kCrash, "deadly");
  BOOST_TEST((ledger.Find("bystander") == WorkerLosses{1, 0}));
  BOOST_TEST((ledger.Find("deadly") == WorkerLosses{1, 1}));
}

BOOST_AUTO_TEST_CASE(OfTasksStartedTogetherThoseWithEarlierCrashesAreBlamed) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("deadly", 10)}, LossCause::kCrash, "deadly");
  Charge(&ledger, {RunFor("deadly", 10), RunFor("bystander", 12)},
         LossCause::kCrash, "deadly");
  BOOST_TEST(IsExhausted(ledger.Find("deadly")));
  BOOST_TEST((ledger.Find("bystander") == WorkerLosses{1, 0}));
}

// Guards against failing jobs for crashes that other causes explain as well.
BOOST_AUTO_TEST_CASE(NobodyIsBlamedIfNoneHadJustBegun) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("a", 600), RunFor("b", 900)}, LossCause::kCrash, "a");
  BOOST_TEST((ledger.Find("a") == WorkerLosses{1, 0}));
  BOOST_TEST((ledger.Find("b") == WorkerLosses{1, 0}));
}

// Guards against blame for a start that met a worker which another task had
// crashed some milliseconds before.
BOOST_AUTO_TEST_CASE(ATaskThatIsNotKnownToHaveRunIsNotBlamed) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("suspect", 10)}, LossCause::kCrash, "suspect");
  Charge(&ledger, {RunFor("deadly", 12), RunFor("suspect", 1, false)},
         LossCause::kCrash, "deadly");
  BOOST_TEST((ledger.Find("suspect") == WorkerLosses{2, 1}));
  BOOST_TEST((ledger.Find("deadly") == WorkerLosses{1, 1}));
}

BOOST_AUTO_TEST_CASE(ARestartBlamesNobody) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("task", 10)}, LossCause::kRestart, "task");
  BOOST_TEST((ledger.Find("task") == WorkerLosses{1, 0}));
}

BOOST_AUTO_TEST_CASE(KeepsTheHigherCountsOfTwoInstances) {
  TaskLossLedger ledger;
  BOOST_TEST(ledger.Merge({"task", {2, 0}}, kNow));
  BOOST_TEST(ledger.Merge({"task", {1, 1}}, kNow));
  BOOST_TEST((ledger.Find("task") == WorkerLosses{2, 1}));
  BOOST_TEST(!ledger.Merge({"task", {2, 1}}, kNow));
  BOOST_TEST(!ledger.Merge({"other", {}}, kNow));
}

BOOST_AUTO_TEST_CASE(TellsSuspectsAndLeavesOutBystandersOfOneCrash) {
  TaskLossLedger ledger;
  Charge(&ledger, {RunFor("bystander", 800), RunFor("deadly", 10)},
         LossCause::kCrash, "deadly");
  const std::vector<TaskLosses> suspects = ledger.Suspects();
  BOOST_REQUIRE(suspects.size() == 1U);
  BOOST_TEST(suspects[0].task_ == "deadly");
}

BOOST_AUTO_TEST_CASE(ForgetsTheOldestAndKeepsABound) {
  TaskLossLedger ledger;
  ledger.Merge({"oldest", {1, 1}}, kNow);
  for (size_t i = 0; i < TaskLossLedger::kMaxTasks; ++i) {
    ledger.Merge({"task" + std::to_string(i), {1, 1}}, kNow + Duration{1});
  }
  BOOST_TEST((ledger.Find("oldest") == WorkerLosses{}));
  BOOST_TEST(ledger.evicted() == 1U);
  BOOST_TEST(!ledger.empty());
  ledger.Expire(kNow + TaskLossLedger::kMemory + Duration{1});
  BOOST_TEST(ledger.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
