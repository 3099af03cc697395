#include <sys/stat.h>

#include <fstream>

#include "hosted_fixture.h"

namespace gentiandeal::process {
namespace {

BOOST_FIXTURE_TEST_SUITE(hosted, HostedFixture)

BOOST_AUTO_TEST_CASE(ADrainedInstanceAnswersAllItTook) {
  const size_t served = Load(200, [&] { a_.process().Signal(SIGTERM); });
  // Those sent after it has stopped listening are refused by the kernel.
  BOOST_TEST(served >= 180U);
  BOOST_TEST(a_.process().WaitExit() == 0);
  CheckRules();
  BOOST_TEST(Report()["lapsed"] == 0);
}

// Guards against an instance that ends by SIGABRT at SIGTERM: a run on one of
// its workers outlasts the drain, so that its record is removed while a write
// of it is under way.
BOOST_FIXTURE_TEST_CASE(AStopThatMeetsAWriteOfTheRecordEndsWell,
                        LongNamesFixture) {
  constexpr int kOutlastsTheDrainMs = 2800;
  constexpr int64_t kInTimeMs = 8000;
  constexpr size_t kJobs = 16;  // more than the other instance's workers hold
  Report("PUT", "?store_answer_ms=30");
  for (HostedInstanceProcess* stopped : {&a_, &b_}) {
    const HostedInstanceProcess& other = stopped == &a_ ? b_ : a_;
    std::vector<size_t> jobs(kJobs);
    for (size_t& job : jobs) {
      job = caller_.Send(other.callers(),
                         Job(1, kOutlastsTheDrainMs, kInTimeMs), kPatience);
    }
    Wait(Duration{200});
    stopped->process().Signal(SIGTERM);
    BOOST_TEST(caller_.WaitAll());
    for (const size_t job : jobs) {
      BOOST_TEST(caller_.Answer(job).status_ == 200);
    }
    BOOST_TEST(stopped->process().WaitExit() == 0);
    stopped->Restart();
    BOOST_REQUIRE(WaitUntil([&] { return Serves(*stopped); }));
    // Until workers are shared out again.
    Wait(Duration{2000});
  }
  CheckRules();
}

// Guards against a process that is ended by a SIGTERM during its start: the
// platform takes that for a crash.
BOOST_AUTO_TEST_CASE(AStopDuringTheStartEndsWell) {
  a_.process().Signal(SIGTERM);
  BOOST_TEST(a_.process().WaitExit() == 0);
  const std::string settings = folder_.Path("settings");
  BOOST_REQUIRE(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
  Process starting("gentiandeal", {"hosted", "--settings", settings});
  // Opens as soon as the process reads its settings.
  std::ofstream pipe(settings);
  starting.Signal(SIGTERM);
  pipe << ReadFile(folder_.Path("a.json"));
  pipe.close();
  BOOST_TEST(starting.WaitExit() == 0);
}

// The platform kills what has not ended 6 s after SIGTERM.
BOOST_AUTO_TEST_CASE(ADrainedInstanceEndsInTimeThoughTheStoreIsSilent) {
  Report("PUT", "?store_silent=1");
  // Until it is known: from then on nothing is handed over.
  caller_.RunUntil([] { return false; }, Duration{4500});
  const Time asked = clock_.Now();
  a_.process().Signal(SIGTERM);
  BOOST_TEST(a_.process().WaitExit() == 0);
  BOOST_TEST((clock_.Now() - asked).ms_ < 6000);
  CheckRules();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::process
