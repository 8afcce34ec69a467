#include "gateway/admission_rules.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(admission_rules)

// Pattern: a thundering return after a refusal. Guards against callers that are
// refused together and come back together.
BOOST_AUTO_TEST_CASE(refused_callers_retry_at_different_times) {
  BOOST_TEST(RetryAfter(Millis(3000), 0.1) < RetryAfter(Millis(3000), 0.9));
}

// Guards against a time to return that callers do not honour, because it is
// more than a third of what they have left.
RC_BOOST_PROP(retry_after_is_at_most_a_third_of_the_time_left, ()) {
  const Millis left(*rc::gen::inRange(200, 20000));
  const double draw = *rc::gen::inRange(0, 1000) / 1000.0;
  RC_ASSERT(RetryAfter(left, draw) <= std::max(left / 3, Millis(50)));
  RC_ASSERT(RetryAfter(left, draw) > Millis(0));
}

// Pattern: a burst of one class. Guards against a wait that uses up the time
// that the caller needs to try again.
RC_BOOST_PROP(queue_time_leaves_time_for_a_retry, ()) {
  const Millis target(*rc::gen::inRange(1, 2000));
  const Millis left(*rc::gen::inRange(0, 20000));
  RC_ASSERT(MaxQueueTime(target, left) <= left / 2);
  RC_ASSERT(MaxQueueTime(target, left) <= target);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
