#ifndef GENTIANDEAL_SRC_CHUNK_CHECK_H_
#define GENTIANDEAL_SRC_CHUNK_CHECK_H_

#include <cstdint>
#include <string_view>

namespace gentiandeal {

/// Validates the framing of a chunked body while it arrives. The HTTP library
/// takes any byte for a digit where `char` has no sign, and then waits for a
/// chunk that never ends.
class ChunkCheck {
 public:
  /// Takes the next bytes of the body; those behind its end are ignored.
  /// @returns false once the framing is invalid.
  bool On(std::string_view bytes);

 private:
  enum class State : uint8_t {
    kSize,
    kExtension,  ///< Between the size and the end of its line.
    kSizeEnd,    ///< Between CR and LF.
    kData,
    kDataEnd,  ///< CR and LF behind the data.
    kTrailer,
    kDone,
    kInvalid
  };
  static constexpr uint64_t kMaxSize = uint64_t{1} << 32;

  State Next(char c);
  State AfterSizeDigit(char c);

  State state_ = State::kSize;
  uint64_t size_ = 0;
  bool any_digit_ = false;
  uint32_t line_bytes_ = 0;  ///< Of the trailer line, or of CR and LF.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CHUNK_CHECK_H_
