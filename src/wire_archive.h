#ifndef GENTIANDEAL_SRC_WIRE_ARCHIVE_H_
#define GENTIANDEAL_SRC_WIRE_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

#include "gentiandeal_p.h"

/// Bounds-checked serialization of messages through cereal. Sizes are checked
/// against the remaining bytes before memory is allocated for them.
namespace gentiandeal {

/// Stream buffer that appends to a string.
class AppendBuffer : public std::streambuf {
 public:
  explicit AppendBuffer(std::string* out) : out_(out) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    out_->append(data, static_cast<size_t>(size));
    return size;
  }
  int_type overflow(int_type c) override {
    out_->push_back(static_cast<char>(c));
    return c;
  }

 private:
  std::string* out_;
};

/// Stream buffer that reads from memory it doesn't own.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
  size_t bytes_left() const { return static_cast<size_t>(egptr() - gptr()); }
};

/// Output archive. Sizes of texts are 32 bits wide.
class WireWriter {
 public:
  static constexpr bool kReads = false;
  explicit WireWriter(std::string* out)
      : buffer_(out), stream_(&buffer_), archive_(stream_) {}

  template <typename T>
  requires std::is_arithmetic_v<T>
  void Value(const T& value) { archive_(value); }
  void Text(const std::string& text) {
    archive_(static_cast<uint32_t>(text.size()));
    archive_(cereal::binary_data(text.data(), text.size()));
  }
  /// Writes the number of elements.
  template <typename T, typename Count>
  void Size(const std::vector<T>& elements, size_t /*max*/, Count /*type*/) {
    archive_(static_cast<Count>(elements.size()));
  }
  bool failed() const { return false; }

 private:
  AppendBuffer buffer_;
  std::ostream stream_;
  cereal::PortableBinaryOutputArchive archive_;
};

/// Input archive. After an error, `failed()` stays true and no further field is
/// read.
class WireReader {
 public:
  static constexpr bool kReads = true;
  explicit WireReader(std::string_view bytes)
      : buffer_(bytes), stream_(&buffer_), archive_(stream_) {}

  template <typename T>
  requires std::is_arithmetic_v<T>
  void Value(T& value) {
    if (bytes_left() < sizeof(T)) failed_ = true;
    if (!failed_) archive_(value);
  }
  void Text(std::string& text) {
    uint32_t size = 0;
    Value(size);
    if (size > bytes_left()) failed_ = true;
    if (failed_) return;
    text.resize(size);
    archive_(cereal::binary_data(text.data(), text.size()));
  }
  /// Reads the number of elements and resizes the list to it. Fails above
  /// `max`, and above the remaining bytes, as each element takes at least one.
  template <typename T, typename Count>
  void Size(std::vector<T>& elements, size_t max, Count /*type*/) {
    Count size = 0;
    Value(size);
    if (size > max || size > bytes_left()) failed_ = true;
    if (!failed_) elements.resize(size);
  }
  size_t bytes_left() const { return buffer_.bytes_left(); }
  bool failed() const { return failed_; }
  void Fail() { failed_ = true; }

 private:
  ViewBuffer buffer_;
  std::istream stream_;
  cereal::PortableBinaryInputArchive archive_;
  bool failed_ = false;
};

// One `Serialize` overload per type both writes and reads it.

template <typename Archive, typename Tag, typename Rep, Rep kInvalidValue>
void Serialize(Archive& archive, Id<Tag, Rep, kInvalidValue>& id) {
  archive.Value(id.value_);
}

template <typename Archive>
void Serialize(Archive& archive, bool& flag) {
  uint8_t byte = flag ? 1 : 0;
  archive.Value(byte);
  if constexpr (Archive::kReads) flag = byte != 0;
}

template <typename Archive>
void Serialize(Archive& archive, Duration& duration) {
  archive.Value(duration.ms_);
}

template <typename Archive>
void Serialize(Archive& archive, uint16_t& value) {
  archive.Value(value);
}

template <typename Archive, typename T, typename Count>
void SerializeList(Archive& archive, std::vector<T>& elements, size_t max,
                   Count count) {
  archive.Size(elements, max, count);
  for (T& element : elements) {
    if (archive.failed()) return;
    Serialize(archive, element);
  }
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WIRE_ARCHIVE_H_
