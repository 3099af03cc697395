#ifndef GENTIANDEAL_TESTS_UNIT_WORKER_SCHEDULER_FIXTURE_H_
#define GENTIANDEAL_TESTS_UNIT_WORKER_SCHEDULER_FIXTURE_H_

#include <algorithm>
#include <set>

#include "worker_scheduler.h"

namespace gentiandeal {

/// An owner on a fake clock. The test answers in place of its workers.
struct WorkerSchedulerFixture {
  static constexpr Resources kTaskResources{14000, 64, 0};

  WorkerScheduler owner_;
  SchedulerOutbox out_;
  Time now_{1000000};
  uint64_t last_serial_ = 0;
  std::set<uint64_t> answered_;
  int64_t incarnation_ms_ = 7;  ///< Of the workers, as their lists tell it.

  static LeasedWorker MakeWorker(const std::string& id, int32_t cpu = 32000) {
    LeasedWorker worker;
    worker.id_.value_ = id;
    worker.address_ = {"127.0.0.1", 1};
    worker.data_centre_ = "west";
    worker.pool_ = "pool";
    worker.labels_ = {"a", "r1"};
    worker.capacity_ = {cpu, 131072, 0};
    worker.started_ms_ = 7;
    return worker;
  }

  /// Returns the commands of one type, in order.
  template <typename T>
  std::vector<T> All() const {
    std::vector<T> all;
    for (const SchedulerCommand& command : out_) {
      if (const auto* one = std::get_if<T>(&command)) all.push_back(*one);
    }
    return all;
  }

  /// Returns the last command of one type; there must be one.
  template <typename T>
  T Last() const {
    return All<T>().back();
  }

  /// Returns the time on the workers' clock.
  int64_t WorkerClock() const { return now_.ms_ - 500000; }

  void Advance(int64_t ms) {
    now_ = now_ + Duration{ms};
    owner_.Tick(now_, &out_);
  }

  /// Returns an answer that lists no runs.
  PollEnded Listing(WorkerCallId call) const {
    PollEnded ended;
    ended.call_ = call;
    ended.result_ = PollResult::kListed;
    ended.clock_ms_ = WorkerClock();
    ended.started_ms_ = incarnation_ms_;
    return ended;
  }

  /// Returns the latest poll that was not answered yet.
  WorkerCallId LatestUnansweredPoll() const {
    const auto polls = All<PollWorker>();
    const auto open =
        std::find_if(polls.rbegin(), polls.rend(), [&](const PollWorker& poll) {
          return answered_.count(poll.call_.value_) == 0;
        });
    return open == polls.rend() ? WorkerCallId{} : open->call_;
  }

  /// Answers the latest unanswered poll.
  void AnswerPoll(std::vector<RunningRun> running = {},
                  std::vector<FinishedRun> finished = {}) {
    PollEnded ended = Listing(LatestUnansweredPoll());
    answered_.insert(ended.call_.value_);
    ended.running_ = std::move(running);
    ended.finished_ = std::move(finished);
    owner_.On(ended, now_, &out_);
  }

  /// Advances past the end of runs that an earlier owner may be stopping, and
  /// answers the poll that confirms the worker.
  void Settle(std::vector<RunningRun> running = {}) {
    Advance(160);
    AnswerPoll(std::move(running));
  }

  /// Acquires a worker on which nothing runs, and confirms it.
  void Acquire(const std::string& id, int32_t cpu = 32000) {
    owner_.Acquire(MakeWorker(id, cpu), Fence{5}, now_, &out_);
    AnswerPoll();
    Settle();
  }

  /// Assigns tasks of a new job in the local session.
  AssignTasks Assign(uint32_t count, Resources need = kTaskResources,
                     int64_t start_within = 500, int64_t give_up = 1000) {
    AssignTasks assign;
    assign.name_ =
        "00000000000000a" + std::to_string(last_serial_ % 10) + ".0.0";
    assign.pool_ = "pool";
    assign.payload_ = "payload";
    assign.need_ = need;
    assign.expected_run_time_ = {200};
    assign.start_within_ = {start_within};
    assign.give_up_after_ = {give_up};
    for (uint32_t i = 0; i < count; ++i) {
      assign.tasks_.push_back({{++last_serial_}, i});
    }
    owner_.On(kLocalSession, assign, now_, &out_);
    return assign;
  }

  void AnswerStart(const StartRun& start,
                   StartResult result = StartResult::kStarted) {
    owner_.On(StartEnded{start.call_, result, WorkerClock()}, now_, &out_);
  }

  void AnswerStop(const StopRun& stop) {
    owner_.On(StopEnded{stop.call_, true}, now_, &out_);
  }
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_WORKER_SCHEDULER_FIXTURE_H_
