#ifndef GENTIANDEAL_TOOLS_BENCH_PLACEMENT_POOL_H_
#define GENTIANDEAL_TOOLS_BENCH_PLACEMENT_POOL_H_

#include <queue>
#include <set>
#include <string>
#include <tuple>

#include "bench_placement_load.h"
#include "wait_estimate.h"

/// The workers of one owner on a virtual clock, and the policies by which tasks
/// are placed there.
namespace gentiandeal::bench {

inline constexpr Duration kTick{20};

struct PlacementPolicy {
  std::string name_;
  ReservationSettings reservations_{0, 0, 0, false};
  /// Picks the best task for each worker with free resources, instead of the
  /// best worker for each task in the order of their latest starts.
  bool by_worker_ = false;
  double urgency_weight_ = 0.5;  ///< Against the fit, of weight 1.
  /// Tasks above 8 cores use only some of the workers, and others the rest.
  bool size_classes_ = false;
  bool bands_ = false;        ///< Serves higher bands first.
  bool known_times_ = false;  ///< Plans with the true run times.
  bool pooled_ = false;       ///< One machine with the cores of all workers.
  /// Share of the spread of run times that a backfill allows for.
  double risk_ = 1;
  bool estimates_ = false;  ///< Records the error of estimated waits.
};

/// Runs one policy.
class Pool {
 public:
  Pool(PlacementPolicy policy, const Demand& demand,
       const std::vector<BenchJob>& jobs, PlacementResult* result)
      : policy_(std::move(policy)),
        jobs_(jobs),
        state_(jobs.size()),
        plan_(policy_.reservations_),
        result_(result) {
    const uint32_t count = policy_.pooled_ ? 1 : demand.workers_;
    for (uint32_t w = 0; w < count; ++w) {
      Resources total{kWorkerCores[w % kWorkerCores.size()] * 1000, 64000, 0};
      if (policy_.pooled_) {
        total.cpu_milli_ = static_cast<int32_t>(TotalCpu(demand.workers_));
      }
      free_.push_back(total);
      plan_.SetWorker({w}, total);
    }
  }

  void Run() {
    size_t next = 0;
    Time tick;
    while (next < jobs_.size() || !waiting_.empty() || !ends_.empty()) {
      now_ = tick;
      if (!ends_.empty()) now_ = std::min(now_, ends_.top().at_);
      if (next < jobs_.size()) now_ = std::min(now_, jobs_[next].at_);
      while (!ends_.empty() && ends_.top().at_ <= now_) End();
      while (next < jobs_.size() && jobs_[next].at_ <= now_) {
        Arrive(static_cast<uint32_t>(next++));
      }
      Expire();
      plan_.Update(Candidates(), now_);
      if (policy_.by_worker_) {
        FillWorkers();
      } else {
        PlaceInOrder();
      }
      if (tick <= now_) tick = now_ + kTick;
    }
    Count();
  }

 private:
  struct JobState {
    uint32_t started_ = 0;
    bool failed_ = false;
    Time last_start_;
    Time last_end_;
    int64_t plan_wait_ms_ = 0;
    int64_t rate_wait_ms_ = 0;
  };

  struct RunEnd {
    Time at_;
    uint64_t run_ = 0;
    uint32_t worker_ = 0;
    uint32_t job_ = 0;
    /// The earliest end is on top of the queue.
    bool operator<(const RunEnd& other) const {
      return std::tie(other.at_, other.run_) < std::tie(at_, run_);
    }
  };

  uint32_t Left(uint32_t job) const {
    return static_cast<uint32_t>(jobs_[job].takes_.size()) -
           state_[job].started_;
  }
  bool Late(uint32_t job) const { return jobs_[job].start_by_ < now_; }
  Time ExpiresAt(uint32_t job) const {
    return state_[job].started_ > 0 ? jobs_[job].give_up_at_
                                    : jobs_[job].expires_;
  }
  /// Share of its slack that a job has waited.
  double Waited(uint32_t job) const {
    const BenchJob& one = jobs_[job];
    return static_cast<double>((now_ - one.at_).ms_) /
           static_cast<double>((one.start_by_ - one.at_).ms_);
  }
  /// Work that can be on time goes first, then late jobs that have started.
  size_t Rank(uint32_t job) const {
    const size_t late = !Late(job) ? 0 : state_[job].started_ > 0 ? 1 : 2;
    return late * kBands + (policy_.bands_ ? jobs_[job].band_ : 0);
  }
  Duration Expected(uint32_t job) const {
    const BenchJob& one = jobs_[job];
    return policy_.known_times_ ? one.takes_[state_[job].started_]
                                : one.declared_;
  }
  ReservationRequest Request(uint32_t job) const {
    const BenchJob& one = jobs_[job];
    return {{job + 1ULL}, Left(job),
            one.need_,    Expected(job),
            one.at_,      Late(job) ? ExpiresAt(job) : one.start_by_};
  }

