#ifndef GENTIANDEAL_SRC_SETTINGS_SYNC_H_
#define GENTIANDEAL_SRC_SETTINGS_SYNC_H_

#include "platform.h"
#include "settings_document.h"

namespace gentiandeal {

// Commands from the settings sync.

/// Read the document from the store; answer with `OnStoreRead`.
struct GetDocument {};

/// Watch the store for a change of the document; answer with `OnWatchEnded`.
struct WatchDocument {
  uint64_t index_ = 0;  ///< `watch_index_` of the last watch, or 0.
  Duration wait_;
};

/// Pull the document from a peer; answer with `OnPulled`.
struct PullDocument {
  Address peer_;
};

/// Write the document to a store that lost changes, by compare-and-swap; answer
/// with `OnSwapped`.
struct WriteBack {
  std::string text_;
  uint64_t index_ = 0;
};

/// A newer revision is in force: pass `settings_` to the dispatcher and serve
/// `text_` to peers that pull it.
struct AdoptDocument {
  std::shared_ptr<const Settings> settings_;
  std::string text_;
};

using SyncCommand = std::variant<GetDocument, WatchDocument, PullDocument,
                                 WriteBack, AdoptDocument>;
using SyncOutbox = std::vector<SyncCommand>;

/// Where the settings in force came from.
enum class SettingsSource : uint8_t {
  kBootFile,  ///< Neither the store nor a peer has supplied a document yet.
  kStore,
  kPeer,
};
std::string_view Name(SettingsSource source);

/// Counters since start.
struct SyncStats {
  uint64_t adopted_ = 0;
  uint64_t refused_ = 0;      ///< Invalid documents.
  uint64_t rollbacks_ = 0;    ///< Store reads that lacked a local change.
  uint64_t write_backs_ = 0;  ///< Documents written back to the store.
  uint64_t pulls_ = 0;
  uint64_t store_reads_ = 0;
  uint64_t watches_ = 0;
};

/// Intervals of the settings sync.
struct SyncOptions {
  Duration start_wait_{2000};  ///< Limit on waiting for peers and the store.
  Duration watch_wait_{30000};
  Duration poll_interval_{45000};  ///< Of an instance that doesn't watch.
  Duration pull_timeout_{1000};    ///< A pull without an answer by then fails.
};

/// Decides which settings revision is in force at one instance and which peers
/// to ask for a newer one. Keeps the highest revision seen and never goes back
/// to an older one. Does no I/O: takes events and the time, emits commands.
class SettingsSync {
 public:
  /// Instances per data centre that watch the store. The others learn of new
  /// revisions from their peers and poll the store at a long interval.
  static constexpr uint32_t kWatchersPerDataCentre = 2;

  /// @param has_store False for an instance without a platform, which gets
  ///     settings from its peers only.
  SettingsSync(const SyncOptions& options, bool has_store);

  void Start(Time now, SyncOutbox* out);

  /// Pulls from peers that are known before the platform's list, such as the
  /// configured seeds.
  void AskPeers(const std::vector<Address>& peers, Time now, SyncOutbox* out);
  /// Reports the peers to pull from before serving. Call it once they are
  /// known, also when there are none or listing failed; later calls are
  /// ignored.
  void OnPeersKnown(const std::vector<Address>& peers, Time now,
                    SyncOutbox* out);
  /// Sets the rank of this instance in its data centre, by peer address. The
  /// first `kWatchersPerDataCentre` ranks watch the store.
  void OnRank(uint32_t rank, Time now, SyncOutbox* out);
  /// A peer reported its revision.
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

  /// True once peers and the store have answered or failed, or `start_wait_`
  /// has passed.
  bool ready() const { return ready_; }
  /// Revision in force; invalid while the boot file is in force.
  Revision revision() const { return current_.revision_; }
  SettingsSource source() const { return source_; }
  /// Errors of the document that was refused last.
  const Diagnostics& diagnostics() const { return diagnostics_; }
  const SyncStats& stats() const { return stats_; }

 private:
  void StartRead(SyncOutbox* out);
  void Pull(const Address& peer, Time now, SyncOutbox* out);
  void ExpirePulls(Time now);
  void StartWatchIfDue(Time now, SyncOutbox* out);
  void OnStoreValue(const StoreValue& value, Time now, SyncOutbox* out);
  void OnStoreContent(const SettingsContent& content, std::string_view text,
                      Settings settings, uint64_t index, Time now,
                      SyncOutbox* out);
  void Adopt(SettingsContent content, Settings settings, std::string text,
             SettingsSource source, SyncOutbox* out);
  void StartWriteBack(const SettingsContent& content, uint64_t index, Time now,
                      SyncOutbox* out);
  bool ParseDocument(std::string_view text, SettingsContent* content,
                     Settings* settings);
  void UpdateReady(Time now);
  bool watches() const { return has_store_ && rank_ < kWatchersPerDataCentre; }

  SyncOptions options_;
  bool has_store_;
  SettingsContent current_;  ///< Highest revision seen; in force if valid.
  SettingsSource source_ = SettingsSource::kBootFile;
  uint32_t rank_ = 0;

  Time started_;
  bool ready_ = false;
  bool peers_known_ = false;
  bool store_read_ended_ = false;  ///< The first read of the store has ended.

  struct OpenPull {
    Address peer_;
    Time since_;
  };
  std::vector<OpenPull> pulls_;
  std::vector<Address> asked_peers_;  ///< Those asked before serving.
  Time next_pull_;

  bool read_pending_ = false;
  bool watch_pending_ = false;
  bool swap_pending_ = false;
  std::string swap_text_;
  uint32_t swap_failures_ = 0;
  Time next_swap_;
  bool reread_needed_ = false;  ///< Read the store again at `next_swap_`.
  uint64_t watch_index_ = 0;
  Time next_watch_;
  Time next_poll_;
  uint32_t watch_failures_ = 0;

  Diagnostics diagnostics_;
  SyncStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_SYNC_H_
