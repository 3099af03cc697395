#include "socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>

namespace gentiandeal {
namespace {

/// Unanswered probes after which the kernel itself ends a connection.
constexpr int kKeepAliveProbes = 3;

}  // namespace

std::error_code ToSocketAddress(const Address& address, SocketAddress* out) {
  *out = {};
  auto* v4 = reinterpret_cast<sockaddr_in*>(&out->storage_);
  if (inet_pton(AF_INET, address.host_.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port_);
    out->size_ = sizeof(sockaddr_in);
    return {};
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&out->storage_);
  if (inet_pton(AF_INET6, address.host_.c_str(), &v6->sin6_addr) != 1) {
    return Errc::kBadAddress;
  }
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(address.port_);
  out->size_ = sizeof(sockaddr_in6);
  return {};
}

std::error_code FromSocketAddress(const SocketAddress& socket_address,
                                  Address* out) {
  char text[INET6_ADDRSTRLEN];
  const sockaddr* any = socket_address.get();
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(any);
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(any);
  switch (any->sa_family) {
    case AF_INET:
      inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
      *out = {text, ntohs(v4->sin_port)};
      return {};
    case AF_INET6:
      inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
      *out = {text, ntohs(v6->sin6_port)};
      return {};
    default:
      return Errc::kBadAddress;
  }
}

std::error_code LocalAddress(int fd, Address* out) {
  SocketAddress local;
  local.size_ = sizeof(local.storage_);
  if (getsockname(fd, local.get(), &local.size_) != 0) {
    return {errno, std::system_category()};
  }
  return FromSocketAddress(local, out);
}

void SetTcpOptions(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
}

void SetCallerKeepAlive(int fd) {
  const int on = 1;
  const int seconds = static_cast<int>(kKeepAliveInterval.ms_ / 1000);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

std::error_code GetPeerActivity(int fd, PeerActivity* out) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {errno, std::system_category()};
  }
  constexpr size_t kNeeded =
      offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
  if (size < kNeeded || info.tcpi_state == 0 || info.tcpi_state == TCP_LISTEN) {
    return std::make_error_code(std::errc::not_supported);
  }
  out->data_age_ = {info.tcpi_last_data_recv};
  out->segment_age_ = {
      std::min(info.tcpi_last_data_recv, info.tcpi_last_ack_recv)};
  out->unanswered_ = info.tcpi_probes > 0 || info.tcpi_retransmits > 0;
  return {};
}

bool HasPeerClosed(int fd) {
  pollfd wanted{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&wanted, 1, 0) <= 0) return false;
  if ((wanted.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool IsWritable(int fd) {
  pollfd wanted{fd, POLLOUT, 0};
  return poll(&wanted, 1, 0) > 0 && (wanted.revents & POLLOUT) != 0;
}

bool HasUnreadBytes(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace gentiandeal
