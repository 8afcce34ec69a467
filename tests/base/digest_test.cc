#include <boost/test/unit_test.hpp>

#include "base/base.h"

BOOST_AUTO_TEST_SUITE(digest)

// A wrong digest would lock every customer out.
BOOST_AUTO_TEST_CASE(sha256_matches_the_published_vector) {
  BOOST_TEST(
      bamboomount::Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Two keys that are alike would give one customer the other's access.
BOOST_AUTO_TEST_CASE(random_hex_values_differ) {
  BOOST_TEST(bamboomount::RandomHex(16).size() == 32U);
  BOOST_TEST(bamboomount::RandomHex(16) != bamboomount::RandomHex(16));
}

BOOST_AUTO_TEST_SUITE_END()
