#include "room_wait.h"

#include <algorithm>

namespace gentiandeal {
namespace {

/// Without a running task whose end could be foreseen.
constexpr Duration kUnknownWait{60000};

uint32_t CopiesIn(const Room& room, const Room& need) {
  const auto copies = [](int32_t available, int32_t asked) {
    return asked <= 0 ? INT32_MAX : std::max(0, available) / asked;
  };
  const int32_t least = std::min({copies(room.cpu_milli_, need.cpu_milli_),
                                  copies(room.memory_mb_, need.memory_mb_),
                                  copies(room.gpu_, need.gpu_)});
  return static_cast<uint32_t>(least);
}

}  // namespace

uint32_t CountFitting(const std::vector<Room>& rooms, const Room& need,
                      uint32_t most) {
  uint32_t count = 0;
  for (const Room& room : rooms) {
    if (count >= most) return most;
    count += std::min(most - count, CopiesIn(room, need));
  }
  return count;
}

Room* TightestRoom(std::vector<Room>* rooms, const Room& need) {
  Room* best = nullptr;
  for (Room& room : *rooms) {
    if (!Fits(need, room)) continue;
    if (best == nullptr || room.cpu_milli_ < best->cpu_milli_) best = &room;
  }
  return best;
}

Duration ExpectedWait(const std::vector<const PoolLoad*>& loads,
                      const RoomRequest& request) {
  uint32_t fitting = 0;
  uint64_t ahead = 0;
  uint64_t release = 0;
  const size_t urgency = UrgencyClass(request.slack_);
  for (const PoolLoad* load : loads) {
    fitting +=
        CountFitting(load->free_, request.need_, request.count_ - fitting);
    release += load->release_milli_per_s_;
    for (size_t i = 0; i <= urgency; ++i) ahead += load->queued_milli_[i];
  }
  if (fitting >= request.count_) return {0};
  const uint64_t own = static_cast<uint64_t>(request.need_.cpu_milli_) *
                       (request.count_ - fitting);
  if (release == 0) return kUnknownWait;
  return {static_cast<int64_t>(static_cast<double>(ahead + own) * 1000 /
                               static_cast<double>(release) / kPackingShare)};
}

}  // namespace gentiandeal
