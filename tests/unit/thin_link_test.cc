#include <boost/test/unit_test.hpp>

#include "job_coordinator.h"
#include "mesh_link.h"
#include "worker_scheduler_fixture.h"

/// Load on links that carry little more than the tasks themselves.
namespace gentiandeal {
namespace {

constexpr LinkRate kThin{250000};
constexpr size_t kPayloadBytes = 2400;

struct ThinLinkFixture : WorkerSchedulerFixture {
  ThinLinkFixture() {
    WorkerSchedulerLimits limits;
    limits.link_rate_ = kThin;
    owner_ = WorkerScheduler(limits);
    for (const char* id : {"w1", "w2", "w3", "w4"}) Acquire(id, 56000);
  }

  void AssignLarge(uint32_t count, size_t payload_bytes = kPayloadBytes) {
    AssignTasks assign;
    assign.name_ = "00000000000000a1.0.0";
    assign.pool_ = "pool";
    assign.payload_ = std::string(payload_bytes, 'x');
    assign.need_ = kTaskResources;
    assign.expected_run_time_ = {200};
    assign.start_within_ = {500};
    assign.give_up_after_ = {1000};
    for (uint32_t i = 0; i < count; ++i) {
      assign.tasks_.push_back({{++last_serial_}, i});
    }
    owner_.On(kLocalSession, assign, now_, &out_);
  }

  int64_t BytesOnTheirWay() const {
    int64_t bytes = 0;
    for (const StartRun& start : All<StartRun>()) {
      if (answered_.count(start.call_.value_) > 0) continue;
      bytes += static_cast<int64_t>(start.payload_->size());
    }
    return bytes;
  }

