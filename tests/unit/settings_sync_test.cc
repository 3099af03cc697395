#include "settings_sync.h"

#include <boost/test/unit_test.hpp>

#include "fake_store.h"

namespace gentiandeal {
namespace {

const Address kPeer{"127.0.0.1", 7001};
const std::error_code kUnavailable = Errc::kPlatformUnavailable;

std::string Weight(int value) {
  return "[team]\nweight = " + std::to_string(value) + "\n";
}

/// Content after `count` changes, each with the id `c<revision>`.
SettingsContent ContentOf(int count) {
  SettingsContent content;
  for (int i = 1; i <= count; ++i) {
    content = WithChange(content, "c" + std::to_string(i), "care", Weight(i));
  }
  return content;
}

StoreValue Stored(const SettingsContent& content, uint64_t index) {
  return {true, WriteDocument(content), index, index};
}

struct Fixture {
  SettingsSync sync_{SyncOptions{}, true};
  SyncOutbox out_;
  Time now_{1000};

  Fixture() { sync_.Start(now_, &out_); }

  template <typename Command>
  std::vector<Command> Take() {
    std::vector<Command> found;
    for (const SyncCommand& command : out_) {
      if (const auto* wanted = std::get_if<Command>(&command)) {
        found.push_back(*wanted);
      }
    }
    out_.clear();
    return found;
  }

  void Advance(Duration duration) {
    now_ = now_ + duration;
    sync_.Tick(now_, &out_);
  }

  void AnswerRead(const StoreValue& value) {
    sync_.OnStoreRead({}, value, now_, &out_);
  }

