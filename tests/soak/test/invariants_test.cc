#include "soak/checks/invariants.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bamboomount::soak {
namespace {

const Time kStart = std::chrono::steady_clock::now();

Time At(int ms) {
  return kStart + Millis(ms);
}

// Observations of a soak in which a test violates one invariant. Each test
// guards against a check that misses its violation, since a check that cannot
// fail lets every soak pass.
class ObservationsFixture {
 public:
  // Adds an at-most-once request that ran once and got a complete reply. The
  // reference is valid until the next call.
  RequestRecord& AddServed(const std::string& id, int sent_ms = 0) {
    RequestRecord record;
    record.id = id;
    record.kind = RequestKind::kAtMostOnce;
    record.key = "key";
    record.customer = "mill";
    record.process = "i-1#1";
    record.sent = At(sent_ms);
    record.ended = At(sent_ms + 20);
    record.status = 200;
    record.complete = true;
    record.seal = "seal-" + id;
    record.body = "answer:" + id;
    observations.requests.push_back(record);
    AddArrival(id, "e-1", sent_ms + 10);
    return observations.requests.back();
  }
  void AddArrival(const std::string& id,
                  const std::string& backend,
                  int at_ms) {
    observations.arrivals.push_back(
        {backend, id, "mill", false, true, At(at_ms)});
  }
  void AddUsage(const std::string& holder, int token, int window, int count) {
    entry_test::UsageReport report;
    report.holder = holder;
    report.token = token;
    report.window = window;
    report.counts = {{"mill", count}};
    report.at = At(window);
    observations.usage.push_back(report);
  }
  // Returns the name of the invariant of each violation found.
  std::vector<std::string> ViolatedInvariants(
      InvariantScope scope = InvariantScope::kAll) {
    std::vector<std::string> names;
    for (const InvariantViolation& violation :
         FindInvariantViolations(observations, InvariantBounds{}, scope))
      names.push_back(violation.invariant);
    return names;
  }
  // Checks that `invariant` is violated once and no other one is.
  void ExpectViolation(const std::string& invariant) {
    const auto violations = ViolatedInvariants();
    BOOST_TEST(violations == std::vector<std::string>{invariant},
               boost::test_tools::per_element());
  }

  Observations observations;
};

BOOST_FIXTURE_TEST_SUITE(invariants, ObservationsFixture)

// Guards against checks that fail on correct observations. A usage report may
// be sent again with the same count, and a new holder has a new fencing token.
BOOST_AUTO_TEST_CASE(consistent_observations_violate_no_invariant) {
  AddServed("a");
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 2, 2, 5);
  BOOST_TEST(ViolatedInvariants().empty());
}

// A retry runs a request on a second backend server after the first has run it.
BOOST_AUTO_TEST_CASE(an_at_most_once_request_that_runs_twice) {
  AddServed("a");
  AddArrival("a", "e-2", 12);
  ExpectViolation("runs at most once");
}

// The caller gets 503, which states that the request did not run, but it ran.
BOOST_AUTO_TEST_CASE(a_refused_request_that_ran) {
  AddServed("a").status = 503;
  ExpectViolation("refused requests do not run");
}

// The reply carries the seal of another request, as after a mix-up of replies
// on a connection.
BOOST_AUTO_TEST_CASE(a_reply_to_another_request) {
  AddServed("a").seal = "seal-b";
  ExpectViolation("replies belong to their requests");
}

// The reply has the right seal and ends correctly, but its body is not that of
// the request.
BOOST_AUTO_TEST_CASE(a_complete_reply_with_a_wrong_body) {
  AddServed("a").body = "xyz";
  ExpectViolation("complete replies contain the request id");
}

// A stream repeats an event, as after a resumption from a wrong event id.
BOOST_AUTO_TEST_CASE(a_stream_with_a_duplicate_event) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kAtMostOnceStream;
  request.events = {1, 2, 2, 3, 4, 5, 6};
  ExpectViolation("stream events are neither lost nor duplicated");
}

// A stream ends as HTTP requires although events are missing, so that the
// caller cannot detect the truncation.
BOOST_AUTO_TEST_CASE(a_truncated_stream_that_ends_cleanly) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kAtMostOnceStream;
  request.events = {1, 2};
  ExpectViolation("complete streams contain all events");
}

// An instance forwards the caller's API key.
BOOST_AUTO_TEST_CASE(a_key_forwarded_to_a_backend_server) {
  AddServed("a");
  observations.arrivals.back().has_key = true;
  ExpectViolation("API keys do not reach backend servers");
}

