#include "worker_health.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {

struct HealthFixture {
  static constexpr uint16_t kWorkers = 10;
  WorkerTable workers_{1};
  WorkerHealth health_{&workers_};
  ServiceSettings settings_;
  std::vector<WorkerInfo> list_;
  Time now_{1000};

  HealthFixture() {
    for (uint16_t i = 0; i < kWorkers; ++i) {
      WorkerInfo info;
      info.address_ = {"127.0.0.1", static_cast<uint16_t>(9000 + i)};
      list_.push_back(info);
    }
    SetListedPeers(list_);
    SetEjection(true);
  }
  void SetEjection(bool on) {
    settings_.ejection_ = on;
    health_.SetSettings(settings_);
  }
  void SetListedPeers(const std::vector<WorkerInfo>& list) {
    workers_.SetWorkers(list);
    health_.OnListed(list, now_);
  }
  WorkerHandle At(uint16_t i) const { return workers_.Find(list_[i].address_); }
  WorkerState StateOf(uint16_t i) const { return workers_.state(At(i)); }
  void Advance(int64_t ms) {
    now_ = now_ + Duration{ms};
    health_.Tick(now_);
  }
  void Refuse(uint16_t i) { health_.OnRefused(At(i), now_, now_); }
  /// Ends one task of `kind` on every worker; the first `failing` workers fail.
  void RunRound(uint16_t failing, KindHandle kind = {0}) {
    for (uint16_t i = 0; i < kWorkers; ++i) {
      if (i < failing) {
        health_.OnFailed(At(i), kind, now_);
      } else {
        health_.OnAnswered(At(i), kind, now_);
      }
    }
  }
  uint32_t EjectedCount() const {
    uint32_t count = 0;
    for (uint16_t i = 0; i < kWorkers; ++i) {
      if (StateOf(i) == WorkerState::kEjected) ++count;
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(worker_health, HealthFixture)

BOOST_AUTO_TEST_CASE(WorkerThatFailsMoreThanItsPeersIsEjected) {
  for (int i = 0; i < 10; ++i) RunRound(1);
  BOOST_TEST((StateOf(0) == WorkerState::kEjected));
  BOOST_TEST(EjectedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(KindThatFailsOnAllWorkersEjectsNone) {
  for (int i = 0; i < 50; ++i) {
    RunRound(kWorkers, {1});
    RunRound(0, {0});
  }
  BOOST_TEST(EjectedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(NoWorkerIsEjectedWhileEjectionIsDisabled) {
  SetEjection(false);
  for (int i = 0; i < 50; ++i) RunRound(1);
  BOOST_TEST(EjectedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ShareOfEjectedWorkersIsLimited) {
  for (int i = 0; i < 100; ++i) RunRound(4);
  BOOST_TEST(EjectedCount() == 3U);
}

BOOST_AUTO_TEST_CASE(EjectionEndsInATrialAndLastsLongerAfterAFailedOne) {
  for (int i = 0; i < 10; ++i) RunRound(1);
  Advance(settings_.ejection_time_.ms_ - 1);
  BOOST_TEST((StateOf(0) == WorkerState::kEjected));
  Advance(1);
  BOOST_TEST((StateOf(0) == WorkerState::kOnTrial));
  health_.OnFailed(At(0), {0}, now_);
  BOOST_TEST((StateOf(0) == WorkerState::kEjected));
  Advance(2 * settings_.ejection_time_.ms_ - 1);
  BOOST_TEST((StateOf(0) == WorkerState::kEjected));
  Advance(1);
  for (int i = 0; i < 3; ++i) health_.OnAnswered(At(0), {0}, now_);
  BOOST_TEST((StateOf(0) == WorkerState::kActive));
}

BOOST_AUTO_TEST_CASE(BackOffDoublesWithEachRefusal) {
  const int64_t first = config::kRefusalBackoff.ms_;
  Refuse(0);
  Refuse(0);  // Sent before the back-off ended, so not counted.
  BOOST_TEST((StateOf(0) == WorkerState::kBackingOff));
  Advance(first);
  BOOST_TEST((StateOf(0) == WorkerState::kActive));
  Refuse(0);
  Advance(2 * first - 1);
  BOOST_TEST((StateOf(0) == WorkerState::kBackingOff));
  Advance(1);
  BOOST_TEST((StateOf(0) == WorkerState::kOnTrial));
  health_.OnAnswered(At(0), {0}, now_);
  BOOST_TEST((StateOf(0) == WorkerState::kActive));
  health_.OnUnreachable(At(1), now_, now_);
  Advance(first);
  BOOST_TEST((StateOf(1) == WorkerState::kOnTrial));
}

BOOST_AUTO_TEST_CASE(LeavingMarkOverridesALaggingList) {
  health_.OnLeaving(At(0), now_);
  SetListedPeers(list_);
  BOOST_TEST((StateOf(0) == WorkerState::kLeaving));
  std::vector<WorkerInfo> leaving = list_;
  leaving[0].leaving_ = true;
  SetListedPeers(leaving);
  BOOST_TEST((StateOf(0) == WorkerState::kLeaving));
  SetListedPeers(list_);
  BOOST_TEST((StateOf(0) == WorkerState::kActive));

  health_.OnLeaving(At(1), now_);
  Advance(config::kLeavingMarkLifetime.ms_ - 1);
  BOOST_TEST((StateOf(1) == WorkerState::kLeaving));
  Advance(1);
  BOOST_TEST((StateOf(1) == WorkerState::kActive));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
