#include <boost/test/unit_test.hpp>
#include <string>

#include "entry_fixture/entry_fleet.h"
#include "gateway/control/http_channel.h"
#include "support/framing_examples.h"
#include "support/raw_server.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::AmbiguousFramings;
using support::ClientResponse;
using support::FramingExample;
using support::HttpClient;
using support::RawServer;
using support::WaitUntil;

constexpr char kBody[] = "not booked";

// A complete request, as the body of another one may quote it.
std::string HiddenRequest() {
  return "POST /book/hidden HTTP/1.1\r\nHost: h.example\r\n"
         "X-Bamboomount-Request-Id: hidden\r\nX-Api-Key: key-mill\r\n"
         "X-Bamboomount-Deadline-Milliseconds: 5000\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string RequestWith(const FramingExample& framing,
                        const std::string& target,
                        const std::string& body) {
  return "POST " + target + " " + framing.version +
         "\r\nHost: h.example\r\nX-Bamboomount-Request-Id: outer\r\n"
         "X-Api-Key: key-mill\r\nConnection: keep-alive\r\n"
         "X-Bamboomount-Deadline-Milliseconds: 5000\r\n" +
         framing.fields + "\r\n" + body;
}

std::string ReplyWith(const FramingExample& framing) {
  return framing.version +
         " 200 OK\r\nX-Bamboomount-Request-Id: {id}\r\n"
         "X-Bamboomount-Response-Seal: s\r\n" +
         framing.fields + "\r\n" + kBody;
}

BOOST_FIXTURE_TEST_SUITE(ambiguous_framing, EntryFleet)

// Guards against request smuggling: a request with an unknown transfer coding
// ran with an empty body, and the request that its body quoted ran as well.
BOOST_AUTO_TEST_CASE(a_request_hidden_in_a_body_never_runs) {
  Configure(1, DefaultCustomers());
  BackendStandin& backend = AddBackend("e-1");
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  const std::string hidden = HiddenRequest();
  for (const std::string& address :
       {instance.caller_address(), instance.directory_address()}) {
    for (const FramingExample& framing : AmbiguousFramings(hidden.size())) {
      BOOST_TEST_CONTEXT(framing.name) {
        HttpClient client(address);
        client.SendRaw(RequestWith(framing, "/book/x", hidden));
        BOOST_TEST(client.ReadResponse().status == 400);
        BOOST_TEST(client.ReadResponse().status == 0);
      }
    }
  }
  BOOST_TEST(backend.ArrivalCount() == 0);
}

// Guards against a success whose body is not the one that the server sent: the
// transfer coding was dropped and its encoded bytes were passed on.
BOOST_AUTO_TEST_CASE(a_reply_with_an_ambiguous_end_is_no_success) {
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  for (const FramingExample& framing :
       AmbiguousFramings(std::string(kBody).size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      RawServer server(ReplyWith(framing));
      const std::string id = "e-" + server.address();
      store().Put("servers", id, BackendRow(server.address()).dump());
      ClientResponse response;
      // The request is refused until the instance has read the row.
      BOOST_TEST(WaitUntil([&] {
        response = Call(instance, MakeRequest("POST", "/book/x"));
        return server.request_count() > 0;
      }));
      BOOST_TEST(response.status == 502);
      BOOST_TEST(response.body.find(kBody) == std::string::npos);
      store().Remove("servers", id);
    }
  }
}

// Guards against a body of the store, or of a peer, that is taken for complete
// although its end is in doubt.
BOOST_AUTO_TEST_CASE(a_response_of_the_store_with_an_ambiguous_end_fails) {
  for (const FramingExample& framing :
       AmbiguousFramings(std::string(kBody).size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      RawServer server(ReplyWith(framing));
      asio::io_context context;
      HttpChannel channel(context, server.address());
      bool answered = true;
      HttpCall call;
      call.method = http::verb::get;
      call.target = "/rows";
      channel.Call(call, [&answered](const HttpResponse& response) {
        answered = response.answered();
      });
      context.run();
      BOOST_TEST(!answered);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