  void Arrive(uint32_t job) {
    waiting_.insert({jobs_[job].start_by_.ms_, job});
    if (policy_.estimates_) Estimate(job);
  }

  void Estimate(uint32_t job) {
    const BenchJob& one = jobs_[job];
    const auto start = plan_.EarliestStart(Request(job), now_);
    state_[job].plan_wait_ms_ = start ? (*start - now_).ms_ : 0;
    PoolLoad load;
    for (const Resources& free : free_) {
      if (free.cpu_milli_ > 0) load.free_.push_back(free);
    }
    load.released_cpu_milli_per_s_ = static_cast<uint64_t>(released_);
    for (const auto& [due, other] : waiting_) {
      if (other == job) continue;
      load.queued_cpu_milli_[UrgencyClass(Time{due} - now_)] +=
          Left(other) * static_cast<uint32_t>(jobs_[other].need_.cpu_milli_);
    }
    state_[job].rate_wait_ms_ =
        ExpectedWait({&load}, {Left(job), one.need_, one.start_by_ - now_}).ms_;
  }

  void Expire() {
    std::vector<uint32_t> expired;
    for (const auto& [due, job] : waiting_) {
      if (due > now_.ms_) break;
      if (now_ >= ExpiresAt(job)) expired.push_back(job);
    }
    for (const uint32_t job : expired) {
      state_[job].failed_ = true;
      state_[job].last_start_ = now_;
      plan_.Lapse({job + 1ULL}, LapseReason::kTooLate);
      waiting_.erase({jobs_[job].start_by_.ms_, job});
    }
  }

  /// Only of the highest band that waits: a reservation of a lower one would
  /// hold resources that its tasks could use.
  std::vector<ReservationRequest> Candidates() const {
    std::vector<std::tuple<size_t, double, uint32_t>> order;
    if (!plan_.enabled()) return {};
    for (const auto& [due, job] : waiting_) {
      if (!Late(job)) order.emplace_back(Rank(job), -Waited(job), job);
    }
    std::sort(order.begin(), order.end());
    std::vector<ReservationRequest> requests;
    for (const auto& [rank, waited, job] : order) {
      const bool full =
          requests.size() >= policy_.reservations_.max_reservations_;
      if (full || rank > std::get<0>(order.front())) break;
      if (plan_.WorthReserving(Request(job), now_)) {
        requests.push_back(Request(job));
      }
    }
    return requests;
  }

  bool Allowed(uint32_t worker, uint32_t job) const {
    if (!policy_.size_classes_) return true;
    // About the share of the work that large tasks have.
    const bool for_large = worker % 3 == 2 || worker % 4 == 0;
    return (jobs_[job].need_.cpu_milli_ > 8000) == for_large;
  }

  bool MayStart(uint32_t worker, uint32_t job) const {
    const BenchJob& one = jobs_[job];
    if (!Fits(one.need_, free_[worker]) || !Allowed(worker, job)) return false;
    if (!plan_.enabled()) return true;
    const double spread = policy_.known_times_ ? 0 : policy_.risk_ * kSpread;
    const auto longest =
        std::llround(static_cast<double>(Expected(job).ms_) * (1 + spread));
    return plan_.MayStart({worker}, {job + 1ULL}, one.need_,
                          now_ + Duration{longest}, now_);
  }

  bool MayBegin(uint32_t job) {
    return state_[job].started_ > 0 || plan_.MayBegin(Request(job), now_);
  }

  void Start(uint32_t worker, uint32_t job) {
    const BenchJob& one = jobs_[job];
    JobState& state = state_[job];
    plan_.RunStarted({worker}, {++runs_}, {job + 1ULL}, one.need_,
                     now_ + Expected(job), now_);
    ends_.push({now_ + one.takes_[state.started_++], runs_, worker, job});
    free_[worker] -= one.need_;
    released_ += ReleaseRate(job);
    ++result_->starts_;
    state.last_start_ = now_;
    if (Left(job) == 0) waiting_.erase({one.start_by_.ms_, job});
  }

  double ReleaseRate(uint32_t job) const {
    return jobs_[job].need_.cpu_milli_ * 1000.0 /
           static_cast<double>(jobs_[job].declared_.ms_);
  }

  void End() {
    const RunEnd end = ends_.top();
    ends_.pop();
    free_[end.worker_] += jobs_[end.job_].need_;
    released_ -= ReleaseRate(end.job_);
    plan_.RunEnded({end.worker_}, {end.run_});
    state_[end.job_].last_end_ = now_;
  }

  /// The present algorithm: each task on the worker with the least left over.
  void PlaceInOrder() {
    std::vector<std::pair<size_t, uint32_t>> order;
    for (const auto& [due, job] : waiting_) order.emplace_back(Rank(job), job);
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [rank, job] : order) {
      if (!MayBegin(job)) continue;
      while (Left(job) > 0) {
        std::optional<uint32_t> best;
        for (uint32_t w = 0; w < free_.size(); ++w) {
          if (best && free_[w].cpu_milli_ >= free_[*best].cpu_milli_) continue;
          if (MayStart(w, job)) best = w;
        }
        if (!best) break;
        Start(*best, job);
      }
    }
  }

