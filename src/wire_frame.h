#ifndef GENTIANDEAL_SRC_WIRE_FRAME_H_
#define GENTIANDEAL_SRC_WIRE_FRAME_H_

#include <variant>

#include "wire_archive.h"

/// Encoding of messages held in a variant: a byte for the format, a byte for
/// the kind (the index in the variant), then the fields. Over TCP, the length
/// of all this goes before it.
namespace gentiandeal {

/// Bytes of the length before each frame; it is in network byte order.
inline constexpr size_t kFrameLengthBytes = 4;

/// Sets the first `kFrameLengthBytes` to the number of bytes after them.
void SetFrameLength(std::string* bytes);

/// Reads the length before a frame. @returns false if it is incomplete, zero or
/// above `max`.
bool DecodeFrameLength(std::string_view bytes, size_t* out,
                       size_t max = config::kMaxFrameBytes);

/// @returns the byte that stands for `T` on the wire: its index in the variant.
template <typename T, typename Variant>
uint8_t KindOnWire() {
  return static_cast<uint8_t>(Variant(std::in_place_type<T>).index());
}

/// Reads the fields of the alternative with index `kind`. @returns false if
/// there is none, if the fields are malformed, or if bytes remain after them.
template <typename Variant, size_t kIndex = 0>
bool ReadMessageOfKind(WireReader& reader, size_t kind, Variant* out) {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    return false;
  } else {
    if (kind != kIndex) {
      return ReadMessageOfKind<Variant, kIndex + 1>(reader, kind, out);
    }
    Serialize(reader, out->template emplace<kIndex>());
    return !reader.failed() && reader.bytes_left() == 0;
  }
}

/// @returns false if the bytes aren't exactly one message of this format.
template <typename Variant>
bool ReadMessage(std::string_view bytes, uint8_t expected_format,
                 Variant* out) {
  try {
    WireReader reader(bytes);
    uint8_t format = 0;
    uint8_t kind = 0;
    reader.Value(format);
    reader.Value(kind);
    if (reader.failed() || format != expected_format) return false;
    return ReadMessageOfKind(reader, kind, out);
  } catch (const cereal::Exception&) {
    return false;
  }
}

inline void WriteHeader(WireWriter& writer, uint8_t format, uint8_t kind) {
  writer.Value(format);
  writer.Value(kind);
}

/// Appends a message, without a length.
template <typename Variant>
void AppendMessage(uint8_t format, const Variant& message, std::string* bytes) {
  WireWriter writer(bytes);
  WriteHeader(writer, format, static_cast<uint8_t>(message.index()));
  // `Serialize` takes non-const fields as it also reads them; writing doesn't
  // change them.
  std::visit([&writer](auto& fields) { Serialize(writer, fields); },
             const_cast<Variant&>(message));
}

/// Encodes a message, prefixed with its length.
template <typename Variant>
std::string EncodeWithLength(uint8_t format, const Variant& message) {
  std::string bytes(kFrameLengthBytes, '\0');
  AppendMessage(format, message, &bytes);
  SetFrameLength(&bytes);
  return bytes;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WIRE_FRAME_H_
