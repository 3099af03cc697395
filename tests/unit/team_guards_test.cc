#include "team_guards.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

constexpr TeamHandle kTeam{1};

Settings MakeSettings(uint32_t quota, double rate) {
  Settings settings;
  settings.teams_.resize(2);
  settings.teams_[1].name_ = "care/night";
  settings.teams_[1].task_quota_ = quota;
  settings.teams_[1].starts_per_second_ = rate;
  return settings;
}

/// Instances that tell each other their use every `report_` milliseconds.
class Fleet {
 public:
  Fleet(size_t count, uint32_t quota, double rate) : guards_(count) {
    for (TeamGuards& guards : guards_) {
      guards.SetSettings(MakeSettings(quota, rate));
      guards.SetInstances(static_cast<uint32_t>(count));
    }
    wanted_.resize(count);
    running_.resize(count);
  }

  /// Starts what is wanted and allowed, ends a tenth each time, reports.
  void Step(size_t reachable) {
    now_ = now_ + Duration{10};
    for (size_t i = 0; i < guards_.size(); ++i) {
      for (uint32_t ends = (running_[i] + 9) / 10; ends > 0; --ends) {
        guards_[i].OnEnd(kTeam);
        --running_[i];
      }
      while (running_[i] < wanted_[i] && guards_[i].MayRun(kTeam, now_)) {
        guards_[i].OnStart(kTeam);
        ++running_[i];
      }
      guards_[i].SetWaiting(kTeam, wanted_[i] - running_[i]);
    }
    if (now_.ms_ % report_.ms_ == 0) Report(reachable);
  }

  uint32_t Total() const {
    uint32_t total = 0;
    for (const uint32_t running : running_) total += running;
    return total;
  }

  std::vector<TeamGuards> guards_;
  std::vector<uint32_t> wanted_;
  std::vector<uint32_t> running_;
  Time now_{1000000};
  Duration report_{100};

