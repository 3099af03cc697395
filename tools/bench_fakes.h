#ifndef GENTIANDEAL_TOOLS_BENCH_FAKES_H_
#define GENTIANDEAL_TOOLS_BENCH_FAKES_H_

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

#include "gentiandeal_p.h"

/// Fakes at the interfaces of the decision code: a virtual clock, links with a
/// fixed delay, workers with first-in-first-out slots, and arrivals drawn from
/// a fixed seed.
namespace gentiandeal::bench {

/// Virtual time in microseconds; links are faster than a millisecond.
using Micros = int64_t;
inline constexpr Micros kMilli = 1000;
inline constexpr Micros kSecond = 1000 * kMilli;
/// One way between an instance and a worker or another instance.
inline constexpr Micros kWorkerLink = kMilli / 2;
/// One way between a caller and an instance.
inline constexpr Micros kCallerLink = kMilli;
inline constexpr Micros kRoundTrip = 2 * (kCallerLink + kWorkerLink);

inline Time ToTime(Micros at) { return {at / kMilli}; }

/// Events in the order of their virtual time.
class VirtualClock {
 public:
  using Action = std::function<void()>;

  Micros now() const { return now_; }

  void After(Micros delay, Action action) {
    events_.push_back({now_ + delay, ++sequence_, std::move(action)});
    std::push_heap(events_.begin(), events_.end(), Later);
  }

  /// Runs the next event. @returns false when there is none.
  bool Step() {
    if (events_.empty()) return false;
    std::pop_heap(events_.begin(), events_.end(), Later);
    Event event = std::move(events_.back());
    events_.pop_back();
    now_ = event.at_;
    event.action_();
    return true;
  }

 private:
  struct Event {
    Micros at_ = 0;
    uint64_t sequence_ = 0;
    Action action_;
  };
  static bool Later(const Event& a, const Event& b) {
    if (a.at_ != b.at_) return a.at_ > b.at_;
    return a.sequence_ > b.sequence_;
  }

  std::vector<Event> events_;
  Micros now_ = 0;
  uint64_t sequence_ = 0;
};

/// How a fake worker behaves.
struct WorkerBehaviour {
  double slowdown_ = 1;   ///< Service time over run time.
  bool failing_ = false;  ///< Answers every task at once with status 500.
};

/// A worker with slots, served first in first out.
class FakeWorker {
 public:
  using Answer = std::function<void(AttemptResult)>;

  FakeWorker(VirtualClock* clock, uint32_t slots, WorkerBehaviour behaviour)
      : clock_(clock), slots_(slots), behaviour_(behaviour) {}

  /// Takes a task that has just arrived. `answer` is called when it ends.
  void Take(Micros run, Answer answer) {
    if (behaviour_.failing_) {
      clock_->After(kMilli, [answer] { answer(AttemptResult::kFailed); });
      return;
    }
    if (busy_ == slots_) {
      ++queued_;
      waiting_.push_back({run, std::move(answer)});
      return;
    }
    Begin({run, std::move(answer)});
  }

  /// Tasks that found every slot taken.
  uint64_t queued() const { return queued_; }

 private:
  struct Work {
    Micros run_ = 0;
    Answer answer_;
  };

  void Begin(Work work) {
    ++busy_;
    const double service = static_cast<double>(work.run_);
    clock_->After(std::llround(service * behaviour_.slowdown_),
                  [this, answer = std::move(work.answer_)] {
                    --busy_;
                    answer(AttemptResult::kAnswered);
                    BeginNext();
                  });
  }

  void BeginNext() {
    if (waiting_.empty()) return;
    Work work = std::move(waiting_.front());
    waiting_.pop_front();
    Begin(std::move(work));
  }

