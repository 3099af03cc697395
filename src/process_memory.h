#ifndef GENTIANDEAL_SRC_PROCESS_MEMORY_H_
#define GENTIANDEAL_SRC_PROCESS_MEMORY_H_

#include <cstdint>

namespace gentiandeal {

/// Has the allocator return large blocks to the system as soon as they are
/// freed. To be called at the start of a process whose memory is limited.
void ReturnLargeBlocks();

/// Decides when the memory that clients have freed goes back to the system.
/// Without it the allocator keeps what was freed below a block in use.
class FreeMemoryReturn {
 public:
  /// Returns free memory to the system if much less is held than at the highest
  /// point since the last return.
  ///
  /// @param highest Most bytes that clients held since the last call.
  /// @param held Bytes that they hold now. To be called about once a second.
  void Note(uint64_t highest, uint64_t held);

  /// Whether `Note` would return memory, given the highest value since the last
  /// return.
  static bool IsDue(uint64_t highest, uint64_t held);

 private:
  uint64_t highest_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PROCESS_MEMORY_H_
