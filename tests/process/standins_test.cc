#include <boost/test/unit_test.hpp>

#include "harness.h"
#include "standins/answer_bytes.h"

namespace gentiandeal::process {

BOOST_AUTO_TEST_SUITE(standins)

BOOST_AUTO_TEST_CASE(WorkerKeepsItsSlotsAndItsOrder) {
  constexpr int kSlots = 2;
  constexpr int kTasks = 6;
  const Folder folder;
  Workers workers(folder, 1, kSlots);
  const Address address = workers.addresses().front();
  Caller caller;
  for (int i = 0; i < kTasks; ++i) {
    const std::string path = "/t?ms=20&bytes=9&n=" + std::to_string(i);
    caller.Send(address, {"POST", path, {{"Gentiandeal-Task", "a"}}, "x"});
    BOOST_TEST(caller.RunUntil([&] {
      const auto stats = Fetch(workers.process().At("control"),
                               {"GET", "/standin/stats", {}, ""}, kPatience);
      const auto worker = nlohmann::json::parse(stats.body_).at(0);
      const int arrived =
          worker.at("started").get<int>() + worker.at("waiting").get<int>();
      return arrived == i + 1;
    }));
  }
  BOOST_TEST(caller.WaitAll());
  const auto starts = workers.starts();
  BOOST_REQUIRE_EQUAL(starts.size(), kTasks);
  for (int i = 0; i < kTasks; ++i) {
    BOOST_TEST(caller.Answer(i).body_ ==
               standin::AnswerBytes("POST", starts[i].path_, "x", 9));
    BOOST_TEST(caller.Answer(i).Field("Gentiandeal-Task") == "a");
  }
  const auto stats = Fetch(workers.process().At("control"),
                           {"GET", "/standin/stats", {}, ""}, kPatience);
  BOOST_TEST(nlohmann::json::parse(stats.body_)[0]["most_running"] == kSlots);
}

BOOST_AUTO_TEST_CASE(WorkerFaultsAreSeenByTheCallerAndTheLog) {
  struct Case {
    const char* faults_;
    bool whole_;
    int status_;
    bool started_;
  };
  const Folder folder;
  Workers workers(folder, 1);
  const Address address = workers.addresses().front();
  for (const Case& c :
       {Case{"fail_ms=1", true, 500, true}, Case{"refuse=1", true, 503, false},
        Case{"reset_before=1", false, 0, false},
        Case{"reset_after_start=1", false, 0, true},
        Case{"cut_answer=1", false, 0, true}, Case{"closed=1", false, 0, false},
        Case{"", true, 200, true}}) {
    workers.SetFaults(0, c.faults_);
    const std::string path = std::string("/f?bytes=8&") + c.faults_;
    const HttpResponse answer =
        Fetch(address, {"GET", path, {}, ""}, kPatience);
    BOOST_TEST_CONTEXT(c.faults_) {
      BOOST_TEST(answer.complete_ == c.whole_);
      BOOST_TEST(answer.status_ == c.status_);
      BOOST_TEST(workers.StartsOf(path) == (c.started_ ? 1 : 0));
    }
  }
}

BOOST_AUTO_TEST_CASE(ProxyCutsHoldsAndPassesConnections) {
  const Folder folder;
  Workers workers(folder, 1);
  Proxy proxy;
  Address address;
  const size_t pair = proxy.Add(workers.addresses().front(), &address);
  const auto fetch = [&](const std::string& path) {
    return Fetch(address, {"GET", path, {}, ""}, Duration{500});
  };
  BOOST_TEST(fetch("/pass?bytes=100000").body_.size() == 100000);
  proxy.SetFaults(pair, "delay_ms=30");
  const Time before = MonotonicClock().Now();
  BOOST_TEST(fetch("/delay?bytes=8").complete_);
  BOOST_TEST((MonotonicClock().Now() - before).ms_ >= 60);
  proxy.SetFaults(pair, "reset_up=10");
  BOOST_TEST(!fetch("/up?bytes=8").complete_);
  BOOST_TEST(workers.StartsOf("/up?bytes=8") == 0);
  proxy.SetFaults(pair, "reset_down=60");
  BOOST_TEST(!fetch("/down?bytes=100").complete_);
  BOOST_TEST(workers.StartsOf("/down?bytes=100") == 1);
  proxy.SetFaults(pair, "mode=cut");
  BOOST_TEST(!fetch("/cut").complete_);
  proxy.SetFaults(pair, "mode=blackhole");
  BOOST_TEST(!fetch("/held").complete_);
  proxy.SetFaults(pair, "");
  BOOST_TEST(fetch("/again").complete_);
}

BOOST_AUTO_TEST_CASE(ProxyDisturbsOneWayOrOneSide) {
  constexpr Duration kHeld{300};
  const Folder folder;
  Workers workers(folder, 1);
  Proxy proxy;
  Address address;
  const size_t pair = proxy.Add(workers.addresses().front(), &address);
  const auto fetch = [&](const std::string& path) {
    return Fetch(address, {"GET", path, {}, ""}, Duration{1000});
  };
  for (const char* way : {"up", "down"}) {
    proxy.Disturb(pair, std::string("what=hold&ms=300&way=") + way);
    const Time before = MonotonicClock().Now();
    BOOST_TEST(fetch("/held?bytes=8").complete_);
    BOOST_TEST((MonotonicClock().Now() - before).ms_ >= kHeld.ms_ - 20);
  }
  struct Case {
    const char* what_;
    bool caller_notices_;
  };
  for (const Case& c :
       {Case{"what=silence", false}, Case{"what=silence&way=down", false},
        Case{"what=drop_target", false}, Case{"what=drop_caller", true},
        Case{"what=drop_caller&close=1", true}, Case{"what=reset", true}}) {
    BOOST_TEST_CONTEXT(c.what_) {
      Caller caller;
      const std::string path = std::string("/late?ms=200&") + c.what_;
      const size_t sent = caller.Send(address, {"GET", path, {}, ""});
      BOOST_TEST(caller.RunUntil([&] { return workers.StartsOf(path) == 1; }));
      proxy.Disturb(pair, c.what_);
      const bool noticed =
          caller.RunUntil([&] { return caller.Answered(sent); }, Duration{500});
      BOOST_TEST(noticed == c.caller_notices_);
      if (noticed) BOOST_TEST(!caller.Answer(sent).complete_);
      BOOST_TEST(fetch("/new?bytes=8").complete_);
      caller.GiveUp(sent);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal::process