  /// Reads a revision from the store at start, so that it is in force.
  void StartWith(int revision) {
    sync_.OnPeersKnown({}, now_, &out_);
    AnswerRead(Stored(ContentOf(revision), 10 + revision));
    BOOST_REQUIRE(sync_.revision().value_ == static_cast<uint64_t>(revision));
    BOOST_REQUIRE(sync_.ready());
    out_.clear();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(settings_sync, Fixture)

BOOST_AUTO_TEST_CASE(PullsFromPeersBeforeServing) {
  BOOST_TEST(Take<GetDocument>().size() == 1);
  sync_.OnPeersKnown({kPeer}, now_, &out_);
  BOOST_TEST(Take<PullDocument>().size() == 1);
  // The store was restored to revision 1 while this instance restarted; the
  // peer still has revision 3.
  AnswerRead(Stored(ContentOf(1), 5));
  BOOST_TEST(!sync_.ready());
  sync_.OnPulled(kPeer, WriteDocument(ContentOf(3)), now_, &out_);
  BOOST_TEST(sync_.ready());
  BOOST_TEST(sync_.revision().value_ == 3);
  BOOST_TEST((sync_.source() == SettingsSource::kPeer));
}

BOOST_AUTO_TEST_CASE(PullsFromSeedsBeforeTheListIsKnownAndOnlyOnce) {
  sync_.AskPeers({kPeer}, now_, &out_);
  BOOST_TEST(Take<PullDocument>().size() == 1);
  sync_.OnPulled(kPeer, WriteDocument(ContentOf(2)), now_, &out_);
  BOOST_TEST(sync_.revision().value_ == 2);
  BOOST_TEST(!sync_.ready());
  sync_.OnPeersKnown({kPeer, {"127.0.0.1", 7002}}, now_, &out_);
  BOOST_TEST(Take<PullDocument>().size() == 1);
}

BOOST_AUTO_TEST_CASE(WaitForPeersAndStoreIsLimited) {
  sync_.OnPeersKnown({kPeer}, now_, &out_);
  Advance({1999});
  BOOST_TEST(!sync_.ready());
  Advance({1});
  BOOST_TEST(sync_.ready());
  BOOST_TEST((sync_.source() == SettingsSource::kBootFile));
}

BOOST_AUTO_TEST_CASE(ServesTheBootFileWithoutStoreAndPeers) {
  sync_.OnPeersKnown({}, now_, &out_);
  sync_.OnStoreRead(kUnavailable, {}, now_, &out_);
  BOOST_TEST(sync_.ready());
  BOOST_TEST(!sync_.revision().valid());
  BOOST_TEST((Name(sync_.source()) == "boot-file"));
}

BOOST_AUTO_TEST_CASE(NeverAdoptsAnOlderRevision) {
  StartWith(3);
  for (int revision = 0; revision <= 3; ++revision) {
    sync_.OnPulled(kPeer, WriteDocument(ContentOf(revision)), now_, &out_);
    sync_.OnWatchEnded({}, Stored(ContentOf(std::max(revision, 1)), 2), now_,
                       &out_);
  }
  BOOST_TEST(Take<AdoptDocument>().empty());
  BOOST_TEST(sync_.revision().value_ == 3);
}

BOOST_AUTO_TEST_CASE(WritesBackToAStoreThatWasRolledBack) {
  StartWith(3);
  sync_.OnWatchEnded({}, Stored(ContentOf(2), 7), now_, &out_);
  auto writes = Take<WriteBack>();
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(writes[0].index_ == 7);
  BOOST_TEST(writes[0].text_ == WriteDocument(ContentOf(3)));
  // The read returned an old value with an old index, so that the write misses.
  // The store is read again, with a delay that doubles.
  int reads = 0;
  sync_.OnSwapped({}, SwapResult::kIndexMismatch, now_, &out_);
  for (int i = 0; i < 100; ++i) {
    Advance({100});
    if (Take<GetDocument>().empty()) continue;
    ++reads;
    AnswerRead(Stored(ContentOf(2), 7));
    BOOST_TEST(Take<WriteBack>().size() == 1);
    sync_.OnSwapped({}, SwapResult::kIndexMismatch, now_, &out_);
  }
  BOOST_TEST(reads >= 3);
  BOOST_TEST(reads <= 8);
  Advance({8000});
  AnswerRead(Stored(ContentOf(3), 8));
  BOOST_TEST(Take<WriteBack>().empty());
  // The store has lost all data.
  Advance({8000});
  AnswerRead({});
  writes = Take<WriteBack>();
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(writes[0].index_ == 0);
}

BOOST_AUTO_TEST_CASE(MergesAChangeMadeOnARolledBackStore) {
  StartWith(3);
  const SettingsContent diverged =
      WithChange(ContentOf(2), "x", "desk", Weight(9));
  sync_.OnWatchEnded({}, Stored(diverged, 7), now_, &out_);
  const auto writes = Take<WriteBack>();
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(sync_.revision().value_ == 3);
  sync_.OnSwapped({}, SwapResult::kSwapped, now_, &out_);
  BOOST_TEST(sync_.revision().value_ == 4);
  const auto adopted = Take<AdoptDocument>();
  BOOST_REQUIRE(adopted.size() == 1);
  const Settings& settings = *adopted[0].settings_;
  BOOST_TEST(settings.teams_[settings.FindTeam("care").value_].weight_ == 3);
  BOOST_TEST(settings.teams_[settings.FindTeam("desk").value_].weight_ == 9);
}

BOOST_AUTO_TEST_CASE(RefusesAnInvalidDocumentAndKeepsTheCurrentOne) {
  StartWith(1);
  SettingsContent invalid = ContentOf(2);
  invalid.branches_["care"] = "[team]\nweight = 0\nspeed = 1\n";
  sync_.OnWatchEnded({}, Stored(invalid, 20), now_, &out_);
  sync_.OnWatchEnded({}, {true, "{", 21, 21}, now_, &out_);
  BOOST_TEST(sync_.stats().refused_ == 2);
  BOOST_TEST(sync_.revision().value_ == 1);
  BOOST_TEST(Take<WriteBack>().empty());
  sync_.OnWatchEnded({}, Stored(ContentOf(3), 22), now_, &out_);
  BOOST_TEST(sync_.revision().value_ == 3);
}

BOOST_AUTO_TEST_CASE(TwoInstancesWatchAndTheOthersPullAndPoll) {
  StartWith(1);
  sync_.OnWatchEnded({}, Stored(ContentOf(1), 11), now_, &out_);
  Advance({100});
  const auto watches = Take<WatchDocument>();
  BOOST_REQUIRE(watches.size() == 1);
  BOOST_TEST(watches[0].index_ == 11);

  sync_.OnRank(SettingsSync::kWatchersPerDataCentre, now_, &out_);
  sync_.OnWatchEnded({}, Stored(ContentOf(1), 11), now_, &out_);
  int polls = 0;
  for (int i = 0; i < 600; ++i) {
    Advance({1000});
    const bool asked = !Take<GetDocument>().empty();
    if (asked) AnswerRead(Stored(ContentOf(1), 11));
    polls += asked ? 1 : 0;
    BOOST_TEST(Take<WatchDocument>().empty());
  }
  BOOST_TEST(polls >= 10);  // At least one a minute in 600 s.
  BOOST_TEST(polls <= 20);  // At most one in 30 s.

  sync_.OnPeerRevision(kPeer, {2}, now_, &out_);
  sync_.OnPeerRevision(kPeer, {2}, now_, &out_);
  BOOST_TEST(Take<PullDocument>().size() == 1);
  sync_.OnPulled(kPeer, WriteDocument(ContentOf(2)), now_, &out_);
  BOOST_TEST(Take<AdoptDocument>().size() == 1);
  sync_.OnPeerRevision(kPeer, {2}, now_, &out_);
  BOOST_TEST(Take<PullDocument>().empty());
}

BOOST_AUTO_TEST_CASE(FailedWatchesBackOff) {
  StartWith(1);
  int watches = 0;
  sync_.OnWatchEnded(kUnavailable, {}, now_, &out_);
  for (int i = 0; i < 600; ++i) {
    Advance({100});
    const size_t started = Take<WatchDocument>().size();
    if (started > 0) sync_.OnWatchEnded(kUnavailable, {}, now_, &out_);
    watches += static_cast<int>(started);
  }
  BOOST_TEST(watches >= 7);  // One per 8 s after the faster first ones.
  BOOST_TEST(watches <= 14);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
