#ifndef GENTIANDEAL_SRC_TRAFFIC_MIX_H_
#define GENTIANDEAL_SRC_TRAFFIC_MIX_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentiandeal_p.h"

/// Made-up traffic in the manner of a deployment, for `gentiandeal load`.
namespace gentiandeal {

/// One kind of task of a mix. Run times are spread evenly on a logarithmic
/// scale between the two bounds.
struct TrafficKind {
  std::string_view name_;
  std::string_view method_;
  std::string_view path_;
  double share_ = 0;  ///< Of the mix's tasks; shares add up to 1.
  Duration min_run_;
  Duration max_run_;
  uint32_t answer_bytes_ = 0;
};

/// Jobs of one size class.
struct TrafficSize {
  double share_ = 0;  ///< Of the mix's jobs; shares add up to 1.
  uint32_t min_tasks_ = 1;
  uint32_t max_tasks_ = 1;
};

struct TrafficMix {
  std::string_view name_;
  std::span<const TrafficKind> kinds_;
  std::span<const TrafficSize> sizes_;
};

/// Finds `armor`, `salvavidas`, `single`, `job-20` or `job-260`. @returns null
/// for any other name.
const TrafficMix* FindMix(std::string_view name);

struct PlannedTask {
  const TrafficKind* kind_ = nullptr;
  Duration run_;
  Duration declared_run_;  ///< 0 when not declared; often far off.
};

struct PlannedJob {
  double at_ms_ = 0;  ///< Since the start of the run.
  std::vector<PlannedTask> tasks_;
};

struct TrafficOptions {
  const TrafficMix* mix_ = nullptr;
  double jobs_per_second_ = 0;
  double seconds_ = 0;
  uint32_t count_ = 0;       ///< Jobs at most; 0 is bounded by time alone.
  double run_scale_ = 1;     ///< Factor on every run time.
  double burst_factor_ = 1;  ///< Factor on the rate during the burst.
  double burst_at_seconds_ = 0;
  double burst_seconds_ = 0;
  uint64_t seed_ = 1;
};

/// Plans the arrivals of an open loop: a Poisson process that does not wait
/// for answers. The same options give the same plan.
std::vector<PlannedJob> PlanTraffic(const TrafficOptions& options);

/// Mean work of one job of a mix, in milliseconds of slot time.
double MeanWorkMs(const TrafficMix& mix, double run_scale);

/// The request body of a planned job. @param name Unique in the run.
std::string JobBody(const PlannedJob& job, const std::string& name,
                    const std::string& team, Duration deadline);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TRAFFIC_MIX_H_
