#include "gateway/forwarding/retry_rules.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

Route RouteOf(RequestKind kind, int attempts) {
  Route route;
  route.kind = kind;
  route.attempts = attempts;
  return route;
}

BOOST_AUTO_TEST_SUITE(retry_rules)

// Guards against a booking that runs twice.
BOOST_AUTO_TEST_CASE(
    a_request_that_may_have_run_is_retried_only_if_idempotent) {
  const AttemptHistory ran_once{1, 0, 0, false};
  BOOST_TEST(!MayRetry(RouteOf(RequestKind::kAtMostOnce, 3), ran_once));
  BOOST_TEST(!MayRetry(RouteOf(RequestKind::kStream, 3), ran_once));
  BOOST_TEST(MayRetry(RouteOf(RequestKind::kIdempotent, 3), ran_once));
  BOOST_TEST(MayRetry(RouteOf(RequestKind::kResumableStream, 2), ran_once));
}

// Guards against a request that is given up although no server has run it.
BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_may_go_to_another_server) {
  for (const RequestKind kind :
       {RequestKind::kAtMostOnce, RequestKind::kStream}) {
    BOOST_TEST(MayRetry(RouteOf(kind, 1), {0, 1, 0, false}));
    BOOST_TEST(MayRetry(RouteOf(kind, 1), {0, 0, 2, false}));
  }
}

// Guards against more backend servers than the route allows.
BOOST_AUTO_TEST_CASE(runs_are_bounded_by_the_routes_attempts) {
  BOOST_TEST(!MayRetry(RouteOf(RequestKind::kIdempotent, 2), {2, 0, 0, false}));
}

// Guards against a second answer behind the start of a first one.
BOOST_AUTO_TEST_CASE(only_a_resumable_stream_is_retried_after_its_start) {
  BOOST_TEST(!MayRetry(RouteOf(RequestKind::kIdempotent, 3), {1, 0, 0, true}));
  BOOST_TEST(
      MayRetry(RouteOf(RequestKind::kResumableStream, 3), {1, 0, 0, true}));
}

// Guards against endless rounds when every server refuses.
BOOST_AUTO_TEST_CASE(refusals_are_bounded) {
  BOOST_TEST(!MayRetry(RouteOf(RequestKind::kIdempotent, 9), {0, 3, 0, false}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
