#ifndef GENTIANDEAL_SRC_MESH_LINK_H_
#define GENTIANDEAL_SRC_MESH_LINK_H_

#include <event2/event.h>

#include <map>

#include "link_rate.h"
#include "mesh_wire.h"
#include "peer_liveness.h"
#include "worker_ownership.h"

struct bufferevent;
struct evconnlistener;

namespace gentiandeal {

/// Callbacks of a `MeshLink`, called from the event loop.
struct MeshEvents {
  /// An owner sent its load: after the link to it opened, and later again.
  std::function<void(const InstanceName& owner, const std::string& data_centre,
                     const OwnerLoad& load)>
      owner_load_;
  /// The link to an owner was lost or closed. `silence` is the time since its
  /// last sign of life.
  std::function<void(const InstanceName& owner, Duration silence)> owner_lost_;
  std::function<void(const InstanceName& owner, const TaskEnded& ended)>
      task_ended_;
  std::function<void(const InstanceName& owner, const BatchRefused& refused)>
      batch_refused_;
  std::function<void(SessionId session, const AssignTasks& assign)> assign_;
  std::function<void(SessionId session, const CancelTasks& cancel)> cancel_;
  std::function<void(SessionId session, const InstanceName& coordinator)>
      session_started_;
  /// Lists of long open jobs: a coordinator's own one, or those that an owner
  /// relays.
  std::function<void(const MeshOpenJobs& jobs, bool relayed)> open_jobs_;
  /// The caller of a job has submitted it to another instance. The job's
  /// coordinator is this instance or one that may be connected to it.
  std::function<void(const MeshRecallJob& recall)> recall_;
  /// Workers were lost under tasks: told by the owner of the workers, or passed
  /// on by another one.
  std::function<void(const MeshTaskLosses& losses, bool relayed)> task_losses_;
  /// The peer of a session is known to have been alive at a time, on this
  /// process's clock.
  std::function<void(SessionId session, Time alive_at)> session_alive_;
  std::function<void(SessionId session, Duration silence)> session_ended_;
  /// All frames that had arrived over a connection have been passed on.
  std::function<void()> frames_read_;
};

struct MeshStats {
  uint64_t links_opened_ = 0;
  uint64_t links_lost_ = 0;
  uint64_t sessions_ = 0;
  uint64_t frames_malformed_ = 0;
  /// By kind of frame. Without the headers of TCP and IP.
  std::array<uint64_t, kMeshFrameKinds> frames_sent_{};
  std::array<uint64_t, kMeshFrameKinds> bytes_sent_{};
};

/// TCP connections from each instance to the owners of workers that it assigns
/// tasks to. Over the connection that it opened, an instance assigns tasks to
/// the owner and receives the ends of these tasks and the owner's load. For the
/// side that accepted it, such a connection is a session. Either side treats
/// the other as lost `kSilenceTimeout` after its last sign of life, as dated by
/// `PeerLiveness`.
class MeshLink {
 public:
  /// Interval of heartbeats. Two of them and the round trip separate a sign of
  /// life from the moment at which it is known, and a new run needs a lease
  /// that outlasts that.
  static constexpr Duration kHeartbeatInterval{100};
  /// Other frames carry a heartbeat along if the last one is older than this.
  static constexpr Duration kMinHeartbeatInterval{50};
  /// Time without a sign of life after which a connection is closed. Short
  /// enough that an owner has stopped the runs of a lost instance before that
  /// instance's callers submit their jobs again.
  static constexpr Duration kSilenceTimeout{800};

  /// @param link_rate Of the network link that all connections share.
  MeshLink(event_base* base, MeshHello self, LinkRate link_rate,
           MeshEvents events);
  ~MeshLink();
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  /// Binds and starts to accept. @returns the error of the bind.
  std::error_code Listen(const Address& address);
  const Address& local() const { return local_; }

  /// Sets the instances to stay connected to. Connections opened to others, or
  /// to an earlier incarnation, are closed.
  void SetPeers(const std::vector<InstanceRecord>& peers);

