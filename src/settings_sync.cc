#include "settings_sync.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// Shortest time between the starts of two watches.
constexpr Duration kWatchPause{100};
/// First wait after a failed watch; doubles up to the second.
constexpr Duration kWatchBackOff{250};
constexpr Duration kMaxWatchBackOff{8000};
/// Peers asked at start out of the seeds, and again out of the list.
constexpr size_t kPeersAsked = 3;
/// Pulls open at a time after the start.
constexpr size_t kMaxPulls = 1;
/// Pause after a pull that brought nothing newer.
constexpr Duration kPullPause{500};

Duration BackOff(uint32_t failures) {
  int64_t ms = kWatchBackOff.ms_;
  for (uint32_t i = 1; i < failures && ms < kMaxWatchBackOff.ms_; ++i) ms *= 2;
  return {std::min(ms, kMaxWatchBackOff.ms_)};
}

}  // namespace

std::string_view Name(SettingsSource source) {
  switch (source) {
    case SettingsSource::kStore:
      return "store";
    case SettingsSource::kPeer:
      return "peer";
    case SettingsSource::kBootFile:
      break;
  }
  return "boot-file";
}

SettingsSync::SettingsSync(const SyncOptions& options, bool has_store)
    : options_(options), has_store_(has_store) {}

void SettingsSync::Start(Time now, SyncOutbox* out) {
  started_ = now;
  next_watch_ = now;
  next_poll_ = now + options_.poll_interval_;
  store_asked_ = !has_store_;
  Get(out);
}

void SettingsSync::OnPeersKnown(const std::vector<Address>& peers, Time now,
                                SyncOutbox* out) {
  if (peers_known_) return;
  peers_known_ = true;
  AskPeers(peers, now, out);
  CheckReady(now);
}

void SettingsSync::AskPeers(const std::vector<Address>& peers, Time now,
                            SyncOutbox* out) {
  size_t count = 0;
  for (const Address& peer : peers) {
    if (count == kPeersAsked) return;
    if (std::find(asked_.begin(), asked_.end(), peer) != asked_.end()) continue;
    asked_.push_back(peer);
    ++count;
    Pull(peer, now, out);
  }
}

void SettingsSync::OnRank(uint32_t rank, Time now, SyncOutbox* out) {
  rank_ = rank;
  KeepWatching(now, out);
}

void SettingsSync::OnPeerRevision(const Address& peer, Revision revision,
                                  Time now, SyncOutbox* out) {
  if (revision.value_ <= held_.revision_.value_) return;
  // Heard again with the next report.
  if (pulls_.size() >= kMaxPulls || now < next_pull_) return;
  Pull(peer, now, out);
}

void SettingsSync::OnPulled(const Address& peer, std::string_view text,
                            Time now, SyncOutbox* out) {
  std::erase_if(pulls_,
                [&](const OpenPull& pull) { return pull.peer_ == peer; });
  SettingsContent content;
  Settings settings;
  if (!text.empty() && Read(text, &content, &settings) &&
      content.revision_.value_ > held_.revision_.value_) {
    if (Includes(content, held_)) {
      Adopt(std::move(content), std::move(settings), std::string(text),
            SettingsSource::kPeer, out);
      CheckReady(now);
      return;
    }
    Get(out);  // Parted histories are joined at the store.
  }
  next_pull_ = now + kPullPause;
  CheckReady(now);
}

void SettingsSync::OnStoreRead(std::error_code error, const StoreValue& value,
                               Time now, SyncOutbox* out) {
  get_open_ = false;
  store_asked_ = true;
  next_poll_ = now + options_.poll_interval_;
  if (!error) OnStoreValue(value, now, out);
  CheckReady(now);
  KeepWatching(now, out);
}

void SettingsSync::OnWatchEnded(std::error_code error, const StoreValue& value,
                                Time now, SyncOutbox* out) {
  watch_open_ = false;
  if (error) {
    ++watch_failures_;
    watch_index_ = 0;
    next_watch_ = now + BackOff(watch_failures_);
  } else {
    watch_failures_ = 0;
    watch_index_ = value.watch_index_;
    next_watch_ = std::max(next_watch_, now);
    next_poll_ = now + options_.poll_interval_;
    OnStoreValue(value, now, out);
  }
  KeepWatching(now, out);
}

