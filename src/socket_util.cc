#include "socket_util.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace gentiandeal {

Address BoundAddress(int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(fd, generic, &length) != 0) return {};
  char text[INET6_ADDRSTRLEN] = "";
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
    return {text, ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
  inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
  return {text, ntohs(v6->sin6_port)};
}

void EventBaseDeleter::operator()(event_base* base) const {
  event_base_free(base);
}

}  // namespace gentiandeal
