#ifndef GENTIANDEAL_SRC_EVENT_BASE_H_
#define GENTIANDEAL_SRC_EVENT_BASE_H_

#include <event2/event.h>

#include <memory>

namespace gentiandeal {

/// Deleter for libevent's event loop.
struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

/// Owning pointer to libevent's event loop.
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_EVENT_BASE_H_
