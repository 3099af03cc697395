#include "settings_editor.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "fake_store.h"

namespace gentiandeal {
namespace {

/// One operator whose editor runs against a store, a step at a time.
class Operator {
 public:
  Operator(FakeStore* store, const std::string& id, const std::string& branch,
           const std::string& text, const SettingsContent& held = {})
      : store_(store), editor_({id, branch, id, "", text}, held) {
    editor_.Start(&out_);
  }

  bool ended() const { return ended_.has_value(); }
  const EditEnded& end() const { return *ended_; }
  const Diagnostics& faults() const { return editor_.faults(); }
  void LoseReplies(int count) { lost_replies_ = count; }
  void DropSwaps(int count) { dropped_swaps_ = count; }
  /// Runs before the editor reads after a lost reply.
  void OnLost(std::function<void()> run) { on_lost_ = std::move(run); }
  int document_swaps() const { return document_swaps_; }

  void Step() {
    const EditorCommand command = std::move(out_.front());
    out_.erase(out_.begin());
    if (const auto* read = std::get_if<ReadKey>(&command)) {
      editor_.OnRead({}, store_->Read(read->key_), &out_);
    } else if (const auto* swap = std::get_if<SwapKey>(&command)) {
      Swap(*swap);
    } else {
      ended_ = std::get<EditEnded>(command);
    }
  }

  void Run() {
    for (int i = 0; i < 1000 && !ended(); ++i) Step();
    BOOST_REQUIRE(ended());
  }

 private:
  void Swap(const SwapKey& swap) {
    const bool document = swap.key_ == kSettingsKey;
    if (document) ++document_swaps_;
    SwapResult result = SwapResult::kMissed;
    std::error_code error;
    if (document && dropped_swaps_ > 0) {
      --dropped_swaps_;
      error = Errc::kReplyLost;
    } else {
      result = store_->Swap(swap.key_, swap.value_, swap.index_);
      if (document && lost_replies_ > 0) {
        --lost_replies_;
        error = Errc::kReplyLost;
      }
    }
    if (error && on_lost_) std::exchange(on_lost_, nullptr)();
    editor_.OnSwapped(error, result, &out_);
  }

