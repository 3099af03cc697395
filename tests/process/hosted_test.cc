#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>

#include "harness.h"
#include "socket_address.h"

namespace gentiandeal::process {
namespace {

using Json = nlohmann::json;

/// A port that the kernel chose, free a moment ago.
uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof(any)) == 0);
  Address bound;
  BOOST_REQUIRE(!LocalAddress(fd, &bound));
  close(fd);
  return bound.port_;
}

/// One instance on the stand-in of the users' platform.
class HostedInstanceProcess {
 public:
  HostedInstanceProcess(const Folder& folder, const std::string& name,
                        const Address& store)
      : callers_{"127.0.0.1", FreePort()},
        ready_{"127.0.0.1", FreePort()},
        file_(folder.Write(name + ".json", Settings(name, store))) {
    Restart();
  }

  void Restart() {
    process_ = std::make_unique<Process>(
        "gentiandeal", std::vector<std::string>{"hosted", "--settings", file_,
                                                "--log-level", "warn"});
  }

  bool Ready() const {
    return Fetch(ready_, {"GET", "/-/readyz", {}, ""}, Duration{500}).status_ ==
           200;
  }
  const Address& callers() const { return callers_; }
  Process& process() { return *process_; }

 private:
  std::string Settings(const std::string& name, const Address& store) const {
    const uint16_t port = FreePort();
    Json json;
    json["node_name"] = name;
    json["zone"] = "rennes";
    json["ip"] = "127.0.0.1";
    json["listen"] = {{"frontend", ToString(callers_)},
                      {"ready", ToString(ready_)}};
    json["port_range"] = {port, port};
    json["platform"] = {{"addr", ToString(store)}};
    return json.dump();
  }

  Address callers_;
  Address ready_;
  std::string file_;
  std::unique_ptr<Process> process_;
};

/// A platform, two instances, and callers that send jobs to them.
struct HostedFixture {
  Folder folder_;
  Process platform_{"standin_hosted", {"--workers", "6"}};
  HostedInstanceProcess a_{folder_, "a", platform_.At("store")};
  HostedInstanceProcess b_{folder_, "b", platform_.At("store")};
  Caller caller_;
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
            {{"Host", "desk.example"}, {"Deadline-Ms", "1500"}},
            body.dump()};
  }

  bool Serves(const HostedInstanceProcess& instance) {
    return Fetch(instance.callers(), Job(1, 5), Duration{2000}).status_ == 200;
  }

  /// Sends jobs to both instances at an even pace and waits for all answers.
  /// @param middle Called half way.
  /// @returns the number answered 200.
  size_t Load(int jobs, const std::function<void()>& middle) {
    std::vector<size_t> sent;
    for (int i = 0; i < jobs; ++i) {
      if (i == jobs / 2) middle();
      const HostedInstanceProcess& to = i % 2 == 0 ? a_ : b_;
      sent.push_back(
          caller_.Send(to.callers(), Job(1 + i % 3, 40), Duration{2500}));
      caller_.RunUntil([] { return false; }, Duration{15});
    }
    caller_.WaitAll();
    size_t served = 0;
    for (const size_t index : sent) {
      if (caller_.Answer(index).status_ == 200) ++served;
    }
    return served;
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

BOOST_AUTO_TEST_CASE(ServesOnWhileTheStoreIsDown) {
  Report("PUT", "?store_down=1");
  BOOST_TEST(Load(200, [] {}) >= 198U);
  Report("PUT");
  CheckRules();
}

BOOST_AUTO_TEST_CASE(AnInstanceThatStartsAgainTakesItsWorkersBack) {
  a_.process().Signal(SIGKILL);
  a_.process().WaitExit();
  a_.Restart();
  BOOST_TEST(WaitUntil([&] { return a_.Ready() && Serves(a_); }));
  Load(60, [] {});
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
