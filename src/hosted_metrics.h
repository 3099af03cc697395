#ifndef GENTIANDEAL_SRC_HOSTED_METRICS_H_
#define GENTIANDEAL_SRC_HOSTED_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "http_client.h"
#include "http_limits.h"
#include "job_coordinator.h"
#include "mesh_link.h"
#include "worker_scheduler.h"

namespace gentiandeal {

/// Current values of the gauges of a hosted instance.
struct HostedGauges {
  size_t open_jobs_ = 0;
  size_t owned_workers_ = 0;
  size_t undescribed_workers_ = 0;
  size_t reachable_owners_ = 0;
  size_t evacuated_data_centres_ = 0;
  bool draining_ = false;
};

/// Entries of workers that were read, since the start of the process.
struct WorkerEntryStats {
  uint64_t changed_ = 0;
  uint64_t unchanged_ = 0;  ///< But for their sequence number.
  uint64_t unusable_ = 0;
};

/// Traffic with the hosting platform.
struct BackendTraffic {
  HttpTraffic workers_;
  HttpTraffic store_;
  WorkerEntryStats entries_;
  /// Of the servers for callers, readiness and metrics.
  std::array<HttpLoad, 3> clients_{};
};

/// Counters and latency histograms of a hosted instance.
class HostedMetrics {
 public:
  HostedMetrics();

  /// Records the outcome and the latency of a job.
  void RecordJob(std::string_view outcome, Duration age);
  /// Records the time between two ticks of the event loop.
  void RecordTickGap(Duration gap);
  /// Counts a suspension of the process.
  void RecordPause() { pauses_.Increment(); }

  /// All metrics in the Prometheus text format.
  std::string ToText(const JobCoordinatorStats& coordinator,
                     const WorkerSchedulerStats& owner, const MeshStats& mesh,
                     const BackendTraffic& backend,
                     const HostedGauges& gauges) const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& job_seconds_;
  prometheus::Counter& pauses_;
  prometheus::Histogram& tick_gap_seconds_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_METRICS_H_
