#define BOOST_TEST_MODULE peer
#include <boost/test/unit_test.hpp>
