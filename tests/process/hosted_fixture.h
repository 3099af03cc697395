#ifndef GENTIANDEAL_TESTS_PROCESS_HOSTED_FIXTURE_H_
#define GENTIANDEAL_TESTS_PROCESS_HOSTED_FIXTURE_H_

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>

#include "hosted_process.h"
#include "kept_caller.h"

/// Instances on the stand-in of the users' platform, and their callers.
namespace gentiandeal::process {

using Json = nlohmann::json;

/// Callers wait so long, and send again so long after a loss.
inline constexpr int64_t kDeadlineMs = 3000;
inline constexpr Duration kCallerWaits{kDeadlineMs};
inline constexpr Duration kResendAfter{1300};
/// Leaves time for several crashes before an answer is of no use.
inline constexpr int kCrashingJobMs = 600;
/// Workers that may crash under a task, by the users' rules.
inline constexpr int kMaxCrashes = 3;
/// Long enough to be running still when a job is sent again.
inline constexpr int kLongRunMs = 1900;
/// From a loss that the instance's kernel learns at once to the end of the
/// job's runs: a stop of 50 ms, and room for a busy machine.
inline constexpr Duration kRunsEndWithin{600};
/// More than an instance reads of a connection ahead of its answer.
inline constexpr size_t kPipelinedBytes = 2 << 20;

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

  void Send(const HttpRequest& request) { SendBytes(ToText(request)); }

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

}  // namespace gentiandeal::process

#endif  // GENTIANDEAL_TESTS_PROCESS_HOSTED_FIXTURE_H_
