#ifndef GENTIANDEAL_SRC_SOCKET_ADDRESS_H_
#define GENTIANDEAL_SRC_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// An `Address` in the form that the socket calls take.
struct SocketAddress {
  sockaddr_storage storage_{};
  socklen_t size_ = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage_); }
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage_);
  }
};

/// @returns `Errc::kBadAddress` when the host is not a numeric IP.
std::error_code ToSocketAddress(const Address& address, SocketAddress* out);

/// @returns `Errc::kBadAddress` for a family other than IPv4 and IPv6.
std::error_code FromSocketAddress(const SocketAddress& socket_address,
                                  Address* out);

/// Address that a socket is bound to.
std::error_code LocalAddress(int fd, Address* out);

/// Sends small frames at once and notices dead peers.
void SetLinkOptions(int fd);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SOCKET_ADDRESS_H_
