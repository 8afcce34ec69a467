#include "soak/checks/invariants.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bamboomount::soak {
namespace {

const Time kStart = std::chrono::steady_clock::now();

Time At(int ms) {
  return kStart + Millis(ms);
}

// Observations of a soak in which a test breaks one invariant. A check that
// cannot fail would let every soak pass.
class ObservationsFixture {
 public:
  // A booking that ran once and was answered.
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
  std::vector<std::string> ViolatedInvariants(
      InvariantScope scope = InvariantScope::kAll) {
    std::vector<std::string> names;
    for (const InvariantViolation& violation :
         FindInvariantViolations(observations, InvariantBounds{}, scope))
      names.push_back(violation.invariant);
    return names;
  }
  void ExpectViolation(const std::string& invariant) {
    const auto violations = ViolatedInvariants();
    BOOST_TEST(violations == std::vector<std::string>{invariant},
               boost::test_tools::per_element());
  }

  Observations observations;
};

BOOST_FIXTURE_TEST_SUITE(invariants, ObservationsFixture)

BOOST_AUTO_TEST_CASE(consistent_observations_violate_no_invariant) {
  AddServed("a");
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 2, 2, 5);
  BOOST_TEST(ViolatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(an_at_most_once_request_that_runs_twice) {
  AddServed("a");
  AddArrival("a", "e-2", 12);
  ExpectViolation("runs at most once");
}

BOOST_AUTO_TEST_CASE(a_refused_request_that_ran) {
  AddServed("a").status = 503;
  ExpectViolation("a refusal says that the request did not run");
}

BOOST_AUTO_TEST_CASE(a_reply_to_another_request) {
  AddServed("a").seal = "seal-b";
  ExpectViolation("answers belong to their requests");
}

BOOST_AUTO_TEST_CASE(a_complete_reply_with_a_wrong_body) {
  AddServed("a").body = "xyz";
  ExpectViolation("answers are whole");
}

BOOST_AUTO_TEST_CASE(a_stream_with_a_duplicate_event) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kAtMostOnceStream;
  request.events = {1, 2, 2, 3, 4, 5, 6};
  ExpectViolation("no event is missing or comes twice");
}

BOOST_AUTO_TEST_CASE(a_truncated_stream_that_ends_cleanly) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kAtMostOnceStream;
  request.events = {1, 2};
  ExpectViolation("streams that look complete are");
}

BOOST_AUTO_TEST_CASE(a_key_forwarded_to_a_backend_server) {
  AddServed("a");
  observations.arrivals.back().has_key = true;
  ExpectViolation("backend servers see no key");
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_for_another_customer) {
  AddServed("a");
  observations.arrivals.back().customer = "kennel";
  ExpectViolation("requests run for the key's customer");
}

BOOST_AUTO_TEST_CASE(an_arrival_without_a_request) {
  AddServed("a");
  AddArrival("b", "e-1", 10);
  ExpectViolation("only what callers sent runs");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_accepted_after_the_limit) {
  AddServed("a", 5100);
  observations.withdrawals.push_back({"key", At(0)});
  ExpectViolation("withdrawn keys stop working");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_accepted_within_the_limit) {
  AddServed("a", 4900);
  observations.withdrawals.push_back({"key", At(0)});
  BOOST_TEST(ViolatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(a_usage_window_with_two_counts) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 4);
  ExpectViolation("one count for each usage window");
}

BOOST_AUTO_TEST_CASE(a_fencing_token_with_two_holders) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 1, 2, 3);
  ExpectViolation("one holder for each fencing token");
}

BOOST_AUTO_TEST_CASE(a_decreasing_fencing_token) {
  AddUsage("i-2", 2, 1, 3);
  AddUsage("i-1", 1, 2, 3);
  ExpectViolation("fencing tokens grow");
}

BOOST_AUTO_TEST_CASE(a_process_that_reverts_to_an_older_configuration) {
  RequestRecord& newer = AddServed("a");
  newer.kind = RequestKind::kVersionProbe;
  newer.version = 2;
  RequestRecord& older = AddServed("b", 400);
  older.kind = RequestKind::kVersionProbe;
  older.version = 1;
  ExpectViolation("configurations do not go back");
  // Another process may not know it yet.
  older.process = "i-2#1";
  BOOST_TEST(ViolatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_attempt_limit) {
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kIdempotent;
    AddArrival(id, "e-2", 12);
    AddArrival(id, "e-3", 14);
  }
  ExpectViolation("attempts are bounded");
  // A server that refuses a request has not run it.
  for (BackendArrival& arrival : observations.arrivals)
    arrival.ran = arrival.backend != "e-2";
  BOOST_TEST(ViolatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(retries_beyond_the_budget) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kIdempotent;
    AddArrival(id, "e-1", 12);
  }
  ExpectViolation("retries are bounded over all instances");
}

BOOST_AUTO_TEST_CASE(a_request_interrupted_by_planned_work) {
  RequestRecord& request = AddServed("a", 5000);
  request.status = 0;
  request.complete = false;
  ExpectViolation("planned work cuts no request");
  // An unplanned fault a short time before excuses it.
  observations.faults.push_back({"process killed", At(3000), At(3000)});
  BOOST_TEST(ViolatedInvariants().empty());
  observations.faults.clear();
  BOOST_TEST(ViolatedInvariants(InvariantScope::kTimingIndependent).empty());
}

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_that_fails) {
  observations.shutdowns.push_back({"i-1#1", At(4000), At(12000), true});
  ExpectViolation("planned stops end by themselves");
}

BOOST_AUTO_TEST_CASE(a_retired_backend_server_that_gets_a_request) {
  AddServed("a", 6000);
  observations.retirements.push_back({"e-1", At(3500)});
  ExpectViolation("leaving servers get no requests");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::soak
