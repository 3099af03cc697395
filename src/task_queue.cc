#include "task_queue.h"

#include <algorithm>
#include <bit>
#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>

namespace gentiandeal {
namespace {

namespace bi = boost::intrusive;

/// Ageing: the scheduling key of a job is its arrival time plus this fraction
/// of its size class. Smaller jobs that arrive later overtake it only as long
/// as their keys are lower.
constexpr double kAgeingFactor = 1.0 / 4;
/// Lower bound of the smallest size class, in ms of expected work. Smaller jobs
/// belong to this class, too.
constexpr int64_t kSmallestSizeClassMs = 1024;
/// Limits of the ageing delay: this duration, and the time from arrival to
/// deadline divided by `kMaxAgeingDeadlineDivisor`.
constexpr Duration kMaxAgeing{30000};
constexpr int64_t kMaxAgeingDeadlineDivisor = 2;
constexpr Duration kNoDeadline{INT64_MAX};
/// Width, in ms, and number of the buckets that hold the backlog by key.
constexpr int64_t kKeyBucketMs = 64;
constexpr uint32_t kKeyBuckets = 2048;
/// Jobs with keys older than this can't be told apart from newer ones: the ring
/// of buckets spans 131 s, which must cover this plus `kMaxAgeing`.
constexpr Duration kKeyLookback{90 * 1000};

struct WaitingTask {
  int32_t expected_ms_ = 0;
  uint16_t index_ = 0;
};

using JobIdHook = bi::unordered_set_base_hook<>;
using JobOrderHook = bi::set_base_hook<>;

struct Job : JobIdHook, JobOrderHook {
  JobId id_;
  TeamHandle team_;
  Time key_;               ///< Scheduling key; the lowest is served first.
  uint64_t sequence_ = 0;  ///< Order of `Add`; breaks ties between keys.
  std::vector<WaitingTask> tasks_;  ///< Served from the back.
};

struct JobLess {
  bool operator()(const Job& a, const Job& b) const {
    if (a.key_ != b.key_) return a.key_ < b.key_;
    return a.sequence_ < b.sequence_;
  }
};

struct JobIdOf {
  using type = uint64_t;
  uint64_t operator()(const Job& job) const { return job.id_.value_; }
};

struct JobIdHash {
  size_t operator()(uint64_t id) const {
    constexpr uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
    return (id * kGoldenRatio) >> 32;
  }
};

/// Prefix sums of the backlog by scheduling key: a Fenwick tree over a ring of
/// key buckets.
class BacklogTree {
 public:
  void Add(Time key, int64_t work_ms) {
    if (sums_.empty()) sums_.resize(kKeyBuckets + 1);
    for (uint32_t i = BucketOf(key) + 1; i <= kKeyBuckets; i += i & -i) {
      sums_[i] += work_ms;
    }
  }

  /// @returns the backlog in ms with keys in the buckets after that of `from`,
  /// up to and including that of `to`.
  int64_t Between(Time from, Time to) const {
    if (sums_.empty()) return 0;
    const uint32_t first = BucketOf(from);
    const uint32_t last = BucketOf(to);
    const int64_t wrapped = last < first ? Prefix(kKeyBuckets - 1) : 0;
    return Prefix(last) - Prefix(first) + wrapped;
  }

 private:
  static uint32_t BucketOf(Time key) {
    return static_cast<uint32_t>(key.ms_ / kKeyBucketMs) % kKeyBuckets;
  }
  int64_t Prefix(uint32_t step) const {
    int64_t sum = 0;
    for (uint32_t i = step + 1; i > 0; i -= i & -i) sum += sums_[i];
    return sum;
  }

  std::vector<int64_t> sums_;
};

using JobSet =
    bi::multiset<Job, bi::base_hook<JobOrderHook>, bi::compare<JobLess>,
                 bi::constant_time_size<false>>;

struct Team : bi::set_base_hook<> {
  TeamHandle handle_;
  double weight_ = 1;
  /// Start tag of the next task (start-time fair queueing), in ms of expected
  /// run time per unit of weight.
  double start_tag_ = 0;
  bool blocked_ = false;
  uint32_t size_ = 0;
  int64_t backlog_ms_ = 0;
  JobSet jobs_;  ///< Jobs with waiting tasks.
  BacklogTree backlog_by_key_;
};

struct TeamLess {
  bool operator()(const Team& a, const Team& b) const {
    if (a.start_tag_ != b.start_tag_) return a.start_tag_ < b.start_tag_;
    return a.handle_ < b.handle_;
  }
};

using TeamSet =
    bi::set<Team, bi::compare<TeamLess>, bi::constant_time_size<false>>;

int32_t ClampToMs(Duration expected) {
  constexpr int64_t kMaxMs = 3600 * 1000;
  return static_cast<int32_t>(std::clamp<int64_t>(expected.ms_, 1, kMaxMs));
}

/// Rounds down to a power of two, so that jobs of similar size keep their order
/// of arrival although their estimates differ.
int64_t SizeClass(int64_t work_ms) {
  const auto work =
      static_cast<uint64_t>(std::max(work_ms, kSmallestSizeClassMs));
  return static_cast<int64_t>(std::bit_floor(work));
}

Time SchedulingKey(Time arrival, Duration allowed, int64_t work_ms) {
  const auto ageing = static_cast<int64_t>(
      static_cast<double>(SizeClass(work_ms)) * kAgeingFactor);
  const int64_t most =
      std::min(kMaxAgeing.ms_, allowed.ms_ / kMaxAgeingDeadlineDivisor);
  return arrival + Duration{std::min(ageing, most)};
}

}  // namespace

class TaskQueue::Impl {
 public:
  Impl()
      : teams_(config::kMaxTeams),
        index_(JobIndex::bucket_traits(buckets_.data(), buckets_.size())) {
    jobs_.reserve(config::kMaxJobs);
    for (uint32_t i = 0; i < teams_.size(); ++i) {
      teams_[i].handle_.value_ = static_cast<uint16_t>(i);
    }
  }
  ~Impl() {
    eligible_teams_.clear();
    index_.clear();
    for (Team& team : teams_) team.jobs_.clear();
  }

