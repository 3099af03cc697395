#ifndef GENTIANDEAL_TESTS_SOAK_FAULT_PLAN_H_
#define GENTIANDEAL_TESTS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "gentiandeal/gentiandeal.h"

/// What a soak does, drawn from its seed before it begins.
namespace gentiandeal::soak {

/// Seeded numbers that don't depend on the standard library's distributions.
class Draw {
 public:
  explicit Draw(uint64_t seed) : engine_(seed) {}
  /// Uniform, both ends included.
  int64_t Between(int64_t low, int64_t high);
  bool Chance(int percent) { return Between(1, 100) <= percent; }

 private:
  std::mt19937_64 engine_;
};

/// One fault. What it hits is drawn beforehand; whether it can be carried out
/// is seen when it is due.
struct Fault {
  Duration at_;       ///< Since the beginning.
  std::string kind_;  ///< One of `AllFaultKinds`.
  int instance_ = 0;
  int other_ = 0;  ///< Another instance.
  int worker_ = 0;
  bool wide_ = false;  ///< All paths of the instance, not just one.
  std::string way_;    ///< `up` or `down`.
  bool close_ = false;
  int64_t short_ms_ = 0;  ///< 100 to 449.
  int64_t long_ms_ = 0;   ///< 500 to 3000.
  int64_t hold_ms_ = 0;   ///< 50 to 2500.
  int64_t repeats_ = 0;   ///< 2 to 6.
  bool hits_store() const { return kind_.rfind("store", 0) == 0; }
};

/// One job that a caller sends.
struct PlannedJob {
  Duration at_;
  int instance_ = 0;  ///< Where it is sent first.
  int tasks_ = 1;
  int64_t run_ms_ = 0;  ///< Of each task.
};

struct Plan {
  std::vector<Fault> faults_;
  std::vector<PlannedJob> jobs_;
};

/// Extent of a soak.
struct Extent {
  uint64_t seed_ = 1;
  Duration length_{20000};
  int instances_ = 3;
  int workers_ = 10;
  Duration fault_gap_{600};  ///< Between two faults, on average.
};

/// Faults of a path are named PATH-WHAT. PATH is `caller` (to an instance),
/// `peer` (instance to instance), `worker` or `store` (from an instance).
/// `cut` silences one direction. `drop-near` ends only the side that opened the
/// connection, `drop-far` only the other one.
std::vector<std::string> AllFaultKinds();

/// Versions of the configuration in series, under callers that keep their
/// connections.
inline constexpr char kChanges[] = "changes";

/// Evacuations of one of two data centres, each longer than its bound.
inline constexpr char kEvacuations[] = "evacuations";

/// @param list Names or beginnings of names, separated by commas; `all` for
/// every kind but `kEvacuations`, for which the deployment differs. `-` before
/// a name takes its kinds out again.
/// @returns the kinds that are named; empty when a name fits none.
std::vector<std::string> FaultKinds(const std::string& list);

/// @returns the query by which the proxy disturbs a path.
std::string Disturbance(const Fault& fault, const std::string& what);

/// @returns the query by which the configuration gets short or long limits of
/// time, as often short as long.
std::string DrawLimits(Draw* draw);

Plan DrawPlan(const Extent& extent, const std::vector<std::string>& kinds);

}  // namespace gentiandeal::soak

#endif  // GENTIANDEAL_TESTS_SOAK_FAULT_PLAN_H_
