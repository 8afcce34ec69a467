#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::ClientRequest;
using support::ClientResponse;
using support::HttpClient;
using support::WaitUntil;

// One instance with a configuration and one backend server; tests may add a
// second server.
class ServingFleet : public EntryFleet {
 public:
  ServingFleet() {
    Configure(1, DefaultCustomers());
    first_ = &AddBackend("e-1");
    instance_ = &AddInstance();
    instance_->WaitUntilReady();
  }

  BackendStandin& first() { return *first_; }
  EntryInstance& instance() { return *instance_; }
  // Adds a second server and waits until the instance knows it, which shows
  // when a request is served although the first server refuses.
  BackendStandin& AddSecond() {
    BackendStandin& second = AddBackend("e-2");
    first().SetMode(BackendMode::kRefuse);
    WaitUntil([&] {
      return Call(instance(), MakeRequest("GET", "/lookup/x")).status == 200;
    });
    first().SetMode(BackendMode::kAnswer);
    return second;
  }

 private:
  BackendStandin* first_ = nullptr;
  EntryInstance* instance_ = nullptr;
};

std::string HeaderOf(const ClientRequest& request, const std::string& name) {
  for (const auto& [header, value] : request.headers) {
    if (header == name)
      return value;
  }
  return {};
}

std::string IdOf(const ClientRequest& request) {
  return HeaderOf(request, "X-Bamboomount-Request-Id");
}

BOOST_FIXTURE_TEST_SUITE(forwarding, ServingFleet)

// Guards against a response without its seal or for another request, against a
// customer's key or hop-by-hop fields that reach the backend server, and
// against a customer name that the caller sent itself.
BOOST_AUTO_TEST_CASE(a_request_is_served_for_its_customer) {
  ClientRequest request = MakeRequest("POST", "/book/a?b=c");
  request.body = "four drums of feed";
  request.headers.emplace_back("X-Bamboomount-Tenant", "kennel");
  request.headers.emplace_back("X-Bamboomount-Hold", "h");
  request.headers.emplace_back("Connection", "X-Hop");
  request.headers.emplace_back("X-Hop", "1");
  const ClientResponse response = Call(instance(), request);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.complete);
  BOOST_TEST(response.header("X-Bamboomount-Response-Seal") ==
             "seal-" + IdOf(request));
  const auto ran = first().ExecutedRequests();
  BOOST_TEST(ran.size() == 1U);
  BOOST_TEST(ran[0].method == "POST");
  BOOST_TEST(ran[0].target == "/book/a?b=c");
  BOOST_TEST(ran[0].body == request.body);
  BOOST_TEST(ran[0].header("X-Bamboomount-Tenant") == "mill");
  BOOST_TEST(ran[0].header("X-Api-Key").empty());
  BOOST_TEST(ran[0].header("X-Bamboomount-Hold").empty());
  BOOST_TEST(ran[0].header("X-Hop").empty());
  const int left =
      std::stoi(ran[0].header("X-Bamboomount-Deadline-Milliseconds"));
  BOOST_TEST(left > 0);
  BOOST_TEST(left <= 15000);
}

// Guards against requests that are served without a valid key or without a
// route.
BOOST_AUTO_TEST_CASE(keys_and_routes_are_required) {
  BOOST_TEST(Call(instance(), MakeRequest("GET", "/lookup/x", "")).status ==
             401);
  BOOST_TEST(Call(instance(), MakeRequest("GET", "/lookup/x", "no")).status ==
             401);
  BOOST_TEST(Call(instance(), MakeRequest("GET", "/nowhere/x")).status == 404);
  BOOST_TEST(Call(instance(), MakeRequest("GET", "/open/x", "")).status == 200);
  BOOST_TEST(first().ExecutedRequests().size() == 1U);
  BOOST_TEST(
      first().ExecutedRequests()[0].header("X-Bamboomount-Tenant").empty());
}

// Guards against pipelined requests on one connection that get each other's
// responses.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  HttpClient client(instance().caller_address());
  const ClientRequest one = MakeRequest("GET", "/lookup/1");
  const ClientRequest two = MakeRequest("GET", "/lookup/2");
  client.Send(one);
  client.Send(two);
  BOOST_TEST(client.ReadResponse().header("X-Bamboomount-Request-Id") ==
             IdOf(one));
  BOOST_TEST(client.ReadResponse().header("X-Bamboomount-Request-Id") ==
             IdOf(two));
}

// Guards against request smuggling by conflicting framing or Host fields, and
// against callers that get no response to a malformed or oversized request.
BOOST_AUTO_TEST_CASE(malformed_and_oversized_requests_get_an_error_status) {
  for (const std::string bytes :
       {"nonsense\r\n\r\n",
        "POST /book/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: "
        "5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n\r\n",
        "GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nHost: other\r\n"
        "X-Bamboomount-Request-Id: r\r\n\r\n"}) {
    HttpClient client(instance().caller_address());
    client.SendRaw(bytes);
    BOOST_TEST(client.ReadResponse().status == 400);
  }
  ClientRequest large = MakeRequest("POST", "/book/x");
  large.body = std::string(200000, 'x');
  BOOST_TEST(Call(instance(), large).status == 413);
  ClientRequest long_header = MakeRequest("GET", "/lookup/x");
  long_header.headers.emplace_back("X-Long", std::string(20000, 'x'));
  BOOST_TEST(Call(instance(), long_header).status == 431);
  BOOST_TEST(first().ExecutedRequests().empty());
}

