#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness.h"
#include "settings_store.h"
#include "settings_sync.h"
#include "unit/fake_store.h"

namespace gentiandeal::process {
namespace {

constexpr Duration kLimit{20000};

std::string Weight(int value) {
  return "[team]\nweight = " + std::to_string(value) + "\n";
}

/// The platform's stand-in.
class PlatformProcess {
 public:
  PlatformProcess() : process_("standin_platform", {"--exit-on-eof"}) {}
  Address address() { return process_.At("address"); }

  nlohmann::json Control(const std::string& action,
                         const nlohmann::json& body = nullptr) {
    const HttpResponse answer = Fetch(
        address(), {"PUT", "/standin/" + action, {}, body.dump()}, kPatience);
    BOOST_REQUIRE_EQUAL(answer.status_, 200);
    return nlohmann::json::parse(answer.body_);
  }

  void List(const std::string& service, const Address& at,
            const nlohmann::json& meta, const nlohmann::json& checks) {
    const nlohmann::json entry = {
        {"Node", ToString(at)},
        {"Address", at.host_},
        {"Datacenter", "rennes"},
        {"Service", {{"Service", service}, {"Port", at.port_}, {"Meta", meta}}},
        {"Checks", checks}};
    const HttpResponse answer =
        Fetch(address(), {"PUT", "/v1/catalog/register", {}, entry.dump()},
              kPatience);
    BOOST_REQUIRE_EQUAL(answer.status_, 200);
  }

 private:
  Process process_;
};

/// One run of `gentiandeal settings`.
struct CommandRun {
  int exit_ = -1;
  std::string text_;
  nlohmann::json output() const {
    return nlohmann::json::parse(text_, nullptr, false);
  }
};

CommandRun RunCommand(std::vector<std::string> words) {
  words.insert(words.begin(), "settings");
  words.emplace_back("--json");
  Process process("gentiandeal", words);
  CommandRun run;
  run.text_ = process.ReadOutput();
  run.exit_ = process.WaitExit();
  return run;
}

CommandRun ApplyBranch(PlatformProcess* platform, const std::string& branch,
                       const std::string& file,
                       const std::string& timeout = "10s") {
  return RunCommand({"apply", "--platform", ToString(platform->address()),
                     "--branch", branch, "--file", file, "--author", "Maëlle",
                     "--timeout", timeout});
}

/// Applies one edit through the real client.
EditEnded ApplyEdit(const Address& platform, const std::string& id,
                    const std::string& branch, int weight) {
  SettingsEditor editor({id, branch, id, "", Weight(weight)}, {});
  return SettingsStore(platform).Run(&editor, kLimit);
}

SettingsContent ReadContent(const Address& platform) {
  SettingsContent content;
  Diagnostics diagnostics;
  BOOST_REQUIRE(!SettingsStore(platform).ReadContent(&content, &diagnostics));
  return content;
}

/// Two operators at the same time. @returns how many edits landed.
int RaceOnce(const Address& platform, int round, const std::string& branch_a,
             const std::string& branch_b) {
  const std::string number = std::to_string(round);
  EditEnded a;
  EditEnded b;
  std::thread other(
      [&] { b = ApplyEdit(platform, "b" + number, branch_b, 2 * round + 1); });
  a = ApplyEdit(platform, "a" + number, branch_a, 2 * round);
  other.join();
  for (const EditEnded& end : {a, b}) {
    BOOST_TEST((!end.error_ || end.error_ == Errc::kSettingsConflict));
  }
  return (a.error_ ? 0 : 1) + (b.error_ ? 0 : 1);
}

/// Every accepted change has one record, joined to the one before.
void CheckAudit(const Address& platform, uint64_t expected) {
  SettingsStore store(platform);
  const SettingsContent content = ReadContent(platform);
  BOOST_TEST(content.revision_.value_ == expected);
  ChangeRecord record = content.changes_.front();
  uint64_t records = content.changes_.size();
  while (!record.previous_id_.empty()) {
    StoreValue value;
    const Revision before{record.revision_.value_ - 1};
    BOOST_REQUIRE(!store.Read(RecordKey(before, record.previous_id_), &value));
    BOOST_REQUIRE(!ReadRecord(value.value_, &record));
    ++records;
  }
  BOOST_TEST(records == expected);
}

/// Runs one call of a platform client to its end.
class Client {
 public:
  explicit Client(const Address& address)
      : base_(event_base_new()),
        platform_(base_.get(), address, {{500}, 4096}) {}

  std::error_code Swap(const std::string& value, uint64_t index,
                       SwapResult* out) {
    platform_.CompareAndSwap("k", value, index,
                             [&](std::error_code error, SwapResult result) {
                               End(error);
                               *out = result;
                             });
    return Wait();
  }