  /// Sends a frame to an owner. @returns false if there is no open link to it.
  bool Send(const InstanceName& owner, const MeshFrame& frame);
  /// Sends a frame to the coordinator of a session, if it is still connected.
  void SendToSession(SessionId session, const MeshFrame& frame);

  /// Sends the load of this instance to all that may assign tasks to it.
  void SendLoad(const OwnerLoad& load);
  /// Sends the load of this instance to those whose last report is another
  /// version and old enough, as `LoadReportInterval` tells.
  /// @param load Returns the load; called at most once.
  void ShareLoad(uint64_t version, Time now,
                 const std::function<OwnerLoad()>& load);

  /// Sends a list of open jobs to the owners that this instance assigns to.
  void SendOpenJobs(const MeshOpenJobs& jobs);
  /// Sends lists of open jobs to the connected instances of this data centre.
  void RelayOpenJobs(const MeshOpenJobs& jobs);
  /// Sends losses of workers to all connected instances.
  void SendTaskLosses(const MeshTaskLosses& losses);
  /// Sends losses to the connected instances of this data centre.
  void RelayTaskLosses(const MeshTaskLosses& losses);
  /// Sends a frame to an instance over any connection to it. @returns false if
  /// there is none.
  bool SendToPeer(const InstanceName& peer, const MeshFrame& frame);
  /// Sends a frame to the owners of this data centre. @returns whether there
  /// was any.
  bool SendToNearOwners(const MeshFrame& frame);

  /// Opens missing connections, sends heartbeats, and closes connections that
  /// were silent for too long or have too much unsent. To be called from a
  /// timer of a higher priority than the sockets' events.
  void Tick(Time now);

  /// Closes every connection. To be called after the process was paused, as the
  /// peers may have treated it as lost meanwhile.
  void DropAll();

  const MeshStats& stats() const { return stats_; }

 private:
  struct Link {
    explicit Link(Time now) : liveness_(now) {}
    MeshLink* mesh_ = nullptr;
    bufferevent* socket_ = nullptr;
    bool outgoing_ = false;
    bool ready_ = false;   ///< The peer's hello has been received.
    InstanceRecord peer_;  ///< If outgoing.
    MeshHello hello_;      ///< Of the peer.
    SessionId session_;    ///< If accepted.
    PeerLiveness liveness_;
    uint64_t load_version_ = 0;  ///< Last one sent.
    Time load_sent_at_;
  };

  static void OnAccept(evconnlistener* listener, int fd, sockaddr* from,
                       int size, void* self);
  static void OnReadable(bufferevent* socket, void* link);
  static void OnEvent(bufferevent* socket, short event_flags, void* link);

  void Connect(const InstanceRecord& peer, Time now);
  Link* Add(int fd, bool outgoing);
  void Write(Link* link, const EncodedFrame& frame);
  void WriteHeartbeat(Link* link, Time now);
  /// Writes a frame to the coordinators of this data centre that are connected.
  void SendToNearSessions(const EncodedFrame& frame);
  /// Whether the peer is in this instance's data centre.
  bool IsNear(const Link& link) const;
  /// Writes an encoded frame after a heartbeat, unless one was just written.
  void WriteFrame(Link* link, const EncodedFrame& frame);
  void Drop(Link* link);
  void DropMalformed(Link* link);
  void Read(Link* link);
  bool Handle(Link* link, const MeshFrame& frame);

  event_base* base_;
  MeshHello self_;
  LinkRate link_rate_;
  MeshEvents events_;
  MonotonicClock clock_;
  evconnlistener* listener_ = nullptr;
  Address local_;
  uint64_t last_session_ = kLocalSession.value_;
  std::map<std::string, InstanceRecord> peers_;
  std::map<std::string, Time> retry_at_;
  std::map<std::string, Link*> owners_;  // Outgoing, by name.
  std::map<Link*, std::unique_ptr<Link>> links_;
  OwnerLoad load_;
  size_t load_bytes_ = 0;  ///< Of the last load report.
  MeshStats stats_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_MESH_LINK_H_
