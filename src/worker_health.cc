#include "worker_health.h"

#include <algorithm>
#include <unordered_set>

namespace gentiandeal {
namespace {

/// Weight of one result in the failure score of a worker. Five failures of full
/// weight in a row pass `kEjectionThreshold`.
constexpr double kFailureScoreGain = 0.15;
constexpr double kEjectionThreshold = 0.5;
/// Results of other workers that are required before a failure counts against a
/// worker.
constexpr uint32_t kMinPeerResults = 6;
/// Answered tasks that end a trial.
constexpr int kTrialSuccesses = 3;
/// Keeps the shift in `Doubled` within the range of the type.
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
    UpdateLeavingMark(worker, active.contains(worker.value_), now);
    ApplyState(worker, EntryOf(worker), now);
  });
}

void WorkerHealth::OnAnswered(WorkerHandle worker, KindHandle kind, Time now) {
  Entry& entry = EntryOf(worker);
  Record(worker, kind, false);
  entry.failure_score_ -= kFailureScoreGain * entry.failure_score_;
  entry.backoffs_in_row_ = 0;
  entry.trial_after_backoff_ = false;
  if (entry.on_trial_ && ++entry.trial_successes_ >= kTrialSuccesses) {
    entry.on_trial_ = false;
    entry.failure_score_ = 0;
    entry.ejections_in_row_ = 0;
  }
  ApplyState(worker, entry, now);
}

void WorkerHealth::OnFailed(WorkerHandle worker, KindHandle kind, Time now) {
  Entry& entry = EntryOf(worker);
  const double failure_weight = FailureWeight(worker, kind);
  Record(worker, kind, true);
  entry.failure_score_ +=
      kFailureScoreGain * (failure_weight - entry.failure_score_);
  if (!settings_.ejection_ || entry.ejected_) return;
  const bool failed_trial =
      entry.on_trial_ && failure_weight > kEjectionThreshold;
  if (!failed_trial && entry.failure_score_ <= kEjectionThreshold) return;
  if (MayEject()) Eject(worker, &entry, now);
}

void WorkerHealth::OnRefused(WorkerHandle worker, Time sent, Time now) {
  BackOff(worker, sent, now);
  Entry& entry = EntryOf(worker);
  if (entry.backoffs_in_row_ > 1) entry.trial_after_backoff_ = true;
  ApplyState(worker, entry, now);
}

void WorkerHealth::OnUnreachable(WorkerHandle worker, Time sent, Time now) {
  BackOff(worker, sent, now);
  Entry& entry = EntryOf(worker);
  entry.trial_after_backoff_ = true;
  ApplyState(worker, entry, now);
}

void WorkerHealth::BackOff(WorkerHandle worker, Time sent, Time now) {
  Entry& entry = EntryOf(worker);
  if (entry.backoffs_in_row_ > 0 && sent < entry.backoff_until_) return;
  const Duration backoff =
      Doubled(config::kRefusalBackoff, entry.backoffs_in_row_,
              config::kMaxRefusalBackoff);
  ++entry.backoffs_in_row_;
  entry.backoff_until_ = now + backoff;
  timed_workers_.push_back(worker);
}

void WorkerHealth::OnLeaving(WorkerHandle worker, Time now) {
  Entry& entry = EntryOf(worker);
  entry.leaving_mark_ = true;
  entry.leaving_confirmed_ = entry.absent_or_leaving_;
  entry.mark_expires_ = now + config::kLeavingMarkLifetime;
  timed_workers_.push_back(worker);
  ApplyState(worker, entry, now);
}