void SettingsSync::OnSwapped(std::error_code error, SwapResult result, Time now,
                             SyncOutbox* out) {
  swap_open_ = false;
  if (!error && result == SwapResult::kSwapped) {
    ++stats_.write_backs_;
    swap_failures_ = 0;
    SettingsContent content;
    Settings settings;
    if (Read(swap_text_, &content, &settings) &&
        content.revision_.value_ > held_.revision_.value_) {
      Adopt(std::move(content), std::move(settings), std::move(swap_text_),
            SettingsSource::kStore, out);
    }
    return;
  }
  // Somebody else was first, the store lags, or the answer was lost.
  ++swap_failures_;
  next_swap_ = now + BackOff(swap_failures_);
  reread_ = true;
}

void SettingsSync::Tick(Time now, SyncOutbox* out) {
  ExpirePulls(now);
  CheckReady(now);
  KeepWatching(now, out);
  if (reread_ && now >= next_swap_) Get(out);
  if (now < next_poll_) return;
  next_poll_ = now + options_.poll_interval_;
  if (!watches()) Get(out);
}

void SettingsSync::Get(SyncOutbox* out) {
  if (!has_store_ || get_open_) return;
  get_open_ = true;
  reread_ = false;
  ++stats_.polls_;
  out->emplace_back(GetDocument{});
}

void SettingsSync::Pull(const Address& peer, Time now, SyncOutbox* out) {
  pulls_.push_back({peer, now});
  ++stats_.pulls_;
  out->emplace_back(PullDocument{peer});
}

void SettingsSync::ExpirePulls(Time now) {
  std::erase_if(pulls_, [&](const OpenPull& pull) {
    return now - pull.since_ > options_.pull_timeout_;
  });
}

void SettingsSync::KeepWatching(Time now, SyncOutbox* out) {
  if (!watches() || watch_open_ || !store_asked_ || now < next_watch_) return;
  watch_open_ = true;
  next_watch_ = now + kWatchPause;
  ++stats_.watches_;
  out->emplace_back(WatchDocument{watch_index_, options_.watch_wait_});
}

void SettingsSync::OnStoreValue(const StoreValue& value, Time now,
                                SyncOutbox* out) {
  if (!value.found_) {
    if (!held_.revision_.valid()) return;
    ++stats_.rollbacks_;
    StartWriteBack(held_, 0, now, out);
    return;
  }
  SettingsContent content;
  Settings settings;
  if (!Read(value.value_, &content, &settings)) return;
  OnStoreContent(content, value.value_, std::move(settings), value.swap_index_,
                 now, out);
}

void SettingsSync::OnStoreContent(const SettingsContent& content,
                                  std::string_view text, Settings settings,
                                  uint64_t index, Time now, SyncOutbox* out) {
  const bool newer = content.revision_.value_ > held_.revision_.value_;
  const bool includes_held = Includes(content, held_);
  if (newer && includes_held) {
    Adopt(content, std::move(settings), std::string(text),
          SettingsSource::kStore, out);
  } else if (newer) {
    StartWriteBack(Reconcile(content, held_), index, now, out);
  } else if (!includes_held) {
    ++stats_.rollbacks_;
    StartWriteBack(Reconcile(held_, content), index, now, out);
  }
}

void SettingsSync::Adopt(SettingsContent content, Settings settings,
                         std::string text, SettingsSource source,
                         SyncOutbox* out) {
  held_ = std::move(content);
  source_ = source;
  ++stats_.adopted_;
  out->emplace_back(AdoptDocument{
      std::make_shared<const Settings>(std::move(settings)), std::move(text)});
}

void SettingsSync::StartWriteBack(const SettingsContent& content,
                                  uint64_t index, Time now, SyncOutbox* out) {
  if (swap_open_) return;
  if (now < next_swap_) {
    reread_ = true;
    return;
  }
  swap_open_ = true;
  swap_text_ = WriteDocument(content);
  out->emplace_back(WriteBack{swap_text_, index});
}

bool SettingsSync::Read(std::string_view text, SettingsContent* content,
                        Settings* settings) {
  Diagnostics faults;
  if (!ReadDocument(text, content, settings, &faults)) return true;
  ++stats_.refused_;
  faults_ = std::move(faults);
  return false;
}

void SettingsSync::CheckReady(Time now) {
  const bool asked = peers_known_ && store_asked_ && pulls_.empty();
  const bool waited = now - started_ >= options_.start_wait_;
  if (asked || waited) ready_ = true;
}

}  // namespace gentiandeal
