#ifndef GENTIANDEAL_SRC_SOCKET_UTIL_H_
#define GENTIANDEAL_SRC_SOCKET_UTIL_H_

#include "gentiandeal_p.h"

struct event_base;

namespace gentiandeal {

/// Address a socket is bound to, with the port the kernel chose.
Address BoundAddress(int fd);

/// Owns an event loop.
struct EventBaseDeleter {
  void operator()(event_base* base) const;
};
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SOCKET_UTIL_H_
