#ifndef GENTIANDEAL_SRC_TRAFFIC_RUN_H_
#define GENTIANDEAL_SRC_TRAFFIC_RUN_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http_client.h"
#include "traffic_mix.h"

namespace gentiandeal {

/// How one job of the run ended, as its caller saw it.
struct JobResult {
  bool answered_ = false;  ///< False when every link was lost or timed out.
  Outcome outcome_ = Outcome::kMayHaveRun;
  std::string error_;  ///< Empty when complete; `link-lost` without an answer.
  double response_ms_ = 0;
  double ideal_ms_ = 0;
  double sent_late_ms_ = 0;  ///< Behind its planned time.
  uint32_t tasks_ = 0;
  uint32_t sends_ = 0;  ///< 1, or more after lost links.
};

/// Counters of all targets, by their name in the status document.
using Counters = std::map<std::string, uint64_t>;

struct TrafficTarget {
  std::vector<Address> addresses_;
  std::string team_;
  Duration deadline_;  ///< 0 takes the team's default.
  Duration timeout_{60000};
  uint32_t slots_ = 0;  ///< For the ideal; 0 takes the sum that targets list.
};

struct TrafficResult {
  std::vector<JobResult> jobs_;
  Counters counters_;  ///< Growth during the run, summed over the targets.
  uint32_t slots_ = 0;
  double round_trip_ms_ = 0;  ///< Median of empty requests before the run.
  double elapsed_ms_ = 0;
};

/// Sends planned jobs to entry instances and waits for every answer. A job
/// whose link is lost is sent once more, as the same submission, to the next
/// target.
class TrafficRun {
 public:
  explicit TrafficRun(const TrafficTarget& target);
  ~TrafficRun();
  TrafficRun(const TrafficRun&) = delete;
  TrafficRun& operator=(const TrafficRun&) = delete;

  /// Measures the round trip and fetches client ids.
  /// @returns false when a target does not answer.
  bool Prepare();

  /// @param jobs Ordered by time.
  TrafficResult Run(const std::vector<PlannedJob>& jobs);

  /// Slots for the ideal. Meaningful after `Prepare`.
  uint32_t slots() const { return slots_; }

 private:
  struct Client {
    std::string id_;
    size_t target_ = 0;
    uint64_t sequence_ = 0;
  };
  struct Open {
    size_t job_ = 0;
    size_t target_ = 0;
    Client* client_ = nullptr;  ///< Null when all ids were in use.
    std::string body_;
    double sent_ms_ = 0;
  };

  bool ReadCounters(Counters* out, uint32_t* slots) const;
  bool MeasureRoundTrip();
  bool FetchClients();
  double NowMs() const;
  void SendDue();
  void ScheduleNext();
  void Begin(size_t job);
  void Send(const std::shared_ptr<Open>& open);
  void End(const std::shared_ptr<Open>& open, const HttpResponse& response);

  TrafficTarget target_;
  event_base* base_;
  std::unique_ptr<HttpClient> client_;
  event* timer_ = nullptr;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::vector<Client*>> free_clients_;  ///< By target.
  uint32_t slots_ = 0;
  double round_trip_ms_ = 0;
  const std::vector<PlannedJob>* jobs_ = nullptr;
  std::vector<JobResult> results_;
  size_t next_ = 0;
  size_t ended_ = 0;
  double begin_ms_ = 0;
};

/// Ideal response time: the larger of the longest task and the whole work
/// over the slots, and one round trip.
double IdealMs(const PlannedJob& job, uint32_t slots, double round_trip_ms);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TRAFFIC_RUN_H_
