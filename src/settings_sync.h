#ifndef GENTIANDEAL_SRC_SETTINGS_SYNC_H_
#define GENTIANDEAL_SRC_SETTINGS_SYNC_H_

#include "platform.h"
#include "settings_document.h"

namespace gentiandeal {

// Messages from the settings sync.

/// Read the document from the store; answer with `OnStoreRead`.
struct GetDocument {};

/// Wait on the store for a newer document; answer with `OnWatchEnded`.
struct WatchDocument {
  uint64_t index_ = 0;
  Duration wait_;
};

/// Pull the document from a peer; answer with `OnPulled`.
struct PullDocument {
  Address peer_;
};

/// Write the document held here to a store that lost it; answer with
/// `OnSwapped`.
struct WriteBack {
  std::string text_;
  uint64_t index_ = 0;
};

/// A newer revision is in force: hand `settings_` to the dispatcher and
/// `text_` to peers that ask.
struct AdoptDocument {
  std::shared_ptr<const Settings> settings_;
  std::string text_;
};

using SyncCommand = std::variant<GetDocument, WatchDocument, PullDocument,
                                 WriteBack, AdoptDocument>;
using SyncOutbox = std::vector<SyncCommand>;

/// Where the settings in force came from.
enum class SettingsSource : uint8_t {
  kBootFile,  ///< Nobody had a document yet.
  kStore,
  kPeer,
};
std::string_view Name(SettingsSource source);

/// Counters since start.
struct SyncStats {
  uint64_t adopted_ = 0;
  uint64_t refused_ = 0;      ///< Documents that were not valid.
  uint64_t rollbacks_ = 0;    ///< Store seen below the revision held here.
  uint64_t write_backs_ = 0;  ///< Documents that healed the store.
  uint64_t pulls_ = 0;
  uint64_t polls_ = 0;
  uint64_t watches_ = 0;
};

/// Intervals of the settings sync.
struct SyncOptions {
  Duration start_wait_{2000};  ///< Bound on waiting for peers and the store.
  Duration watch_wait_{30000};
  Duration poll_interval_{45000};  ///< Of an instance that does not watch.
  Duration pull_timeout_{1000};    ///< After it a pull counts as failed.
};

/// Decides which revision is in force at one instance and whom to ask for a
/// newer one. Holds the highest revision seen. Pure: messages and the time
/// in, commands out.
class SettingsSync {
 public:
  /// Instances of a data centre that watch the store; the others hear of
  /// revisions from their peers.
  static constexpr uint32_t kWatchers = 2;

  /// @param has_store False for an instance without a platform.
  SettingsSync(const SyncOptions& options, bool has_store);

  void Start(Time now, SyncOutbox* out);

  /// Asks peers that are known before the platform's list, such as seeds.
  void AskPeers(const std::vector<Address>& peers, Time now, SyncOutbox* out);
  /// Peers that may be asked before serving; call once they are known, also
  /// when there are none or the list failed. Later calls are ignored.
  void OnPeersKnown(const std::vector<Address>& peers, Time now,
                    SyncOutbox* out);
  /// Rank of this instance by peer address in its data centre.
  void OnRank(uint32_t rank, Time now, SyncOutbox* out);
  /// A peer says that it holds a revision.
  void OnPeerRevision(const Address& peer, Revision revision, Time now,
                      SyncOutbox* out);
  /// @param text Empty when the peer has no document or can't be reached.
  void OnPulled(const Address& peer, std::string_view text, Time now,
                SyncOutbox* out);
  void OnStoreRead(std::error_code error, const StoreValue& value, Time now,
                   SyncOutbox* out);
  void OnWatchEnded(std::error_code error, const StoreValue& value, Time now,
                    SyncOutbox* out);
  void OnSwapped(std::error_code error, SwapResult result, Time now,
                 SyncOutbox* out);
  /// Call at least once a second.
  void Tick(Time now, SyncOutbox* out);

  /// True once peers and the store were asked, or the wait for them passed.
  bool ready() const { return ready_; }
  Revision revision() const { return held_.revision_; }
  SettingsSource source() const { return source_; }
  /// Faults of the document that was refused last.
  const Diagnostics& faults() const { return faults_; }
  const SyncStats& stats() const { return stats_; }

 private:
  void Get(SyncOutbox* out);
  void Pull(const Address& peer, Time now, SyncOutbox* out);
  void ExpirePulls(Time now);
  void KeepWatching(Time now, SyncOutbox* out);
  void OnStoreValue(const StoreValue& value, Time now, SyncOutbox* out);
  void OnStoreContent(const SettingsContent& content, std::string_view text,
                      Settings settings, uint64_t index, Time now,
                      SyncOutbox* out);
  void Adopt(SettingsContent content, Settings settings, std::string text,
             SettingsSource source, SyncOutbox* out);
  void StartWriteBack(const SettingsContent& content, uint64_t index, Time now,
                      SyncOutbox* out);
  bool Read(std::string_view text, SettingsContent* content,
            Settings* settings);
  void CheckReady(Time now);
  bool watches() const { return has_store_ && rank_ < kWatchers; }

  SyncOptions options_;
  bool has_store_;
  SettingsContent held_;
  SettingsSource source_ = SettingsSource::kBootFile;
  uint32_t rank_ = 0;

  Time started_;
  bool ready_ = false;
  bool peers_known_ = false;
  bool store_asked_ = false;  ///< The first read has ended.

  struct OpenPull {
    Address peer_;
    Time since_;
  };
  std::vector<OpenPull> pulls_;
  std::vector<Address> asked_;  ///< Before serving.
  Time next_pull_;

  bool get_open_ = false;
  bool watch_open_ = false;
  bool swap_open_ = false;
  std::string swap_text_;
  uint32_t swap_failures_ = 0;
  Time next_swap_;
  bool reread_ = false;  ///< Read the store again at `next_swap_`.
  uint64_t watch_index_ = 0;
  Time next_watch_;
  Time next_poll_;
  uint32_t watch_failures_ = 0;

  Diagnostics faults_;
  SyncStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_SYNC_H_