// An instance names another customer to the backend server than the one that
// the key belongs to.
BOOST_AUTO_TEST_CASE(a_request_that_runs_for_another_customer) {
  AddServed("a");
  observations.arrivals.back().customer = "kennel";
  ExpectViolation("requests carry the customer of their key");
}

// A backend server gets a request id that no caller sent.
BOOST_AUTO_TEST_CASE(an_arrival_without_a_request) {
  AddServed("a");
  AddArrival("b", "e-1", 10);
  ExpectViolation("only requests of callers reach backend servers");
}

// An instance accepts a key 5100 ms after its withdrawal, above the limit of
// 5000 ms.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_accepted_after_the_limit) {
  AddServed("a", 5100);
  observations.withdrawals.push_back({"key", At(0)});
  ExpectViolation("withdrawn keys stop working");
}

// Guards against a check that allows no delay: 4900 ms are within the limit.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_accepted_within_the_limit) {
  AddServed("a", 4900);
  observations.withdrawals.push_back({"key", At(0)});
  BOOST_TEST(ViolatedInvariants().empty());
}

// A usage window is reported a second time with another count, so that usage
// would be charged wrongly.
BOOST_AUTO_TEST_CASE(a_usage_window_with_two_counts) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 4);
  ExpectViolation("one count for each usage window");
}

// Two instances report with the same fencing token, so that both consider
// themselves the lease holder.
BOOST_AUTO_TEST_CASE(a_fencing_token_with_two_holders) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 1, 2, 3);
  ExpectViolation("one holder for each fencing token");
}

// A report by a former lease holder is accepted after one by its successor.
BOOST_AUTO_TEST_CASE(a_decreasing_fencing_token) {
  AddUsage("i-2", 2, 1, 3);
  AddUsage("i-1", 1, 2, 3);
  ExpectViolation("fencing tokens do not decrease");
}

// A process serves by version 2 of the configuration, then by version 1.
BOOST_AUTO_TEST_CASE(a_process_that_reverts_to_an_older_configuration) {
  RequestRecord& newer = AddServed("a");
  newer.kind = RequestKind::kVersionProbe;
  newer.version = 2;
  RequestRecord& older = AddServed("b", 400);
  older.kind = RequestKind::kVersionProbe;
  older.version = 1;
  ExpectViolation("configuration versions do not decrease");
  // Another process may not have received version 2 yet.
  older.process = "i-2#1";
  BOOST_TEST(ViolatedInvariants().empty());
}

// Five requests run on three backend servers each, with a limit of two and
// three requests allowed above it.
BOOST_AUTO_TEST_CASE(requests_beyond_the_attempt_limit) {
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kIdempotent;
    AddArrival(id, "e-2", 12);
    AddArrival(id, "e-3", 14);
  }
  ExpectViolation("attempts stay within the limit");
  // A backend server that refuses a request has not run it, so that the refusal
  // is no attempt.
  for (BackendArrival& arrival : observations.arrivals)
    arrival.ran = arrival.backend != "e-2";
  BOOST_TEST(ViolatedInvariants().empty());
}

// 30 requests are retried once each, while the budget allows 0.2 retries per
// request and 20 more.
BOOST_AUTO_TEST_CASE(retries_beyond_the_budget) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kIdempotent;
    AddArrival(id, "e-1", 12);
  }
  ExpectViolation("retries of all instances stay within the budget");
}

// A request that ran gets no reply although no unplanned fault was active.
BOOST_AUTO_TEST_CASE(a_request_interrupted_by_planned_work) {
  RequestRecord& request = AddServed("a", 5000);
  request.status = 0;
  request.complete = false;
  ExpectViolation("planned work interrupts no request");
  // An unplanned fault less than 3000 ms before excuses the interruption.
  observations.faults.push_back({"process killed", At(3000), At(3000)});
  BOOST_TEST(ViolatedInvariants().empty());
  observations.faults.clear();
  BOOST_TEST(ViolatedInvariants(InvariantScope::kTimingIndependent).empty());
}

// A process does not exit within the grace period and is killed, without an
// unplanned fault.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_that_fails) {
  observations.shutdowns.push_back({"i-1#1", At(4000), At(12000), true});
  ExpectViolation("graceful shutdowns succeed");
}

// A request reaches a backend server 2510 ms after its retirement, above the
// limit of 2000 ms.
BOOST_AUTO_TEST_CASE(a_retired_backend_server_that_gets_a_request) {
  AddServed("a", 6000);
  observations.retirements.push_back({"e-1", At(3500)});
  ExpectViolation("retired backend servers get no requests");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::soak
