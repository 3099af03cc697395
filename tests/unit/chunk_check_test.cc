#include "chunk_check.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {
namespace {

/// Whether a body is valid so far, whole and byte by byte.
bool IsValid(std::string_view body) {
  ChunkCheck whole;
  const bool valid = whole.On(body);
  ChunkCheck split;
  bool still_valid = true;
  for (size_t i = 0; i < body.size(); ++i) {
    still_valid = split.On(body.substr(i, 1));
  }
  BOOST_TEST(still_valid == valid, body);
  return valid;
}

BOOST_AUTO_TEST_SUITE(chunk_check)

BOOST_AUTO_TEST_CASE(AcceptsChunksExtensionsAndTrailers) {
  BOOST_TEST(IsValid("3\r\nabc\r\n0\r\n\r\n"));
  BOOST_TEST(IsValid("1A;x=y\r\n01234567890123456789012345\r\n0\r\n\r\n"));
  BOOST_TEST(IsValid("0\r\nA: b\r\n\r\n"));
  BOOST_TEST(IsValid("3\r\na"));
  BOOST_TEST(IsValid("0\r\n\r\nGET / HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNoFraming) {
  for (const char* body :
       {"ZZ\r\nabc\r\n", "\r\n", "-1\r\n", "3\nabc\r\n", "3\r\nabcd\r\n",
        "3\r\nabc\rX", "3x\r\nabc", "3;a\nabc", "FFFFFFFFFFFFFFFFF\r\n",
        "3\r\nabc\r\nq\r\n"}) {
    BOOST_TEST(!IsValid(body), body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
