#ifndef GENTIANDEAL_SRC_WORKER_CLIENT_H_
#define GENTIANDEAL_SRC_WORKER_CLIENT_H_

#include "gentiandeal_p.h"

struct event_base;

namespace gentiandeal {

/// Limits of the connections to workers.
struct WorkerClientLimits {
  Duration connect_timeout_{250};
  uint16_t max_connections_ = 60;  ///< Per worker.
};

/// HTTP client for workers, with a pool of connections per worker. Sends the
/// request of each attempt at most once and reports how the attempt ended. A
/// connection is reused only after a complete response to its own request;
/// after any other end it is closed.
class WorkerClient {
 public:
  /// @param ended Called once for each attempt that is not cancelled, never
  /// from within `Start`.
  WorkerClient(event_base* base, std::function<void(AttemptEnded)> ended);
  ~WorkerClient();

  void SetLimits(const WorkerClientLimits& limits);

  /// Starts an attempt: sends one task to a worker. Its end is reported through
  /// `ended`, with `Errc::kQueueFull` when all connections to the worker are in
  /// use.
  void Start(const StartTask& start);

  /// Cancels an attempt by closing its connection. Its end is not reported.
  void Cancel(AttemptId attempt);

  /// Reports each attempt of which no byte has been sent as not sent, and
  /// closes its connection. Call after a pause of the process, before the event
  /// loop writes again.
  void FailUnsent();

  /// Number of open connections to all workers.
  uint32_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_CLIENT_H_