  void SetTeam(TeamHandle handle, double weight);
  bool Add(JobId id, TeamHandle team, Time arrival, Time deadline,
           const std::vector<Duration>& expected);
  std::optional<QueuedTask> Pop();
  void Requeue(const QueuedTask& task, Duration expected);
  void Remove(JobId id);
  void SetBlocked(TeamHandle handle, bool blocked);
  Duration BacklogAhead(TeamHandle handle, Time now, Duration work) const;

  const Team& At(TeamHandle handle) const { return teams_[handle.value_]; }

  uint32_t size_ = 0;
  int64_t backlog_ms_ = 0;

 private:
  using JobIndex =
      bi::unordered_set<Job, bi::base_hook<JobIdHook>,
                        bi::key_of_value<JobIdOf>, bi::hash<JobIdHash>,
                        bi::power_2_buckets<true>,
                        bi::constant_time_size<false>>;

  Job* AllocateJob();
  /// Adds a team to `eligible_teams_` or removes it, as its state requires.
  void UpdateEligibility(Team& team);
  /// Adds tasks and their expected run times to the totals of the queue and the
  /// team; negative values subtract.
  void AddBacklog(Team& team, const Job& job, int tasks, int64_t work_ms);

  std::vector<Team> teams_;
  TeamSet eligible_teams_;  ///< Teams with waiting tasks that are not blocked.
  double eligible_weight_ = 0;
  double virtual_time_ = 0;
  uint64_t sequence_ = 0;
  std::vector<Job> jobs_;  ///< Never reallocated.
  std::vector<uint32_t> free_jobs_;
  std::array<JobIndex::bucket_type, config::kMaxJobs> buckets_;
  JobIndex index_;
};

void TaskQueue::Impl::SetTeam(TeamHandle handle, double weight) {
  Team& team = teams_[handle.value_];
  const bool eligible = team.is_linked();
  if (eligible) eligible_weight_ += weight - team.weight_;
  team.weight_ = weight;
}

void TaskQueue::Impl::UpdateEligibility(Team& team) {
  const bool eligible = team.size_ > 0 && !team.blocked_;
  if (eligible == team.is_linked()) return;
  if (eligible) {
    team.start_tag_ = std::max(team.start_tag_, virtual_time_);
    eligible_weight_ += team.weight_;
    eligible_teams_.insert(team);
  } else {
    eligible_weight_ -= team.weight_;
    eligible_teams_.erase(eligible_teams_.iterator_to(team));
  }
}

void TaskQueue::Impl::AddBacklog(Team& team, const Job& job, int tasks,
                                 int64_t work_ms) {
  size_ += tasks;
  team.size_ += tasks;
  backlog_ms_ += work_ms;
  team.backlog_ms_ += work_ms;
  team.backlog_by_key_.Add(job.key_, work_ms);
}

Job* TaskQueue::Impl::AllocateJob() {
  if (!free_jobs_.empty()) {
    Job* job = &jobs_[free_jobs_.back()];
    free_jobs_.pop_back();
    return job;
  }
  if (jobs_.size() >= config::kMaxJobs) return nullptr;
  return &jobs_.emplace_back();
}

bool TaskQueue::Impl::Add(JobId id, TeamHandle handle, Time arrival,
                          Time deadline,
                          const std::vector<Duration>& expected) {
  if (handle.value_ >= teams_.size() || expected.empty()) return false;
  if (index_.find(id.value_) != index_.end()) return false;
  Job* job = AllocateJob();
  if (job == nullptr) return false;
  int64_t work_ms = 0;
  job->tasks_.clear();
  for (const Duration duration : expected) {
    const auto index = static_cast<uint16_t>(job->tasks_.size());
    job->tasks_.push_back({ClampToMs(duration), index});
    work_ms += job->tasks_.back().expected_ms_;
  }
  std::stable_sort(job->tasks_.begin(), job->tasks_.end(),
                   [](const WaitingTask& a, const WaitingTask& b) {
                     return a.expected_ms_ < b.expected_ms_;
                   });
  job->id_ = id;
  job->team_ = handle;
  job->key_ = SchedulingKey(arrival, deadline - arrival, work_ms);
  job->sequence_ = ++sequence_;
  index_.insert(*job);
  Team& team = teams_[handle.value_];
  team.jobs_.insert(*job);
  AddBacklog(team, *job, static_cast<int>(expected.size()), work_ms);
  UpdateEligibility(team);
  return true;
}

std::optional<QueuedTask> TaskQueue::Impl::Pop() {
  if (eligible_teams_.empty()) return std::nullopt;
  Team& team = *eligible_teams_.begin();
  Job& job = *team.jobs_.begin();
  const WaitingTask task = job.tasks_.back();
  job.tasks_.pop_back();
  if (job.tasks_.empty()) team.jobs_.erase(team.jobs_.begin());
  AddBacklog(team, job, -1, -task.expected_ms_);
  eligible_teams_.erase(eligible_teams_.begin());
  eligible_weight_ -= team.weight_;
  virtual_time_ = team.start_tag_;
  team.start_tag_ += task.expected_ms_ / team.weight_;
  UpdateEligibility(team);
  return QueuedTask{job.id_, task.index_};
}

void TaskQueue::Impl::Requeue(const QueuedTask& task, Duration expected) {
  const auto it = index_.find(task.job_.value_);
  if (it == index_.end()) return;
  Job& job = *it;
  Team& team = teams_[job.team_.value_];
  if (job.tasks_.empty()) team.jobs_.insert(job);
  job.tasks_.push_back({ClampToMs(expected), task.index_});
  AddBacklog(team, job, 1, job.tasks_.back().expected_ms_);
  UpdateEligibility(team);
}

void TaskQueue::Impl::Remove(JobId id) {
  const auto it = index_.find(id.value_);
  if (it == index_.end()) return;
  Job& job = *it;
  index_.erase(it);
  Team& team = teams_[job.team_.value_];
  if (!job.tasks_.empty()) {
    int64_t work_ms = 0;
    for (const WaitingTask& task : job.tasks_) work_ms += task.expected_ms_;
    AddBacklog(team, job, -static_cast<int>(job.tasks_.size()), -work_ms);
    job.tasks_.clear();
    team.jobs_.erase(team.jobs_.iterator_to(job));
    UpdateEligibility(team);
  }
  free_jobs_.push_back(static_cast<uint32_t>(&job - jobs_.data()));
}

void TaskQueue::Impl::SetBlocked(TeamHandle handle, bool blocked) {
  Team& team = teams_[handle.value_];
  team.blocked_ = blocked;
  UpdateEligibility(team);
}

Duration TaskQueue::Impl::BacklogAhead(TeamHandle handle, Time now,
                                       Duration work) const {
  const Team& team = At(handle);
  const Time key = SchedulingKey(now, kNoDeadline, work.ms_);
  const int64_t own = team.backlog_by_key_.Between(now - kKeyLookback, key);
  const double others_weight =
      std::max(eligible_weight_ - (team.is_linked() ? team.weight_ : 0), 0.0);
  const int64_t others_backlog = backlog_ms_ - team.backlog_ms_;
  const double others_share =
      static_cast<double>(own + work.ms_) * others_weight / team.weight_;
  return {own + std::min(others_backlog, static_cast<int64_t>(others_share))};
}

TaskQueue::TaskQueue() : impl_(std::make_unique<Impl>()) {}
TaskQueue::~TaskQueue() = default;

void TaskQueue::SetTeam(TeamHandle team, double weight) {
  impl_->SetTeam(team, weight);
}

bool TaskQueue::Add(JobId job, TeamHandle team, Time arrival, Time deadline,
                    const std::vector<Duration>& expected) {
  return impl_->Add(job, team, arrival, deadline, expected);
}

std::optional<QueuedTask> TaskQueue::Pop(Time /*now*/) { return impl_->Pop(); }

void TaskQueue::Requeue(const QueuedTask& task, Duration expected) {
  impl_->Requeue(task, expected);
}

void TaskQueue::Remove(JobId job) { impl_->Remove(job); }

void TaskQueue::SetBlocked(TeamHandle team, bool blocked) {
  impl_->SetBlocked(team, blocked);
}

uint32_t TaskQueue::size() const { return impl_->size_; }
uint32_t TaskQueue::size(TeamHandle team) const {
  return impl_->At(team).size_;
}
Duration TaskQueue::backlog() const { return {impl_->backlog_ms_}; }

Duration TaskQueue::BacklogAhead(TeamHandle team, Time now,
                                 Duration work) const {
  return impl_->BacklogAhead(team, now, work);
}

}  // namespace gentiandeal
