#include "load/samples.h"

#include <boost/test/unit_test.hpp>

#include "load/load_run.h"

BOOST_AUTO_TEST_SUITE(load_tool)

// Guards against an off-by-one error in the rank of a quantile, with which the
// load tool would report a wrong tail latency of the router.
BOOST_AUTO_TEST_CASE(quantiles_are_exact_ranks) {
  bamboomount::Samples samples;
  for (int value = 100; value >= 1; --value) {
    samples.Add(value);
  }
  BOOST_TEST(samples.Quantile(0.5) == 50);
  BOOST_TEST(samples.Quantile(0.99) == 99);
  BOOST_TEST(samples.Quantile(1) == 100);
}

// Guards against load on another machine. A mistyped address, or a host name
// that resolves elsewhere, would otherwise overload a service there.
BOOST_AUTO_TEST_CASE(only_loopback_addresses_are_accepted) {
  BOOST_TEST(bamboomount::IsLoopback("127.0.0.1:80"));
  BOOST_TEST(!bamboomount::IsLoopback("10.0.0.1:80"));
  BOOST_TEST(!bamboomount::IsLoopback("0.0.0.0:80"));
  BOOST_TEST(!bamboomount::IsLoopback("localhost:80"));
  BOOST_TEST(!bamboomount::IsLoopback(""));
}

BOOST_AUTO_TEST_SUITE_END()
