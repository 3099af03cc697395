#ifndef GENTIANDEAL_SRC_FLEET_H_
#define GENTIANDEAL_SRC_FLEET_H_

#include "dispatcher.h"
#include "gentiandeal_p.h"
#include "membership.h"
#include "settings.h"

struct event_base;

namespace gentiandeal {

/// What the fleet tells the dispatcher.
using FleetEvent =
    std::variant<Submit, CancelSubmission, CallerGone, ForwardEnded, PeerLoad,
                 PeersChanged, WorkersListed, SettingsChanged>;

/// Everything outside this instance but callers and workers: the platform's
/// store and list, the other instances, and the settings they agree on. Owns
/// their sockets on one event loop.
class Fleet {
 public:
  /// @param events Called from the event loop, and from `Start` and `Tick`.
  Fleet(event_base* base, const Init& init,
        std::function<void(FleetEvent)> events);
  ~Fleet();

  /// Binds the peer port. @param self Gets the address bound.
  std::error_code Listen(InstanceId* self);

  /// Starts to ask the platform and the peers.
  /// @param guards Told what peers use of teams' guards.
  void Start(TeamGuards* guards);

  /// Sends what is due. Call every `kTickInterval`.
  void Tick(Time now, const Dispatcher& dispatcher, bool draining);

  void On(const ForwardSubmission& forward);
  void On(const AbandonForward& abandon);

  /// Answers a request for which `IsPeerRequest` holds.
  void On(const SendAnswer& answer);

  /// True once the settings of peers and of the store were asked for.
  bool ready() const;
  /// True when nothing of a peer is open.
  bool idle() const;

  const std::vector<PeerView>& peers() const;
  const Settings& settings() const;
  /// Body of `GET /v1/settings`: the document held, or `{}`.
  std::string settings_json() const;
  /// Counters by metric name, without the prefix.
  std::vector<std::pair<std::string, uint64_t>> counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_FLEET_H_
