#define BOOST_TEST_MODULE soak_checks
#include <boost/test/unit_test.hpp>
