#ifndef GENTIANDEAL_SRC_DISPATCHER_H_
#define GENTIANDEAL_SRC_DISPATCHER_H_

#include "gentiandeal_p.h"
#include "settings.h"
#include "team_guards.h"
#include "worker_table.h"

namespace gentiandeal {

/// Gauges the dispatcher shares with peers and operators.
struct DispatcherLoad {
  uint32_t queued_tasks_ = 0;
  uint32_t running_tasks_ = 0;
  uint32_t free_slots_ = 0;
  uint64_t buffered_bytes_ = 0;
  bool idle_ = true;  ///< Nothing queued, running, forwarded or unanswered.
};

/// Decision logic of an entry instance: which submission is accepted, which
/// task runs where and when, and what its caller is told. Pure: it is handed
/// messages and the time, and appends commands to an outbox.
class Dispatcher {
 public:
  /// @param self This run of this instance.
  /// @param secret Key for client ids; random for each run.
  Dispatcher(const InstanceId& self, std::array<uint8_t, 32> secret,
             uint64_t seed);
  ~Dispatcher();

  /// Issues a client id owned by this incarnation. Costs no memory here.
  ClientId IssueClient(Time now);

  void On(const Submit& message, Time now, Outbox* out);
  void On(const CallerGone& message, Time now, Outbox* out);
  void On(const CancelSubmission& message, Time now, Outbox* out);
  void On(const AttemptEnded& message, Time now, Outbox* out);
  void On(const ForwardEnded& message, Time now, Outbox* out);
  void On(const WorkersListed& message, Time now, Outbox* out);
  void On(const PeerLoad& message, Time now, Outbox* out);
  void On(const PeersChanged& message, Time now, Outbox* out);
  void On(const SettingsChanged& message, Time now, Outbox* out);
  void On(const DrainRequested& message, Time now, Outbox* out);

  /// Expires deadlines and holds, and starts what can start. Call at least
  /// every `kTickInterval`; a longer gap than `kPauseGap` is a pause.
  void Tick(Time now, Outbox* out);

  /// Ends everything at the drain limit: every open request is answered.
  void CutAll(Time now, Outbox* out);

  /// Guards of the teams, to exchange use with peers.
  TeamGuards& guards();
  const WorkerTable& workers() const;
  Stats stats() const;
  DispatcherLoad load() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_DISPATCHER_H_
