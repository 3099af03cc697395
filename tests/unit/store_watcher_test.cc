#include "store_watcher.h"

#include <boost/test/unit_test.hpp>

#include "base64.h"
#include "store_client.h"

namespace gentiandeal::platform {
namespace {

constexpr char kWorkerEntry[] =
    R"({"service":"s","addr":"10.0.0.1:80","zone":"west","state":"ready",
        "capacity":{"cpu":1000,"mem_mb":10},"labels":["a"],"born":7,"seq":4})";

std::string Item(const std::string& key, const std::string& value) {
  return R"({"key":")" + key + R"(","rev":5,"value":")" + EncodeBase64(value) +
         R"("})";
}

std::string Nested(size_t depth, const char* open, const char* close) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += open;
  text += "1";
  for (size_t i = 0; i < depth; ++i) text += close;
  return text;
}

/// Plays the store: records calls, and answers the last one.
struct StoreWatcherFixture {
  struct Call {
    std::string path_;
    HttpClient::Done done_;
  };
  std::vector<Call> calls_;
  std::map<std::string, std::string> heard_;
  std::set<std::string> removed_;
  MonotonicClock clock_;
  StoreWatcher watcher_{
      "servers/",
      {Duration{1000}, {}},
      {},
      [this](const char*, std::string path, const std::string&, Duration,
             HttpClient::Done done) {
        calls_.push_back({std::move(path), std::move(done)});
      },
      {[this](const std::string& key, const std::string& value, uint64_t) {
         heard_[key] = value;
       },
       [this](const std::string& key) {
         heard_.erase(key);
         removed_.insert(key);
       }}};

  void Answer(int status, std::string body) {
    HttpResponse response;
    response.complete_ = true;
    response.status_ = status;
    response.body_ = std::move(body);
    // The answer may cause the next call.
    const HttpClient::Done done = calls_.back().done_;
    done(response);
  }
  void AnswerList(const std::vector<std::string>& items, bool more = false) {
    Answer(200, R"({"items":[)" + Join(items) +
                    R"(],"current_rev":9,"more_pages":)" +
                    (more ? "true}" : "false}"));
  }
  void AnswerWatch(const std::vector<std::string>& events) {
    Answer(200, R"({"current_rev":10,"events":[)" + Join(events) + "]}");
  }
  static std::string Join(const std::vector<std::string>& items) {
    std::string all;
    for (const std::string& item : items) {
      all += (all.empty() ? "" : ",") + item;
    }
    return all;
  }
  bool Watching() const { return calls_.back().path_.find("/-/kv-watch") == 0; }
  void Tick(Duration ahead) { watcher_.Tick(clock_.Now() + ahead); }
};

/// Items of another writer that can't be used.
const std::vector<std::string> kOddItems = {
    R"({"key":"servers/b","rev":5})",
    R"({"key":"servers/b","rev":5,"value":null})",
    R"({"key":"servers/b","rev":5,"value":"!!!"})",
    R"({"key":"servers/b","rev":1e400,"value":"e30="})",
    R"({"key":"servers/b","rev":-1,"value":"e30="})",
    R"({"key":"servers/b","rev":"x","value":7})",
    R"({"key":7,"rev":5,"value":"e30="})",
    R"({"rev":5,"value":"e30="})",
    "{\"key\":\"servers/\xff\xfe\",\"rev\":5,\"value\":\"e30=\"}",
    R"({"key":"servers/b","rev":5,"value":)" + Nested(100000, "[", "]") + "}",
    R"({"key":"servers/b","rev":5,"value":)" + Nested(100000, "{\"a\":", "}") +
        "}",
    R"(["servers/b",5,"]}"])",
    "null",
};

BOOST_FIXTURE_TEST_SUITE(store_watcher, StoreWatcherFixture)

