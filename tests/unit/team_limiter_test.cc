#include "team_limiter.h"

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

/// Simulated instances on one virtual clock that report their usage to each
/// other every `report_interval_`.
class Fleet {
 public:
  Fleet(size_t count, uint32_t quota, double rate) : limiters_(count) {
    for (TeamLimiter& limiter : limiters_) {
      limiter.SetSettings(MakeSettings(quota, rate));
      limiter.SetInstances(static_cast<uint32_t>(count));
    }
    wanted_.resize(count);
    running_.resize(count);
  }

  /// Advances the clock by 10 ms. Each instance ends a tenth of its running
  /// tasks and starts as many as it wants and the limits allow. The first
  /// `reachable` instances exchange reports when they are due.
  void Advance(size_t reachable) {
    now_ = now_ + Duration{10};
    for (size_t i = 0; i < limiters_.size(); ++i) {
      for (uint32_t ends = (running_[i] + 9) / 10; ends > 0; --ends) {
        limiters_[i].OnEnd(kTeam);
        --running_[i];
      }
      while (running_[i] < wanted_[i] && limiters_[i].MayRun(kTeam, now_)) {
        limiters_[i].OnStart(kTeam);
        ++running_[i];
      }
      limiters_[i].SetWaiting(kTeam, wanted_[i] - running_[i]);
    }
    if (now_.ms_ % report_interval_.ms_ == 0) ExchangeReports(reachable);
  }

  uint32_t TotalRunning() const {
    uint32_t total = 0;
    for (const uint32_t running : running_) total += running;
    return total;
  }

  std::vector<TeamLimiter> limiters_;
  std::vector<uint32_t> wanted_;
  std::vector<uint32_t> running_;
  Time now_{1000000};
  Duration report_interval_{100};

