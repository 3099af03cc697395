#ifndef GENTIANDEAL_SRC_CALLER_SERVER_H_
#define GENTIANDEAL_SRC_CALLER_SERVER_H_

#include "http_limits.h"

struct event_base;

namespace gentiandeal {

/// Callbacks of `CallerServer`: they receive callers' messages and provide the
/// content of some replies. All are called on the event loop's thread.
struct CallerEvents {
  std::function<void(Submit)> submit_;
  std::function<void(CancelSubmission)> cancel_;
  std::function<void(CallerDisconnected)> caller_disconnected_;
  std::function<ClientId()> issue_client_;
  std::function<std::string()> status_json_;
  std::function<std::string()> settings_json_;
  std::function<std::string()> metrics_text_;
  std::function<bool()> ready_;
  std::function<bool()> draining_;
};

/// Counters and gauges of `CallerServer`.
struct CallerServerStats {
  uint64_t requests_ = 0;
  uint64_t refused_malformed_ = 0;  ///< Malformed HTTP, headers or JSON.
  uint64_t request_timeouts_ = 0;   ///< Requests that did not arrive in time.
  uint64_t open_connections_ = 0;
  uint64_t waiting_requests_ = 0;  ///< Requests without an answer yet.
};

/// HTTP server for callers. Refuses malformed requests with a message that says
/// how to fix them, and writes each answer to the connection of its request.
class CallerServer {
 public:
  CallerServer(event_base* base, CallerEvents events,
               const HttpServerOptions& options = {});
  ~CallerServer();

  /// Binds and listens. @returns the system's error on failure.
  std::error_code Listen(const Address& address);

  /// Stops accepting connections; open ones stay open.
  void StopListening();

  /// Sends the answer to a request. Ignored when its caller has disconnected.
  void Answer(RequestId request, const JobAnswer& answer);

  /// Bound address, with the port that the kernel chose.
  Address address() const;
  const CallerServerStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CALLER_SERVER_H_