// Guards against one odd item among those of the workers that blinds every
// instance: no worker is heard of any more, none is known to be leaving.
BOOST_AUTO_TEST_CASE(OneOddItemHidesNoOtherInAList) {
  for (const std::string& odd : kOddItems) {
    StoreWatcherFixture store;
    store.watcher_.Start();
    store.AnswerList({Item("servers/a", "1"), odd, Item("servers/c", "3")});
    BOOST_TEST(store.heard_.size() == 2U, odd.substr(0, 80));
    BOOST_TEST(store.Watching(), odd.substr(0, 80));
  }
}

BOOST_AUTO_TEST_CASE(OneOddItemHidesNoOtherInAWatch) {
  for (const std::string& odd : kOddItems) {
    StoreWatcherFixture store;
    store.watcher_.Start();
    store.AnswerList({Item("servers/a", "1")});
    store.AnswerWatch({odd, Item("servers/a", "2")});
    BOOST_TEST(store.heard_.at("servers/a") == "2", odd.substr(0, 80));
    BOOST_TEST(store.watcher_.following(), odd.substr(0, 80));
  }
}

BOOST_AUTO_TEST_CASE(AnItemThatTurnsOddIsRemoved) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1"), Item("servers/b", "1")});
  AnswerWatch({R"({"key":"servers/b","rev":6,"value":null})"});
  BOOST_TEST(removed_.count("servers/b") == 1U);
  BOOST_TEST(heard_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AKeyIsEncodedInTheNextCall) {
  watcher_.Start();
  AnswerList({R"({"key":"servers/a b\r\nX: y","rev":5,"value":"MQ=="})"},
             /*more=*/true);
  BOOST_TEST(calls_.back().path_.find("after=servers/a%20b%0D%0AX:%20y") !=
             std::string::npos);
}

// Guards against a key that ends the path of the next call early, so that the
// rest of the list is never read.
BOOST_AUTO_TEST_CASE(AKeyWithAZeroByteIsEncodedInTheNextCall) {
  watcher_.Start();
  AnswerList({R"({"key":"servers/a\u0000b","rev":5,"value":"MQ=="})"},
             /*more=*/true);
  BOOST_TEST(calls_.back().path_.find("after=servers/a%00b") !=
             std::string::npos);
}

// A page without a readable key must not be asked for again and again.
BOOST_AUTO_TEST_CASE(APageOfUnreadableItemsEndsTheList) {
  watcher_.Start();
  AnswerList({"{\"key\":\"\xff\",\"rev\":5,\"value\":\"MQ==\"}"},
             /*more=*/true);
  BOOST_TEST(Watching());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsNoListIsAskedForAgain) {
  for (const char* body :
       {"", "{", "[]", R"({"items":[]})", R"({"items":[{"key":"servers/a"})",
        R"({"current_rev":1e400,"items":[]})", R"({"current_rev":9})"}) {
    StoreWatcherFixture store;
    store.watcher_.Start();
    store.Answer(200, body);
    BOOST_TEST(store.calls_.size() == 1U);
    store.Tick(Duration{200});
    BOOST_TEST(store.calls_.size() == 2U, body);
    BOOST_TEST(!store.Watching());
  }
}

// Guards against starts on workers that left seconds ago (DRAIN): their owner
// read 500 changes a second of 733, and fell behind by a second every three.
BOOST_AUTO_TEST_CASE(AFullAnswerIsFollowedByAnotherCallAtOnce) {
  constexpr size_t kItemsPerAnswer = 500;
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  const std::vector<std::string> full(kItemsPerAnswer, Item("servers/a", "2"));
  for (size_t call = 3; call < 6; ++call) {
    AnswerWatch(full);
    BOOST_TEST(calls_.size() == call);
    BOOST_TEST(Watching());
  }
  AnswerWatch({Item("servers/a", "3")});
  BOOST_TEST(calls_.size() == 5U);
  BOOST_TEST(heard_.at("servers/a") == "3");
}

// Changes that the last answer left out make the known items old.
BOOST_AUTO_TEST_CASE(IsNotUpToDateAfterAFullAnswer) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  const Time listed = clock_.Now();
  AnswerWatch(std::vector<std::string>(500, Item("servers/a", "2")));
  const Duration ahead{50};
  BOOST_TEST(watcher_.Age(listed + ahead).ms_ >= ahead.ms_);
}

