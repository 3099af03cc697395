#ifndef GENTIANDEAL_SRC_CONNECTION_TIMEOUT_H_
#define GENTIANDEAL_SRC_CONNECTION_TIMEOUT_H_

#include <concepts>
#include <optional>

#include "http_limits.h"

/// Decides when a server gives up waiting for the other side of a connection.
/// Performs no I/O of its own and reads no clock.
namespace gentiandeal {

/// What a server waits for on a connection.
enum class ConnectionWait : uint8_t {
  kNone,     ///< Its own reply.
  kRequest,  ///< The first byte of a request.
  kHead,
  kBody,
  kReplySent,
  kSkippedBody,  ///< The rest of a body that isn't used, after the reply.
  kPeerEnd,      ///< The other side's end, after the last reply.
};

/// State of a socket at the time of the call.
template <typename T>
concept SocketState = requires(const T& socket) {
  /// Whether bytes that have arrived haven't been handled.
  { socket.HasUnread() } -> std::same_as<bool>;
  /// Whether the kernel takes more bytes.
  { socket.IsWritable() } -> std::same_as<bool>;
};

/// Timeout of one wait. It keeps the limits that were in force when the wait
/// began: they are what the other side was told or could know. A process that
/// is late may see a limit exceeded although the other side has done its part,
/// so the socket decides, not the clock alone.
class ConnectionTimeout {
 public:
  /// Time beyond the idle timeout that the other side was told, so that its
  /// last request within the timeout doesn't cross the close.
  static constexpr Duration kIdleGrace{1000};
  /// Longest time between the last reply and the close. What the sender still
  /// sends in this time is discarded.
  static constexpr Duration kLingerTimeout{2000};
  /// Time that this server has to catch up.
  static constexpr Duration kExtension{1000};

  void Begin(const HttpLimits& limits, Time now) {
    limits_ = limits;
    Restart(now);
  }
  /// Begins another wait under the same limits.
  void Restart(Time now) {
    start_ = now;
    extended_at_.reset();
  }

  /// @param bytes Received of a body, or of the reply that is being sent.
  Duration Limit(ConnectionWait wait, uint64_t bytes) const;

  /// Checks whether the wait is over. A wait for a request isn't while bytes
  /// are unread: they are one. Others are extended once if the server itself
  /// has yet to read or write.
  template <SocketState Socket>
  bool CheckOver(ConnectionWait wait, uint64_t bytes, Time now,
                 const Socket& socket) {
    if (wait == ConnectionWait::kNone || now - start_ <= Limit(wait, bytes)) {
      return false;
    }
    if (wait == ConnectionWait::kPeerEnd) return true;
    const bool server_is_behind = wait == ConnectionWait::kReplySent
                                      ? socket.IsWritable()
                                      : socket.HasUnread();
    if (!server_is_behind) return true;
    if (wait == ConnectionWait::kRequest) return false;
    if (!extended_at_) extended_at_ = now;
    return now - *extended_at_ >= kExtension;
  }

 private:
  /// Time that `bytes` may take beyond the timeout of the head.
  Duration TransferTime(uint64_t bytes) const;

  HttpLimits limits_;
  Time start_;
  std::optional<Time> extended_at_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CONNECTION_TIMEOUT_H_