  std::error_code Watch(uint64_t index, Duration wait, StoreValue* out) {
    platform_.Watch("k", index, wait,
                    [&](std::error_code error, const StoreValue& value) {
                      End(error);
                      *out = value;
                    });
    return Wait();
  }

  std::error_code List(std::vector<ListedService>* out) {
    platform_.List("dossier", [&](std::error_code error,
                                  const std::vector<ListedService>& services) {
      End(error);
      *out = services;
    });
    return Wait();
  }

  const PlatformCalls& calls() const { return platform_.calls(); }

 private:
  void End(std::error_code error) {
    error_ = error;
    event_base_loopbreak(base_.get());
  }

  std::error_code Wait() {
    event_base_dispatch(base_.get());
    return error_;
  }

  EventBase base_;
  ConsulPlatform platform_;
  std::error_code error_;
};

/// Entry instances of one data centre with a platform that lists them.
class Site {
 public:
  explicit Site(int instances) {
    for (int i = 0; i < instances; ++i) Start({});
    BOOST_REQUIRE(WaitUntil([&] {
      return std::all_of(
          instances_.begin(), instances_.end(), [&](const auto& instance) {
            return instance->Status()["peers"].size() + 1 == instances_.size();
          });
    }));
  }

  /// Starts one more instance and lists it.
  Instance* Start(const std::vector<Address>& seed_peers) {
    BootFile boot;
    boot.platform_ = platform_.address();
    boot.seed_peers_ = seed_peers;
    instances_.push_back(std::make_unique<Instance>(folder_, boot));
    Instance* instance = instances_.back().get();
    platform_.List("gentiandeal", instance->callers(),
                   {{"peers", ToString(instance->peers())}},
                   nlohmann::json::array());
    return instance;
  }

  CommandRun Apply(const std::string& branch, const std::string& text) {
    return ApplyBranch(&platform_, branch, folder_.Write("branch.ini", text));
  }

  /// Whether every instance has this revision in force within `patience`.
  bool AllReach(uint64_t revision, Duration patience) {
    return WaitUntil(
        [&] {
          return std::all_of(instances_.begin(), instances_.end(),
                             [&](const auto& instance) {
                               return RevisionOf(instance.get()) == revision;
                             });
        },
        patience);
  }

  static uint64_t RevisionOf(Instance* instance) {
    const nlohmann::json status = instance->Status();
    return status.is_object() ? status.value("settings_revision", 0U) : 0U;
  }

  PlatformProcess platform_;
  std::vector<std::unique_ptr<Instance>> instances_;