// Guards against instances that own nothing and yet read every heartbeat of
// every worker (1,100 workers, 147 instances).
BOOST_AUTO_TEST_CASE(ASamplingWatcherListsRarely) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1"), Item("servers/b", "1")});
  watcher_.SetMode(WatchMode::kSample);
  AnswerWatch({});
  BOOST_TEST(!watcher_.following());
  Tick(Duration{9000});
  BOOST_TEST(calls_.size() == 2U);
  Tick(Duration{10100});
  BOOST_REQUIRE(calls_.size() == 3U);
  BOOST_TEST(calls_.back().path_.find("serializable=1") != std::string::npos);
  AnswerList({Item("servers/a", "2")});
  BOOST_TEST(heard_.at("servers/a") == "2");
  BOOST_TEST(removed_.count("servers/b") == 1U);
  // What is missing may come back within two seconds.
  Tick(Duration{1100});
  BOOST_TEST(calls_.size() == 4U);
}

// Workers are claimed by a list that is read after the change of mode.
BOOST_AUTO_TEST_CASE(FollowsByACurrentListAfterSampling) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  watcher_.SetMode(WatchMode::kSample);
  AnswerWatch({});
  Tick(Duration{10100});
  // The mode changes back while a list of old items is on its way.
  watcher_.SetMode(WatchMode::kFollow);
  AnswerList({Item("servers/a", "1")});
  BOOST_TEST(!watcher_.following());
  BOOST_TEST(calls_.back().path_.find("serializable") == std::string::npos);
  AnswerList({Item("servers/a", "2")});
  BOOST_TEST(watcher_.following());
  BOOST_TEST(Watching());
}

// Guards against watch calls that hear nothing: a request of the operator would
// stay unknown for as long as they are answered without it, or not at all.
BOOST_AUTO_TEST_CASE(ListsAgainAfterAWatchThatToldNothing) {
  watcher_.ListAfterSilence(Duration{2000});
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  AnswerWatch({Item("servers/a", "2")});
  Tick(Duration{1000});
  BOOST_TEST(Watching());
  AnswerWatch({});
  BOOST_TEST(!Watching());
  AnswerList({Item("servers/b", "1")});
  BOOST_TEST(removed_.count("servers/a") == 1U);
  BOOST_TEST(Watching());
  Answer(0, "");
  Tick(Duration{200});
  BOOST_TEST(!Watching());
}

// Guards against a restarted worker that stands idle because its new entry is
// read a second later, and against a flood of calls while the store is away.
BOOST_AUTO_TEST_CASE(AWatchCallIsMadeSoonerOnDemandButNotAfterAFailure) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  AnswerWatch({Item("servers/a", "2")});
  watcher_.WatchSoon();
  Tick(Duration{20});
  BOOST_TEST(calls_.size() == 2U);
  Tick(Duration{200});
  BOOST_REQUIRE(calls_.size() == 3U);
  BOOST_TEST(Watching());
  Answer(0, "");
  watcher_.WatchSoon();
  Tick(Duration{100});
  BOOST_TEST(calls_.size() == 3U);
  Tick(Duration{200});
  BOOST_TEST(calls_.size() == 4U);
}

