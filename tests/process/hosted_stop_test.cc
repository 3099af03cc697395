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

// Guards against jobs that are taken while the process ends: their callers
// would only see the end of the connection.
BOOST_AUTO_TEST_CASE(AJobThatComesWhileTheProcessEndsIsAnswered) {
  struct SentBy {
    Time at_;
    std::unique_ptr<RawCaller> caller_;
  };
  // An end that nobody could have seen when the job was sent.
  constexpr Duration kNoticed{100};
  constexpr size_t kJobs = 150;
  Report("PUT", "?store_answer_ms=350");
  std::vector<SentBy> sent(kJobs);
  for (SentBy& one : sent) {
    one.caller_ = std::make_unique<RawCaller>(a_.callers());
  }
  a_.process().Signal(SIGTERM);
  Wait(Duration{2000});
  size_t next = 0;
  while (next < kJobs && a_.process().WaitExit(Duration{30}) == -1) {
    sent[next].at_ = clock_.Now();
    sent[next++].caller_->Send(Job(1, 400));
  }
  BOOST_TEST(a_.process().WaitExit() == 0);
  const Time ended = clock_.Now();
  size_t checked = 0;
  for (size_t i = 0; i < next; ++i) {
    if (ended - sent[i].at_ < kNoticed) continue;
    ++checked;
    BOOST_TEST_CONTEXT("sent " << (ended - sent[i].at_).ms_
                               << " ms before the end") {
      BOOST_TEST(!sent[i].caller_->Receive(Duration{100}).empty());
    }
  }
  BOOST_TEST(checked > 20U);
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
