#ifndef GENTIANDEAL_SRC_SOCKET_ADDRESS_H_
#define GENTIANDEAL_SRC_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "caller_silence.h"
#include "gentiandeal_p.h"

namespace gentiandeal {

/// An `Address` in the form that the socket API takes.
struct SocketAddress {
  sockaddr_storage storage_{};
  socklen_t size_ = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage_); }
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage_);
  }
};

/// Converts an address. @returns `Errc::kBadAddress` if the host isn't a
/// numeric IP address.
std::error_code ToSocketAddress(const Address& address, SocketAddress* out);

/// Converts an address back. @returns `Errc::kBadAddress` for a family other
/// than IPv4 and IPv6.
std::error_code FromSocketAddress(const SocketAddress& socket_address,
                                  Address* out);

/// Gets the address that a socket is bound to.
std::error_code LocalAddress(int fd, Address* out);

/// Sets TCP_NODELAY, so that small frames are sent at once, and SO_KEEPALIVE,
/// so that dead peers are noticed.
void SetTcpOptions(int fd);

/// Time without a segment after which the kernel probes a caller, and from one
/// probe to the next. The shortest that Linux takes.
inline constexpr Duration kKeepAliveInterval{1000};

/// Has the kernel probe the other side each `kKeepAliveInterval`, so that a
/// host that has forgotten the connection resets it. Set on a listening socket,
/// it holds for the connections that are accepted from then on.
void SetCallerKeepAlive(int fd);

/// Gets what the kernel knows of the other side. @returns an error when it
/// can't tell.
std::error_code GetPeerActivity(int fd, PeerActivity* out);

/// Whether the other side has closed, half-closed or reset the connection, even
/// if bytes sent before that are unread.
bool HasPeerClosed(int fd);

/// Whether the kernel takes more bytes to send.
bool IsWritable(int fd);

/// Whether bytes that have arrived are unread.
bool HasUnreadBytes(int fd);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SOCKET_ADDRESS_H_
