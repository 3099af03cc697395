#ifndef GENTIANDEAL_SRC_DISPATCHER_H_
#define GENTIANDEAL_SRC_DISPATCHER_H_

#include "gentiandeal_p.h"
#include "settings.h"
#include "team_limiter.h"
#include "worker_table.h"

namespace gentiandeal {

/// Load of the dispatcher, reported to peers and operators.
struct DispatcherLoad {
  uint32_t queued_tasks_ = 0;
  uint32_t running_tasks_ = 0;
  uint32_t free_slots_ = 0;
  uint64_t buffered_bytes_ = 0;
  bool idle_ = true;  ///< Nothing queued, running, forwarded or unanswered.
};

/// Decision logic of an entry instance: which submission is accepted, where and
/// when each task runs, and what its caller is answered. Does no I/O and reads
/// no clock: it gets messages and the time, and appends commands to an outbox.
class Dispatcher {
 public:
  /// @param self Id of this run of this instance.
  /// @param secret Key that authenticates client ids; random for each run.
  /// @param seed Random seed for the choice of workers.
  Dispatcher(const InstanceId& self, std::array<uint8_t, 32> secret,
             uint64_t seed);
  ~Dispatcher();

  /// Issues a client id owned by this incarnation. No state is kept for it.
  ClientId IssueClient(Time now);

  void On(const Submit& message, Time now, Outbox* out);
  void On(const CallerDisconnected& message, Time now, Outbox* out);
  void On(const CancelSubmission& message, Time now, Outbox* out);
  void On(const AttemptEnded& message, Time now, Outbox* out);
  void On(const ForwardEnded& message, Time now, Outbox* out);
  void On(const WorkersListed& message, Time now, Outbox* out);
  void On(const PeerLoad& message, Time now, Outbox* out);
  void On(const PeersChanged& message, Time now, Outbox* out);
  void On(const SettingsChanged& message, Time now, Outbox* out);
  void On(const DrainRequested& message, Time now, Outbox* out);

  /// Handles what is due by time (deadlines, timeouts, penalties of slots) and
  /// starts the tasks that can start. Call at least every `kTickInterval`; a
  /// gap longer than `kPauseThreshold` counts as a pause of the process.
  void Tick(Time now, Outbox* out);

  /// Fails every open job and forward at the drain limit: every open request is
  /// answered, and new jobs are refused.
  void AbortAll(Time now, Outbox* out);

  /// Quotas and rate limits of the teams, to exchange usage with peers.
  TeamLimiter& team_limiter();
  const WorkerTable& workers() const;
  Stats stats() const;
  DispatcherLoad load() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_DISPATCHER_H_
