#include "soak/checks/promises.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bamboomount::soak {
namespace {

const Time kStart = std::chrono::steady_clock::now();

Time At(int ms) {
  return kStart + Millis(ms);
}

// Observations of a soak in which a test breaks one promise. A check that
// cannot fail would let every soak pass.
class Scene {
 public:
  // A booking that ran once and was answered.
  RequestRecord& AddServed(const std::string& id, int sent_ms = 0) {
    RequestRecord record;
    record.id = id;
    record.kind = RequestKind::kBooking;
    record.key = "key";
    record.customer = "mill";
    record.process = "i-1#1";
    record.sent = At(sent_ms);
    record.ended = At(sent_ms + 20);
    record.status = 200;
    record.complete = true;
    record.seal = "seal-" + id;
    record.body = "answer:" + id;
    seen.requests.push_back(record);
    AddArrival(id, "e-1", sent_ms + 10);
    return seen.requests.back();
  }
  void AddArrival(const std::string& id,
                  const std::string& backend,
                  int at_ms) {
    seen.arrivals.push_back({backend, id, "mill", false, true, At(at_ms)});
  }
  void AddUsage(const std::string& holder, int token, int window, int count) {
    entry_test::UsageReport report;
    report.holder = holder;
    report.token = token;
    report.window = window;
    report.counts = {{"mill", count}};
    report.at = At(window);
    seen.usage.push_back(report);
  }
  std::vector<std::string> Broken(PromiseScope scope = PromiseScope::kAll) {
    std::vector<std::string> names;
    for (const BrokenPromise& promise :
         FindBrokenPromises(seen, PromiseBounds{}, scope))
      names.push_back(promise.promise);
    return names;
  }
  void Expect(const std::string& promise) {
    const auto broken = Broken();
    BOOST_TEST(broken == std::vector<std::string>{promise},
               boost::test_tools::per_element());
  }

  Observations seen;
};

BOOST_FIXTURE_TEST_SUITE(promises, Scene)

BOOST_AUTO_TEST_CASE(what_is_served_as_promised_breaks_nothing) {
  AddServed("a");
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 2, 2, 5);
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(a_booking_that_runs_twice) {
  AddServed("a");
  AddArrival("a", "e-2", 12);
  Expect("runs at most once");
}

BOOST_AUTO_TEST_CASE(a_refused_booking_that_ran) {
  AddServed("a").status = 503;
  Expect("a refusal says that the request did not run");
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request) {
  AddServed("a").seal = "seal-b";
  Expect("answers belong to their requests");
}

BOOST_AUTO_TEST_CASE(an_answer_that_looks_whole) {
  AddServed("a").body = "xyz";
  Expect("answers are whole");
}

BOOST_AUTO_TEST_CASE(a_stream_with_an_event_that_comes_twice) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kTalk;
  request.events = {1, 2, 2, 3, 4, 5, 6};
  Expect("no event is missing or comes twice");
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_early_and_looks_complete) {
  RequestRecord& request = AddServed("a");
  request.kind = RequestKind::kTalk;
  request.events = {1, 2};
  Expect("streams that look complete are");
}

BOOST_AUTO_TEST_CASE(a_key_that_a_backend_server_sees) {
  AddServed("a");
  seen.arrivals.back().has_key = true;
  Expect("backend servers see no key");
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_for_another_customer) {
  AddServed("a");
  seen.arrivals.back().customer = "kennel";
  Expect("requests run for the key's customer");
}

BOOST_AUTO_TEST_CASE(a_request_that_nobody_sent) {
  AddServed("a");
  AddArrival("b", "e-1", 10);
  Expect("only what callers sent runs");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_that_works) {
  AddServed("a", 5100);
  seen.withdrawals.push_back({"key", At(0)});
  Expect("withdrawn keys stop working");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_that_works_a_little_longer) {
  AddServed("a", 4900);
  seen.withdrawals.push_back({"key", At(0)});
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(a_window_with_two_counts) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-1", 1, 1, 4);
  Expect("one count for each usage window");
}

BOOST_AUTO_TEST_CASE(a_token_with_two_holders) {
  AddUsage("i-1", 1, 1, 3);
  AddUsage("i-2", 1, 2, 3);
  Expect("one holder for each fencing token");
}

BOOST_AUTO_TEST_CASE(a_token_that_goes_back) {
  AddUsage("i-2", 2, 1, 3);
  AddUsage("i-1", 1, 2, 3);
  Expect("fencing tokens grow");
}

BOOST_AUTO_TEST_CASE(a_process_that_goes_back_to_an_older_configuration) {
  RequestRecord& newer = AddServed("a");
  newer.kind = RequestKind::kVersionProbe;
  newer.version = 2;
  RequestRecord& older = AddServed("b", 400);
  older.kind = RequestKind::kVersionProbe;
  older.version = 1;
  Expect("configurations do not go back");
  // Another process may not know it yet.
  older.process = "i-2#1";
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(requests_that_go_to_too_many_servers) {
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kLookup;
    AddArrival(id, "e-2", 12);
    AddArrival(id, "e-3", 14);
  }
  Expect("attempts are bounded");
  // A server that refuses a request has not run it.
  for (BackendArrival& arrival : seen.arrivals)
    arrival.ran = arrival.backend != "e-2";
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(repeats_beyond_the_budget) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = "r" + std::to_string(i);
    AddServed(id).kind = RequestKind::kLookup;
    AddArrival(id, "e-1", 12);
  }
  Expect("retries are bounded over all instances");
}

BOOST_AUTO_TEST_CASE(a_planned_stop_that_cuts_a_request) {
  RequestRecord& request = AddServed("a", 5000);
  request.status = 0;
  request.complete = false;
  Expect("planned work cuts no request");
  // An unplanned fault a short time before excuses it.
  seen.faults.push_back({"process killed", At(3000), At(3000)});
  BOOST_TEST(Broken().empty());
  seen.faults.clear();
  BOOST_TEST(Broken(PromiseScope::kAnySpeed).empty());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_that_does_not_end) {
  seen.stops.push_back({"i-1#1", At(4000), At(12000), true});
  Expect("planned stops end by themselves");
}

BOOST_AUTO_TEST_CASE(a_leaving_server_that_gets_a_request) {
  AddServed("a", 6000);
  seen.departures.push_back({"e-1", At(3500)});
  Expect("leaving servers get no requests");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::soak
