#define BOOST_TEST_MODULE unit
#include <boost/test/unit_test.hpp>

#include "gentiandeal_p.h"

namespace gentiandeal {

BOOST_AUTO_TEST_SUITE(common)

BOOST_AUTO_TEST_CASE(ClientIdRoundTripsThroughItsTextForm) {
  ClientId id;
  id.owner_.value_ = 0x0123456789abcdef;
  id.serial_ = 7;
  id.expires_ms_ = 99;
  id.mac_[0] = 0xff;
  id.mac_[15] = 0x01;
  ClientId read;
  BOOST_TEST(!ParseClientId(ToString(id), &read));
  BOOST_TEST((read == id));
  BOOST_TEST(!!ParseClientId(ToString(id) + "0", &read));
  BOOST_TEST(!!ParseClientId(std::string(80, 'g'), &read));
}

BOOST_AUTO_TEST_CASE(AddressRequiresNumericHostAndPort) {
  Address address;
  BOOST_TEST(!ParseAddress("127.0.0.1:80", &address));
  BOOST_TEST(ToString(address) == "127.0.0.1:80");
  BOOST_TEST(!ParseAddress("[::1]:9", &address));
  BOOST_TEST(ToString(address) == "[::1]:9");
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:65536",
                           "127.0.0.1:-1", "127.0.0.1:8x", ":1"}) {
    BOOST_TEST((ParseAddress(text, &address) == Errc::kBadAddress));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
