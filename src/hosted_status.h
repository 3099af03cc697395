#ifndef GENTIANDEAL_SRC_HOSTED_STATUS_H_
#define GENTIANDEAL_SRC_HOSTED_STATUS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "job_desk.h"
#include "mesh_link.h"
#include "run_owner.h"

namespace gentiandeal {

/// Present state of a hosted instance, for its gauges.
struct HostedGauges {
  size_t open_jobs_ = 0;
  size_t owned_workers_ = 0;
  size_t reachable_owners_ = 0;
  bool draining_ = false;
};

/// Counters and latency histograms of a hosted instance.
class HostedStatus {
 public:
  HostedStatus();

  void JobEnded(std::string_view outcome, Duration age);
  void Paused() { pauses_.Increment(); }

  /// All of it in the text form of Prometheus.
  std::string Text(const JobDeskStats& desk, const RunOwnerStats& owner,
                   const MeshStats& mesh, const HostedGauges& gauges) const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& job_seconds_;
  prometheus::Counter& pauses_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_STATUS_H_
