#include "process_memory.h"

#include <malloc.h>

#include <algorithm>

namespace gentiandeal {
namespace {

/// Blocks of at least this size are mapped on their own and unmapped when they
/// are freed. Bodies of the usual few kilobytes stay below it.
constexpr int kMappedBlockBytes = 64 * 1024;
constexpr int kTrimBytes = 1024 * 1024;
/// Below this a return isn't worth its time, which grows with the heap.
constexpr uint64_t kMinReturnBytes = 1024 * 1024;

}  // namespace

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  mallopt(M_ARENA_MAX, 1);
}

void FreeMemoryReturn::Note(uint64_t highest, uint64_t held) {
  highest_ = std::max(highest_, highest);
  if (!IsDue(highest_, held)) return;
  malloc_trim(0);
  highest_ = held;
}

bool FreeMemoryReturn::IsDue(uint64_t highest, uint64_t held) {
  return highest - held >= std::max(kMinReturnBytes, highest / 2);
}

}  // namespace gentiandeal
