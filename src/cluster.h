#ifndef GENTIANDEAL_SRC_CLUSTER_H_
#define GENTIANDEAL_SRC_CLUSTER_H_

#include "dispatcher.h"
#include "gentiandeal_p.h"
#include "membership.h"
#include "settings.h"

struct event_base;

namespace gentiandeal {

/// Events that `Cluster` passes to the dispatcher.
using ClusterEvent =
    std::variant<Submit, CancelSubmission, CallerDisconnected, ForwardEnded,
                 PeerLoad, PeersChanged, WorkersListed, SettingsChanged>;

/// Connects this instance to the platform's store and service list and to the
/// other instances, and keeps the shared settings up to date. Owns the sockets
/// for these on one event loop; `CallerServer` and `WorkerClient` own those of
/// callers and workers.
class Cluster {
 public:
  /// @param events Called from the event loop, and from `Start` and `Tick`.
  Cluster(event_base* base, const Init& init,
          std::function<void(ClusterEvent)> events);
  ~Cluster();

  /// Binds the peer port. @param self Receives the address for peers.
  std::error_code Listen(InstanceId* self);

  /// Starts the requests to the platform and the peers.
  /// @param team_limiter Receives the teams' usage that peers report.
  void Start(TeamLimiter* team_limiter);

  /// Sends heartbeats and requests that are due. Call every `kTickInterval`.
  void Tick(Time now, const Dispatcher& dispatcher, bool draining);

  void On(const ForwardSubmission& forward);
  void On(const CancelForward& abandon);

  /// Sends the answer to a request that a peer forwarded (`IsPeerRequest`).
  void On(const SendAnswer& answer);

  /// True once peers and the store were asked for settings, or the wait for
  /// them timed out.
  bool ready() const;
  /// True when no forwarded request is open and nothing is left to send to a
  /// peer.
  bool idle() const;

  const std::vector<PeerView>& peers() const;
  const Settings& settings() const;
  /// Body of `GET /v1/settings`: the settings document in force, or `{}` when
  /// there is none.
  std::string settings_json() const;
  /// Counters by metric name, without the prefix.
  std::vector<std::pair<std::string, uint64_t>> counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CLUSTER_H_
