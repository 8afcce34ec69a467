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
BOOST_AUTO_TEST_CASE(a_long_poll_confirms_by_the_store_clock) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(500));
  BOOST_TEST(freshness.Age(At(100))->count() == 100);
  // Sent at 10, answered by the store 1,500 ms after its first response.
  freshness.Confirm(At(10), Millis(2000));
  BOOST_TEST(freshness.Age(At(1600))->count() == 100);
}

// Guards against keys that are served before any configuration was read.
BOOST_AUTO_TEST_CASE(nothing_is_confirmed_at_the_start) {
  const StateFreshness freshness;
  BOOST_TEST(!freshness.Age(At(0)).has_value());
  BOOST_TEST(!freshness.IsConfirmedWithin(std::chrono::hours(1), At(0)));
}

// Guards against a confirmation that goes back when the store starts anew.
BOOST_AUTO_TEST_CASE(a_store_clock_restart_replaces_the_anchor) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(900000));
  freshness.Confirm(At(1000), Millis(5));
  BOOST_TEST(freshness.Age(At(1000))->count() == 0);
  BOOST_TEST(freshness.StoreTimeAt(At(1500))->count() == 505);
}

struct Response {
  int pause_ms = 0;
  int request_delay_ms = 0;
  int hold_ms = 0;
  int response_delay_ms = 0;
};

// Guards against a key that works longer than the deadline after it was
// withdrawn: the confirmed moment must never be later than the moment at which
// the store made its response, whatever the delays.
RC_BOOST_PROP(the_confirmed_time_is_never_later_than_the_response, ()) {
  const auto responses =
      *rc::gen::container<std::vector<Response>>(rc::gen::build<Response>(
          rc::gen::set(&Response::pause_ms, rc::gen::inRange(0, 2000)),
          rc::gen::set(&Response::request_delay_ms, rc::gen::inRange(0, 800)),
          rc::gen::set(&Response::hold_ms, rc::gen::inRange(0, 3000)),
          rc::gen::set(&Response::response_delay_ms,
                       rc::gen::inRange(0, 800))));
  constexpr std::int64_t kStoreClockOffsetMs = 77777;
  StateFreshness freshness;
  std::int64_t now = 0;
  std::int64_t newest_made = 0;
  for (const Response& response : responses) {
    const std::int64_t sent = now + response.pause_ms;
    const std::int64_t made =
        sent + response.request_delay_ms + response.hold_ms;
    now = made + response.response_delay_ms;
    newest_made = std::max(newest_made, made);
    freshness.Confirm(At(sent), Millis(made + kStoreClockOffsetMs));
    RC_ASSERT(freshness.Age(At(now))->count() >= now - newest_made);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
