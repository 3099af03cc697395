#include "list_limit.h"

#include <boost/test/unit_test.hpp>

#include "config.h"

namespace gentiandeal {
namespace {

BOOST_AUTO_TEST_SUITE(list_limit)

// Guards against workers or instances beyond a fixed limit that are left out
// without a word.
BOOST_AUTO_TEST_CASE(AListBeyondTheLimitIsToldOnceAndItsEndAsWell) {
  for (const size_t most : {config::kMaxWorkers, config::kMaxPeers}) {
    ListLimit limit(most);
    BOOST_TEST((limit.On(most) == ListLimit::Change::kNone));
    BOOST_TEST((limit.On(most + 1) == ListLimit::Change::kExceeded));
    BOOST_TEST((limit.On(most + 2) == ListLimit::Change::kNone));
    BOOST_TEST((limit.On(most) == ListLimit::Change::kKeptAgain));
    BOOST_TEST((limit.On(0) == ListLimit::Change::kNone));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