BOOST_AUTO_TEST_CASE(ASampleIsReadSoonerOnDemandButNotAtOnce) {
  watcher_.Start();
  AnswerList({Item("servers/a", "1")});
  watcher_.SetMode(WatchMode::kSample);
  AnswerWatch({});
  watcher_.SampleSoon();
  Tick(Duration{500});
  BOOST_TEST(calls_.size() == 2U);
  Tick(Duration{1100});
  BOOST_TEST(calls_.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_entry)

// Guards against sums that overflow, and against calls to a port that nobody
// listens on, from an entry of another writer.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeMakeAnEntryUnusable) {
  const std::string good = kWorkerEntry;
  LeasedWorker worker;
  BOOST_REQUIRE(ParseWorkerEntry("w", good, Time{}, &worker));
  const auto parses = [&](const std::string& from, const std::string& to) {
    std::string entry = good;
    entry.replace(entry.find(from), from.size(), to);
    return ParseWorkerEntry("w", entry, Time{}, &worker);
  };
  for (const char* cpu : {"4294967301", "3000000000", "1e30", "1e400", "-5",
                          "true", "null", "\"8\"", "[1000]", "268435457"}) {
    BOOST_TEST(!parses("1000", cpu), cpu);
    BOOST_TEST(!parses("10}", std::string(cpu) + "}"), cpu);
  }
  for (const char* port : {"0", "70000", "-1", "65536", "x", ""}) {
    BOOST_TEST(!parses("80\"", std::string(port) + "\""), port);
  }
  for (const char* born : {"18446744073709551615", "-1", "1e30", "\"7\""}) {
    BOOST_TEST(!parses("7,", std::string(born) + ","), born);
  }
  BOOST_TEST(!parses("[\"a\"]", "{\"a\":1}"));
  BOOST_TEST(!parses("[\"a\"]", Nested(100000, "[", "]")));
  BOOST_TEST(parses("1000", "17600.0"));
  BOOST_TEST(worker.capacity_.cpu_milli_ == 17600);
}

// Guards against a worker that stays cold for ever as its entry isn't parsed
// again, and against one that can't be used for an odd warm-up.
BOOST_AUTO_TEST_CASE(AWarmUpEndsSoLongAfterTheEntryWasRead) {
  const auto cold_until = [](const std::string& left) {
    std::string entry = kWorkerEntry;
    entry.replace(entry.find("\"seq\""), 0, "\"warmup_left_ms\":" + left + ",");
    LeasedWorker worker;
    BOOST_TEST(ParseWorkerEntry("w", entry, Time{1000}, &worker), left);
    return worker.cold_until_.ms_;
  };
  BOOST_TEST(cold_until("700") == 1700);
  BOOST_TEST(cold_until("700.5") == 1700);
  for (const char* odd : {"0", "-5", "\"x\"", "null"}) {
    BOOST_TEST(cold_until(odd) == 0, odd);
  }
}

// The name of a worker goes into headers and records.
BOOST_AUTO_TEST_CASE(NamesThatCantStandInAHeaderAreUnusable) {
  LeasedWorker worker;
  for (const char* id : {"", "a b", "a\r\nX: y", "a\"b", "\xc3\xa4", "a,b"}) {
    BOOST_TEST(!ParseWorkerEntry(id, kWorkerEntry, Time{}, &worker), id);
  }
  BOOST_TEST(
      !ParseWorkerEntry(std::string(201, 'a'), kWorkerEntry, Time{}, &worker));
}

BOOST_AUTO_TEST_CASE(OnlyTheSequenceNumberIsLeftOutOfAFingerprint) {
  const EntryFingerprint before = FingerprintEntry(kWorkerEntry);
  const auto changed = [&](const std::string& from, const std::string& to) {
    std::string entry = kWorkerEntry;
    entry.replace(entry.find(from), from.size(), to);
    return FingerprintEntry(entry) != before;
  };
  BOOST_TEST(!changed(":4}", ":1234567}"));
  BOOST_TEST(changed(":7,", ":8,"));
  BOOST_TEST(changed("ready", "draining"));
  // Guards against entries that are parsed each second for a warm-up alone.
  const auto warming = [](const char* left) {
    return FingerprintEntry(std::string(R"({"warmup_left_ms":)") + left + "}");
  };
  BOOST_TEST((warming("900") == warming("8000")));
  BOOST_TEST((warming("900") != warming("0")));
  BOOST_TEST(changed(":4}", ":4,\"x\":1}"));
  BOOST_TEST((FingerprintEntry(R"({"zone":"\"seq\":1"})") !=
              FingerprintEntry(R"({"zone":"\"seq\":2"})")));
  BOOST_TEST(
      (FingerprintEntry(R"({"seq":)") == FingerprintEntry(R"({"seq":)")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::platform
