#include "gateway/shutdown_schedule.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(shutdown_schedule)

// Guards against requests that are accepted so late that they have less than
// half of the time until the process ends.
BOOST_AUTO_TEST_CASE(accepted_requests_have_half_of_the_time) {
  for (Millis deadline{0}; deadline <= Millis(30'000);
       deadline += Millis(100)) {
    const ShutdownSchedule schedule = ShutdownSchedule::For(deadline);
    BOOST_TEST(schedule.accept_period >= Millis(0));
    BOOST_TEST(schedule.accept_period * 2 <= schedule.end_of_requests);
    BOOST_TEST(schedule.end_of_requests <= deadline);
  }
}

// Guards against requests that are refused while callers still use cached
// addresses, although there is time for them.
BOOST_AUTO_TEST_CASE(a_long_deadline_leaves_the_accept_period_whole) {
  BOOST_TEST(ShutdownSchedule::For(Millis(8000)).accept_period ==
             ShutdownSchedule::kMaxAcceptPeriod);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
