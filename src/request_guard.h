#ifndef GENTIANDEAL_SRC_REQUEST_GUARD_H_
#define GENTIANDEAL_SRC_REQUEST_GUARD_H_

#include "gentiandeal_p.h"

/// Checks of a request head before the HTTP library sees it. The library
/// accepts ambiguous framing, closes without an answer on some faults and
/// loses pipelined requests, so only whole, unambiguous heads reach it.
namespace gentiandeal {

/// Result of looking at the first bytes of a request.
struct HeadCheck {
  enum class State : uint8_t { kIncomplete, kGood, kBad };
  State state_ = State::kIncomplete;
  std::string target_;       ///< Path and query, as sent.
  size_t head_bytes_ = 0;    ///< Up to and including the empty line.
  uint64_t body_bytes_ = 0;  ///< From Content-Length.
  bool chunked_ = false;
  int status_ = 0;  ///< HTTP status of the refusal.
  Errc error_ = Errc::kBadRequest;
  std::string detail_;  ///< What is wrong and how to mend it.
};

/// Checks the head at the start of `bytes`. Pure.
///
/// @param bytes What has arrived of the request so far, from its first byte.
HeadCheck CheckHead(std::string_view bytes);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_REQUEST_GUARD_H_
