#include "mesh_wire.h"

#include <boost/test/unit_test.hpp>

#include "wire_frame.h"

namespace gentiandeal {
namespace {

AssignTasks MakeAssign() {
  AssignTasks assign;
  assign.name_ = "5c0e7a21d94b36f8.0.0";
  assign.pool_ = "pool";
  assign.payload_ = std::string(4000, 'x');
  assign.need_ = {14000, 64, 0};
  assign.expected_run_time_ = {200};
  assign.job_started_ = true;
  assign.tasks_ = {{{7}, 0}, {{8}, 1}};
  return assign;
}

BOOST_AUTO_TEST_SUITE(mesh_wire)

BOOST_AUTO_TEST_CASE(AssignTasksRoundTrips) {
  const std::string bytes = EncodeMesh(MakeAssign()).bytes_;
  MeshFrame frame;
  BOOST_REQUIRE(
      DecodeMesh(std::string_view(bytes).substr(kFrameLengthBytes), &frame));
  const auto* read = std::get_if<AssignTasks>(&frame);
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST(read->payload_.size() == 4000U);
  BOOST_TEST(read->tasks_.size() == 2U);
  BOOST_TEST((read->tasks_[1].serial_ == TaskSerial{8}));
  BOOST_TEST(read->job_started_);
  BOOST_TEST(EncodeMesh(frame).bytes_ == bytes);
}

BOOST_AUTO_TEST_CASE(TaskLossesRoundTrip) {
  AssignTasks assign = MakeAssign();
  assign.tasks_[1].losses_ = {2, 1};
  const std::string assigned = EncodeMesh(assign).bytes_;
  const std::string told =
      EncodeMesh(MeshTaskLosses{{{"task", {3, 2}}}}).bytes_;
  for (const std::string& bytes : {assigned, told}) {
    MeshFrame frame;
    BOOST_REQUIRE(
        DecodeMesh(std::string_view(bytes).substr(kFrameLengthBytes), &frame));
    BOOST_TEST(EncodeMesh(frame).bytes_ == bytes);
  }
}

// Guards against a list that is cut to what one message may hold.
BOOST_AUTO_TEST_CASE(LossesOfManyTasksNeedSeveralMessages) {
  const std::vector<TaskLosses> all(config::kMaxTasksPerMessage + 1,
                                    TaskLosses{"task", {1, 1}});
  const std::vector<MeshTaskLosses> messages = SplitTaskLosses(all);
  BOOST_REQUIRE(messages.size() == 2U);
  BOOST_TEST(messages[1].tasks_.size() == 1U);
  for (const MeshTaskLosses& message : messages) {
    const std::string bytes = EncodeMesh(message).bytes_;
    MeshFrame frame;
    BOOST_TEST(
        DecodeMesh(std::string_view(bytes).substr(kFrameLengthBytes), &frame));
  }
  BOOST_TEST(SplitTaskLosses({}).empty());
}

BOOST_AUTO_TEST_CASE(OwnerLoadRoundTrips) {
  OwnerLoad load;
  load.draining_ = true;
  PoolLoad& pool = load.pools_.emplace_back();
  pool.pool_ = "pool";
  pool.free_ = {{1, 2, 3}};
  pool.queued_cpu_milli_[3] = 9;
  const std::string bytes = EncodeMesh(load).bytes_;
  MeshFrame frame;
  BOOST_REQUIRE(
      DecodeMesh(std::string_view(bytes).substr(kFrameLengthBytes), &frame));
  BOOST_TEST(EncodeMesh(frame).bytes_ == bytes);
}

BOOST_AUTO_TEST_CASE(TruncatedOrExtendedFramesAreRejected) {
  const std::string body =
      EncodeMesh(MakeAssign()).bytes_.substr(kFrameLengthBytes);
  MeshFrame frame;
  for (size_t size = 0; size < body.size(); size += 13) {
    BOOST_TEST(!DecodeMesh(std::string_view(body).substr(0, size), &frame));
  }
  BOOST_TEST(!DecodeMesh(body + "x", &frame));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