  void AnswerOneStart() {
    for (const StartRun& start : All<StartRun>()) {
      if (!answered_.insert(start.call_.value_).second) continue;
      return AnswerStart(start);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(thin_link, ThinLinkFixture)

// Guards against starts that fill the link of their owner: heartbeats wait
// behind them, owners that live are taken as lost, and what ran is stopped.
BOOST_AUTO_TEST_CASE(StartsHoldTheLinkUpBriefly) {
  AssignLarge(16);
  const Duration held = kThin.TimeFor(BytesOnTheirWay());
  BOOST_TEST(held.ms_ <= MeshLink::kHeartbeatInterval.ms_);
  BOOST_TEST(owner_.waiting() > 0U);
  size_t answers = 0;
  while (owner_.waiting() > 0 && ++answers < 16) AnswerOneStart();
  BOOST_TEST(owner_.waiting() == 0U);
  BOOST_TEST(All<StartRun>().size() == 16U);
}

// Others assign no more to an owner that can't send what it has.
BOOST_AUTO_TEST_CASE(ReportsNoFreeResourcesWhileStartsAreHeldBack) {
  BOOST_TEST(owner_.load(now_).pools_.at(0).free_.size() == 4U);
  AssignLarge(12);
  BOOST_TEST(owner_.load(now_).pools_.at(0).free_.empty());
  while (owner_.waiting() > 0) AnswerOneStart();
  BOOST_TEST(!owner_.load(now_).pools_.at(0).free_.empty());
}

// Guards against tasks that are sent from owner to owner and back while each
// could start them soon.
BOOST_AUTO_TEST_CASE(ReturnsATaskOnlyIfItWouldWaitLongerThanItsReturnTakes) {
  AssignLarge(16);
  while (owner_.waiting() > 0 && All<StartRun>().size() < 16) AnswerOneStart();
  for (size_t i = 0; i < 16; ++i) AnswerOneStart();
  // All workers are full for 200 ms: 16 tasks free 1,120 cores a second.
  AssignLarge(1);
  BOOST_REQUIRE(owner_.waiting() == 1U);
  PoolLoad elsewhere;
  elsewhere.pool_ = "pool";
  elsewhere.free_ = {{56000, 131072, 0}};
  owner_.OffloadWaiting({elsewhere}, now_, &out_);
  BOOST_TEST(owner_.waiting() == 1U);
  AssignLarge(6);
  owner_.OffloadWaiting({elsewhere}, now_, &out_);
  BOOST_TEST(owner_.waiting() < 7U);
}

// Guards against two workers that hang and stop an owner from starting anything
// for the time limit of its calls.
BOOST_AUTO_TEST_CASE(SilentWorkersHoldNothingBackForLong) {
  AssignLarge(16);
  const size_t unanswered = All<StartRun>().size();
  BOOST_REQUIRE(unanswered < 16U);
  Advance(40);
  BOOST_TEST(All<StartRun>().size() == unanswered);
  Advance(40);
  BOOST_TEST(All<StartRun>().size() > unanswered);
}

// Guards against a process that ends as it works out its load from tasks that
// are being moved: one without a price of its return, and one with it behind.
BOOST_AUTO_TEST_CASE(ReturnsTasksOfSmallAndOfLargePayloads) {
  WorkerSchedulerLimits limits;
  limits.link_rate_ = {3125000};
  owner_ = WorkerScheduler(limits);
  out_.clear();
  answered_.clear();
  Acquire("w1", 14000);
  Assign(1);
  Assign(2);
  AssignLarge(2, 4000);
  BOOST_REQUIRE(owner_.waiting() == 4U);
  PoolLoad elsewhere;
  elsewhere.pool_ = "pool";
  elsewhere.free_ = {{56000, 131072, 0}, {56000, 131072, 0}};
  owner_.OffloadWaiting({elsewhere}, now_, &out_);
  BOOST_TEST(owner_.waiting() == 0U);
}

// A start whose call ends in any way makes room for the next one.
BOOST_AUTO_TEST_CASE(CallsWithoutAnAnswerHoldNothingBack) {
  AssignLarge(16);
  for (int round = 0; round < 16 && owner_.waiting() > 0; ++round) {
    for (const StartRun& start : All<StartRun>()) {
      if (!answered_.insert(start.call_.value_).second) continue;
      AnswerStart(start, StartResult::kUnanswered);
    }
  }
  BOOST_TEST(All<StartRun>().size() >= 16U);
}

BOOST_AUTO_TEST_SUITE_END()

struct ThinCoordinatorFixture {
  static constexpr Resources kNeed{16000, 64, 0};
  JobCoordinator coordinator_{{"self"}, "west", kThin};
  CoordinatorOutbox out_;
  Time now_{1000000};

  ThinCoordinatorFixture() {
    LeasedWorker worker;
    worker.id_ = {"w"};
    worker.pool_ = "pool";
    worker.capacity_ = {32000, 65536, 0};
    coordinator_.SetWorkers(
        {{"pool", {std::make_shared<LeasedWorker>(worker)}}});
  }

  void Report(const std::string& owner, std::vector<Resources> free) {
    OwnerLoad load;
    PoolLoad& pool = load.pools_.emplace_back();
    pool.pool_ = "pool";
    pool.free_ = std::move(free);
    pool.released_cpu_milli_per_s_ = 1400000;
    coordinator_.OwnerLoadReported({owner}, "west", load);
  }

  std::vector<SendAssign> Submit(uint32_t tasks) {
    HostedJob job;
    job.id_ = "job";
    job.pool_ = "pool";
    job.payload_ = std::string(kPayloadBytes, 'x');
    job.steps_.resize(1);
    job.steps_[0].count_ = tasks;
    job.steps_[0].need_ = kNeed;
    job.steps_[0].expected_ = {60};
    job.objective_ = {156};
    job.useful_within_ = {468};
    job.deadline_ = {1500};
    coordinator_.On(SubmitHostedJob{{1}, job}, now_, &out_);
    return Assigns();
  }

  std::vector<SendAssign> Assigns() const {
    std::vector<SendAssign> assigns;
    for (const CoordinatorCommand& command : out_) {
      if (const auto* one = std::get_if<SendAssign>(&command)) {
        assigns.push_back(*one);
      }
    }
    return assigns;
  }
};

BOOST_FIXTURE_TEST_SUITE(thin_link_placement, ThinCoordinatorFixture)

// Guards against payloads that cross thin links for a slightly tighter fit.
BOOST_AUTO_TEST_CASE(PlacesOnItsOwnWorkersFirst) {
  Report("self", {{32000, 65536, 0}});
  Report("near", {{17000, 65536, 0}, {17000, 65536, 0}});
  const auto assigns = Submit(2);
  BOOST_REQUIRE(assigns.size() == 1U);
  BOOST_TEST(assigns[0].owner_.value_ == "self");
}

BOOST_AUTO_TEST_CASE(TasksOfAStepShareMessages) {
  Report("a", {{17000, 65536, 0}, {33000, 65536, 0}});
  Report("b", {{20000, 65536, 0}});
  const auto assigns = Submit(2);
  BOOST_REQUIRE(assigns.size() == 1U);
  BOOST_TEST(assigns[0].owner_.value_ == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
