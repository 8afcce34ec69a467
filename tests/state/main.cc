#define BOOST_TEST_MODULE state
#include <boost/test/unit_test.hpp>