 private:
  void Report(size_t reachable) {
    for (size_t from = 0; from < reachable; ++from) {
      for (const TeamUse& use : guards_[from].TakeChanges(now_)) {
        for (size_t to = 0; to < reachable; ++to) {
          if (to == from) continue;
          guards_[to].SetPeerUse(Incarnation{from + 1}, use, now_);
        }
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(team_guards)

BOOST_AUTO_TEST_CASE(OffTakesEverythingAndReportsNothing) {
  TeamGuards guards;
  guards.SetSettings(MakeSettings(0, 0));
  guards.SetInstances(8);
  Duration retry;
  for (int i = 0; i < 10000; ++i) {
    BOOST_REQUIRE(guards.MayRun(kTeam, Time{i}));
    BOOST_REQUIRE(guards.TakeStarts(kTeam, 260, Time{i}, &retry));
    guards.OnStart(kTeam);
  }
  BOOST_TEST(guards.TakeChanges(Time{1}).empty());
}

BOOST_AUTO_TEST_CASE(OneInstanceInDemandGetsWhatTheOthersLeave) {
  Fleet fleet(8, 80, 0);
  fleet.wanted_[3] = 200;
  for (int i = 0; i < 400; ++i) fleet.Step(8);
  BOOST_TEST(fleet.Total() == 80U);
  // All in demand: the equal part for each, and never more in total.
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 200);
  for (int i = 0; i < 400; ++i) fleet.Step(8);
  BOOST_TEST(fleet.Total() == 80U);
  BOOST_TEST(fleet.running_[0] == 10U);
}

BOOST_AUTO_TEST_CASE(OvershootEndsWithTheReportAndTheRunningTasks) {
  Fleet fleet(4, 80, 0);
  fleet.wanted_[0] = 200;
  for (int i = 0; i < 400; ++i) fleet.Step(4);
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 200);
  uint32_t most = 0;
  int over = 0;
  for (int i = 0; i < 400; ++i) {
    fleet.Step(4);
    most = std::max(most, fleet.Total());
    if (fleet.Total() > 80) ++over;
  }
  // At most what was lent, for the time of a report and of the tasks.
  BOOST_TEST(most <= 80U + 60U);
  BOOST_TEST(over <= 40);
  BOOST_TEST(fleet.Total() <= 80U);
}

BOOST_AUTO_TEST_CASE(CutOffInstanceFallsBackToItsPart) {
  Fleet fleet(4, 80, 0);
  fleet.wanted_[3] = 200;
  for (int i = 0; i < 400; ++i) fleet.Step(4);
  BOOST_TEST(fleet.running_[3] == 80U);
  // The last one loses the others; the list still names all of them.
  fleet.guards_[3].SetInstances(4, 1);
  for (int peer = 0; peer < 3; ++peer) {
    fleet.guards_[3].ForgetPeer(Incarnation{static_cast<uint64_t>(peer) + 1});
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.guards_[i].SetInstances(4, 3);
    fleet.guards_[i].ForgetPeer(Incarnation{4});
    fleet.wanted_[i] = 200;
  }
  for (int i = 0; i < 400; ++i) fleet.Step(3);
  BOOST_TEST(fleet.running_[3] == 20U);
  BOOST_TEST(fleet.Total() == 80U);
}

BOOST_AUTO_TEST_CASE(EveryInstanceMayRunOneHoweverSmallTheQuota) {
  Fleet fleet(8, 3, 0);
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 5);
  for (int i = 0; i < 50; ++i) fleet.Step(8);
  BOOST_TEST(fleet.Total() == 8U);
}

BOOST_AUTO_TEST_CASE(RateFollowsDemandAndKeepsTheLimit) {
  constexpr double kRate = 100;
  Fleet fleet(4, 0, kRate);
  const auto run = [&](const std::vector<bool>& asks) {
    uint32_t granted = 0;
    for (int i = 0; i < 1000; ++i) {
      for (size_t node = 0; node < 4; ++node) {
        Duration retry;
        if (!asks[node]) continue;
        TeamGuards& guards = fleet.guards_[node];
        granted += guards.TakeStarts(kTeam, 1, fleet.now_, &retry) ? 1 : 0;
      }
      fleet.Step(4);
    }
    return granted;
  };
  run({true, false, false, false});
  const uint32_t one = run({true, false, false, false});
  BOOST_TEST(one >= 950U);
  BOOST_TEST(one <= 1050U);
  run({true, true, true, true});
  const uint32_t all = run({true, true, true, true});
  BOOST_TEST(all >= 950U);
  BOOST_TEST(all <= 1050U);
}

BOOST_AUTO_TEST_CASE(RefusalSaysWhenToComeBackAndLargeJobsPassAtLast) {
  TeamGuards guards;
  guards.SetSettings(MakeSettings(0, 10));
  guards.SetInstances(1);
  Duration retry;
  Time now{5000};
  BOOST_TEST(guards.TakeStarts(kTeam, 260, now, &retry));
  BOOST_TEST(!guards.TakeStarts(kTeam, 1, now, &retry));
  BOOST_TEST(retry.ms_ == 25100);
  now = now + retry;
  BOOST_TEST(guards.TakeStarts(kTeam, 1, now, &retry));
  BOOST_TEST(!guards.TakeStarts(kTeam, 1, now, &retry));
}

BOOST_AUTO_TEST_CASE(NewSettingsKeepUseByName) {
  TeamGuards guards;
  guards.SetSettings(MakeSettings(2, 0));
  guards.SetInstances(1);
  guards.OnStart(kTeam);
  guards.OnStart(kTeam);
  BOOST_TEST(!guards.MayRun(kTeam, Time{1}));
  BOOST_TEST(guards.TakeChanges(Time{1}).size() == 1U);
  BOOST_TEST(guards.TakeChanges(Time{2}).empty());
  Settings moved = MakeSettings(2, 0);
  moved.teams_.insert(moved.teams_.begin() + 1, TeamSettings{});
  moved.teams_[1].name_ = "board";
  guards.SetSettings(moved);
  BOOST_TEST(!guards.MayRun(TeamHandle{2}, Time{1}));
  // Peers are told anew, by the place in the new settings.
  const std::vector<TeamUse> told = guards.TakeChanges(Time{3});
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST((told[0].team_ == TeamHandle{2}));
  BOOST_TEST(told[0].running_ == 2U);
  BOOST_TEST(guards.MayRun(kTeam, Time{1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