// Guards against a 503, which tells the caller that the booking did not run,
// and against a second run, when a server runs a booking and its response is
// lost, truncated or unsealed.
BOOST_AUTO_TEST_CASE(
    a_booking_with_a_lost_response_gets_502_and_is_not_repeated) {
  AddSecond();
  for (const BackendMode mode :
       {BackendMode::kLoseReply, BackendMode::kTruncate,
        BackendMode::kUnsealed}) {
    first().SetMode(mode);
    const ClientRequest request = MakeRequest("POST", "/book/x");
    int ran = 0;
    // If the other server was selected, the booking succeeds.
    const ClientResponse response = Call(instance(), request);
    for (const auto& seen : first().ExecutedRequests())
      ran += seen.header("X-Bamboomount-Request-Id") == IdOf(request) ? 1 : 0;
    if (ran > 0)
      BOOST_TEST(response.status == 502);
    BOOST_TEST(ran <= 1);
  }
}

// Guards against an idempotent look-up that fails although another server can
// answer it, when the first server refuses it or fails to respond.
BOOST_AUTO_TEST_CASE(a_failed_lookup_is_retried_at_another_server) {
  AddSecond();
  for (const BackendMode mode :
       {BackendMode::kRefuse, BackendMode::kWrongServer,
        BackendMode::kLoseReply, BackendMode::kTruncate,
        BackendMode::kUnsealed}) {
    first().SetMode(mode);
    const ClientResponse response =
        Call(instance(), MakeRequest("GET", "/lookup/x"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
  }
}

// Guards against forwarding a response to another request that arrives first on
// the connection.
BOOST_AUTO_TEST_CASE(a_response_to_another_request_is_skipped) {
  first().SetMode(BackendMode::kMismatchedReplyFirst);
  const ClientRequest request = MakeRequest("POST", "/book/x");
  const ClientResponse response = Call(instance(), request);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.header("X-Bamboomount-Request-Id") == IdOf(request));
  BOOST_TEST(response.body.find(IdOf(request)) != std::string::npos);
}

// Guards against refusals without Retry-After, after which callers would not
// know when to retry.
BOOST_AUTO_TEST_CASE(a_refusal_carries_retry_after) {
  first().SetMode(BackendMode::kRefuse);
  const ClientResponse response =
      Call(instance(), MakeRequest("POST", "/book/x"));
  BOOST_TEST(response.status == 503);
  BOOST_TEST(std::stod(response.header("Retry-After")) > 0);
  BOOST_TEST(first().ExecutedRequests().empty());
}

// Guards against a backend server that keeps working on a request after its
// caller has disconnected.
BOOST_AUTO_TEST_CASE(work_is_cancelled_when_the_caller_leaves) {
  first().SetMode(BackendMode::kHold);
  {
    HttpClient client(instance().caller_address());
    client.Send(MakeRequest("POST", "/book/x"));
    BOOST_TEST(
        WaitUntil([this] { return first().ExecutedRequests().size() == 1U; }));
  }
  BOOST_TEST(WaitUntil([this] { return first().AbandonedCount() == 1; }));
}

std::vector<std::string> ReadStream(EntryInstance& instance,
                                    const std::string& target,
                                    bool& clean) {
  HttpClient client(instance.caller_address());
  client.Send(MakeRequest("POST", target));
  std::vector<std::string> events;
  if (client.ReadHead().status == 200) {
    while (const auto event = client.ReadEvent())
      events.push_back(*event);
    clean = client.ended_cleanly();
  }
  return events;
}

// Guards against events that are lost or duplicated while a stream is
// forwarded.
BOOST_AUTO_TEST_CASE(a_stream_is_forwarded_completely) {
  bool clean = false;
  BOOST_TEST(ReadStream(instance(), "/talk/stream", clean).size() ==
             static_cast<std::size_t>(kStreamEvents));
  BOOST_TEST(clean);
}

// Guards against a stream that appears complete although the server failed
// before the last event.
BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_look_complete) {
  first().SetMode(BackendMode::kCutInEvent);
  bool clean = true;
  BOOST_TEST(ReadStream(instance(), "/talk/stream", clean).size() == 2U);
  BOOST_TEST(!clean);
}

// Guards against events that are missing, duplicated or joined, when a server
// fails in the middle of an event and another one resumes the stream.
BOOST_AUTO_TEST_CASE(a_resumable_stream_is_resumed_at_another_server) {
  BackendStandin& second = AddSecond();
  for (int round = 0; round < 8; ++round) {
    // Servers with equal load are selected in the order of their ids, unless
    // one has failed before.
    first().SetMode(round % 2 == 0 ? BackendMode::kCutInEvent
                                   : BackendMode::kAnswer);
    second.SetMode(round % 2 == 1 ? BackendMode::kCutInEvent
                                  : BackendMode::kAnswer);
    bool clean = false;
    const auto events = ReadStream(instance(), "/resume/stream", clean);
    BOOST_TEST(clean);
    BOOST_TEST(events.size() == static_cast<std::size_t>(kStreamEvents));
    for (std::size_t i = 0; i < events.size(); ++i)
      BOOST_TEST(events[i].find("piece " + std::to_string(i + 1)) !=
                 std::string::npos);
  }
  const auto resumed = [](const standin::HttpRequest& request) {
    return !request.header("Last-Event-Id").empty();
  };
  const auto first_ran = first().ExecutedRequests();
  const auto second_ran = second.ExecutedRequests();
  BOOST_TEST(std::count_if(first_ran.begin(), first_ran.end(), resumed) +
                 std::count_if(second_ran.begin(), second_ran.end(), resumed) >
             0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
