#ifndef GENTIANDEAL_SRC_ROOM_WAIT_H_
#define GENTIANDEAL_SRC_ROOM_WAIT_H_

#include "room.h"

/// How long tasks wait for room, as far as reports of owners tell. Pure.
namespace gentiandeal {

/// Share of the cores given back that tasks fit into: two or three fit a
/// worker, and the rest is too small for another.
inline constexpr double kPackingShare = 0.85;

/// Tasks alike that are to be placed at once.
struct RoomRequest {
  uint32_t count_ = 1;
  Room need_;       ///< Of each.
  Duration slack_;  ///< Time until they should start.
};

/// Number of such tasks, up to `most`, that fit into the rooms side by side.
uint32_t CountFitting(const std::vector<Room>& rooms, const Room& need,
                      uint32_t most);

/// The tightest room that holds `need`, or null.
Room* TightestRoom(std::vector<Room>* rooms, const Room& need);

/// Time until the last of the tasks has room: what waits ahead of them and
/// they themselves, over the rate at which running tasks give cores back.
Duration ExpectedWait(const std::vector<const PoolLoad*>& loads,
                      const RoomRequest& request);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_ROOM_WAIT_H_
