#ifndef GENTIANDEAL_SRC_TRAFFIC_MIX_H_
#define GENTIANDEAL_SRC_TRAFFIC_MIX_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentiandeal_p.h"

/// Synthetic traffic modelled on that of deployments, for the `load`
/// subcommand.
namespace gentiandeal {

/// One kind of task of a mix. Run times are distributed log-uniformly between
/// the bounds.
struct TrafficTaskKind {
  std::string_view name_;
  std::string_view method_;
  std::string_view path_;
  double share_ = 0;  ///< Fraction of the mix's tasks; shares add up to 1.
  Duration min_run_time_;
  Duration max_run_time_;
  uint32_t answer_bytes_ = 0;
};

/// Jobs of one size class. The number of tasks is distributed uniformly between
/// the bounds.
struct TrafficJobSize {
  double share_ = 0;  ///< Fraction of the mix's jobs; shares add up to 1.
  uint32_t min_tasks_ = 1;
  uint32_t max_tasks_ = 1;
};

struct TrafficMix {
  std::string_view name_;
  std::span<const TrafficTaskKind> kinds_;
  std::span<const TrafficJobSize> sizes_;
};

/// Finds `armor`, `salvavidas`, `single`, `job-20` or `job-260`. @returns null
/// for any other name.
const TrafficMix* FindMix(std::string_view name);

struct PlannedTask {
  const TrafficTaskKind* kind_ = nullptr;
  Duration run_time_;
  Duration declared_run_time_;  ///< 0: not declared. May be far off.
};

struct PlannedJob {
  double arrival_ms_ = 0;  ///< Time since the start of the run.
  std::vector<PlannedTask> tasks_;
};

struct TrafficOptions {
  const TrafficMix* mix_ = nullptr;
  double jobs_per_second_ = 0;
  double duration_seconds_ = 0;
  uint32_t max_jobs_ = 0;      ///< 0: limited by time only.
  double run_time_scale_ = 1;  ///< Factor on every run time.
  double burst_factor_ = 1;    ///< Factor on the rate during the burst.
  double burst_start_seconds_ = 0;
  double burst_seconds_ = 0;
  uint64_t seed_ = 1;
};

/// Plans the jobs of an open-loop load test: arrivals form a Poisson process
/// and do not wait for answers. The same options give the same plan.
std::vector<PlannedJob> PlanTraffic(const TrafficOptions& options);

/// Mean work of one job of a mix, in milliseconds of slot time.
double MeanJobWorkMs(const TrafficMix& mix, double run_time_scale);

/// Builds the request body of a planned job. @param name Unique within the run.
std::string JobRequestBody(const PlannedJob& job, const std::string& name,
                           const std::string& team, Duration deadline);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TRAFFIC_MIX_H_
