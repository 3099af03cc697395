#ifndef GENTIANDEAL_SRC_MESH_WIRE_H_
#define GENTIANDEAL_SRC_MESH_WIRE_H_

#include "room.h"

/// Frames between the instance that took a job and the owners of workers.
namespace gentiandeal {

/// First frame of whoever connects, and the answer to it.
struct MeshHello {
  InstanceName name_;
  std::string data_centre_;
  Incarnation incarnation_;
};

/// Ends of tasks assigned over this connection.
struct MeshEnded {
  std::vector<TaskEnded> ended_;
};

/// Shows that the sender lives while it has nothing else to say.
struct MeshPing {};

using MeshFrame = std::variant<MeshHello, AssignTasks, WithdrawTasks, MeshEnded,
                               OwnerLoad, MeshPing>;

/// Writes a frame with its length, 4 bytes in network order, before it.
std::string EncodeMesh(const MeshFrame& frame);

/// Reads one frame without its length. @returns false when malformed.
bool DecodeMesh(std::string_view bytes, MeshFrame* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_MESH_WIRE_H_
