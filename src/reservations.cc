#include "reservations.h"

#include <cstdlib>
#include <tuple>

namespace gentiandeal {
namespace {

/// An overdue run is expected to take as long again as it is overdue, and at
/// least this: with runs of 7 times their declared time, any fixed allowance
/// makes its reservation begin now over and over.
constexpr Duration kMinRemaining{1};

Time ExpectedEnd(Time declared_end, Time now) {
  if (declared_end > now) return declared_end;
  return now + std::max(kMinRemaining, now - declared_end);
}

/// Batch of the shares by which a search marks the room it has found.
constexpr PlanBatchId kProvisional{UINT64_MAX};

bool IsNegative(const Resources& resources) {
  return resources.cpu_milli_ < 0 || resources.memory_mb_ < 0 ||
         resources.gpu_ < 0;
}

/// Subtracts the resources of `count` tasks.
void Take(Resources* from, const Resources& need, uint32_t count) {
  const auto times = static_cast<int32_t>(count);
  *from -=
      {need.cpu_milli_ * times, need.memory_mb_ * times, need.gpu_ * times};
}

/// Number of tasks, at most `limit`, that fit into `free`.
uint32_t CountIn(const Resources& free, const Resources& need, uint32_t limit) {
  if (IsNegative(free)) return 0;
  auto count = static_cast<int32_t>(limit);
  if (need.cpu_milli_ > 0) {
    count = std::min(count, free.cpu_milli_ / need.cpu_milli_);
  }
  if (need.memory_mb_ > 0) {
    count = std::min(count, free.memory_mb_ / need.memory_mb_);
  }
  if (need.gpu_ > 0) count = std::min(count, free.gpu_ / need.gpu_);
  return static_cast<uint32_t>(count);
}

}  // namespace

std::string_view Name(LapseReason reason) {
  switch (reason) {
    case LapseReason::kCancelled:
      return "cancelled";
    case LapseReason::kRefused:
      return "refused";
    case LapseReason::kTooLate:
      return "too-late";
    case LapseReason::kWorkerLeft:
      return "worker-left";
    case LapseReason::kWorkerEvacuated:
      return "worker-evacuated";
    case LapseReason::kWorkerLost:
      return "worker-lost";
  }
  return "unknown";
}

std::string_view Name(ReservationState state) {
  switch (state) {
    case ReservationState::kMade:
      return "made";
    case ReservationState::kKept:
      return "kept";
    case ReservationState::kLapsed:
      return "lapsed";
  }
  return "unknown";
}

ReservationPlan::Worker* ReservationPlan::Find(PlanWorkerId worker) {
  return worker.value_ < workers_.size() ? &workers_[worker.value_] : nullptr;
}

const ReservationPlan::Worker* ReservationPlan::Find(
    PlanWorkerId worker) const {
  return worker.value_ < workers_.size() ? &workers_[worker.value_] : nullptr;
}

std::vector<ReservationPlan::Reservation>::iterator
ReservationPlan::FindReservation(PlanBatchId batch) {
  return std::find_if(
      reservations_.begin(), reservations_.end(),
      [batch](const Reservation& r) { return r.request_.batch_ == batch; });
}

void ReservationPlan::SetWorker(PlanWorkerId id, const Resources& total) {
  if (!id.valid()) return;
  if (id.value_ >= workers_.size()) workers_.resize(id.value_ + 1);
  Worker& worker = workers_[id.value_];
  worker.in_service_ = true;
  worker.total_ = total;
  worker.free_ = total;
  largest_ = {std::max(largest_.cpu_milli_, total.cpu_milli_),
              std::max(largest_.memory_mb_, total.memory_mb_),
              std::max(largest_.gpu_, total.gpu_)};
  for (const Run& run : worker.runs_) worker.free_ -= run.need_;
}

void ReservationPlan::LapseWorker(PlanWorkerId id, LapseReason reason) {
  Worker* worker = Find(id);
  if (worker == nullptr) return;
  worker->in_service_ = false;
  while (!worker->shares_.empty()) Lapse(worker->shares_[0].batch_, reason);
}

void ReservationPlan::RunStarted(PlanWorkerId id, PlanRunId run,
                                 PlanBatchId batch, const Resources& need,
                                 Time expected_end, Time now) {
  Worker* worker = Find(id);
  if (worker == nullptr) return;
  if (std::any_of(worker->shares_.begin(), worker->shares_.end(),
                  [batch](const Share& s) { return s.batch_ != batch; })) {
    ++stats_.backfills_;
  }
  worker->free_ -= need;
  worker->runs_.push_back({run, need, expected_end});
  if (batch.valid()) ConsumeShare(batch, id.value_, now);
}

void ReservationPlan::RunExpected(PlanWorkerId id, PlanRunId run,
                                  Time expected_end) {
  Worker* worker = Find(id);
  if (worker == nullptr) return;
  for (Run& one : worker->runs_) {
    if (one.id_ == run) one.expected_end_ = expected_end;
  }
}

void ReservationPlan::RunEnded(PlanWorkerId id, PlanRunId run) {
  Worker* worker = Find(id);
  if (worker == nullptr) return;
  const auto found =
      std::find_if(worker->runs_.begin(), worker->runs_.end(),
                   [run](const Run& one) { return one.id_ == run; });
  if (found == worker->runs_.end()) return;
  worker->free_ += found->need_;
  *found = worker->runs_.back();
  worker->runs_.pop_back();
}

Resources ReservationPlan::FreeAt(const Worker& worker, Time at,
                                  PlanBatchId except, Time now) {
  Resources free = worker.free_;
  for (const Run& run : worker.runs_) {
    if (ExpectedEnd(run.expected_end_, now) <= at) free += run.need_;
  }
  for (const Share& share : worker.shares_) {
    if (share.batch_ == except || share.begin_ > at || share.end_ <= at) {
      continue;
    }
    Take(&free, share.need_, share.tasks_);
  }
  return free;
}

uint32_t ReservationPlan::TasksFrom(const Worker& worker,
                                    const ReservationRequest& request, Time at,
                                    Time now, int32_t* cpu_left) {
  Resources free = FreeAt(worker, at, request.batch_, now);
  uint32_t tasks = CountIn(free, request.need_, request.count_);
  *cpu_left = free.cpu_milli_;
  // Free resources only become fewer where a share begins.
  const Time end = at + request.expected_;
  for (const Share& share : worker.shares_) {
    if (tasks == 0) break;
    if (share.batch_ == request.batch_ || share.begin_ <= at ||
        share.begin_ >= end) {
      continue;
    }
    free = FreeAt(worker, share.begin_, request.batch_, now);
    tasks = std::min(tasks, CountIn(free, request.need_, tasks));
  }
  return tasks;
}

void ReservationPlan::AddSlotsOf(uint32_t index,
                                 const ReservationRequest& request, Time now) {
  Worker& worker = workers_[index];
  times_.assign(1, now);
  for (const Run& run : worker.runs_) {
    times_.push_back(ExpectedEnd(run.expected_end_, now));
  }
  for (const Share& share : worker.shares_) {
    if (share.batch_ != request.batch_ && share.end_ > now) {
      times_.push_back(share.end_);
    }
  }
  std::sort(times_.begin(), times_.end());
  // Room found at one time counts as used at the later ones.
  const size_t shares = worker.shares_.size();
  uint32_t found = 0;
  for (const Time at : times_) {
    Slot slot{at, 0, index, 0};
    slot.tasks_ = TasksFrom(worker, request, at, now, &slot.cpu_left_);
    if (slot.tasks_ == 0) continue;
    slots_.push_back(slot);
    found += slot.tasks_;
    if (found >= request.count_) break;
    worker.shares_.push_back(
        {kProvisional, slot.tasks_, request.need_, at, at + request.expected_});
  }
  worker.shares_.resize(shares);
}

std::optional<Time> ReservationPlan::FindSlots(
    const ReservationRequest& request, Time now) {
  slots_.clear();
  for (uint32_t w = 0; w < workers_.size(); ++w) {
    if (!workers_[w].in_service_ || !Fits(request.need_, workers_[w].total_)) {
      continue;
    }
    AddSlotsOf(w, request, now);
  }
  std::sort(slots_.begin(), slots_.end(), [](const Slot& a, const Slot& b) {
    return std::tie(a.at_, a.cpu_left_, a.worker_) <
           std::tie(b.at_, b.cpu_left_, b.worker_);
  });
  uint32_t missing = request.count_;
  for (size_t i = 0; i < slots_.size(); ++i) {
    slots_[i].tasks_ = std::min(slots_[i].tasks_, missing);
    missing -= slots_[i].tasks_;
    if (missing == 0) {
      slots_.resize(i + 1);
      return slots_.back().at_;
    }
  }
  slots_.clear();
  return std::nullopt;
}

void ReservationPlan::AddShares(Reservation* reservation) {
  const ReservationRequest& request = reservation->request_;
  reservation->workers_.clear();
  for (const Slot& slot : slots_) {
    reservation->workers_.push_back(slot.worker_);
    reservation->begin_ = slot.at_;
    workers_[slot.worker_].shares_.push_back({request.batch_, slot.tasks_,
                                              request.need_, slot.at_,
                                              slot.at_ + request.expected_});
  }
}

void ReservationPlan::RemoveShares(const Reservation& reservation) {
  for (const uint32_t worker : reservation.workers_) {
    std::erase_if(workers_[worker].shares_, [&](const Share& share) {
      return share.batch_ == reservation.request_.batch_;
    });
  }
}

bool ReservationPlan::Replace(Reservation* reservation, Time now) {
  RemoveShares(*reservation);
  if (!FindSlots(reservation->request_, now)) return false;
  AddShares(reservation);
  return true;
}

void ReservationPlan::Update(std::span<const ReservationRequest> waiting,
                             Time now) {
  if (!enabled()) return;
  Expire(now);
  // One reservation a call, so that the cost of an event is bounded, besides
  // those whose begin has passed because runs are late.
  if (!reservations_.empty()) {
    next_replaced_ = (next_replaced_ + 1) % reservations_.size();
  }
  for (size_t i = 0; i < reservations_.size(); ++i) {
    Reservation& reservation = reservations_[i];
    if (i != next_replaced_ && reservation.begin_ > now) continue;
    if (!Replace(&reservation, now)) {
      Lapse(reservation.request_.batch_, LapseReason::kWorkerLost);
      break;
    }
  }
  for (const ReservationRequest& request : waiting) {
    const auto found = FindReservation(request.batch_);
    if (found == reservations_.end()) continue;
    // Tasks of it were cancelled, or queued again.
    if (found->request_.count_ == request.count_) continue;
    found->request_.count_ = request.count_;
    if (!Replace(&*found, now)) {
      Lapse(request.batch_, LapseReason::kWorkerLost);
    }
  }
  for (const ReservationRequest& request : waiting) {
    if (reservations_.size() >= settings_.max_reservations_) break;
    if (!WorthReserving(request, now)) continue;
    if (FindReservation(request.batch_) != reservations_.end()) continue;
    const auto begin = FindSlots(request, now);
    if (!begin || *begin > request.latest_start_) continue;
    Reservation& made = reservations_.emplace_back();
    made.request_ = request;
    made.first_begin_ = *begin;
    made.made_at_ = now;
    AddShares(&made);
    ++stats_.made_;
    Note(made, ReservationState::kMade);
  }
}

bool ReservationPlan::WorthReserving(const ReservationRequest& request,
                                     Time now) const {
  if (!enabled() || request.count_ == 0 || request.latest_start_ <= now) {
    return false;
  }
  const auto share = [](int32_t need, int32_t total) {
    return total > 0 ? static_cast<double>(need) / total : 0.0;
  };
  const double need_share =
      std::max({share(request.need_.cpu_milli_, largest_.cpu_milli_),
                share(request.need_.memory_mb_, largest_.memory_mb_),
                share(request.need_.gpu_, largest_.gpu_)});
  const Duration slack = request.latest_start_ - request.waiting_since_;
  const Duration waited = now - request.waiting_since_;
  return need_share >= settings_.min_need_share_ &&
         static_cast<double>(waited.ms_) >=
             static_cast<double>(slack.ms_) * settings_.min_wait_share_;
}

bool ReservationPlan::MayBegin(const ReservationRequest& request, Time now) {
  if (!enabled() || !settings_.whole_batches_ || request.count_ <= 1) {
    return true;
  }
  const auto start = FindSlots(request, now);
  return start && *start <= request.latest_start_;
}

void ReservationPlan::Expire(Time now) {
  for (size_t i = reservations_.size(); i-- > 0;) {
    const ReservationRequest& request = reservations_[i].request_;
    if (request.latest_start_ <= now) {
      Lapse(request.batch_, LapseReason::kTooLate);
    }
  }
}

void ReservationPlan::Lapse(PlanBatchId batch, LapseReason reason) {
  const auto found = FindReservation(batch);
  if (found == reservations_.end()) return;
  ++stats_.lapsed_[static_cast<size_t>(reason)];
  Note(*found, ReservationState::kLapsed, reason);
  RemoveShares(*found);
  reservations_.erase(found);
}

void ReservationPlan::Note(const Reservation& reservation,
                           ReservationState state, LapseReason reason) {
  if (changes_.size() >= kMaxChanges) return;
  changes_.push_back({reservation.request_.batch_, state, reason,
                      reservation.request_.count_,
                      reservation.first_begin_ - reservation.made_at_});
}

std::vector<PlanBatchId> ReservationPlan::batches() const {
  std::vector<PlanBatchId> batches;
  for (const Reservation& reservation : reservations_) {
    batches.push_back(reservation.request_.batch_);
  }
  return batches;
}

void ReservationPlan::ConsumeShare(PlanBatchId batch, uint32_t worker,
                                   Time now) {
  const auto found = FindReservation(batch);
  if (found == reservations_.end()) return;
  if (--found->request_.count_ == 0) {
    ++stats_.kept_;
    const int64_t error = (now - found->first_begin_).ms_;
    (error > 0 ? stats_.late_ms_ : stats_.early_ms_) +=
        static_cast<uint64_t>(std::abs(error));
    Note(*found, ReservationState::kKept);
    RemoveShares(*found);
    reservations_.erase(found);
    return;
  }
  // A start elsewhere releases the share that would have begun last.
  std::vector<uint32_t>& places = found->workers_;
  auto place = std::find(places.begin(), places.end(), worker);
  if (place == places.end()) place = places.end() - 1;
  std::vector<Share>& shares = workers_[*place].shares_;
  const auto share =
      std::find_if(shares.begin(), shares.end(),
                   [batch](const Share& s) { return s.batch_ == batch; });
  if (--share->tasks_ > 0) return;
  shares.erase(share);
  places.erase(place);
}

bool ReservationPlan::MayStart(PlanWorkerId id, PlanBatchId batch,
                               const Resources& need, Time end,
                               Time now) const {
  const Worker* worker = Find(id);
  if (worker == nullptr || !worker->in_service_) return false;
  if (!Fits(need, worker->free_)) return false;
  // The start takes one task off the first share of its batch here, if any;
  // what is left of that share is protected like the others.
  const auto own =
      std::find_if(worker->shares_.begin(), worker->shares_.end(),
                   [batch](const Share& s) { return s.batch_ == batch; });
  for (auto share = worker->shares_.begin(); share != worker->shares_.end();
       ++share) {
    const Time begin = std::max(share->begin_, now);
    if (begin >= end || (share == own && own->tasks_ == 1)) continue;
    Resources free = FreeAt(*worker, begin, {}, now);
    if (own != worker->shares_.end() && own->begin_ <= begin &&
        begin < own->end_) {
      free += own->need_;
    }
    if (!Fits(need, free)) return false;
  }
  return true;
}

std::optional<PlanBatchId> ReservationPlan::ReservedFor(PlanWorkerId id,
                                                        Time now) const {
  const Worker* worker = Find(id);
  if (worker == nullptr) return std::nullopt;
  const Share* first = nullptr;
  for (const Share& share : worker->shares_) {
    if (first != nullptr && first->begin_ <= share.begin_) continue;
    const Time end = now + (share.end_ - share.begin_);
    if (!MayStart(id, share.batch_, share.need_, end, now)) continue;
    first = &share;
  }
  if (first == nullptr) return std::nullopt;
  return first->batch_;
}

std::optional<Time> ReservationPlan::EarliestStart(
    const ReservationRequest& request, Time now) {
  return FindSlots(request, now);
}

std::optional<Time> ReservationPlan::ReservedStart(PlanBatchId batch) const {
  for (const Reservation& reservation : reservations_) {
    if (reservation.request_.batch_ == batch) return reservation.begin_;
  }
  return std::nullopt;
}

}  // namespace gentiandeal
