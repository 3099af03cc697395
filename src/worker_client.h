#ifndef GENTIANDEAL_SRC_WORKER_CLIENT_H_
#define GENTIANDEAL_SRC_WORKER_CLIENT_H_

#include "gentiandeal_p.h"

struct event_base;

namespace gentiandeal {

/// Limits of the connections to workers.
struct WorkerClientLimits {
  Duration connect_timeout_{250};
  uint16_t max_connections_ = 60;  ///< To one worker.
};

/// HTTP client towards workers. Sends each task at most once and reports how
/// far it got: a connection whose exchange did not end cleanly is closed,
/// never used again.
class WorkerClient {
 public:
  /// @param ended Called once for each attempt, never from within `Start`.
  WorkerClient(event_base* base, std::function<void(AttemptEnded)> ended);
  ~WorkerClient();

  void SetLimits(const WorkerClientLimits& limits);

  /// Sends one task. Its end is reported through `ended`.
  void Start(const StartTask& start);

  /// Closes the connection of an attempt; its end is not reported.
  void Abandon(AttemptId attempt);

  /// Ends every attempt of which no byte has left as not sent. Call after a
  /// pause of the process, before the event loop writes again.
  void DropUnsent();

  /// Open connections to all workers.
  uint32_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_CLIENT_H_
