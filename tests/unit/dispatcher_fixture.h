#ifndef GENTIANDEAL_TESTS_UNIT_DISPATCHER_FIXTURE_H_
#define GENTIANDEAL_TESTS_UNIT_DISPATCHER_FIXTURE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher.h"

namespace gentiandeal {

/// A dispatcher whose clock is set by the test; records its commands by type.
struct DispatcherFixture {
  static constexpr int64_t kTickMs = 5;

  InstanceId self_{"dc1", {"127.0.0.1", 7001}, {11}};
  Dispatcher dispatcher_{self_, {1, 2, 3}, 1};
  Time now_{1000};
  uint64_t last_request_ = 0;
  std::vector<StartTask> starts_;
  std::vector<CancelAttempt> cancelled_attempts_;
  std::vector<ForwardSubmission> forwards_;
  std::vector<CancelForward> cancelled_forwards_;
  std::map<RequestId, JobAnswer> answers_;
  uint32_t answers_sent_ = 0;

  template <typename Message>
  void Send(const Message& message) {
    Outbox out;
    dispatcher_.On(message, now_, &out);
    RecordCommands(&out);
  }
  /// Advances the clock in steps of `kTickMs`, with a tick at each step.
  void Advance(int64_t ms) {
    const Time end = now_ + Duration{ms};
    while (now_ < end) {
      now_ = std::min(now_ + Duration{kTickMs}, end);
      Outbox out;
      dispatcher_.Tick(now_, &out);
      RecordCommands(&out);
    }
  }
  /// Advances the clock at once, with a single tick at the end.
  void Pause(int64_t ms) {
    now_ = now_ + Duration{ms};
    Outbox out;
    dispatcher_.Tick(now_, &out);
    RecordCommands(&out);
  }
  void AbortAll() {
    Outbox out;
    dispatcher_.AbortAll(now_, &out);
    RecordCommands(&out);
  }

  void ListWorkers(uint16_t count, uint16_t slots = 8, uint16_t leaving = 0) {
    WorkersListed list;
    for (uint16_t i = 0; i < count; ++i) {
      WorkerInfo info;
      info.address_ = {"127.0.0.1", static_cast<uint16_t>(9000 + i)};
      info.slots_ = slots;
      info.leaving_ = i < leaving;
      list.workers_.push_back(info);
    }
    Send(list);
  }
  void SetSettings(Settings settings) {
    if (settings.teams_.empty()) settings.teams_.emplace_back();
    Send(SettingsChanged{std::make_shared<const Settings>(settings)});
  }

  static JobSpec Job(size_t tasks, int64_t run_ms = 100,
                     int64_t deadline_ms = 5000) {
    JobSpec job;
    job.deadline_ = {deadline_ms};
    job.tasks_.resize(tasks);
    for (size_t i = 0; i < tasks; ++i) {
      job.tasks_[i].path_ = "/" + std::to_string(i);
      job.tasks_[i].declared_run_time_ = {run_ms};
    }
    return job;
  }
  RequestId Submit(JobSpec job, std::optional<SubmissionId> id = {},
                   bool from_peer = false, bool remote = false) {
    const RequestId request{++last_request_};
    Send(gentiandeal::Submit{request, id, from_peer, remote, std::move(job)});
    return request;
  }
  RequestId Cancel(const SubmissionId& id, bool from_peer = false) {
    const RequestId request{++last_request_};
    Send(CancelSubmission{request, id, from_peer});
    return request;
  }
  void End(const StartTask& start, AttemptResult verdict,
           const std::string& body = "") {
    AttemptEnded end;
    end.attempt_ = start.attempt_;
    end.result_ = verdict;
    end.answer_ = {200, {}, body};
    Send(end);
  }

  bool Answered(RequestId request) const { return answers_.contains(request); }
  Outcome OutcomeOf(RequestId request) const {
    return answers_.at(request).outcome_;
  }
  std::error_code ErrorOf(RequestId request) const {
    return answers_.at(request).error_;
  }

 private:
  void RecordCommands(Outbox* out) {
    for (Command& command : *out) {
      std::visit([this](auto& c) { Record(c); }, command);
    }
  }
  void Record(SendAnswer& c) {
    ++answers_sent_;
    answers_[c.request_] = *c.answer_;
  }
  void Record(StartTask& c) { starts_.push_back(c); }
  void Record(CancelAttempt& c) { cancelled_attempts_.push_back(c); }
  void Record(ForwardSubmission& c) { forwards_.push_back(c); }
  void Record(CancelForward& c) { cancelled_forwards_.push_back(c); }
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_DISPATCHER_FIXTURE_H_
