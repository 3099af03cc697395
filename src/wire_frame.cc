#include "wire_frame.h"

namespace gentiandeal {

void SetFrameLength(std::string* bytes) {
  const size_t size = bytes->size() - kFrameLengthBytes;
  for (size_t i = 0; i < kFrameLengthBytes; ++i) {
    (*bytes)[i] = static_cast<char>(size >> (8 * (kFrameLengthBytes - 1 - i)));
  }
}

bool DecodeFrameLength(std::string_view bytes, size_t* out, size_t max) {
  if (bytes.size() < kFrameLengthBytes) return false;
  size_t size = 0;
  for (size_t i = 0; i < kFrameLengthBytes; ++i) {
    size = (size << 8) | static_cast<uint8_t>(bytes[i]);
  }
  if (size == 0 || size > max) return false;
  *out = size;
  return true;
}

}  // namespace gentiandeal
