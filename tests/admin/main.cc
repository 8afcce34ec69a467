#define BOOST_TEST_MODULE admin
#include <boost/test/unit_test.hpp>
