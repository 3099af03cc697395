#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>

#include "hosted_process.h"

namespace gentiandeal::process {
namespace {

using Json = nlohmann::json;

/// Callers wait so long, and send again so long after a loss.
constexpr int64_t kDeadlineMs = 3000;
constexpr Duration kCallerWaits{kDeadlineMs};
constexpr Duration kResendAfter{1300};
/// Long enough to be running still when a job is sent again.
constexpr int kLongRunMs = 1900;

/// A platform, two instances, and callers that send jobs to them.
struct HostedFixture {
  Folder folder_;
  Process platform_{"standin_hosted", {"--workers", "12"}};
  HostedInstanceProcess a_{folder_, "a", platform_.At("store")};
  HostedInstanceProcess b_{folder_, "b", platform_.At("store")};
  Caller caller_;
  MonotonicClock clock_;
  uint64_t last_job_ = 0;

  HostedFixture() {
    BOOST_REQUIRE(WaitUntil([&] { return a_.Ready() && b_.Ready(); }));
    BOOST_REQUIRE(WaitUntil([&] { return Serves(a_) && Serves(b_); }));
  }

  HttpRequest Job(int tasks, int ms) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(++last_job_));
    const Json step = {
        {"count", tasks}, {"cpu", 14000}, {"mem_mb", 64}, {"est_ms", ms}};
    Json body;
    body["spec"] = std::to_string(ms);
    body["best_effort"] = true;
    body["phases"] = Json::array({step});
    return {"POST",
            std::string("/case/") + id,
            {{"Host", "desk.example"},
             {"Deadline-Ms", std::to_string(kDeadlineMs)}},
            body.dump()};
  }

  bool Serves(const HostedInstanceProcess& instance) {
    return Fetch(instance.callers(), Job(1, 5), Duration{2000}).status_ == 200;
  }

  static bool RunsLong(int job) { return job % 20 == 8 || job % 20 == 19; }

  /// A job that was sent, to one instance or in the end to both.
  struct Sent {
    size_t index_ = 0;
    HttpRequest request_;
    bool to_a_ = false;
    bool again_ = false;
    std::optional<Time> lost_at_;
  };

  /// Sends the jobs whose answers were lost again, as callers do.
  void SendLostAgain(std::vector<Sent>* sent) {
    const Time now = clock_.Now();
    for (Sent& one : *sent) {
      if (one.again_ || !caller_.Answered(one.index_)) continue;
      const int status = caller_.Answer(one.index_).status_;
      if (status != 0 && status != 502 && status != 504) continue;
      if (!one.lost_at_) one.lost_at_ = now;
      if (now - *one.lost_at_ < kResendAfter) continue;
      one.again_ = true;
      const HostedInstanceProcess& other = one.to_a_ ? b_ : a_;
      one.index_ = caller_.Send(other.callers(), one.request_, kCallerWaits);
    }
  }

  /// Sends jobs to both instances at an even pace and waits for all answers.
  /// Each tenth one runs for long, in turn at either instance.
  /// @param middle Called half way.
  /// @returns the number answered 200.
  size_t Load(int jobs, const std::function<void()>& middle) {
    std::vector<Sent> sent;
    for (int i = 0; i < jobs; ++i) {
      if (i == jobs / 2) middle();
      Sent one;
      one.to_a_ = i % 2 == 0;
      one.request_ = RunsLong(i) ? Job(1, kLongRunMs) : Job(1 + i % 3, 40);
      one.index_ = caller_.Send(one.to_a_ ? a_.callers() : b_.callers(),
                                one.request_, kCallerWaits);
      sent.push_back(one);
      caller_.RunUntil([] { return false; }, Duration{15});
      SendLostAgain(&sent);
    }
    const Time end = clock_.Now() + Duration{2 * kDeadlineMs + 1500};
    while (clock_.Now() < end) {
      caller_.RunUntil([] { return false; }, Duration{20});
      SendLostAgain(&sent);
      const bool settled =
          std::all_of(sent.begin(), sent.end(), [&](const Sent& one) {
            return caller_.Answered(one.index_) &&
                   (one.again_ || !one.lost_at_);
          });
      if (settled) break;
    }
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& one) {
          return caller_.Answered(one.index_) &&
                 caller_.Answer(one.index_).status_ == 200;
        }));
  }

  Json Report(const std::string& method = "GET",
              const std::string& query = "") {
    return Json::parse(Fetch(platform_.At("control"),
                             {method, "/standin/faults" + query, {}, ""},
                             kPatience)
                           .body_);
  }

  /// What no instance may ever cause.
  void CheckRules() {
    const Json report = Report();
    BOOST_TEST(report["overbooked"] == 0);
    BOOST_TEST(report["twice"] == 0);
    BOOST_TEST(report["starts"].get<int>() > 0);
  }
};

BOOST_FIXTURE_TEST_SUITE(hosted, HostedFixture)

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

BOOST_AUTO_TEST_CASE(ADrainedInstanceAnswersAllItTook) {
  const size_t served = Load(200, [&] { a_.process().Signal(SIGTERM); });
  // Those sent after it has stopped listening are refused by the kernel.
  BOOST_TEST(served >= 180U);
  BOOST_TEST(a_.process().WaitExit() == 0);
  CheckRules();
  BOOST_TEST(Report()["lapsed"] == 0);
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

// Orders without an answer that are carried out seconds later.
BOOST_AUTO_TEST_CASE(LateOrdersNeverRunATaskTwice) {
  Report("PUT", "?silent=0.1&late_ms=700");
  Load(150, [] {});
  Report("PUT");
  caller_.RunUntil([] { return false; }, Duration{1000});
  CheckRules();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::process
