#ifndef GENTIANDEAL_SRC_HTTP_LIMITS_H_
#define GENTIANDEAL_SRC_HTTP_LIMITS_H_

#include "client_memory.h"
#include "head_check.h"

namespace gentiandeal {

/// Limits of the requests to one HTTP server.
struct HttpLimits {
  RequestSizes sizes_;
  /// From the first byte of a request to the end of its head.
  Duration head_timeout_{10000};
  /// From the first byte of a request to its last.
  Duration request_timeout_{10000};
  /// A connection without a request is closed after this time.
  Duration idle_timeout_{60000};
  /// A body and the reading of a reply have to be at least this fast after
  /// `head_timeout_`; 0 when not limited.
  int64_t min_bytes_per_s_ = 0;
  /// Bytes read behind a request before its reply has been sent.
  size_t read_ahead_bytes_ = 256 * 1024;
  /// Size of the kernel's receive and send buffers of each connection; 0 leaves
  /// them as they are.
  int socket_buffer_bytes_ = 0;
};

/// Options of one HTTP server.
struct HttpServerOptions {
  HttpLimits limits_;
  ClientMemoryLimits memory_;
  uint64_t memory_mb_ = 0;  ///< Memory of the machine; 0 when not limited.
  bool uses_bodies_ = true;
  std::string_view name_ = "callers";  ///< In logs.
};

/// Options of the server for callers.
///
/// @param memory_mb, max_fds See `LimitsForMemory`. With a memory of 0, the
///     limits of requests stay as they are.
HttpServerOptions CallerHttpOptions(uint64_t memory_mb, uint64_t max_fds,
                                    const HttpLimits& limits = {});

/// Options of the servers for readiness and for metrics. Each has its own share
/// of the memory, so that nothing keeps the probes of the platform out.
HttpServerOptions ReadinessHttpOptions(uint64_t memory_mb);
HttpServerOptions MetricsHttpOptions(uint64_t memory_mb);

/// Adds the limits that apply where memory is limited and leaves sizes and
/// timeouts as they are.
HttpLimits LimitForMemory(HttpLimits limits, uint64_t memory_mb);

/// Why requests are refused by an HTTP server itself.
enum class HttpRefusal : uint8_t {
  kMalformed,
  kHeadSize,
  kBodySize,
  kTime,      ///< It did not arrive in time.
  kMemory,    ///< Its bytes don't fit into the memory for clients.
  kStopping,  ///< The server ends.
};
inline constexpr std::array<std::string_view, 6> kHttpRefusalNames = {
    "malformed", "head-size", "body-size", "time", "memory", "stopping"};

/// Why connections are closed by an HTTP server itself.
enum class HttpClose : uint8_t {
  kCrowded,  ///< Not accepted: too many connections.
  kStalled,  ///< The longest stalled one, when others need its place.
  kIdle,
  kSlowBody,   ///< The rest of a body that isn't read took too long.
  kSlowReply,  ///< The reply wasn't read in time.
};
inline constexpr std::array<std::string_view, 5> kHttpCloseNames = {
    "crowded", "stalled", "idle", "slow-body", "slow-reply"};

/// What was left when an HTTP server itself ended a connection without an
/// answer.
enum class HttpUnanswered : uint8_t {
  kUnread,   ///< Bytes that had arrived and weren't read.
  kPartial,  ///< A request of which a part had been read.
  kPending,  ///< A request that was being processed.
  kUnsent,   ///< A part of a reply.
};
inline constexpr std::array<std::string_view, 4> kHttpUnansweredNames = {
    "unread", "partial", "pending", "unsent"};

/// What clients of an HTTP server hold and what has been shed.
struct HttpLoad {
  std::array<uint64_t, kHeldKinds> held_{};  ///< Bytes by `HeldKind`.
  uint64_t connections_ = 0;
  std::array<uint64_t, kHttpRefusalNames.size()> refused_{};
  std::array<uint64_t, kHttpCloseNames.size()> closed_{};
  std::array<uint64_t, kHttpUnansweredNames.size()> unanswered_{};
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_LIMITS_H_
