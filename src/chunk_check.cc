#include "chunk_check.h"

#include <algorithm>

namespace gentiandeal {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

bool ChunkCheck::On(std::string_view bytes, std::string* data) {
  while (!bytes.empty() && state_ != State::kDone &&
         state_ != State::kInvalid) {
    if (state_ == State::kData) {
      const size_t skipped =
          static_cast<size_t>(std::min<uint64_t>(size_, bytes.size()));
      if (data != nullptr) data->append(bytes.substr(0, skipped));
      size_ -= skipped;
      bytes.remove_prefix(skipped);
      if (size_ == 0) {
        state_ = State::kDataEnd;
        line_bytes_ = 0;
      }
      continue;
    }
    state_ = Next(bytes.front());
    bytes.remove_prefix(1);
  }
  return state_ != State::kInvalid;
}

ChunkCheck::State ChunkCheck::Next(char c) {
  switch (state_) {
    case State::kSize:
      return AfterSizeDigit(c);
    case State::kExtension:
      if (c == '\n') return State::kInvalid;
      return c == '\r' ? State::kSizeEnd : State::kExtension;
    case State::kSizeEnd:
      if (c != '\n') return State::kInvalid;
      any_digit_ = false;
      line_bytes_ = 0;
      return size_ == 0 ? State::kTrailer : State::kData;
    case State::kDataEnd:
      if (c != "\r\n"[line_bytes_]) return State::kInvalid;
      return ++line_bytes_ == 2 ? State::kSize : State::kDataEnd;
    case State::kTrailer:
      if (c == '\r') return State::kTrailer;
      if (c != '\n') {
        ++line_bytes_;
        return State::kTrailer;
      }
      if (line_bytes_ == 0) return State::kDone;
      line_bytes_ = 0;
      return State::kTrailer;
    case State::kData:
    case State::kDone:
    case State::kInvalid:
      break;
  }
  return state_;
}

ChunkCheck::State ChunkCheck::AfterSizeDigit(char c) {
  const int digit = HexDigit(c);
  if (digit >= 0) {
    size_ = size_ * 16 + static_cast<uint64_t>(digit);
    any_digit_ = true;
    return size_ > kMaxSize ? State::kInvalid : State::kSize;
  }
  if (!any_digit_) return State::kInvalid;
  if (c == '\r') return State::kSizeEnd;
  return c == ';' || c == ' ' ? State::kExtension : State::kInvalid;
}

}  // namespace gentiandeal
