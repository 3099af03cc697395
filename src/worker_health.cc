#include "worker_health.h"

#include <algorithm>
#include <unordered_set>

namespace gentiandeal {
namespace {

/// Weight of one end in a worker's blame. Five blamed failures in a row pass
/// `kBlameLimit`.
constexpr double kBlameWeight = 0.15;
constexpr double kBlameLimit = 0.5;
/// Ends at other workers needed before a failure is held against a worker.
constexpr uint32_t kMinPeerEnds = 6;
constexpr int kTrialSuccesses = 3;
constexpr int kMaxDoublings = 16;

Duration Doubled(Duration first, int times, Duration limit) {
  const int doublings = std::clamp(times, 0, kMaxDoublings);
  return std::min(Duration{first.ms_ << doublings}, limit);
}

}  // namespace

WorkerHealth::WorkerHealth(WorkerTable* workers)
    : workers_(workers), entries_(config::kMaxWorkers) {}

void WorkerHealth::SetSettings(const ServiceSettings& settings) {
  settings_ = settings;
}

void WorkerHealth::OnListed(const std::vector<WorkerInfo>& listed, Time now) {
  std::unordered_set<uint16_t> active;
  for (const WorkerInfo& info : listed) {
    const WorkerHandle worker = workers_->Find(info.address_);
    if (worker.valid() && !info.leaving_) active.insert(worker.value_);
  }
  workers_->ForEach([&](WorkerHandle worker) {
    UpdateMark(worker, active.contains(worker.value_), now);
    Apply(worker, Of(worker), now);
  });
}

void WorkerHealth::OnAnswered(WorkerHandle worker, KindHandle kind, Time now) {
  Entry& entry = Of(worker);
  Record(worker, kind, false);
  entry.blame_ -= kBlameWeight * entry.blame_;
  entry.refusals_ = 0;
  entry.trial_after_refusal_ = false;
  if (entry.on_trial_ && ++entry.trial_successes_ >= kTrialSuccesses) {
    entry.on_trial_ = false;
    entry.blame_ = 0;
    entry.stays_ = 0;
  }
  Apply(worker, entry, now);
}

void WorkerHealth::OnFailed(WorkerHandle worker, KindHandle kind, Time now) {
  Entry& entry = Of(worker);
  const double blame = BlameForFailure(worker, kind);
  Record(worker, kind, true);
  entry.blame_ += kBlameWeight * (blame - entry.blame_);
  if (!settings_.ejection_ || entry.aside_) return;
  const bool failed_trial = entry.on_trial_ && blame > kBlameLimit;
  if (!failed_trial && entry.blame_ <= kBlameLimit) return;
  if (MaySetAside()) SetAside(worker, &entry, now);
}

void WorkerHealth::OnRefused(WorkerHandle worker, Time sent, Time now) {
  BackOff(worker, sent, now);
  Entry& entry = Of(worker);
  if (entry.refusals_ > 1) entry.trial_after_refusal_ = true;
  Apply(worker, entry, now);
}

void WorkerHealth::OnUnreachable(WorkerHandle worker, Time sent, Time now) {
  BackOff(worker, sent, now);
  Entry& entry = Of(worker);
  entry.trial_after_refusal_ = true;
  Apply(worker, entry, now);
}

void WorkerHealth::BackOff(WorkerHandle worker, Time sent, Time now) {
  Entry& entry = Of(worker);
  if (entry.refusals_ > 0 && sent < entry.refused_until_) return;
  const Duration backoff = Doubled(config::kRefusalBackoff, entry.refusals_,
                                   config::kMaxRefusalBackoff);
  ++entry.refusals_;
  entry.refused_until_ = now + backoff;
  timed_.push_back(worker);
}

void WorkerHealth::OnLeaving(WorkerHandle worker, Time now) {
  Entry& entry = Of(worker);
  entry.own_mark_ = true;
  entry.seen_gone_ = entry.list_leaving_;
  entry.mark_until_ = now + config::kLeavingMemory;
  timed_.push_back(worker);
  Apply(worker, entry, now);
}

void WorkerHealth::Tick(Time now) {
  size_t kept = 0;
  for (const WorkerHandle worker : timed_) {
    if (!workers_->valid(worker)) continue;
    Entry& entry = Of(worker);
    if (entry.aside_ && now >= entry.aside_until_) EndStay(&entry);
    if (entry.own_mark_ && now >= entry.mark_until_) entry.own_mark_ = false;
    Apply(worker, entry, now);
    const bool waits =
        entry.aside_ || entry.own_mark_ || now < entry.refused_until_;
    if (waits) timed_[kept++] = worker;
  }
  timed_.resize(kept);
  const auto less = [](WorkerHandle a, WorkerHandle b) {
    return a.value_ < b.value_;
  };
  std::sort(timed_.begin(), timed_.end(), less);
  timed_.erase(std::unique(timed_.begin(), timed_.end()), timed_.end());
}

WorkerHealth::Entry& WorkerHealth::Of(WorkerHandle worker) {
  Entry& entry = entries_[worker.value_];
  const Address& address = workers_->info(worker).address_;
  if (entry.address_ != address) {
    if (entry.aside_) --set_aside_;
    entry = Entry{};
    entry.address_ = address;
  }
  return entry;
}

void WorkerHealth::Record(WorkerHandle worker, KindHandle kind, bool failed) {
  KindSample& sample = kinds_[kind.value_];
  sample.ends_[sample.next_ % KindSample::kSize] = {worker, failed};
  ++sample.next_;
}

double WorkerHealth::BlameForFailure(WorkerHandle worker,
                                     KindHandle kind) const {
  const auto found = kinds_.find(kind.value_);
  if (found == kinds_.end()) return 0;
  uint32_t ends = 0;
  uint32_t failures = 0;
  for (const KindSample::End& end : found->second.ends_) {
    if (!end.worker_.valid() || end.worker_ == worker) continue;
    ++ends;
    if (end.failed_) ++failures;
  }
  if (ends < kMinPeerEnds) return 0;
  return 1 - static_cast<double>(failures) / ends;
}

bool WorkerHealth::MaySetAside() const {
  const double limit =
      settings_.max_set_aside_percent_ / 100 * workers_->size();
  return set_aside_ + 1 <= limit;
}

void WorkerHealth::SetAside(WorkerHandle worker, Entry* entry, Time now) {
  entry->aside_ = true;
  entry->on_trial_ = false;
  entry->aside_until_ =
      now + Doubled(settings_.set_aside_, entry->stays_, config::kMaxSetAside);
  ++entry->stays_;
  ++set_aside_;
  ++times_set_aside_;
  timed_.push_back(worker);
  Apply(worker, *entry, now);
}

void WorkerHealth::EndStay(Entry* entry) {
  entry->aside_ = false;
  entry->on_trial_ = true;
  entry->trial_successes_ = 0;
  entry->blame_ = 0;
  --set_aside_;
}

void WorkerHealth::Apply(WorkerHandle worker, const Entry& entry, Time now) {
  WorkerState state = WorkerState::kActive;
  if (entry.on_trial_ || entry.trial_after_refusal_) {
    state = WorkerState::kOnTrial;
  }
  if (entry.aside_) state = WorkerState::kSetAside;
  if (now < entry.refused_until_) state = WorkerState::kRefusing;
  if (entry.own_mark_ || entry.list_leaving_) state = WorkerState::kLeaving;
  if (workers_->state(worker) != state) workers_->SetState(worker, state);
}

void WorkerHealth::UpdateMark(WorkerHandle worker, bool active, Time now) {
  Entry& entry = Of(worker);
  entry.list_leaving_ = !active;
  if (!entry.own_mark_) return;
  if (!active) entry.seen_gone_ = true;
  const bool back = active && entry.seen_gone_;
  if (back || now >= entry.mark_until_) entry.own_mark_ = false;
}

}  // namespace gentiandeal