  VirtualClock* clock_;
  uint32_t slots_;
  WorkerBehaviour behaviour_;
  uint32_t busy_ = 0;
  uint64_t queued_ = 0;
  std::deque<Work> waiting_;
};

/// How far declared run times are from the true ones.
enum class Declared : uint8_t { kNone, kExact, kOff };

/// What callers send in one run.
struct Load {
  uint32_t tasks_per_job_ = 1;
  uint32_t large_tasks_ = 0;  ///< Tasks of large jobs among them, if set.
  double utilisation_ = 0.6;  ///< Work arriving, over work of all slots.
  double burst_ = 0;          ///< Utilisation in the middle third, if set.
  Micros length_ = 120 * kSecond;
  Micros warm_up_ = 10 * kSecond;  ///< Arrivals before it are not counted.
  Duration deadline_{60000};
  Declared declared_ = Declared::kOff;
};

/// One job as it arrives.
struct Arrival {
  Micros at_ = 0;
  uint32_t instance_ = 0;
  bool counted_ = true;
  bool in_burst_ = false;
  Micros ideal_ = 0;
  JobSpec spec_;
};

/// True run time of a task; the decision code never reads the body.
inline int64_t RunMs(const TaskSpec& task) {
  int64_t run_ms = 0;
  const std::string& body = task.body_;
  std::from_chars(body.data(), body.data() + body.size(), run_ms);
  return run_ms;
}

/// Draws arrivals of one run: Poisson jobs of tasks of 50 ms to 1 s, sent to
/// instances at random.
class Arrivals {
 public:
  Arrivals(const Load& load, uint32_t instances, uint32_t slots, uint64_t seed)
      : load_(load), instances_(instances), slots_(slots), random_(seed) {}

  std::vector<Arrival> Draw() {
    std::vector<Arrival> arrivals;
    double at = 0;
    for (;;) {
      const auto now = static_cast<Micros>(at);
      const bool burst = load_.burst_ > 0 && now >= load_.length_ / 3 &&
                         now < load_.length_ * 2 / 3;
      at += Gap(burst ? load_.burst_ : load_.utilisation_);
      if (at >= static_cast<double>(load_.length_)) return arrivals;
      arrivals.push_back(DrawOne(static_cast<Micros>(at), burst));
    }
  }

 private:
  static constexpr int64_t kShortestMs = 50;
  static constexpr int64_t kLongestMs = 1000;

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  /// Large jobs bring half of the work.
  double LargeShare() const {
    if (load_.large_tasks_ == 0) return 0;
    return static_cast<double>(load_.tasks_per_job_) /
           (load_.tasks_per_job_ + load_.large_tasks_);
  }
  double MeanTasks() const {
    const double large = LargeShare();
    return load_.tasks_per_job_ * (1 - large) + load_.large_tasks_ * large;
  }

  double Gap(double utilisation) {
    const double mean_work = MeanTasks() *
                             static_cast<double>(kShortestMs + kLongestMs) / 2 *
                             kMilli;
    const double mean_gap = mean_work / (utilisation * slots_);
    return -std::log(1 - Uniform()) * mean_gap;
  }

  Arrival DrawOne(Micros at, bool burst) {
    Arrival arrival;
    arrival.at_ = at;
    arrival.instance_ = static_cast<uint32_t>(random_() % instances_);
    arrival.counted_ = at >= load_.warm_up_;
    arrival.in_burst_ = burst;
    arrival.spec_.deadline_ = load_.deadline_;
    int64_t longest = 0;
    int64_t total = 0;
    uint32_t count = load_.tasks_per_job_;
    if (load_.large_tasks_ > 0 && Uniform() < LargeShare()) {
      count = load_.large_tasks_;
    }
    for (uint32_t i = 0; i < count; ++i) {
      const int64_t run =
          kShortestMs +
          static_cast<int64_t>(random_() % (kLongestMs - kShortestMs + 1));
      longest = std::max(longest, run);
      total += run;
      arrival.spec_.tasks_.push_back(Task(run));
    }
    const int64_t spread = total / std::min(slots_, count);
    arrival.ideal_ = std::max(longest, spread) * kMilli + kRoundTrip;
    return arrival;
  }

  TaskSpec Task(int64_t run) {
    constexpr double kLargestError = 3;
    TaskSpec task;
    task.path_ = "/t";
    task.kind_ = "t";
    task.body_ = std::to_string(run);
    const double error = std::pow(kLargestError, 2 * Uniform() - 1);
    if (load_.declared_ == Declared::kExact) task.declared_run_time_ = {run};
    if (load_.declared_ == Declared::kOff) {
      task.declared_run_time_ = {
          std::llround(static_cast<double>(run) * error)};
    }
    return task;
  }

  Load load_;
  uint32_t instances_;
  uint32_t slots_;
  std::mt19937_64 random_;
};

}  // namespace gentiandeal::bench

#endif  // GENTIANDEAL_TOOLS_BENCH_FAKES_H_
