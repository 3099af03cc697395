#include <boost/test/unit_test.hpp>
#include <vector>

#include "base64.h"
#include "record_client.h"
#include "store_client.h"
#include "unit/store_calls.h"

namespace gentiandeal::platform {
namespace {

constexpr char kKey[] = "gentiandeal/instances/edge-saint-brieuc-1";
constexpr Duration kLease{2000};

/// Answers that a call to the store may get, the last ones malformed.
const std::vector<std::pair<int, std::string>> kAnswers = {
    {200, R"({"rev":12})"},
    {200, R"({"lease":72,"ttl_ms":2000})"},
    {404, "{}"},
    {412, R"({"items":[]})"},
    {429, "{}"},
    {503, "{}"},
    {0, ""},
    {200, R"({"rev":"12","lease":{},"value":7})"},
    {200, "[]"},
};

struct LeasedRecordFixture : StoreCalls {
  std::vector<uint64_t> stored_;
  int done_ = 0;
  MonotonicClock clock_;
  RecordClient record_{kKey, kLease, call(), [this](Fence fence) {
                         stored_.push_back(fence.value_);
                       }};

  /// Publishes a value and answers until its write is under way.
  void PublishUntilWrite(const std::string& value) {
    record_.Publish(value);
    Answer("/-/kv-lease", 200, R"({"lease":71,"ttl_ms":2000})");
    BOOST_REQUIRE(Awaits("/-/kv-txn"));
  }
  void PublishWhole(const std::string& value) {
    PublishUntilWrite(value);
    Answer("/-/kv-txn", 200, R"({"rev":11})");
  }
  void Withdraw() {
    record_.Withdraw([this] { ++done_; });
  }
  void TickFor(Duration time) {
    for (Duration age{0}; age < time; age = age + Duration{20}) {
      record_.Tick(clock_.Now() + age);
    }
  }
  /// Whether nothing is sent and told any more, but for the end of the lease.
  void CheckSilent() {
    const size_t before = stored_.size();
    TickFor(Duration{3 * kLease.ms_});
    record_.OnRemoved();
    record_.Publish("late");
    TickFor(Duration{3 * kLease.ms_});
    for (const Call& call : calls_) {
      BOOST_TEST(call.path_.find("/-/kv-lease-end/") == 0U, call.path_);
    }
    BOOST_TEST(stored_.size() == before);
  }
};

BOOST_FIXTURE_TEST_SUITE(leased_record, LeasedRecordFixture)

// Guards against an instance that ends by SIGABRT at SIGTERM: the answer to a
// write of its record arrives after the record was removed.
BOOST_AUTO_TEST_CASE(AWriteAnsweredAfterTheWithdrawalIsIgnored) {
  for (const auto& [status, body] : kAnswers) {
    LeasedRecordFixture store;
    store.PublishUntilWrite("value");
    store.Withdraw();
    store.Answer("/-/kv-txn", status, body);
    BOOST_TEST(store.stored_.empty());
    store.CheckSilent();
  }
}

// Guards against the same use of a removed record after a failed write, whose
// outcome is being read.
BOOST_AUTO_TEST_CASE(AReadAnsweredAfterTheWithdrawalIsIgnored) {
  for (const auto& [status, body] : kAnswers) {
    LeasedRecordFixture store;
    store.PublishUntilWrite("value");
    store.Answer("/-/kv-txn", 0, "");
    BOOST_REQUIRE(store.Awaits("/-/kv-key"));
    store.Withdraw();
    store.Answer("/-/kv-key", status, body);
    BOOST_TEST(store.stored_.empty());
    store.CheckSilent();
  }
}

// Guards against a lease that is renewed until the process ends, and a record
// written under it, when the record is removed while the lease is requested.
BOOST_AUTO_TEST_CASE(ALeaseGrantedAfterTheWithdrawalIsNotUsed) {
  for (const auto& [status, body] : kAnswers) {
    LeasedRecordFixture store;
    store.record_.Publish("value");
    BOOST_REQUIRE(store.Awaits("/-/kv-lease"));
    store.Withdraw();
    BOOST_TEST(store.done_ == 1);
    store.Answer("/-/kv-lease", status, body);
    store.CheckSilent();
  }
}

// Guards against a record that is written again when a renewal is answered
// after the lease was ended on purpose.
BOOST_AUTO_TEST_CASE(ARenewalAnsweredAfterTheWithdrawalIsIgnored) {
  for (const auto& [status, body] : kAnswers) {
    LeasedRecordFixture store;
    store.PublishWhole("value");
    store.record_.Tick(store.clock_.Now() + kLease);
    BOOST_REQUIRE(store.Awaits("/-/kv-keep/71"));
    store.Withdraw();
    store.Answer("/-/kv-keep", status, body);
    store.CheckSilent();
  }
}

// Guards against a process that waits for ever for the end of its lease.
BOOST_AUTO_TEST_CASE(WithdrawingEndsTheLeaseAndReportsOnce) {
  for (const auto& [status, body] : kAnswers) {
    LeasedRecordFixture store;
    store.PublishWhole("value");
    store.Withdraw();
    BOOST_TEST(store.done_ == 0);
    BOOST_TEST(store.calls_.back().method_ == "DELETE");
    store.Answer("/-/kv-lease-end/71", status, body);
    BOOST_TEST(store.done_ == 1);
    store.CheckSilent();
  }
  LeasedRecordFixture unpublished;
  unpublished.Withdraw();
  BOOST_TEST(unpublished.done_ == 1);
}

// Guards against an answer with other types than expected that ends the
// process.
BOOST_AUTO_TEST_CASE(FailedAndMalformedAnswersAreRetried) {
  const std::vector<std::pair<int, std::string>> odd(kAnswers.begin() + 4,
                                                     kAnswers.end());
  for (const auto& [status, body] : odd) {
    LeasedRecordFixture store;
    store.record_.Publish("value");
    store.Answer("/-/kv-lease", status, body);
    store.TickFor(Duration{500});
    store.Answer("/-/kv-lease", 200, R"({"lease":71})");
    store.Answer("/-/kv-txn", status, body);
    store.Answer("/-/kv-key", status, body);
    store.TickFor(Duration{500});
    store.Answer("/-/kv-txn", 200, R"({"rev":14})");
    BOOST_TEST(store.stored_ == std::vector<uint64_t>{14});
  }
}

BOOST_AUTO_TEST_CASE(AWriteWhoseAnswerWasLostCountsOnceItIsRead) {
  PublishUntilWrite("value");
  Answer("/-/kv-txn", 0, "");
  Answer("/-/kv-key", 200,
         R"({"rev":13,"lease":71,"value":")" + EncodeBase64("value") + "\"}");
  TickFor(Duration{500});
  BOOST_TEST(stored_ == std::vector<uint64_t>{13});
  BOOST_TEST(!Awaits("/-/kv-txn"));
}

BOOST_AUTO_TEST_CASE(AValuePublishedDuringAWriteIsWrittenNext) {
  PublishUntilWrite("first");
  record_.Publish("second");
  Answer("/-/kv-txn", 200, R"({"rev":11})");
  BOOST_TEST(stored_.empty());
  BOOST_REQUIRE(Awaits("/-/kv-txn"));
  BOOST_TEST(calls_.back().body_.find(EncodeBase64("second")) !=
             std::string::npos);
  Answer("/-/kv-txn", 200, R"({"rev":12})");
  BOOST_TEST(stored_ == std::vector<uint64_t>{12});
}

// Guards against a record that stays away: the key was removed after the write,
// but the watch tells it before the write is answered.
BOOST_AUTO_TEST_CASE(ARemovalHeardDuringAWriteIsMadeUpFor) {
  PublishUntilWrite("value");
  record_.OnRemoved();
  Answer("/-/kv-txn", 200, R"({"rev":11})");
  TickFor(Duration{500});
  Answer("/-/kv-txn", 412, "{}");
  Answer("/-/kv-key", 404, "{}");
  BOOST_REQUIRE(Awaits("/-/kv-txn"));
  BOOST_TEST(calls_.back().body_.find("\"rev\":0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ALapsedLeaseIsReplacedAndTheValueWrittenAgain) {
  PublishWhole("value");
  record_.Tick(clock_.Now() + kLease);
  record_.OnRemoved();
  Answer("/-/kv-keep/71", 404, "{}");
  Answer("/-/kv-lease", 200, R"({"lease":73})");
  BOOST_REQUIRE(Awaits("/-/kv-txn"));
  BOOST_TEST(calls_.back().body_.find("\"lease\":73") != std::string::npos);
  BOOST_TEST(calls_.back().body_.find("\"rev\":0") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

struct StoreClientFixture : StoreCalls {
  std::vector<std::string> listed_;
  std::vector<std::string> unlisted_;
  StoreClient client_{
      call(), {"edge-saint-brieuc-1"}, kLease, {}, {}, [this] {
        StoreEvents events;
        events.instance_listed_ = [this](const InstanceRecord& record) {
          listed_.push_back(record.name_.value_);
        };
        events.instance_unlisted_ = [this](const InstanceName& name) {
          unlisted_.push_back(name.value_);
        };
        events.reachable_ = [](bool) {};
        events.written_ = [](Fence) {};
        return events;
      }()};

  static std::string Item(const std::string& name, int revision) {
    InstanceRecord record;
    record.name_ = {name};
    record.data_centre_ = "west";
    record.peer_address_ = {"127.0.0.1", 7000};
    return R"({"key":"gentiandeal/instances/)" + name + R"(","rev":)" +
           std::to_string(revision) + R"(,"value":")" +
           EncodeBase64(ToJson(record)) + "\"}";
  }
  void AnswerInstances(const std::string& events) {
    Answer("/-/kv-watch?prefix=gentiandeal/instances", 200,
           R"({"current_rev":20,"events":[)" + events + "]}");
    client_.Tick(MonotonicClock().Now() + Duration{500});
  }
};

BOOST_FIXTURE_TEST_SUITE(store_client, StoreClientFixture)

// Guards against an instance that takes its own record, left by its process
// before or just removed, for that of another instance.
BOOST_AUTO_TEST_CASE(TheOwnRecordIsNeverAnotherInstances) {
  client_.Start();
  Answer("/-/kv-range?prefix=gentiandeal/instances", 200,
         R"({"current_rev":9,"more_pages":false,"items":[)" +
             Item("edge-saint-brieuc-1", 5) + "," +
             Item("edge-saint-brieuc-2", 6) + "]}");
  BOOST_TEST(listed_ == std::vector<std::string>{"edge-saint-brieuc-2"});
  client_.Publish({});
  Answer("/-/kv-lease", 200, R"({"lease":71})");
  BOOST_TEST(calls_.back().body_.find("\"rev\":5") != std::string::npos);
  Answer("/-/kv-txn", 200, R"({"rev":11})");
  client_.RemoveRecord([] {});
  AnswerInstances(
      R"({"key":"gentiandeal/instances/edge-saint-brieuc-1","rev":12,)"
      R"("tombstone":true})");
  BOOST_TEST(unlisted_.empty());
  BOOST_TEST(!Awaits("/-/kv-lease?"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::platform