  FakeStore* store_;
  SettingsEditor editor_;
  EditorOutbox out_;
  std::optional<EditEnded> ended_;
  int lost_replies_ = 0;
  int dropped_swaps_ = 0;
  int document_swaps_ = 0;
  std::function<void()> on_lost_;
};

std::string Weight(int value) {
  return "[team]\nweight = " + std::to_string(value) + "\n";
}

Revision Apply(FakeStore* store, const std::string& id,
               const std::string& branch, int weight) {
  Operator one(store, id, branch, Weight(weight));
  one.Run();
  BOOST_REQUIRE(!one.end().error_);
  return one.end().revision_;
}

/// Follows the records from the newest to the first, out of the document and
/// then by their own keys, and checks that each one joins the one before.
std::vector<ChangeRecord> WalkAudit(const FakeStore& store) {
  const SettingsContent content = store.Content();
  std::vector<ChangeRecord> records(content.changes_.rbegin(),
                                    content.changes_.rend());
  while (!records.empty() && !records.back().previous_.empty()) {
    const Revision revision{records.back().revision_.value_ - 1};
    const StoreValue value =
        store.Read(RecordKey(revision, records.back().previous_));
    ChangeRecord record;
    BOOST_REQUIRE(value.found_);
    BOOST_REQUIRE(!ReadRecord(value.value_, &record));
    BOOST_REQUIRE(record.revision_ == revision);
    records.push_back(std::move(record));
  }
  return records;
}

/// Runs two operators in a random order of steps.
void Race(Operator* a, Operator* b, std::mt19937* random) {
  while (!a->ended() || !b->ended()) {
    Operator* next = (*random)() % 2 == 0 ? a : b;
    if (!next->ended()) next->Step();
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_editor)

BOOST_AUTO_TEST_CASE(RacesOnOneBranchHaveOneWinnerOrAnOrder) {
  std::mt19937 random(7);
  int conflicts = 0;
  for (int i = 0; i < 100; ++i) {
    FakeStore store;
    Apply(&store, "first", "care", 1);
    Operator a(&store, "a", "care", Weight(2));
    Operator b(&store, "b", "care", Weight(3));
    Race(&a, &b, &random);
    const int won = !a.end().error_ + !b.end().error_;
    BOOST_TEST(won >= 1);
    for (const Operator* one : {&a, &b}) {
      if (!one->end().error_) continue;
      BOOST_TEST((one->end().error_ == Errc::kSettingsConflict));
      ++conflicts;
    }
    const auto audit = WalkAudit(store);
    BOOST_TEST(audit.size() == 1u + won);
    BOOST_TEST((audit.front().after_ == store.Content().branches_["care"]));
  }
  BOOST_TEST(conflicts > 0);
}

BOOST_AUTO_TEST_CASE(RacesOnTwoBranchesBothLand) {
  std::mt19937 random(8);
  int repeated = 0;
  for (int i = 0; i < 100; ++i) {
    FakeStore store;
    Operator a(&store, "a", "care", Weight(2));
    Operator b(&store, "b", "desk", Weight(3));
    Race(&a, &b, &random);
    BOOST_TEST(!a.end().error_);
    BOOST_TEST(!b.end().error_);
    repeated += a.document_swaps() + b.document_swaps() - 2;
    const SettingsContent content = store.Content();
    BOOST_TEST(content.revision_.value_ == 2);
    BOOST_TEST(content.branches_.at("care") == Weight(2));
    BOOST_TEST(content.branches_.at("desk") == Weight(3));
    BOOST_TEST(WalkAudit(store).size() == 2);
  }
  BOOST_TEST(repeated > 0);
}

BOOST_AUTO_TEST_CASE(LostReplyIsLookedUp) {
  FakeStore store;
  Operator landed(&store, "a", "care", Weight(2));
  landed.LoseReplies(1);
  landed.Run();
  BOOST_TEST(!landed.end().error_);
  BOOST_TEST(landed.document_swaps() == 1);
  BOOST_TEST(store.Content().revision_.value_ == 1);

  Operator dropped(&store, "b", "care", Weight(3));
  dropped.DropSwaps(2);
  dropped.Run();
  BOOST_TEST(!dropped.end().error_);
  BOOST_TEST(dropped.document_swaps() == 3);
  BOOST_TEST(store.Content().revision_.value_ == 2);
  // Tried again by hand under the same id, it is found and not repeated.
  Operator again(&store, "b", "care", Weight(3));
  again.Run();
  BOOST_TEST(again.end().revision_.value_ == 2);
  BOOST_TEST(again.document_swaps() == 0);
}

BOOST_AUTO_TEST_CASE(LostReplyIsFoundBehindManyChanges) {
  FakeStore store;
  Operator lost(&store, "lost", "care", Weight(2));
  lost.LoseReplies(1);
  lost.OnLost([&] {
    for (size_t i = 0; i < kMaxKeptRecords + 5; ++i) {
      const std::string id = "other" + std::to_string(i);
      Apply(&store, id, "desk", static_cast<int>(i) + 1);
    }
  });
  lost.Run();
  BOOST_TEST(!lost.end().error_);
  BOOST_TEST(lost.end().revision_.value_ == 1);
  BOOST_TEST(lost.document_swaps() == 1);
}

BOOST_AUTO_TEST_CASE(AuditTrailOutlivesTheDocument) {
  FakeStore store;
  constexpr int kChanges = 3 * kMaxKeptRecords;
  for (int i = 1; i <= kChanges; ++i) {
    Apply(&store, "c" + std::to_string(i), "care", i);
  }
  BOOST_TEST(store.Content().changes_.size() == kMaxKeptRecords);
  const auto audit = WalkAudit(store);
  BOOST_TEST(audit.size() == kChanges);
  for (int i = 0; i < kChanges; ++i) {
    BOOST_TEST((audit[i].after_ == Weight(kChanges - i)));
  }
  // Nothing under the records' keys that is not part of the trail.
  BOOST_TEST(store.entries_.size() == 1 + kChanges - kMaxKeptRecords);
}

BOOST_AUTO_TEST_CASE(RolledBackStoreNeverReusesARevision) {
  FakeStore store;
  Apply(&store, "a", "care", 2);
  const FakeStore snapshot = store;
  Apply(&store, "b", "care", 3);
  const SettingsContent held = store.Content();
  store = snapshot;
  Operator one(&store, "c", "desk", Weight(4), held);
  one.Run();
  BOOST_TEST(!one.end().error_);
  BOOST_TEST(one.end().revision_.value_ == 3);
  const SettingsContent content = store.Content();
  BOOST_TEST(content.branches_.at("care") == Weight(3));
  BOOST_TEST(content.Find("b") != nullptr);
}

BOOST_AUTO_TEST_CASE(BrokenTreeIsRefusedWithEveryFault) {
  FakeStore store;
  Apply(&store, "a", "care", 2);
  const std::string before = store.Read(kSettingsKey).value_;
  Operator one(&store, "b", "care", "[team]\nweight = -1\ncolour = red\n");
  one.Run();
  BOOST_TEST((one.end().error_ == Errc::kBadSettings));
  BOOST_TEST(one.faults().size() == 2);
  Operator same(&store, "c", "care", Weight(2));
  same.Run();
  BOOST_TEST((same.end().error_ == Errc::kSettingsUnchanged));
  BOOST_TEST(store.Read(kSettingsKey).value_ == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
