#include "gateway/membership/state_freshness.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(state_freshness)

// Guards against a long poll that counts as confirmed when it arrives, although
// the store produced the response earlier.
BOOST_AUTO_TEST_CASE(a_long_poll_confirms_by_the_store_clock) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(500));
  BOOST_TEST(freshness.Age(At(100))->count() == 100);
  // Sent at 10 ms; answered by the store 1,500 ms after its first response.
  freshness.Confirm(At(10), Millis(2000));
  BOOST_TEST(freshness.Age(At(1600))->count() == 100);
}

// Guards against keys that are accepted before any configuration was read.
BOOST_AUTO_TEST_CASE(nothing_is_confirmed_at_the_start) {
  const StateFreshness freshness;
  BOOST_TEST(!freshness.Age(At(0)).has_value());
  BOOST_TEST(!freshness.IsConfirmedWithin(std::chrono::hours(1), At(0)));
}

// Guards against a confirmation that goes back in time when the store restarts
// and its steady clock starts again from a small value.
BOOST_AUTO_TEST_CASE(a_store_clock_restart_replaces_the_anchor) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(900000));
  freshness.Confirm(At(1000), Millis(5));
  BOOST_TEST(freshness.Age(At(1000))->count() == 0);
  BOOST_TEST(freshness.StoreTimeAt(At(1500))->count() == 505);
}

// Guards against an outage of the store that is not noticed, or one that is
// seen where there was none, because confirmations are forgotten or mixed up.
BOOST_AUTO_TEST_CASE(recent_confirmations_are_remembered) {
  StateFreshness freshness;
  freshness.Confirm(At(0), Millis(1000));
  freshness.Confirm(At(2000), Millis(3000));
  // By a peer that heard it late.
  freshness.ConfirmByPeer(Millis(1500), At(2100));
  BOOST_TEST(freshness.WasConfirmedBetween(Millis(900), Millis(1100)));
  BOOST_TEST(freshness.WasConfirmedBetween(Millis(1400), Millis(3000)));
  BOOST_TEST(!freshness.WasConfirmedBetween(Millis(1500), Millis(3000)));
  BOOST_TEST(!freshness.WasConfirmedBetween(Millis(3000), Millis(9000)));
  freshness.Confirm(At(20000), Millis(21000));
  BOOST_TEST(!freshness.WasConfirmedBetween(Millis(0), Millis(21000)));
  // The store's clock starts again.
  freshness.Confirm(At(30000), Millis(5));
  BOOST_TEST(freshness.WasConfirmedBetween(Millis(0), Millis(10)));
}

struct Response {
  int pause_ms = 0;
  int request_delay_ms = 0;
  int hold_ms = 0;
  int response_delay_ms = 0;
};

// Guards against a key that is accepted for longer than the deadline after its
// withdrawal. Whatever the delays, the time of confirmation must never be later
// than the time at which the store produced the response.
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
