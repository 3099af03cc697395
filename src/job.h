#ifndef GENTIANDEAL_SRC_JOB_H_
#define GENTIANDEAL_SRC_JOB_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "gentiandeal_p.h"
#include "retry_budget.h"
#include "settings.h"

/// What the dispatcher holds: teams, jobs with their tasks, attempts,
/// forwards, and the requests that wait for answers.
namespace gentiandeal {

/// A branch of the settings as jobs refer to it. Its handle outlives
/// revisions, while the index in the settings may change.
struct Team {
  std::string name_;
  TeamSettings settings_;
  TeamHandle in_settings_;  ///< Invalid once its branch was removed.
  uint32_t jobs_ = 0;
  uint32_t running_ = 0;
  bool blocked_ = false;  ///< At its quota; its tasks wait.
  bool watched_ = false;  ///< Looked at by each tick until released.
  RetryBudget retries_;
};

/// Someone who waits for an answer.
struct Request : boost::intrusive::list_base_hook<> {
  RequestId id_;
  JobId job_;          ///< Set when a job here answers it.
  ForwardId forward_;  ///< Set when a peer answers it.
};

enum class TaskPhase : uint8_t {
  kWaiting,   ///< Not started.
  kRunning,   ///< Sent to a worker.
  kAnswered,  ///< Its answer is held.
  kLost,      ///< Failed, or its end is not known.
};

struct Task {
  TaskPhase phase_ = TaskPhase::kWaiting;
  bool dispatched_ = false;  ///< Sent at least once, even if then refused.
  KindHandle kind_;
  Duration expected_;
  AttemptId attempt_;   ///< Valid while it runs.
  WorkerHandle avoid_;  ///< The worker that last refused it.
};

/// Job timers, ordered by time.
using TimerHook = boost::intrusive::set_member_hook<>;

struct Job {
  JobId id_;
  std::shared_ptr<const JobSpec> spec_;
  std::optional<SubmissionId> submission_;
  TeamHandle team_;
  Time arrival_;
  Time deadline_;
  std::vector<Task> tasks_;
  std::vector<TaskAnswer> answers_;  ///< Sized when the first one arrives.
  uint32_t started_ = 0;             ///< Tasks in any phase but kWaiting.
  uint32_t answered_ = 0;
  Duration longest_;    ///< Longest expected run time of a task.
  Duration reserve_;    ///< Kept free before the deadline for the last start.
  Duration total_;      ///< Sum of the expected run times.
  uint64_t bytes_ = 0;  ///< Charged to the buffer account.
  uint64_t answer_bytes_ = 0;
  ForwardId forward_;  ///< Valid while a peer runs it.
  int forwards_tried_ = 0;
  boost::intrusive::list<Request> waiters_;
  Time wake_;
  TimerHook timer_;

  /// Last moment at which starting can meet the deadline.
  Time latest_start() const { return deadline_ - reserve_; }
};

struct Attempt {
  JobId job_;
  uint16_t index_ = 0;
  WorkerHandle worker_;
  Time sent_;
};

/// A submission or cancellation handed to a peer.
struct Forward {
  ForwardId id_;
  Incarnation peer_;
  JobId job_;          ///< A job of this instance that runs elsewhere, or
  RequestId request_;  ///< a request whose owner is the peer.
  TeamHandle team_;
  uint64_t bytes_ = 0;  ///< Charged to the buffer account.
  Time wake_;
  TimerHook timer_;
};

template <typename T>
struct WakesEarlier {
  bool operator()(const T& a, const T& b) const { return a.wake_ < b.wake_; }
};

/// Jobs or forwards in the order in which they have to be looked at.
template <typename T>
using Timers = boost::intrusive::multiset<
    T, boost::intrusive::member_hook<T, TimerHook, &T::timer_>,
    boost::intrusive::compare<WakesEarlier<T>>>;

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_H_
