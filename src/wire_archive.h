#ifndef GENTIANDEAL_SRC_WIRE_ARCHIVE_H_
#define GENTIANDEAL_SRC_WIRE_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

#include "gentiandeal_p.h"

/// Bounded reading and writing of records through cereal. Sizes are checked
/// against the bytes that are left before anything is allocated.
namespace gentiandeal {

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

class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
  size_t left() const { return static_cast<size_t>(egptr() - gptr()); }
};

/// Writes fields through cereal; sizes are 32 bits wide.
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

/// Reads fields through cereal. Once it failed it stays failed.
class WireReader {
 public:
  static constexpr bool kReads = true;
  explicit WireReader(std::string_view bytes)
      : buffer_(bytes), stream_(&buffer_), archive_(stream_) {}

  template <typename T>
  requires std::is_arithmetic_v<T>
  void Value(T& value) {
    if (left() < sizeof(T)) failed_ = true;
    if (!failed_) archive_(value);
  }
  void Text(std::string& text) {
    uint32_t size = 0;
    Value(size);
    if (size > left()) failed_ = true;
    if (failed_) return;
    text.resize(size);
    archive_(cereal::binary_data(text.data(), text.size()));
  }
  /// Reads the number of elements; each takes at least one byte.
  template <typename T, typename Count>
  void Size(std::vector<T>& elements, size_t max, Count /*type*/) {
    Count size = 0;
    Value(size);
    if (size > max || size > left()) failed_ = true;
    if (!failed_) elements.resize(size);
  }
  size_t left() const { return buffer_.left(); }
  bool failed() const { return failed_; }
  void Fail() { failed_ = true; }

 private:
  ViewBuffer buffer_;
  std::istream stream_;
  cereal::PortableBinaryInputArchive archive_;
  bool failed_ = false;
};

// One function for each type serves both directions.

template <typename A, typename Tag, typename Rep, Rep kInvalidValue>
void Fields(A& archive, Id<Tag, Rep, kInvalidValue>& id) {
  archive.Value(id.value_);
}

template <typename A>
void Fields(A& archive, bool& flag) {
  uint8_t byte = flag ? 1 : 0;
  archive.Value(byte);
  if constexpr (A::kReads) flag = byte != 0;
}

template <typename A>
void Fields(A& archive, Duration& duration) {
  archive.Value(duration.ms_);
}

template <typename A>
void Fields(A& archive, uint16_t& value) {
  archive.Value(value);
}

template <typename A, typename T, typename Count>
void List(A& archive, std::vector<T>& elements, size_t max, Count count) {
  archive.Size(elements, max, count);
  for (T& element : elements) {
    if (archive.failed()) return;
    Fields(archive, element);
  }
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WIRE_ARCHIVE_H_
