#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::ClientRequest;
using support::ClientResponse;
using support::WaitUntil;

// A refusal as the stand-in sends it; `id` may be a placeholder.
std::string Refusal(const std::string& id, const std::string& status) {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : "X-Bamboomount-Request-Id: " + id + "\r\n") +
         "X-Bamboomount-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

std::string Success() {
  return "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: {id}\r\n"
         "X-Bamboomount-Response-Seal: s\r\nContent-Length: 6\r\n\r\nbooked";
}

struct Example {
  std::string name;
  BackendScript script;
  // Status for a booking that the server ran.
  int status = 0;
};

std::vector<Example> Examples() {
  const std::string refusal = Refusal("{previous}", "503 Busy");
  const std::string anonymous = Refusal("", "503 Busy");
  return {
      {"refusal, then the answer", {refusal + Success()}, 200},
      {"refusal with status 429",
       {Refusal("{previous}", "429 Busy") + Success()},
       200},
      {"refusal with status 421",
       {Refusal("{previous}", "421 Other") + Success()},
       200},
      {"refusal alone", {refusal, true}, 502},
      {"many refusals", {refusal + refusal + refusal + refusal}, 502},
      {"refusal without an id", {anonymous + Success()}, 502},
      {"answer, then the refusal", {Success() + refusal}, 200},
  };
}

std::string IdOf(const ClientRequest& request) {
  for (const auto& [name, value] : request.headers) {
    if (name == "X-Bamboomount-Request-Id")
      return value;
  }
  return {};
}

int CountRuns(BackendStandin& backend, const ClientRequest& request) {
  const auto ran = backend.ExecutedRequests();
  return static_cast<int>(
      std::count_if(ran.begin(), ran.end(), [&request](const auto& seen) {
        return seen.header("X-Bamboomount-Request-Id") == IdOf(request);
      }));
}

BOOST_FIXTURE_TEST_SUITE(repeated_refusal, EntryFleet)

// Guards against a server that sends an earlier refusal once more on a kept
// connection: the caller must not be told that the booking did not run, and the
// booking must not run at a second server.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_does_not_count_for_the_next_request) {
  Configure(1, DefaultCustomers());
  BackendStandin& faulty = AddBackend("e-1");
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  BackendStandin& sound = AddBackend("e-2");
  for (const Example& example : Examples()) {
    BOOST_TEST_CONTEXT(example.name) {
      ClientRequest booking;
      ClientResponse response;
      // Until the faulty server is the one that gets the booking.
      BOOST_TEST(WaitUntil([&] {
        faulty.SetMode(BackendMode::kRefuse);
        Call(instance, MakeRequest("POST", "/book/refused"));
        faulty.SetScript(example.script);
        booking = MakeRequest("POST", "/book/x");
        response = Call(instance, booking);
        return CountRuns(faulty, booking) > 0;
      }));
      BOOST_TEST(response.status == example.status);
      BOOST_TEST(CountRuns(faulty, booking) + CountRuns(sound, booking) == 1);
      if (example.status == 200)
        BOOST_TEST(response.body == "booked");
    }
  }
}

// Guards against a server that runs a booking and answers with a status which
// tells callers that it did not: only the server's own statement says that.
BOOST_AUTO_TEST_CASE(a_refusal_without_the_statement_is_not_passed_on) {
  Configure(1, DefaultCustomers());
  BackendStandin& server = AddBackend("e-1");
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  for (const std::string status :
       {"408 Timeout", "429 Too Many Requests", "503 Unavailable"}) {
    BOOST_TEST_CONTEXT(status) {
      server.SetScript({"HTTP/1.1 " + status +
                        "\r\nX-Bamboomount-Request-Id: {id}\r\n"
                        "X-Bamboomount-Response-Seal: s\r\n"
                        "Content-Length: 4\r\n\r\nbusy"});
      const ClientRequest booking = MakeRequest("POST", "/book/x");
      const ClientResponse response = Call(instance, booking);
      BOOST_TEST(CountRuns(server, booking) == 1);
      BOOST_TEST(response.status == 502);
      BOOST_TEST(response.header("X-Bamboomount-Response-Seal").empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
