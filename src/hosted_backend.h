#ifndef GENTIANDEAL_SRC_HOSTED_BACKEND_H_
#define GENTIANDEAL_SRC_HOSTED_BACKEND_H_

#include <concepts>
#include <functional>
#include <system_error>

#include "evacuation.h"
#include "hosted_metrics.h"
#include "job_coordinator.h"
#include "worker_ownership.h"
#include "worker_scheduler.h"

/// What a hosted instance needs of the hosting platform.
namespace gentiandeal {

/// Callbacks of a hosted instance, which its backend calls from the event loop.
struct HostedEvents {
  std::function<void(const SubmitHostedJob&)> submit_;
  std::function<void(const CallerDisconnected&)> caller_disconnected_;
  /// A caller will be disconnected for its silence; for logs.
  std::function<void(RequestId, Duration)> caller_silent_;
  std::function<void(const StartEnded&)> start_ended_;
  std::function<void(const StopEnded&)> stop_ended_;
  std::function<void(const PollEnded&)> poll_ended_;
  std::function<void(const LeasedWorker&)> worker_listed_;
  std::function<void(const WorkerId&)> worker_unlisted_;
  std::function<void(const InstanceRecord&)> instance_listed_;
  std::function<void(const InstanceName&)> instance_unlisted_;
  std::function<void(const EvacuationUpdate&)> evacuations_changed_;
  std::function<void(bool up)> store_reachable_;
  std::function<void(Fence)> record_written_;
  std::function<std::string()> metrics_text_;
  /// Explains, as JSON, where a job would be placed.
  std::function<std::string(const HostedJob&)> explain_;
  std::function<bool()> ready_;
  std::function<bool()> draining_;
};

/// Interface to the hosting platform: callers, workers and the store.
template <typename T>
concept HostedBackend = requires(T& backend, const HostedEvents& events,
                                 const AnswerHostedJob& answer,
                                 const StartRun& start, const StopRun& stop,
                                 const PollWorker& hold,
                                 const InstanceRecord& record,
                                 std::function<void()> done, Time now) {
  {backend.Bind(events)};
  { backend.Start() } -> std::same_as<std::error_code>;
  {backend.StopListening()};
  {backend.Answer(answer)};
  {backend.Send(start)};
  {backend.Send(stop)};
  {backend.Send(hold)};
  {backend.Publish(record)};
  {backend.RemoveRecord(done)};
  {backend.Tick(now)};
  { backend.configured() } -> std::same_as<bool>;
  { backend.instances_age(now) } -> std::same_as<Duration>;
  { backend.workers_age(now) } -> std::same_as<Duration>;
  {backend.SetWorkersFollowed(true)};
  {backend.SampleWorkersSoon()};
  {backend.WatchWorkersSoon()};
  { backend.follows_workers() } -> std::same_as<bool>;
  { backend.traffic() } -> std::same_as<BackendTraffic>;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_BACKEND_H_