void WorkerHealth::Tick(Time now) {
  size_t kept = 0;
  for (const WorkerHandle worker : timed_workers_) {
    if (!workers_->valid(worker)) continue;
    Entry& entry = EntryOf(worker);
    if (entry.ejected_ && now >= entry.ejected_until_) EndEjection(&entry);
    if (entry.leaving_mark_ && now >= entry.mark_expires_) {
      entry.leaving_mark_ = false;
    }
    ApplyState(worker, entry, now);
    const bool pending =
        entry.ejected_ || entry.leaving_mark_ || now < entry.backoff_until_;
    if (pending) timed_workers_[kept++] = worker;
  }
  timed_workers_.resize(kept);
  const auto less = [](WorkerHandle a, WorkerHandle b) {
    return a.value_ < b.value_;
  };
  std::sort(timed_workers_.begin(), timed_workers_.end(), less);
  timed_workers_.erase(
      std::unique(timed_workers_.begin(), timed_workers_.end()),
      timed_workers_.end());
}

WorkerHealth::Entry& WorkerHealth::EntryOf(WorkerHandle worker) {
  Entry& entry = entries_[worker.value_];
  const Address& address = workers_->info(worker).address_;
  if (entry.address_ != address) {
    if (entry.ejected_) --ejected_count_;
    entry = Entry{};
    entry.address_ = address;
  }
  return entry;
}

void WorkerHealth::Record(WorkerHandle worker, KindHandle kind, bool failed) {
  KindHistory& history = kinds_[kind.value_];
  history.results_[history.next_ % KindHistory::kMaxResults] = {worker, failed};
  ++history.next_;
}

double WorkerHealth::FailureWeight(WorkerHandle worker, KindHandle kind) const {
  const auto found = kinds_.find(kind.value_);
  if (found == kinds_.end()) return 0;
  uint32_t results = 0;
  uint32_t failures = 0;
  for (const KindHistory::Result& result : found->second.results_) {
    if (!result.worker_.valid() || result.worker_ == worker) continue;
    ++results;
    if (result.failed_) ++failures;
  }
  if (results < kMinPeerResults) return 0;
  return 1 - static_cast<double>(failures) / results;
}

bool WorkerHealth::MayEject() const {
  const double limit = settings_.max_ejected_percent_ / 100 * workers_->size();
  return ejected_count_ + 1 <= limit;
}

void WorkerHealth::Eject(WorkerHandle worker, Entry* entry, Time now) {
  entry->ejected_ = true;
  entry->on_trial_ = false;
  entry->ejected_until_ =
      now + Doubled(settings_.ejection_time_, entry->ejections_in_row_,
                    config::kMaxEjectionTime);
  ++entry->ejections_in_row_;
  ++ejected_count_;
  ++ejections_;
  timed_workers_.push_back(worker);
  ApplyState(worker, *entry, now);
}

void WorkerHealth::EndEjection(Entry* entry) {
  entry->ejected_ = false;
  entry->on_trial_ = true;
  entry->trial_successes_ = 0;
  entry->failure_score_ = 0;
  --ejected_count_;
}

void WorkerHealth::ApplyState(WorkerHandle worker, const Entry& entry,
                              Time now) {
  WorkerState state = WorkerState::kActive;
  if (entry.on_trial_ || entry.trial_after_backoff_) {
    state = WorkerState::kOnTrial;
  }
  if (entry.ejected_) state = WorkerState::kEjected;
  if (now < entry.backoff_until_) state = WorkerState::kBackingOff;
  if (entry.leaving_mark_ || entry.absent_or_leaving_) {
    state = WorkerState::kLeaving;
  }
  if (workers_->state(worker) != state) workers_->SetState(worker, state);
}

void WorkerHealth::UpdateLeavingMark(WorkerHandle worker, bool active,
                                     Time now) {
  Entry& entry = EntryOf(worker);
  entry.absent_or_leaving_ = !active;
  if (!entry.leaving_mark_) return;
  if (!active) entry.leaving_confirmed_ = true;
  const bool listed_again = active && entry.leaving_confirmed_;
  if (listed_again || now >= entry.mark_expires_) {
    entry.leaving_mark_ = false;
  }
}

}  // namespace gentiandeal
