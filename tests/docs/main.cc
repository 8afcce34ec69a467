#define BOOST_TEST_MODULE docs
#include <boost/test/unit_test.hpp>
