#include "gateway/membership/state_freshness.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(state_freshness)

// Guards against a call that waited long counting as confirmed at its arrival.
BOOST_AUTO_TEST_CASE(a_call_that_waits_confirms_by_the_stores_clock) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(500));
  BOOST_TEST(freshness.Age(At(100))->count() == 100);
  // Sent at 10, answered by the store 1,500 ms after its first answer.
  freshness.Confirm(At(10), Millis(2000));
  BOOST_TEST(freshness.Age(At(1600))->count() == 100);
}

// Guards against keys that are served before any configuration was read.
BOOST_AUTO_TEST_CASE(nothing_is_confirmed_at_the_start) {
  const StateFreshness freshness;
  BOOST_TEST(!freshness.Age(At(0)).has_value());
  BOOST_TEST(!freshness.IsWithin(std::chrono::hours(1), At(0)));
}

// Guards against a confirmation that goes back when the store starts anew.
BOOST_AUTO_TEST_CASE(a_restarted_store_clock_takes_a_new_anchor) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(900000));
  freshness.Confirm(At(1000), Millis(5));
  BOOST_TEST(freshness.Age(At(1000))->count() == 0);
  BOOST_TEST(freshness.StoreTimeAt(At(1500))->count() == 505);
}

struct Answer {
  int gap_before = 0;
  int way_there = 0;
  int held = 0;
  int way_back = 0;
};

// Guards against a key that works longer than the deadline after it was
// withdrawn: the confirmed moment must never be later than the moment at which
// the store made its answer, whatever the delays.
RC_BOOST_PROP(the_confirmed_moment_is_never_after_the_answer_was_made, ()) {
  const auto answers =
      *rc::gen::container<std::vector<Answer>>(rc::gen::build<Answer>(
          rc::gen::set(&Answer::gap_before, rc::gen::inRange(0, 2000)),
          rc::gen::set(&Answer::way_there, rc::gen::inRange(0, 800)),
          rc::gen::set(&Answer::held, rc::gen::inRange(0, 3000)),
          rc::gen::set(&Answer::way_back, rc::gen::inRange(0, 800))));
  constexpr std::int64_t kStoreClockAhead = 77777;
  StateFreshness freshness;
  std::int64_t now = 0;
  std::int64_t newest_made = 0;
  for (const Answer& answer : answers) {
    const std::int64_t sent = now + answer.gap_before;
    const std::int64_t made = sent + answer.way_there + answer.held;
    now = made + answer.way_back;
    newest_made = std::max(newest_made, made);
    freshness.Confirm(At(sent), Millis(made + kStoreClockAhead));
    RC_ASSERT(freshness.Age(At(now))->count() >= now - newest_made);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
