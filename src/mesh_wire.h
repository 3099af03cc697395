#ifndef GENTIANDEAL_SRC_MESH_WIRE_H_
#define GENTIANDEAL_SRC_MESH_WIRE_H_

#include <array>

#include "leased_worker.h"

/// TCP frames between an instance that assigns tasks and the instances that own
/// the leased workers.
namespace gentiandeal {

/// First frame of the side that opened the connection, and the answer to it.
struct MeshHello {
  InstanceName name_;
  std::string data_centre_;
  Incarnation incarnation_;
};

/// Tasks that ended, of those assigned over this connection.
struct MeshTasksEnded {
  std::vector<TaskEnded> ended_;
};

/// Lets the receiver date the sender's last sign of life on its own clock, so
/// that frames that were delayed don't make a lost sender look alive.
struct MeshHeartbeat {
  Time sent_;  ///< On the sender's clock, to be echoed.
  /// `sent_` of a heartbeat that the sender had received from the receiver; the
  /// sender was alive after that. Invalid before the first one.
  Time echo_;
};

/// Jobs that have been open at a coordinator for long enough that their callers
/// may have lost it and submit them elsewhere. Replaces its list sent before.
struct OpenJobList {
  InstanceName coordinator_;
  std::vector<std::string> ids_;
};

/// From a coordinator to the owners that it is connected to: its own list. From
/// an owner to the instances of its data centre that are connected to it: the
/// lists that it has received since the last such frame, and its own.
struct MeshOpenJobs {
  std::vector<OpenJobList> lists_;
};

/// Asks a coordinator to end a job, which its caller has submitted to another
/// instance. An owner forwards it to that coordinator.
struct MeshRecallJob {
  InstanceName coordinator_;
  std::string id_;
};

/// Workers lost under tasks. An owner sends the losses of its own workers to
/// all instances that it is connected to. An owner that receives them as the
/// acceptor of a connection passes on what is new to the instances of its data
/// centre. Both ends of a new connection send what they know.
struct MeshTaskLosses {
  std::vector<TaskLosses> tasks_;
};

/// Splits losses into as many messages as they need.
std::vector<MeshTaskLosses> SplitTaskLosses(const std::vector<TaskLosses>& all);

using MeshFrame =
    std::variant<MeshHello, AssignTasks, CancelTasks, MeshTasksEnded, OwnerLoad,
                 MeshHeartbeat, MeshOpenJobs, MeshRecallJob, MeshTaskLosses,
                 BatchRefused>;

inline constexpr size_t kMeshFrameKinds = std::variant_size_v<MeshFrame>;

/// Stable names of the kinds of frames, in their order, for metrics.
inline constexpr std::array<std::string_view, kMeshFrameKinds> kMeshFrameNames =
    {"hello",     "assign",    "cancel", "ended",  "load",
     "heartbeat", "open-jobs", "recall", "losses", "refused"};

/// Frame as it is sent.
struct EncodedFrame {
  /// Prefixed with the length of the rest: 4 bytes in network byte order.
  std::string bytes_;
  size_t kind_ = 0;  ///< Index in `MeshFrame`.
};

EncodedFrame EncodeMesh(const MeshFrame& frame);

/// Decodes a frame without its length. @returns false if it is malformed.
bool DecodeMesh(std::string_view bytes, MeshFrame* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_MESH_WIRE_H_
