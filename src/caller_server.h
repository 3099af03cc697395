#ifndef GENTIANDEAL_SRC_CALLER_SERVER_H_
#define GENTIANDEAL_SRC_CALLER_SERVER_H_

#include "gentiandeal_p.h"

struct event_base;

namespace gentiandeal {

/// Where the caller server sends its messages and asks for texts. All are
/// called on the event loop's thread.
struct CallerEvents {
  std::function<void(Submit)> submit_;
  std::function<void(CancelSubmission)> cancel_;
  std::function<void(CallerGone)> caller_gone_;
  std::function<ClientId()> issue_client_;
  std::function<std::string()> status_json_;
  std::function<std::string()> settings_json_;
  std::function<std::string()> metrics_text_;
  std::function<bool()> ready_;
  std::function<bool()> draining_;
};

/// Counters of the HTTP side towards callers.
struct CallerServerStats {
  uint64_t requests_ = 0;
  uint64_t refused_malformed_ = 0;  ///< HTTP or JSON faults.
  uint64_t timed_out_slow_ = 0;     ///< Senders too slow with a request.
  uint64_t connections_now_ = 0;
  uint64_t waiting_now_ = 0;
};

/// HTTP server towards callers: reads requests, refuses malformed ones with a
/// remedy, and writes each answer to the connection that asked for it.
class CallerServer {
 public:
  CallerServer(event_base* base, CallerEvents events);
  ~CallerServer();

  /// Binds and listens. @returns the system's error when it can't.
  std::error_code Listen(const Address& address);

  /// Stops accepting connections; open ones go on.
  void StopListening();

  /// Sends the final answer to one request. Ignored when its caller is gone.
  void Answer(RequestId request, const JobAnswer& answer);

  /// Address with the port the kernel chose.
  Address address() const;
  const CallerServerStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CALLER_SERVER_H_
