#include "settings_sync.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// Shortest time between the starts of two watches.
constexpr Duration kMinWatchInterval{100};
/// Wait after the first failed watch or write to the store; doubles with each
/// further failure up to the maximum.
constexpr Duration kFirstBackOff{250};
constexpr Duration kMaxBackOff{8000};
/// Most peers asked at start among the seeds, and again among the platform's
/// list.
constexpr size_t kMaxPeersAsked = 3;
/// Most pulls in progress for a newer revision that a peer reported.
constexpr size_t kMaxOpenPulls = 1;
/// Wait after a pull that returned no newer document.
constexpr Duration kPullRetryDelay{500};

Duration BackOff(uint32_t failures) {
  int64_t ms = kFirstBackOff.ms_;
  for (uint32_t i = 1; i < failures && ms < kMaxBackOff.ms_; ++i) ms *= 2;
  return {std::min(ms, kMaxBackOff.ms_)};
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
  store_read_ended_ = !has_store_;
  StartRead(out);
}

void SettingsSync::OnPeersKnown(const std::vector<Address>& peers, Time now,
                                SyncOutbox* out) {
  if (peers_known_) return;
  peers_known_ = true;
  AskPeers(peers, now, out);
  UpdateReady(now);
}

void SettingsSync::AskPeers(const std::vector<Address>& peers, Time now,
                            SyncOutbox* out) {
  size_t count = 0;
  for (const Address& peer : peers) {
    if (count == kMaxPeersAsked) return;
    if (std::find(asked_peers_.begin(), asked_peers_.end(), peer) !=
        asked_peers_.end()) {
      continue;
    }
    asked_peers_.push_back(peer);
    ++count;
    Pull(peer, now, out);
  }
}

void SettingsSync::OnRank(uint32_t rank, Time now, SyncOutbox* out) {
  rank_ = rank;
  StartWatchIfDue(now, out);
}

void SettingsSync::OnPeerRevision(const Address& peer, Revision revision,
                                  Time now, SyncOutbox* out) {
  if (revision.value_ <= current_.revision_.value_) return;
  // The peer's next report repeats the revision.
  if (pulls_.size() >= kMaxOpenPulls || now < next_pull_) return;
  Pull(peer, now, out);
}

void SettingsSync::OnPulled(const Address& peer, std::string_view text,
                            Time now, SyncOutbox* out) {
  std::erase_if(pulls_,
                [&](const OpenPull& pull) { return pull.peer_ == peer; });
  SettingsContent content;
  Settings settings;
  if (!text.empty() && ParseDocument(text, &content, &settings) &&
      content.revision_.value_ > current_.revision_.value_) {
    if (Includes(content, current_)) {
      Adopt(std::move(content), std::move(settings), std::string(text),
            SettingsSource::kPeer, out);
      UpdateReady(now);
      return;
    }
    StartRead(out);  // Diverged histories are merged at the store.
  }
  next_pull_ = now + kPullRetryDelay;
  UpdateReady(now);
}

void SettingsSync::OnStoreRead(std::error_code error, const StoreValue& value,
                               Time now, SyncOutbox* out) {
  read_pending_ = false;
  store_read_ended_ = true;
  next_poll_ = now + options_.poll_interval_;
  if (!error) OnStoreValue(value, now, out);
  UpdateReady(now);
  StartWatchIfDue(now, out);
}

void SettingsSync::OnWatchEnded(std::error_code error, const StoreValue& value,
                                Time now, SyncOutbox* out) {
  watch_pending_ = false;
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
  StartWatchIfDue(now, out);
}