 private:
  Folder folder_;
};

/// The stated target for a change to be in force everywhere.
constexpr Duration kInForce{4000};

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(ChangesReachEveryInstanceAndNeverRevert) {
  Site site(4);
  BOOST_TEST(site.Apply("care", Weight(1)).exit_ == 0);
  BOOST_TEST(site.AllReach(1, kInForce));
  site.platform_.Control("snapshot");
  BOOST_TEST(site.Apply("care", Weight(2)).exit_ == 0);
  BOOST_TEST(site.AllReach(2, kInForce));
  // The store is restored to revision 1, which ends the watches that wait;
  // the instances write 2 back.
  BOOST_TEST(WaitUntil([&] {
    return site.platform_.Control("calls")["waiting"] ==
           SettingsSync::kWatchersPerDataCentre;
  }));
  site.platform_.Control("restore");
  const Address store = site.platform_.address();
  BOOST_TEST(WaitUntil([&] {
    for (const auto& instance : site.instances_) {
      BOOST_TEST(Site::RevisionOf(instance.get()) == 2);
    }
    return ReadContent(store).revision_.value_ == 2;
  }));
  // Restored once more and changed at once: no number is used twice.
  site.platform_.Control("restore");
  BOOST_TEST(site.Apply("desk", Weight(3)).output()["revision"] == 3);
  BOOST_TEST(site.AllReach(3, kInForce));
  CheckAudit(store, 3);
  BOOST_TEST(ReadContent(store).branches_.at("care") == Weight(2));
}

BOOST_AUTO_TEST_CASE(ReplacedInstanceAsksItsPeersWhileTheStoreIsDown) {
  Site site(2);
  BOOST_TEST(site.Apply("care", Weight(1)).exit_ == 0);
  BOOST_TEST(site.AllReach(1, kInForce));
  site.platform_.Control("faults", {{"outage", true}});
  std::vector<Address> seeds;
  for (const auto& instance : site.instances_) {
    seeds.push_back(instance->peers());
  }
  const Folder folder;
  BootFile boot;
  boot.platform_ = site.platform_.address();
  boot.seed_peers_ = seeds;
  Instance replaced(folder, boot);
  BOOST_TEST(WaitUntil([&] { return replaced.Ready(); }));
  BOOST_TEST(Site::RevisionOf(&replaced) == 1);
  // So, too, when the store's answers do not come at all.
  site.platform_.Control("faults", {{"delay_ms", 600000}});
  Instance waiting(folder, boot);
  BOOST_TEST(WaitUntil([&] { return waiting.Ready(); }));
  BOOST_TEST(Site::RevisionOf(&waiting) == 1);
  // With neither peers nor store, it serves from its boot file.
  boot.seed_peers_.clear();
  boot.settings_file_ = folder.Write("tree.ini", "[team care]\nweight = 2\n");
  Instance alone(folder, boot);
  BOOST_TEST(WaitUntil([&] { return alone.Ready(); }));
  BOOST_TEST(Site::RevisionOf(&alone) == 0);
}

BOOST_AUTO_TEST_CASE(BrokenDocumentLeavesTheRunningOneInForce) {
  Site site(1);
  BOOST_TEST(site.Apply("care", Weight(1)).exit_ == 0);
  BOOST_TEST(site.AllReach(1, kInForce));
  SettingsContent content = WithChange(ReadContent(site.platform_.address()),
                                       "x", "care", "[team]\nweight = 0\n");
  const HttpResponse put = Fetch(site.platform_.address(),
                                 {"PUT",
                                  std::string("/v1/kv/") + kSettingsStoreKey,
                                  {},
                                  WriteDocument(content)},
                                 kPatience);
  BOOST_TEST(put.status_ == 200);
  Instance* instance = site.instances_.front().get();
  BOOST_TEST(WaitUntil([&] {
    const HttpResponse metrics =
        Fetch(instance->callers(), {"GET", "/metrics", {}, ""}, kPatience);
    return metrics.body_.find("gentiandeal_settings_refused_total 1") !=
           std::string::npos;
  }));
  BOOST_TEST(Site::RevisionOf(instance) == 1);
  BOOST_TEST(instance->Ready());
}

BOOST_AUTO_TEST_CASE(ClientTellsLostFromNotSent) {
  PlatformProcess platform;
  Client client(platform.address());
  SwapResult result = SwapResult::kIndexMismatch;
  BOOST_TEST(!client.Swap("one", 0, &result));
  BOOST_TEST((result == SwapResult::kSwapped));
  BOOST_TEST(!client.Swap("two", 0, &result));
  BOOST_TEST((result == SwapResult::kIndexMismatch));

  const uint64_t swaps = platform.Control("calls")["swaps"];
  platform.Control("faults", {{"lose_reply", 1}});
  StoreValue value;
  BOOST_REQUIRE(!client.Watch(0, {}, &value));
  BOOST_TEST(
      (client.Swap("two", value.swap_index_, &result) == Errc::kReplyLost));
  BOOST_TEST(platform.Control("calls")["swaps"] == swaps + 1);
  BOOST_REQUIRE(!client.Watch(0, {}, &value));
  BOOST_TEST(value.value_ == "two");

  platform.Control("faults", {{"delay_ms", 5000}});
  BOOST_TEST((client.Swap("x", 1, &result) == Errc::kReplyLost));
  BOOST_TEST((client.Watch(0, {}, &value) == Errc::kPlatformUnavailable));
  platform.Control("faults", {{"status", 503}});
  BOOST_TEST((client.Swap("x", 1, &result) == Errc::kReplyLost));
  BOOST_TEST((client.Watch(0, {}, &value) == Errc::kPlatformUnavailable));
  platform.Control("faults", {{"status", 200}});
  BOOST_TEST((client.Watch(0, {}, &value) == Errc::kPlatformBadAnswer));
  platform.Control("faults");
  BOOST_REQUIRE(!client.Watch(0, {}, &value));
  BOOST_TEST(!client.Swap(std::string(8000, 'x'), value.swap_index_, &result));
  BOOST_TEST((client.Watch(0, {}, &value) == Errc::kPlatformUnavailable));

  Client nowhere(Address{"127.0.0.1", 1});
  BOOST_TEST((nowhere.Swap("x", 0, &result) == Errc::kPlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(WatchStartsAfreshWhenTheIndexGoesBack) {
  PlatformProcess platform;
  Client client(platform.address());
  SwapResult result = SwapResult::kIndexMismatch;
  StoreValue value;
  BOOST_REQUIRE(!client.Swap("one", 0, &result));
  platform.Control("snapshot");
  BOOST_REQUIRE(!client.Watch(0, {}, &value));
  BOOST_REQUIRE(!client.Swap("two", value.swap_index_, &result));
  BOOST_REQUIRE(!client.Watch(value.watch_index_, {5000}, &value));
  BOOST_TEST(value.value_ == "two");
  platform.Control("restore");
  BOOST_REQUIRE(!client.Watch(value.watch_index_, {100}, &value));
  BOOST_TEST(value.value_ == "one");
  BOOST_TEST(value.watch_index_ == 0);
  BOOST_TEST(client.calls().watches_ == 3);
}

BOOST_AUTO_TEST_CASE(ListNamesWorkersAndLags) {
  PlatformProcess platform;
  Client client(platform.address());
  const nlohmann::json none = nlohmann::json::array();
  const nlohmann::json critical = {
      {{"CheckID", "alive"}, {"Status", "critical"}}};
  const Address first{"127.0.0.1", 9001};
  platform.List("dossier", first, {{"slots", "4"}, {"rack", "r1"}}, none);
  platform.List("dossier", {"127.0.0.1", 9002}, {{"data_centre", "brest"}},
                critical);
  std::vector<ListedService> services;
  BOOST_REQUIRE(!client.List(&services));
  BOOST_REQUIRE_EQUAL(services.size(), 2);
  BOOST_TEST(!services[0].leaving_);
  BOOST_TEST(services[1].leaving_);
  const auto workers = ToWorkers(services, "rennes", 8, 60);
  BOOST_REQUIRE_EQUAL(workers.size(), 1);
  BOOST_TEST(workers[0].slots_ == 4);
  BOOST_TEST(workers[0].max_connections_ == 60);
  platform.Control("faults", {{"list_lag_ms", 600000}});
  BOOST_REQUIRE(!client.List(&services));
  BOOST_TEST(services.empty());
  platform.Control("faults", {{"outage", true}});
  BOOST_TEST((client.List(&services) == Errc::kPlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(OperatorsRaceAHundredTimes) {
  PlatformProcess platform;
  const Address address = platform.address();
  constexpr int kRounds = 100;
  uint64_t landed = 0;
  for (int i = 1; i <= kRounds; ++i) {
    const int won = RaceOnce(address, i, "care", "care");
    BOOST_TEST(won >= 1);
    landed += won;
  }
  CheckAudit(address, landed);
  for (int i = kRounds + 1; i <= 2 * kRounds; ++i) {
    BOOST_TEST(RaceOnce(address, i, "care", "desk") == 2);
  }
  CheckAudit(address, landed + 2 * kRounds);
}

BOOST_AUTO_TEST_CASE(CommandAppliesChecksAndTellsItsOutcome) {
  PlatformProcess platform;
  const Folder folder;
  const std::string good = folder.Write("good.ini", Weight(2));
  const std::string better = folder.Write("better.ini", Weight(3));
  const std::string broken =
      folder.Write("broken.ini", "[team]\nweight = 0\npace = 2\n");

  BOOST_TEST(ApplyBranch(&platform, "care", good).exit_ == 0);
  const CommandRun refused = ApplyBranch(&platform, "care", broken);
  BOOST_TEST(refused.exit_ == 1);
  BOOST_TEST(refused.output()["faults"].size() == 2);
  const CommandRun orphan = ApplyBranch(&platform, "desk/day", good);
  BOOST_TEST(orphan.exit_ == 1);

  platform.Control("faults", {{"lose_reply", 1}});
  const CommandRun lost = ApplyBranch(&platform, "care", better);
  BOOST_TEST(lost.exit_ == 0);
  BOOST_TEST(lost.output()["revision"] == 2);
  CheckAudit(platform.address(), 2);

  const std::string at = ToString(platform.address());
  const CommandRun shown =
      RunCommand({"show", "--platform", at, "--branch", "care"});
  BOOST_TEST(shown.output()["values"][0]["value"] == "3");
  BOOST_TEST(shown.output()["values"][0]["origin"] == "care");
  const CommandRun last =
      RunCommand({"history", "--platform", at, "--count", "1"});
  BOOST_TEST(last.output()["who"] == "Maëlle");
  BOOST_TEST(last.output()["before"] == Weight(2));
  BOOST_TEST(last.output()["id"] == lost.output()["change"]);

  // An instance is listed and can't be asked: its revision may be higher.
  platform.List("gentiandeal", {"127.0.0.1", 1}, nlohmann::json::object(),
                nlohmann::json::array());
  BOOST_TEST(ApplyBranch(&platform, "care", good).exit_ == 3);
  platform.Control("faults", {{"outage", true}});
  BOOST_TEST(ApplyBranch(&platform, "care", good, "500ms").exit_ == 3);
  platform.Control("faults");
  CheckAudit(platform.address(), 2);
  BOOST_TEST(RunCommand({"apply", "--branch", "care"}).exit_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal::process
