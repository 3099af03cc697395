#include "open_jobs_relay.h"

#include <boost/test/unit_test.hpp>

#include "load_report_interval.h"

namespace gentiandeal {
namespace {

BOOST_AUTO_TEST_SUITE(open_jobs_relay)

BOOST_AUTO_TEST_CASE(PassesOnTheNewestListOfEachCoordinator) {
  OpenJobsRelay relay;
  relay.On({{"a"}, {"1"}});
  relay.On({{"b"}, {"2"}});
  relay.On({{"a"}, {"1", "3"}});
  const MeshOpenJobs jobs = relay.Take();
  BOOST_REQUIRE(jobs.lists_.size() == 2U);
  BOOST_TEST(jobs.lists_[0].coordinator_.value_ == "a");
  BOOST_TEST(jobs.lists_[0].ids_.size() == 2U);
}

// Guards against a job that looks open for as long as its lost coordinator's
// last list is repeated.
BOOST_AUTO_TEST_CASE(RepeatsNoList) {
  OpenJobsRelay relay;
  relay.On({{"a"}, {"1"}});
  relay.Take();
  BOOST_TEST(relay.Take().lists_.empty());
}

BOOST_AUTO_TEST_CASE(PassesOnAnEmptyList) {
  OpenJobsRelay relay;
  relay.On({{"a"}, {}});
  BOOST_TEST(relay.Take().lists_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsWhatDoesNotFitIntoOneMessage) {
  OpenJobsRelay relay;
  for (uint32_t i = 0; i <= config::kMaxListsPerReport; ++i) {
    relay.On({{std::to_string(i)}, {}});
  }
  BOOST_TEST(relay.Take().lists_.size() == config::kMaxListsPerReport);
  BOOST_TEST(relay.Take().lists_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(load_report_interval)

constexpr int64_t kReportBytes = 200;

// Whatever the size of the fleet, an owner's reports cost it the same.
BOOST_AUTO_TEST_CASE(ReportsASecondStayWithinTheirLimit) {
  for (const int64_t sessions : {1, 7, 16, 43, 146, 1000}) {
    const auto interval = [&](bool near) {
      return LoadReportInterval({sessions, 0}, kReportBytes, {}, near);
    };
    const double interval_s = static_cast<double>(interval(true).ms_) / 1000;
    const double each_s = static_cast<double>(sessions) / interval_s;
    BOOST_TEST(each_s <= kLoadReportsPerSecond * 1.05);
    BOOST_TEST((interval(false) > interval(true)));
  }
}

BOOST_AUTO_TEST_CASE(SmallFleetsAreToldAtTheShortestInterval) {
  BOOST_TEST((LoadReportInterval({7, 0}, kReportBytes, {}, true) ==
              kMinLoadReportInterval));
}

// Guards against starts that wait behind load reports on a thin link.
BOOST_AUTO_TEST_CASE(ReportsTakeATenthOfAThinLink) {
  constexpr LinkRate kThin{250000};
  constexpr LoadReportSessions kSessions{3, 12};
  const auto bytes_per_s = [&](int64_t count, bool near) {
    const Duration interval =
        LoadReportInterval(kSessions, kReportBytes, kThin, near);
    return count * (kReportBytes + kLoadReportOverheadBytes) * 1000 /
           interval.ms_;
  };
  const int64_t all = bytes_per_s(kSessions.near_, true) +
                      bytes_per_s(kSessions.remote_, false);
  BOOST_TEST(all <= kThin.bytes_per_s_ / 10 * 105 / 100);
  constexpr LinkRate kFast{25000000};
  BOOST_TEST((LoadReportInterval(kSessions, kReportBytes, kFast, true) ==
              kMinLoadReportInterval));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
