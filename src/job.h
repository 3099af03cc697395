#ifndef GENTIANDEAL_SRC_JOB_H_
#define GENTIANDEAL_SRC_JOB_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "gentiandeal_p.h"
#include "retry_budget.h"
#include "settings.h"

/// State of the dispatcher: teams, jobs with their tasks, attempts, forwards,
/// and the requests that wait for answers.
namespace gentiandeal {

/// A team as jobs refer to it. Its handle stays valid across revisions of the
/// settings, while its index in the settings may change.
struct Team {
  std::string name_;
  TeamSettings settings_;
  TeamHandle settings_handle_;  ///< Invalid once removed from the settings.
  uint32_t open_jobs_ = 0;
  uint32_t running_tasks_ = 0;
  bool blocked_ = false;  ///< At its quota; its tasks wait.
  bool recheck_ = false;  ///< Each tick checks whether to unblock it.
  RetryBudget retry_budget_;
};

/// A caller or peer that waits for an answer.
struct Request : boost::intrusive::list_base_hook<> {
  RequestId id_;
  JobId job_;          ///< Set when a job here answers it.
  ForwardId forward_;  ///< Set when a peer answers it.
};

/// Progress of one task of a job.
enum class TaskPhase : uint8_t {
  kWaiting,   ///< Not started.
  kRunning,   ///< Sent to a worker.
  kAnswered,  ///< Its answer is stored in the job.
  kNoAnswer,  ///< Failed, result unknown, or answer too large.
};

/// State of one task of a job.
struct Task {
  TaskPhase phase_ = TaskPhase::kWaiting;
  bool dispatched_ = false;  ///< Was sent at least once, even if refused.
  KindHandle kind_;
  Duration expected_run_time_;
  AttemptId attempt_;          ///< Valid while the task runs.
  WorkerHandle avoid_worker_;  ///< The worker that last refused it.
};

/// Links a job or forward into its `Timers`.
using TimerHook = boost::intrusive::set_member_hook<>;

/// An accepted job.
struct Job {
  JobId id_;
  std::shared_ptr<const JobSpec> spec_;
  std::optional<SubmissionId> submission_;
  TeamHandle team_;
  Time arrival_;
  Time deadline_;
  std::vector<Task> tasks_;
  std::vector<TaskAnswer> answers_;  ///< Empty until the first answer arrives.
  uint32_t started_tasks_ = 0;       ///< Tasks in any phase but kWaiting.
  uint32_t answered_tasks_ = 0;
  Duration longest_run_time_;   ///< Longest expected run time of a task.
  Duration start_margin_;       ///< Time to run kept free before the deadline.
  Duration total_run_time_;     ///< Sum of the expected run times.
  uint64_t charged_bytes_ = 0;  ///< Charged to the buffer account.
  uint64_t answer_bytes_ = 0;
  ForwardId forward_;  ///< Valid while a peer runs it.
  int forwards_tried_ = 0;
  boost::intrusive::list<Request> waiters_;
  Time wake_time_;
  TimerHook timer_;

  /// Latest start at which the job can still meet its deadline.
  Time latest_start() const { return deadline_ - start_margin_; }
};

/// One request to a worker that runs one task of a job.
struct Attempt {
  JobId job_;
  uint16_t task_index_ = 0;
  WorkerHandle worker_;
  Time sent_time_;
};

/// A submission or cancellation forwarded to a peer.
struct Forward {
  ForwardId id_;
  Incarnation peer_;
  JobId job_;          ///< A job of this instance that runs remotely, or
  RequestId request_;  ///< a request whose owner is the peer.
  TeamHandle team_;
  uint64_t charged_bytes_ = 0;  ///< Charged to the buffer account.
  Time wake_time_;
  TimerHook timer_;
};

template <typename T>
struct WakesEarlier {
  bool operator()(const T& a, const T& b) const {
    return a.wake_time_ < b.wake_time_;
  }
};

/// Jobs or forwards, ordered by the time at which they are due.
template <typename T>
using Timers = boost::intrusive::multiset<
    T, boost::intrusive::member_hook<T, TimerHook, &T::timer_>,
    boost::intrusive::compare<WakesEarlier<T>>>;

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JOB_H_
