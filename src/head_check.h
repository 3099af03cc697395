#ifndef GENTIANDEAL_SRC_HEAD_CHECK_H_
#define GENTIANDEAL_SRC_HEAD_CHECK_H_

#include "gentiandeal_p.h"

/// Validation of a request head before the HTTP library parses it. The library
/// accepts ambiguous framing, closes without a reply on some errors and loses
/// pipelined requests, so it gets only complete, unambiguous heads.
namespace gentiandeal {

/// Limits of a request.
struct RequestSizes {
  size_t max_head_bytes_ = config::kMaxHeadBytes;
  size_t max_head_fields_ = SIZE_MAX;
  uint64_t max_body_bytes_ = config::kMaxBodyBytes;
};

/// Result of validating a request head.
struct HeadCheck {
  enum class State : uint8_t { kIncomplete, kValid, kInvalid };
  State state_ = State::kIncomplete;
  std::string method_;
  std::string target_;  ///< Path and query, as sent.
  bool http11_ = false;
  std::vector<HttpField> fields_;
  size_t head_bytes_ = 0;    ///< Up to and including the empty line.
  uint64_t body_bytes_ = 0;  ///< Content-Length, 0 without one.
  bool chunked_ = false;
  int status_ = 0;  ///< HTTP status of the error reply.
  Errc error_ = Errc::kBadRequest;
  std::string detail_;  ///< What is wrong and how to fix it.
};

/// Validates the head at the start of `bytes`. Has no side effects.
///
/// @param bytes The part of the request that has arrived, from its first byte.
HeadCheck CheckHead(std::string_view bytes, const RequestSizes& sizes = {});

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HEAD_CHECK_H_
