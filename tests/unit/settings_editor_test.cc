#include "settings_editor.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "fake_store.h"

namespace gentiandeal {
namespace {

/// An operator whose editor runs one command at a time against a store.
class Operator {
 public:
  Operator(FakeStore* store, const std::string& id, const std::string& branch,
           const std::string& text,
           const SettingsContent& newest_at_instances = {})
      : store_(store),
        editor_({id, branch, id, "", text}, newest_at_instances) {
    editor_.Start(&out_);
  }

  bool ended() const { return ended_.has_value(); }
  const EditEnded& end() const { return *ended_; }
  const Diagnostics& diagnostics() const { return editor_.diagnostics(); }
  /// The next swaps of the document take effect, but their replies are lost.
  void LoseReplies(int count) { lost_replies_ = count; }
  /// The next swaps of the document are lost before they take effect.
  void DropSwaps(int count) { dropped_swaps_ = count; }
  /// Calls `run` at the next lost reply, before the editor reads again.
  void OnReplyLost(std::function<void()> run) {
    on_reply_lost_ = std::move(run);
  }
  int document_swaps() const { return document_swaps_; }

  void Step() {
    const EditorCommand command = std::move(out_.front());
    out_.erase(out_.begin());
    if (const auto* read = std::get_if<ReadStoreKey>(&command)) {
      editor_.OnRead({}, store_->Read(read->key_), &out_);
    } else if (const auto* swap = std::get_if<SwapStoreKey>(&command)) {
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
  void Swap(const SwapStoreKey& swap) {
    const bool document = swap.key_ == kSettingsStoreKey;
    if (document) ++document_swaps_;
    SwapResult result = SwapResult::kIndexMismatch;
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
    if (error && on_reply_lost_) std::exchange(on_reply_lost_, nullptr)();
    editor_.OnSwapped(error, result, &out_);
  }

  FakeStore* store_;
  SettingsEditor editor_;
  EditorOutbox out_;
  std::optional<EditEnded> ended_;
  int lost_replies_ = 0;
  int dropped_swaps_ = 0;
  int document_swaps_ = 0;
  std::function<void()> on_reply_lost_;
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

/// Reads the records from the newest to the first, out of the document and then
/// by their own keys, and checks that the chain has no gap.
std::vector<ChangeRecord> ReadAuditTrail(const FakeStore& store) {
  const SettingsContent content = store.Content();
  std::vector<ChangeRecord> records(content.changes_.rbegin(),
                                    content.changes_.rend());
  while (!records.empty() && !records.back().previous_id_.empty()) {
    const Revision revision{records.back().revision_.value_ - 1};
    const StoreValue value =
        store.Read(RecordKey(revision, records.back().previous_id_));
    ChangeRecord record;
    BOOST_REQUIRE(value.found_);
    BOOST_REQUIRE(!ReadRecord(value.value_, &record));
    BOOST_REQUIRE(record.revision_ == revision);
    records.push_back(std::move(record));
  }
  return records;
}

/// Interleaves the steps of two operators at random until both have ended.
void Interleave(Operator* a, Operator* b, std::mt19937* random) {
  while (!a->ended() || !b->ended()) {
    Operator* next = (*random)() % 2 == 0 ? a : b;
    if (!next->ended()) next->Step();
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_editor)

BOOST_AUTO_TEST_CASE(ConcurrentEditsOfOneBranchConflictOrApplyInSequence) {
  std::mt19937 random(7);
  int conflicts = 0;
  for (int i = 0; i < 100; ++i) {
    FakeStore store;
    Apply(&store, "first", "care", 1);
    Operator a(&store, "a", "care", Weight(2));
    Operator b(&store, "b", "care", Weight(3));
    Interleave(&a, &b, &random);
    const int succeeded = !a.end().error_ + !b.end().error_;
    BOOST_TEST(succeeded >= 1);
    for (const Operator* one : {&a, &b}) {
      if (!one->end().error_) continue;
      BOOST_TEST((one->end().error_ == Errc::kSettingsConflict));
      ++conflicts;
    }
    const auto audit = ReadAuditTrail(store);
    BOOST_TEST(audit.size() == 1u + succeeded);
    BOOST_TEST((audit.front().after_ == store.Content().branches_["care"]));
  }
  BOOST_TEST(conflicts > 0);
}

BOOST_AUTO_TEST_CASE(ConcurrentEditsOfTwoBranchesBothTakeEffect) {
  std::mt19937 random(8);
  int repeated = 0;
  for (int i = 0; i < 100; ++i) {
    FakeStore store;
    Operator a(&store, "a", "care", Weight(2));
    Operator b(&store, "b", "desk", Weight(3));
    Interleave(&a, &b, &random);
    BOOST_TEST(!a.end().error_);
    BOOST_TEST(!b.end().error_);
    repeated += a.document_swaps() + b.document_swaps() - 2;
    const SettingsContent content = store.Content();
    BOOST_TEST(content.revision_.value_ == 2);
    BOOST_TEST(content.branches_.at("care") == Weight(2));
    BOOST_TEST(content.branches_.at("desk") == Weight(3));
    BOOST_TEST(ReadAuditTrail(store).size() == 2);
  }
  BOOST_TEST(repeated > 0);
}

BOOST_AUTO_TEST_CASE(EditWithLostReplyIsAppliedOnce) {
  FakeStore store;
  Operator reply_lost(&store, "a", "care", Weight(2));
  reply_lost.LoseReplies(1);
  reply_lost.Run();
  BOOST_TEST(!reply_lost.end().error_);
  BOOST_TEST(reply_lost.document_swaps() == 1);
  BOOST_TEST(store.Content().revision_.value_ == 1);

  Operator swap_lost(&store, "b", "care", Weight(3));
  swap_lost.DropSwaps(2);
  swap_lost.Run();
  BOOST_TEST(!swap_lost.end().error_);
  BOOST_TEST(swap_lost.document_swaps() == 3);
  BOOST_TEST(store.Content().revision_.value_ == 2);
  // Retried by the operator with the same id: found, not applied again.
  Operator retried(&store, "b", "care", Weight(3));
  retried.Run();
  BOOST_TEST(retried.end().revision_.value_ == 2);
  BOOST_TEST(retried.document_swaps() == 0);
}

BOOST_AUTO_TEST_CASE(EditWithLostReplyIsFoundAfterItsRecordWasTrimmed) {
  FakeStore store;
  Operator lost(&store, "lost", "care", Weight(2));
  lost.LoseReplies(1);
  lost.OnReplyLost([&] {
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

BOOST_AUTO_TEST_CASE(AuditTrailKeepsRecordsTrimmedFromTheDocument) {
  FakeStore store;
  constexpr int kChanges = 3 * kMaxKeptRecords;
  for (int i = 1; i <= kChanges; ++i) {
    Apply(&store, "c" + std::to_string(i), "care", i);
  }
  BOOST_TEST(store.Content().changes_.size() == kMaxKeptRecords);
  const auto audit = ReadAuditTrail(store);
  BOOST_TEST(audit.size() == kChanges);
  for (int i = 0; i < kChanges; ++i) {
    BOOST_TEST((audit[i].after_ == Weight(kChanges - i)));
  }
  // The store has no records besides those of the audit trail.
  BOOST_TEST(store.entries_.size() == 1 + kChanges - kMaxKeptRecords);
}

BOOST_AUTO_TEST_CASE(RevisionIsNotReusedAfterTheStoreWasRolledBack) {
  FakeStore store;
  Apply(&store, "a", "care", 2);
  const FakeStore snapshot = store;
  Apply(&store, "b", "care", 3);
  const SettingsContent newest_at_instances = store.Content();
  store = snapshot;
  Operator one(&store, "c", "desk", Weight(4), newest_at_instances);
  one.Run();
  BOOST_TEST(!one.end().error_);
  BOOST_TEST(one.end().revision_.value_ == 3);
  const SettingsContent content = store.Content();
  BOOST_TEST(content.branches_.at("care") == Weight(3));
  BOOST_TEST(content.Find("b") != nullptr);
}

BOOST_AUTO_TEST_CASE(InvalidTreeIsRefusedWithAllErrors) {
  FakeStore store;
  Apply(&store, "a", "care", 2);
  const std::string before = store.Read(kSettingsStoreKey).value_;
  Operator one(&store, "b", "care", "[team]\nweight = -1\ncolour = red\n");
  one.Run();
  BOOST_TEST((one.end().error_ == Errc::kBadSettings));
  BOOST_TEST(one.diagnostics().size() == 2);
  Operator same(&store, "c", "care", Weight(2));
  same.Run();
  BOOST_TEST((same.end().error_ == Errc::kSettingsUnchanged));
  BOOST_TEST(store.Read(kSettingsStoreKey).value_ == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
