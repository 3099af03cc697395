#ifndef GENTIANDEAL_SRC_CHUNK_CHECK_H_
#define GENTIANDEAL_SRC_CHUNK_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gentiandeal {

/// Reads the framing of a chunked body while it arrives. The HTTP library isn't
/// used for that: it takes any byte for a digit where `char` has no sign, and
/// then waits for a chunk that never ends, and it keeps each chunk in a buffer
/// of at least 1 KiB.
class ChunkCheck {
 public:
  /// Takes the next bytes of the body; those behind its end are ignored.
  ///
  /// @param data Where the data of the chunks is appended; may be null.
  /// @returns false once the framing is invalid.
  bool On(std::string_view bytes, std::string* data = nullptr);

  /// Whether the last chunk and the trailer have arrived.
  bool done() const { return state_ == State::kDone; }

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