void SettingsSync::OnSwapped(std::error_code error, SwapResult result, Time now,
                             SyncOutbox* out) {
  swap_pending_ = false;
  if (!error && result == SwapResult::kSwapped) {
    ++stats_.write_backs_;
    swap_failures_ = 0;
    SettingsContent content;
    Settings settings;
    if (ParseDocument(swap_text_, &content, &settings) &&
        content.revision_.value_ > current_.revision_.value_) {
      Adopt(std::move(content), std::move(settings), std::move(swap_text_),
            SettingsSource::kStore, out);
    }
    return;
  }
  // Another writer was first, the store had returned an outdated value, or the
  // reply was lost.
  ++swap_failures_;
  next_swap_ = now + BackOff(swap_failures_);
  reread_needed_ = true;
}

void SettingsSync::Tick(Time now, SyncOutbox* out) {
  ExpirePulls(now);
  UpdateReady(now);
  StartWatchIfDue(now, out);
  if (reread_needed_ && now >= next_swap_) StartRead(out);
  if (now < next_poll_) return;
  next_poll_ = now + options_.poll_interval_;
  if (!watches()) StartRead(out);
}

void SettingsSync::StartRead(SyncOutbox* out) {
  if (!has_store_ || read_pending_) return;
  read_pending_ = true;
  reread_needed_ = false;
  ++stats_.store_reads_;
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

void SettingsSync::StartWatchIfDue(Time now, SyncOutbox* out) {
  if (!watches() || watch_pending_ || !store_read_ended_ || now < next_watch_) {
    return;
  }
  watch_pending_ = true;
  next_watch_ = now + kMinWatchInterval;
  ++stats_.watches_;
  out->emplace_back(WatchDocument{watch_index_, options_.watch_wait_});
}

void SettingsSync::OnStoreValue(const StoreValue& value, Time now,
                                SyncOutbox* out) {
  if (!value.found_) {
    if (!current_.revision_.valid()) return;
    ++stats_.rollbacks_;
    StartWriteBack(current_, 0, now, out);
    return;
  }
  SettingsContent content;
  Settings settings;
  if (!ParseDocument(value.value_, &content, &settings)) return;
  OnStoreContent(content, value.value_, std::move(settings), value.swap_index_,
                 now, out);
}

void SettingsSync::OnStoreContent(const SettingsContent& content,
                                  std::string_view text, Settings settings,
                                  uint64_t index, Time now, SyncOutbox* out) {
  const bool newer = content.revision_.value_ > current_.revision_.value_;
  const bool includes_current = Includes(content, current_);
  if (newer && includes_current) {
    Adopt(content, std::move(settings), std::string(text),
          SettingsSource::kStore, out);
  } else if (newer) {
    StartWriteBack(Reconcile(content, current_), index, now, out);
  } else if (!includes_current) {
    ++stats_.rollbacks_;
    StartWriteBack(Reconcile(current_, content), index, now, out);
  }
}

void SettingsSync::Adopt(SettingsContent content, Settings settings,
                         std::string text, SettingsSource source,
                         SyncOutbox* out) {
  current_ = std::move(content);
  source_ = source;
  ++stats_.adopted_;
  out->emplace_back(AdoptDocument{
      std::make_shared<const Settings>(std::move(settings)), std::move(text)});
}

void SettingsSync::StartWriteBack(const SettingsContent& content,
                                  uint64_t index, Time now, SyncOutbox* out) {
  if (swap_pending_) return;
  if (now < next_swap_) {
    reread_needed_ = true;
    return;
  }
  swap_pending_ = true;
  swap_text_ = WriteDocument(content);
  out->emplace_back(WriteBack{swap_text_, index});
}

bool SettingsSync::ParseDocument(std::string_view text,
                                 SettingsContent* content, Settings* settings) {
  Diagnostics diagnostics;
  if (!ReadDocument(text, content, settings, &diagnostics)) return true;
  ++stats_.refused_;
  diagnostics_ = std::move(diagnostics);
  return false;
}

void SettingsSync::UpdateReady(Time now) {
  const bool asked = peers_known_ && store_read_ended_ && pulls_.empty();
  const bool waited = now - started_ >= options_.start_wait_;
  if (asked || waited) ready_ = true;
}

}  // namespace gentiandeal
