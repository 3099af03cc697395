#include "fault_plan.h"

#include <algorithm>
#include <sstream>

namespace gentiandeal::soak {
namespace {

constexpr int kWidePercent = 40;
/// Of the faults that hit the same instance as the one before, so that faults
/// of an instance and of its paths overlap.
constexpr int kSameInstancePercent = 50;
/// Faults of processes are drawn so much more often than the many of paths.
constexpr int kProcessWeight = 3;
/// Jobs per second for each worker, which has room for two tasks at a time:
/// the workers are half busy.
constexpr double kJobsPerWorker = 0.7;

/// Faults fall in the middle, so that the first jobs and the last ones show
/// that the instances serve.
constexpr Duration kQuietStart{500};

int64_t RunTime(Draw* draw) {
  const int64_t part = draw->Between(1, 100);
  if (part <= 25) return draw->Between(40, 150);
  if (part <= 65) return draw->Between(150, 800);
  return draw->Between(800, 2600);
}

bool HitsProcess(const std::string& kind) {
  return kind == "kill" || kind == "term" || kind.rfind("crash", 0) == 0 ||
         kind.rfind("stop-", 0) == 0;
}

Fault DrawFault(Draw* draw, const Extent& extent,
                const std::vector<std::string>& kinds, int last_instance) {
  const auto last = [](auto size) { return static_cast<int64_t>(size) - 1; };
  Fault fault;
  fault.kind_ =
      kinds[static_cast<size_t>(draw->Between(0, last(kinds.size())))];
  fault.instance_ = static_cast<int>(draw->Between(0, extent.instances_ - 1));
  if (draw->Chance(kSameInstancePercent)) fault.instance_ = last_instance;
  const auto step =
      static_cast<int>(draw->Between(1, std::max(1, extent.instances_ - 1)));
  fault.other_ = (fault.instance_ + step) % extent.instances_;
  fault.worker_ = static_cast<int>(draw->Between(0, extent.workers_ - 1));
  fault.wide_ = draw->Chance(kWidePercent);
  fault.way_ = draw->Chance(50) ? "up" : "down";
  fault.close_ = draw->Chance(50);
  fault.short_ms_ = draw->Between(100, 449);
  fault.long_ms_ = draw->Between(500, 3000);
  fault.hold_ms_ = draw->Between(50, 2500);
  fault.repeats_ = draw->Between(2, 6);
  return fault;
}

}  // namespace

int64_t Draw::Between(int64_t low, int64_t high) {
  const auto width = static_cast<uint64_t>(high - low) + 1;
  return low + static_cast<int64_t>(engine_() % width);
}

std::vector<std::string> AllFaultKinds() {
  std::vector<std::string> kinds;
  for (const char* path : {"caller", "peer", "worker", "store"}) {
    for (const char* what : {"hold", "delay", "silence", "cut", "reset",
                             "drop-near", "drop-far"}) {
      kinds.push_back(std::string(path) + "-" + what);
    }
  }
  for (const char* kind :
       {"stop-short", "stop-long", "kill", "crash", "crash-late", "term",
        "restart-worker", "late-starts", "late-stops", "late-polls",
        "store-down", "store-mute", "store-stale", kChanges, kEvacuations}) {
    kinds.emplace_back(kind);
  }
  return kinds;
}

std::vector<std::string> FaultKinds(const std::string& list) {
  std::vector<std::string> named;
  std::istringstream names(list);
  for (std::string name; std::getline(names, name, ',');) {
    const bool without = name.rfind('-', 0) == 0;
    if (without) name.erase(0, 1);
    bool known = false;
    for (const std::string& kind : AllFaultKinds()) {
      if (name == "all" ? kind == kEvacuations : kind.rfind(name, 0) != 0) {
        continue;
      }
      known = true;
      if (without) {
        std::erase(named, kind);
      } else {
        named.push_back(kind);
      }
    }
    if (!known) return {};
  }
  return named;
}

std::string Disturbance(const Fault& fault, const std::string& what) {
  const std::string way = "&way=" + fault.way_;
  const std::string close = fault.close_ ? "&close=1" : "";
  if (what == "hold") {
    return "what=hold&ms=" + std::to_string(fault.hold_ms_) +
           (fault.wide_ ? "" : way);
  }
  if (what == "delay") {
    return "what=delay&ms=" + std::to_string(fault.short_ms_) +
           "&for_ms=" + std::to_string(fault.long_ms_) + way;
  }
  if (what == "cut") return "what=silence" + way;
  if (what == "drop-near") return "what=drop_caller" + close;
  if (what == "drop-far") return "what=drop_target" + close;
  return "what=" + what;
}

std::string DrawLimits(Draw* draw) {
  const bool short_idle = draw->Chance(50);
  const bool short_head = draw->Chance(50);
  return "idle_timeout_ms=" +
         std::to_string(short_idle ? draw->Between(800, 2500) : 15000) +
         "&header_timeout_ms=" +
         std::to_string(short_head ? draw->Between(300, 1000) : 3000);
}

Plan DrawPlan(const Extent& extent, const std::vector<std::string>& named) {
  Plan plan;
  std::vector<std::string> kinds;
  for (const std::string& kind : named) {
    kinds.insert(kinds.end(), HitsProcess(kind) ? kProcessWeight : 1, kind);
  }
  Draw faults(extent.seed_);
  Duration at = kQuietStart;
  while (!kinds.empty() && at < extent.length_) {
    const int last_instance =
        plan.faults_.empty() ? 0 : plan.faults_.back().instance_;
    plan.faults_.push_back(DrawFault(&faults, extent, kinds, last_instance));
    plan.faults_.back().at_ = at;
    at.ms_ += faults.Between(1, 2 * extent.fault_gap_.ms_);
  }
  // Jobs don't depend on the faults: a seed sends the same jobs under each.
  Draw jobs(~extent.seed_);
  const auto job_gap =
      static_cast<int64_t>(1000 / (kJobsPerWorker * extent.workers_));
  at = Duration{0};
  while (at < extent.length_) {
    PlannedJob job;
    job.at_ = at;
    job.instance_ = static_cast<int>(jobs.Between(0, extent.instances_ - 1));
    job.tasks_ = static_cast<int>(jobs.Between(1, 3));
    job.run_ms_ = RunTime(&jobs);
    plan.jobs_.push_back(job);
    at.ms_ += jobs.Between(1, 2 * job_gap);
  }
  return plan;
}

}  // namespace gentiandeal::soak