 private:
  void ExchangeReports(size_t reachable) {
    for (size_t from = 0; from < reachable; ++from) {
      for (const TeamUsage& usage : limiters_[from].TakeChangedUsages(now_)) {
        for (size_t to = 0; to < reachable; ++to) {
          if (to == from) continue;
          limiters_[to].SetPeerUsage(Incarnation{from + 1}, usage, now_);
        }
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(team_limiter)

BOOST_AUTO_TEST_CASE(WithoutLimitsAllTasksStartAndNothingIsReported) {
  TeamLimiter limiter;
  limiter.SetSettings(MakeSettings(0, 0));
  limiter.SetInstances(8);
  Duration retry;
  for (int i = 0; i < 10000; ++i) {
    BOOST_REQUIRE(limiter.MayRun(kTeam, Time{i}));
    BOOST_REQUIRE(limiter.TryTakeStarts(kTeam, 260, Time{i}, &retry));
    limiter.OnStart(kTeam);
  }
  BOOST_TEST(limiter.TakeChangedUsages(Time{1}).empty());
}

BOOST_AUTO_TEST_CASE(BusyInstanceBorrowsUnusedSharesOfPeers) {
  Fleet fleet(8, 80, 0);
  fleet.wanted_[3] = 200;
  for (int i = 0; i < 400; ++i) fleet.Advance(8);
  BOOST_TEST(fleet.TotalRunning() == 80U);
  // With demand at all instances each gets its equal share, and the total
  // stays at the quota.
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 200);
  for (int i = 0; i < 400; ++i) fleet.Advance(8);
  BOOST_TEST(fleet.TotalRunning() == 80U);
  BOOST_TEST(fleet.running_[0] == 10U);
}

BOOST_AUTO_TEST_CASE(QuotaOvershootIsBoundedAndTemporary) {
  Fleet fleet(4, 80, 0);
  fleet.wanted_[0] = 200;
  for (int i = 0; i < 400; ++i) fleet.Advance(4);
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 200);
  uint32_t max_total = 0;
  int steps_over_quota = 0;
  for (int i = 0; i < 400; ++i) {
    fleet.Advance(4);
    max_total = std::max(max_total, fleet.TotalRunning());
    if (fleet.TotalRunning() > 80) ++steps_over_quota;
  }
  // The overshoot is at most the borrowed shares. It lasts until the lenders'
  // demand is reported and the tasks on the borrowed shares end.
  BOOST_TEST(max_total <= 80U + 60U);
  BOOST_TEST(steps_over_quota <= 40);
  BOOST_TEST(fleet.TotalRunning() <= 80U);
}

BOOST_AUTO_TEST_CASE(PartitionedInstanceFallsBackToItsEqualShare) {
  Fleet fleet(4, 80, 0);
  fleet.wanted_[3] = 200;
  for (int i = 0; i < 400; ++i) fleet.Advance(4);
  BOOST_TEST(fleet.running_[3] == 80U);
  // A partition separates the last instance from the others. The platform's
  // list still contains all of them.
  fleet.limiters_[3].SetInstances(4, 1);
  for (int peer = 0; peer < 3; ++peer) {
    fleet.limiters_[3].ForgetPeer(Incarnation{static_cast<uint64_t>(peer) + 1});
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.limiters_[i].SetInstances(4, 3);
    fleet.limiters_[i].ForgetPeer(Incarnation{4});
    fleet.wanted_[i] = 200;
  }
  for (int i = 0; i < 400; ++i) fleet.Advance(3);
  BOOST_TEST(fleet.running_[3] == 20U);
  BOOST_TEST(fleet.TotalRunning() == 80U);
}

BOOST_AUTO_TEST_CASE(EveryInstanceMayRunOneTaskUnderAnyQuota) {
  Fleet fleet(8, 3, 0);
  std::fill(fleet.wanted_.begin(), fleet.wanted_.end(), 5);
  for (int i = 0; i < 50; ++i) fleet.Advance(8);
  BOOST_TEST(fleet.TotalRunning() == 8U);
}

BOOST_AUTO_TEST_CASE(RateSharesFollowDemandAndTotalKeepsTheLimit) {
  constexpr double kRate = 100;
  Fleet fleet(4, 0, kRate);
  const auto run = [&](const std::vector<bool>& asks) {
    uint32_t granted = 0;
    for (int i = 0; i < 1000; ++i) {
      for (size_t index = 0; index < 4; ++index) {
        Duration retry;
        if (!asks[index]) continue;
        TeamLimiter& limiter = fleet.limiters_[index];
        granted += limiter.TryTakeStarts(kTeam, 1, fleet.now_, &retry) ? 1 : 0;
      }
      fleet.Advance(4);
    }
    return granted;
  };
  run({true, false, false, false});
  const uint32_t granted_to_one = run({true, false, false, false});
  BOOST_TEST(granted_to_one >= 950U);
  BOOST_TEST(granted_to_one <= 1050U);
  run({true, true, true, true});
  const uint32_t granted_to_all = run({true, true, true, true});
  BOOST_TEST(granted_to_all >= 950U);
  BOOST_TEST(granted_to_all <= 1050U);
}

BOOST_AUTO_TEST_CASE(RefusalReturnsWaitAndJobLargerThanBucketStarts) {
  TeamLimiter limiter;
  limiter.SetSettings(MakeSettings(0, 10));
  limiter.SetInstances(1);
  Duration retry;
  Time now{5000};
  BOOST_TEST(limiter.TryTakeStarts(kTeam, 260, now, &retry));
  BOOST_TEST(!limiter.TryTakeStarts(kTeam, 1, now, &retry));
  BOOST_TEST(retry.ms_ == 25100);
  now = now + retry;
  BOOST_TEST(limiter.TryTakeStarts(kTeam, 1, now, &retry));
  BOOST_TEST(!limiter.TryTakeStarts(kTeam, 1, now, &retry));
}

BOOST_AUTO_TEST_CASE(NewSettingsKeepUsageByTeamName) {
  TeamLimiter limiter;
  limiter.SetSettings(MakeSettings(2, 0));
  limiter.SetInstances(1);
  limiter.OnStart(kTeam);
  limiter.OnStart(kTeam);
  BOOST_TEST(!limiter.MayRun(kTeam, Time{1}));
  BOOST_TEST(limiter.TakeChangedUsages(Time{1}).size() == 1U);
  BOOST_TEST(limiter.TakeChangedUsages(Time{2}).empty());
  Settings moved = MakeSettings(2, 0);
  moved.teams_.insert(moved.teams_.begin() + 1, TeamSettings{});
  moved.teams_[1].name_ = "board";
  limiter.SetSettings(moved);
  BOOST_TEST(!limiter.MayRun(TeamHandle{2}, Time{1}));
  // The usage is reported to the peers again, under the team's index in the
  // new settings.
  const std::vector<TeamUsage> reported = limiter.TakeChangedUsages(Time{3});
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST((reported[0].team_ == TeamHandle{2}));
  BOOST_TEST(reported[0].running_ == 2U);
  BOOST_TEST(limiter.MayRun(kTeam, Time{1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
