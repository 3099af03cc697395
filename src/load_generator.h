#ifndef GENTIANDEAL_SRC_LOAD_GENERATOR_H_
#define GENTIANDEAL_SRC_LOAD_GENERATOR_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http_client.h"
#include "traffic_mix.h"

namespace gentiandeal {

/// Result of one job of the run, as its caller saw it.
struct JobResult {
  /// False when every connection was lost or timed out.
  bool answered_ = false;
  Outcome outcome_ = Outcome::kMayHaveRun;
  std::string error_;  ///< Empty when complete; `link-lost` without an answer.
  double response_ms_ = 0;
  double ideal_ms_ = 0;
  double sent_late_ms_ = 0;  ///< Delay behind its planned arrival.
  uint32_t tasks_ = 0;
  uint32_t sends_ = 0;  ///< 1, or more after lost connections.
};

/// Counters summed over all targets, by name in the status document.
using Counters = std::map<std::string, uint64_t>;

struct TrafficTarget {
  std::vector<Address> addresses_;
  std::string team_;
  Duration deadline_;  ///< 0: the team's default.
  Duration timeout_{60000};
  uint32_t slots_ = 0;  ///< For `IdealResponseMs`; 0: as the targets list.
};

struct TrafficResult {
  std::vector<JobResult> jobs_;
  Counters counters_;  ///< Increase during the run, over all targets.
  uint32_t slots_ = 0;
  double round_trip_ms_ = 0;  ///< Median of empty requests before the run.
  double elapsed_ms_ = 0;
};

/// Sends planned jobs to entry instances and waits for every answer. When the
/// connection of a job is lost, the same submission is sent once more, to the
/// next target.
class LoadGenerator {
 public:
  explicit LoadGenerator(const TrafficTarget& target);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Measures the round trip and fetches client ids.
  /// @returns false when a target does not answer.
  bool Prepare();

  /// Sends the jobs at their arrival times. @param jobs Ordered by arrival.
  TrafficResult Run(const std::vector<PlannedJob>& jobs);

  /// Slots used for `IdealResponseMs`. Valid after `Prepare`.
  uint32_t slots() const { return slots_; }

 private:
  /// A client id issued by a target; used for one job at a time.
  struct Client {
    std::string id_;
    size_t target_ = 0;
    uint64_t sequence_ = 0;
  };
  /// A job that was sent and not yet answered.
  struct OpenJob {
    size_t job_ = 0;
    size_t target_ = 0;
    Client* client_ = nullptr;  ///< Null when all ids were in use.
    std::string body_;
    double sent_ms_ = 0;
  };

  bool ReadCounters(Counters* out, uint32_t* slots) const;
  bool MeasureRoundTrip();
  bool FetchClients();
  double ElapsedMs() const;
  void SendDueJobs();
  void ScheduleNextJob();
  void StartJob(size_t job);
  void SendJob(const std::shared_ptr<OpenJob>& open);
  void HandleResponse(const std::shared_ptr<OpenJob>& open,
                      const HttpResponse& response);

  TrafficTarget target_;
  event_base* base_;
  std::unique_ptr<HttpClient> http_client_;
  event* timer_ = nullptr;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::vector<Client*>> free_clients_;  ///< By target.
  uint32_t slots_ = 0;
  double round_trip_ms_ = 0;
  const std::vector<PlannedJob>* jobs_ = nullptr;
  std::vector<JobResult> results_;
  size_t next_job_ = 0;
  size_t finished_jobs_ = 0;
  double start_ms_ = 0;
};

/// Ideal response time in milliseconds: the larger of the longest task and the
/// total work divided by the slots, plus one round trip.
double IdealResponseMs(const PlannedJob& job, uint32_t slots,
                       double round_trip_ms);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LOAD_GENERATOR_H_
