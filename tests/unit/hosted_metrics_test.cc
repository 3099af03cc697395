#include "hosted_metrics.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

BOOST_AUTO_TEST_SUITE(hosted_metrics)

// Guards against a link whose traffic can't be told by purpose: a slow link
// then looks like a slow process.
BOOST_AUTO_TEST_CASE(TellsTrafficByPurpose) {
  MeshStats mesh;
  const size_t load = MeshFrame(OwnerLoad{}).index();
  mesh.frames_sent_[load] = 3;
  mesh.bytes_sent_[load] = 700;
  const BackendTraffic backend{{5, 600, 70}, {8, 90, 10000}, {3, 40, 1}};
  const std::string text = HostedMetrics().ToText({}, {}, mesh, backend, {});
  const auto has = [&](const char* line) {
    return text.find(std::string("\n") + line + "\n") != std::string::npos;
  };
  BOOST_TEST(has("gentiandeal_worker_entries_read_total{as=\"unchanged\"} 40"));
  BOOST_TEST(has("gentiandeal_link_frames_sent_total{frame=\"load\"} 3"));
  BOOST_TEST(has("gentiandeal_link_bytes_sent_total{frame=\"load\"} 700"));
  BOOST_TEST(has("gentiandeal_link_bytes_sent_total{frame=\"recall\"} 0"));
  BOOST_TEST(has("gentiandeal_http_requests_sent_total{to=\"workers\"} 5"));
  BOOST_TEST(has("gentiandeal_http_bytes_sent_total{to=\"workers\"} 600"));
  BOOST_TEST(
      has("gentiandeal_http_bytes_received_total{from=\"store\"} 10000"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