  /// The best task for each worker with free resources, its reserved one first.
  void FillWorkers() {
    std::set<uint32_t> held;  // May not begin now.
    for (uint32_t w = 0; w < free_.size(); ++w) {
      while (free_[w].cpu_milli_ >= kMinCpuMilli && !waiting_.empty()) {
        if (const auto batch = plan_.ReservedFor({w}, now_)) {
          Start(w, static_cast<uint32_t>(batch->value_ - 1));
          continue;
        }
        const auto best = PickTask(w, held);
        if (!best) break;
        if (MayBegin(*best)) {
          Start(w, *best);
        } else {
          held.insert(*best);
        }
      }
    }
  }

  std::optional<uint32_t> PickTask(uint32_t worker,
                                   const std::set<uint32_t>& held) const {
    std::optional<uint32_t> best;
    double best_score = 0;
    for (const auto& [due, job] : waiting_) {
      const double fit = static_cast<double>(jobs_[job].need_.cpu_milli_) /
                         free_[worker].cpu_milli_;
      const double score = fit + policy_.urgency_weight_ * Waited(job) -
                           100.0 * static_cast<double>(Rank(job));
      if (best && score <= best_score) continue;
      if (held.count(job) > 0 || !MayStart(worker, job)) continue;
      best = job;
      best_score = score;
    }
    return best;
  }

  void Count() {
    std::vector<int32_t> sizes;
    for (const BenchJob& job : jobs_) sizes.push_back(job.need_.cpu_milli_);
    std::sort(sizes.begin(), sizes.end());
    const auto size_at = [&](double q) {
      return sizes[static_cast<size_t>(q * static_cast<double>(sizes.size()))];
    };
    const int32_t tenth = size_at(0.9);
    const int32_t fifth = size_at(0.8);
    const int32_t next_fifth = size_at(0.7);
    for (size_t i = 0; i < jobs_.size(); ++i) {
      const int32_t cpu = jobs_[i].need_.cpu_milli_;
      SizeGroup group = kAllSizes;
      if (cpu >= tenth) {
        group = kLargestTenth;
      } else if (cpu >= next_fifth) {
        group = kNextFifth;
      }
      CountJob(i, group, cpu >= fifth);
    }
    AddPlan(plan_.stats());
  }

  void CountJob(size_t index, SizeGroup group, bool large) {
    const BenchJob& job = jobs_[index];
    const JobState& state = state_[index];
    PlacementResult& result = *result_;
    double work = 0;
    for (const Duration takes : job.takes_) {
      work += static_cast<double>(job.need_.cpu_milli_ * takes.ms_);
    }
    const int64_t wait = (state.last_start_ - job.at_).ms_;
    result.waits_.values_.push_back(wait);
    if (large) result.large_waits_.values_.push_back(wait);
    result.demand_ += work;
    result.band_demand_[job.band_] += work;
    ++result.jobs_[kAllSizes];
    if (group != kAllSizes) ++result.jobs_[group];
    if (state.failed_ || state.last_end_ > job.useful_until_) {
      result.useless_starts_ += state.started_;
      return;
    }
    ++result.served_[kAllSizes];
    if (group != kAllSizes) ++result.served_[group];
    result.goodput_ += work;
    result.band_goodput_[job.band_] += work;
    if (state.last_start_ <= job.start_by_) result.on_time_ += work;
    if (!policy_.estimates_) return;
    result.plan_error_.values_.push_back(std::abs(state.plan_wait_ms_ - wait));
    result.rate_error_.values_.push_back(std::abs(state.rate_wait_ms_ - wait));
  }

  void AddPlan(const ReservationStats& stats) {
    ReservationStats& sum = result_->plan_;
    sum.made_ += stats.made_;
    sum.kept_ += stats.kept_;
    for (size_t i = 0; i < kLapseReasons; ++i) {
      sum.lapsed_[i] += stats.lapsed_[i];
    }
    sum.backfills_ += stats.backfills_;
    sum.late_ms_ += stats.late_ms_;
    sum.early_ms_ += stats.early_ms_;
  }

  PlacementPolicy policy_;
  const std::vector<BenchJob>& jobs_;
  std::vector<JobState> state_;
  ReservationPlan plan_;
  PlacementResult* result_;
  std::vector<Resources> free_;
  /// Waiting jobs with the time their start is due, in that order.
  std::set<std::pair<int64_t, uint32_t>> waiting_;
  std::priority_queue<RunEnd> ends_;
  double released_ = 0;  ///< Thousandths of a core per second.
  uint64_t runs_ = 0;
  Time now_;
};

}  // namespace gentiandeal::bench

#endif  // GENTIANDEAL_TOOLS_BENCH_PLACEMENT_POOL_H_
