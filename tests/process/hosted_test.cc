#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <optional>

#include "hosted_process.h"

namespace gentiandeal::process {
namespace {

using Json = nlohmann::json;

/// Callers wait so long, and send again so long after a loss.
constexpr int64_t kDeadlineMs = 3000;
constexpr Duration kCallerWaits{kDeadlineMs};
constexpr Duration kResendAfter{1300};
/// Leaves time for several crashes before an answer is of no use.
constexpr int kCrashingJobMs = 600;
/// Workers that may crash under a task, by the users' rules.
constexpr int kMaxCrashes = 3;
/// Long enough to be running still when a job is sent again.
constexpr int kLongRunMs = 1900;
/// From a loss that the instance's kernel learns at once to the end of the
/// job's runs: a stop of 50 ms, and room for a busy machine.
constexpr Duration kRunsEndWithin{600};
/// More than an instance reads of a connection ahead of its answer.
constexpr size_t kPipelinedBytes = 2 << 20;

/// Caller's connection, whose end is under the control of the test.
class RawCaller {
 public:
  explicit RawCaller(const Address& to) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    SocketAddress address;
    BOOST_REQUIRE(!ToSocketAddress(to, &address));
    BOOST_REQUIRE(connect(fd_, address.get(), address.size_) == 0);
  }
  ~RawCaller() {
    if (fd_ >= 0) close(fd_);
  }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const HttpRequest& request) {
    std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields_) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(request.body_.size()) +
            "\r\n\r\n" + request.body_;
    SendBytes(text);
  }

  /// Sends as much as the connection takes within a second.
  /// @returns the number of bytes sent.
  size_t SendBytes(const std::string& bytes) {
    const timeval limit{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return static_cast<size_t>(std::max<ssize_t>(sent, 0));
  }

  void Close() {
    close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger abort{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    Close();
  }
  void HalfClose() { shutdown(fd_, SHUT_WR); }

  /// Discards every segment that arrives, as if the path was cut, so that
  /// nothing is acknowledged any more.
  void FallSilent() {
    sock_filter discard[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    const sock_fprog program{1, discard};
    BOOST_REQUIRE(setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                             sizeof(program)) == 0);
  }

  /// @returns the beginning of the answer, or what came until `patience`.
  std::string Receive(Duration patience) {
    const timeval limit{patience.ms_ / 1000, patience.ms_ % 1000 * 1000};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char bytes[4096];
    const ssize_t got = recv(fd_, bytes, sizeof(bytes), 0);
    return {bytes, static_cast<size_t>(std::max<ssize_t>(got, 0))};
  }

 private:
  int fd_;
};

/// A platform, two instances, and callers that send jobs to them.
struct HostedFixture {
  Folder folder_;
  Process platform_;
  HostedInstanceProcess a_;
  HostedInstanceProcess b_;
  Caller caller_;
  MonotonicClock clock_;
  uint64_t last_job_ = 0;

  HostedFixture() : HostedFixture({"--workers", "12"}, "", "") {}
  HostedFixture(const std::vector<std::string>& platform,
                const std::string& centre_a, const std::string& centre_b,
                const std::pair<std::string, std::string>& names = {"a", "b"})
      : platform_("standin_hosted", platform),
        a_(folder_, names.first, platform_.At("store"), "rpc", "warn", "",
           centre_a),
        b_(folder_, names.second, platform_.At("store"), "rpc", "warn", "",
           centre_b) {
    BOOST_REQUIRE(WaitUntil([&] { return a_.Ready() && b_.Ready(); }));
    BOOST_REQUIRE(WaitUntil([&] { return Serves(a_) && Serves(b_); }));
  }

  HttpRequest Job(int tasks, int ms, int64_t deadline_ms = kDeadlineMs) {
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
             {"Deadline-Ms", std::to_string(deadline_ms)}},
            body.dump()};
  }

  /// A job whose first task crashes each worker that starts it.
  HttpRequest CrashingJob() {
    HttpRequest job = Job(2, kCrashingJobMs);
    Json body = Json::parse(job.body_);
    body["spec"] = "crash " + std::to_string(kCrashingJobMs);
    job.body_ = body.dump();
    return job;
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

  Json Report(const std::string& method = "GET", const std::string& query = "",
              const std::string& path = "faults") {
    return Json::parse(Fetch(platform_.At("control"),
                             {method, "/standin/" + path + query, {}, ""},
                             kPatience)
                           .body_);
  }

  void Wait(Duration time) {
    caller_.RunUntil([] { return false; }, time);
  }

  /// Sends a job whose caller vanishes behind a middlebox, and sends it again
  /// elsewhere as callers do, until it is complete.
  void SendAgainAfterASilentLoss(const Address& first, const Address& second) {
    Proxy proxy;
    Address through;
    const size_t pair = proxy.Add(first, &through);
    const HttpRequest job = Job(6, kLongRunMs + 600);
    const size_t lost = caller_.Send(through, job, kCallerWaits);
    caller_.RunUntil([] { return false; }, Duration{200});
    proxy.SetFaults(pair, "mode=blackhole");
    caller_.GiveUp(lost);
    int status = 0;
    for (int attempt = 0; attempt < 3 && status != 200; ++attempt) {
      caller_.RunUntil([] { return false; }, kResendAfter);
      const size_t sent = caller_.Send(second, job, kCallerWaits);
      caller_.RunUntil([&] { return caller_.Answered(sent); }, kPatience);
      status = caller_.Answer(sent).status_;
    }
    BOOST_TEST(status == 200);
    CheckRules();
  }

  /// Has `caller` send a job that runs for long to instance `a_`.
  void StartLongRun(RawCaller* caller) {
    BOOST_REQUIRE(WaitUntil([&] { return Report()["running"] == 0; }));
    caller->Send(Job(1, kLongRunMs));
    BOOST_REQUIRE(WaitUntil([&] { return Report()["running"] == 1; }));
  }

  /// Checks that no run is left in good time before callers send again.
  void CheckRunsEndSoonAfter(Time lost) {
    BOOST_TEST(WaitUntil([&] { return Report()["running"] == 0; }));
    BOOST_TEST((clock_.Now() - lost).ms_ < kRunsEndWithin.ms_);
    CheckRules();
  }

  /// Has a caller send a job that instance `a_` can't read yet, and close.
  /// @returns the number of starts that it caused.
  int StartsAfterACloseBeforeTheRead(Duration stopped, size_t more_bytes) {
    const int before = Report()["starts"].get<int>();
    a_.process().Signal(SIGSTOP);
    RawCaller caller(a_.callers());
    caller.Send(Job(1, kLongRunMs));
    if (more_bytes > 0) caller.SendBytes(std::string(more_bytes, 'x'));
    caller.Close();
    Wait(stopped);
    a_.process().Signal(SIGCONT);
    Wait(Duration{500});
    return Report()["starts"].get<int>() - before;
  }

  /// What no instance may ever cause.
  void CheckRules() {
    const Json report = Report();
    BOOST_TEST(report["overbooked"] == 0);
    BOOST_TEST(report["twice"] == 0);
    BOOST_TEST(report["starts"].get<int>() > 0);
  }
};

/// Names that don't fit into a string object, as on the users' platform.
struct LongNamesFixture : HostedFixture {
  LongNamesFixture()
      : HostedFixture({"--workers", "12"}, "", "",
                      {"edge-saint-brieuc-1", "edge-saint-brieuc-2"}) {}
};

/// Two data centres, each with an instance and half of the workers.
struct TwoCentresFixture : HostedFixture {
  TwoCentresFixture()
      : HostedFixture({"--workers", "24", "--centres", "2"}, "rennes",
                      "brest") {}

  /// Returns when the last run began on a worker of `rennes`.
  Time LastStartInRennes() {
    Time last;
    const Json report = Report("GET", "", "runs");
    for (const Json& run : report["runs"]) {
      const std::string worker = run["worker"];
      if (std::stoi(worker.substr(2)) % 2 == 1) continue;
      last = std::max(last, Time{run["began"].get<int64_t>()});
    }
    return last;
  }
};

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
