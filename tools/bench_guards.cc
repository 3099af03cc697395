#include <algorithm>
#include <cstdio>

#include "team_limiter.h"

/// How far quotas held by instances that do not agree are passed or left
/// unused, on a virtual clock. Figures repeat exactly.
namespace gentiandeal {
namespace {

constexpr TeamHandle kTeam{0};
constexpr Duration kStep{10};
constexpr Duration kRunTime{150};
constexpr int kSteps = 1500;
constexpr uint32_t kDemand = 1000;

struct Case {
  size_t instances_;
  uint32_t quota_;
  Duration report_;  ///< Between two reports of one instance.
};

struct Figures {
  uint32_t alone_ = 0;    ///< Running when one instance has all the demand.
  uint32_t most_ = 0;     ///< Most running after all others wake at once.
  int64_t over_ms_ = 0;   ///< Time above the quota.
  uint32_t settled_ = 0;  ///< Running at the end, with demand everywhere.
  uint32_t cut_ = 0;      ///< Running at an instance that lost its peers.
};

class Fleet {
 public:
  explicit Fleet(const Case& shape) : shape_(shape), guards_(shape.instances_) {
    Settings settings;
    settings.teams_.resize(1);
    settings.teams_[0].task_quota_ = shape.quota_;
    const auto count = static_cast<uint32_t>(shape.instances_);
    for (TeamLimiter& guards : guards_) {
      guards.SetSettings(settings);
      guards.SetInstances(count);
    }
    ends_.resize(shape.instances_);
    wants_.resize(shape.instances_);
  }

  void Step() {
    now_ = now_ + kStep;
    for (size_t i = 0; i < guards_.size(); ++i) {
      auto& ends = ends_[i];
      const auto due = std::partition(ends.begin(), ends.end(),
                                      [&](Time end) { return end > now_; });
      for (auto end = due; end != ends.end(); ++end) guards_[i].OnEnd(kTeam);
      ends.erase(due, ends.end());
      while (wants_[i] && ends.size() < kDemand &&
             guards_[i].MayRun(kTeam, now_)) {
        guards_[i].OnStart(kTeam);
        // Run times are spread, so that tasks do not end all at once.
        const int64_t spread = static_cast<int64_t>(++started_ % 10) * 10;
        ends.push_back(now_ + kRunTime + Duration{spread});
      }
      guards_[i].SetWaiting(kTeam, wants_[i] ? kDemand : 0);
    }
    if (now_.ms_ % shape_.report_.ms_ == 0) Report();
  }

  void Report() {
    for (size_t from = 0; from < guards_.size(); ++from) {
      for (const TeamUsage& use : guards_[from].TakeChangedUsages(now_)) {
        for (size_t to = 0; to < guards_.size(); ++to) {
          if (to == from || from == cut_ || to == cut_) continue;
          guards_[to].SetPeerUsage(Incarnation{from + 1}, use, now_);
        }
      }
    }
  }

  uint32_t Total() const {
    size_t total = 0;
    for (const auto& ends : ends_) total += ends.size();
    return static_cast<uint32_t>(total);
  }

  /// The instance loses its peers; the list still names all of them.
  void CutOff(size_t index) {
    cut_ = index;
    guards_[index].SetInstances(static_cast<uint32_t>(guards_.size()), 1);
    for (size_t i = 0; i < guards_.size(); ++i) {
      guards_[index].ForgetPeer(Incarnation{i + 1});
    }
  }

  Case shape_;
  Time now_{1000000};
  std::vector<TeamLimiter> guards_;
  std::vector<std::vector<Time>> ends_;
  std::vector<bool> wants_;
  size_t started_ = 0;
  size_t cut_ = SIZE_MAX;
};

Figures Run(const Case& shape) {
  Figures figures;
  Fleet fleet(shape);
  fleet.wants_[0] = true;
  for (int i = 0; i < kSteps; ++i) fleet.Step();
  figures.alone_ = fleet.Total();
  std::fill(fleet.wants_.begin(), fleet.wants_.end(), true);
  for (int i = 0; i < kSteps; ++i) {
    fleet.Step();
    figures.most_ = std::max(figures.most_, fleet.Total());
    if (fleet.Total() > shape.quota_) figures.over_ms_ += kStep.ms_;
  }
  figures.settled_ = fleet.Total();
  std::fill(fleet.wants_.begin(), fleet.wants_.end(), false);
  fleet.wants_[1] = true;
  for (int i = 0; i < kSteps; ++i) fleet.Step();
  fleet.CutOff(1);
  for (int i = 0; i < kSteps; ++i) fleet.Step();
  figures.cut_ = static_cast<uint32_t>(fleet.ends_[1].size());
  return figures;
}

}  // namespace
}  // namespace gentiandeal

int main() {
  using gentiandeal::Case;
  const Case cases[] = {{2, 100, {20}},    {8, 100, {20}},   {8, 100, {150}},
                        {8, 100, {1000}},  {40, 400, {500}}, {40, 400, {3500}},
                        {40, 1000, {500}}, {40, 10, {500}}};
  std::printf("%10s %6s %9s | %6s %6s %8s %8s %6s\n", "instances", "quota",
              "report ms", "alone", "most", "over ms", "settled", "cut");
  for (const Case& shape : cases) {
    const gentiandeal::Figures figures = gentiandeal::Run(shape);
    std::printf(
        "%10zu %6u %9d | %6u %6u %8d %8u %6u\n", shape.instances_, shape.quota_,
        static_cast<int>(shape.report_.ms_), figures.alone_, figures.most_,
        static_cast<int>(figures.over_ms_), figures.settled_, figures.cut_);
  }
  return 0;
}
