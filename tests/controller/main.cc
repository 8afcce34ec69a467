#define BOOST_TEST_MODULE controller
#include <boost/test/unit_test.hpp>
