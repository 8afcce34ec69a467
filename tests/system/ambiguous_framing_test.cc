#include <boost/test/unit_test.hpp>

#include "support/chat_client.h"
#include "support/framing_examples.h"
#include "support/raw_server.h"
#include "system/admin_helpers.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

std::string Request(const std::string& target,
                    const std::string& token,
                    const FramingExample& framing,
                    const std::string& body) {
  return "POST " + target + " " + framing.version +
         "\r\nHost: router\r\nConnection: keep-alive\r\n"
         "Authorization: Bearer " +
         token + "\r\n" + framing.fields + "\r\n" + body;
}

// A complete request, as the body of another one may quote it.
std::string Hidden(const std::string& target, const std::string& token) {
  return Request(target, token, {"", "HTTP/1.1", "Content-Length: 2\r\n"},
                 "{}");
}

// Only keeps a test from hanging if the connection stays open.
constexpr std::chrono::seconds kDeadline{5};

// Sends each example with `hidden` as its body, and expects one refusal and no
// response to the hidden request.
void CheckRefused(const std::vector<FramingExample>& examples,
                  const std::string& address,
                  const std::string& target,
                  const std::string& token,
                  const std::string& hidden) {
  for (const FramingExample& framing : examples) {
    BOOST_TEST_CONTEXT(target << ": " << framing.name) {
      HttpClient client(address, kDeadline);
      client.SendRaw(Request(target, token, framing, hidden));
      BOOST_TEST(client.ReadResponse().status == 400);
      BOOST_TEST(client.ReadResponse().status == 0);
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ambiguous_framing)

// Guards against request smuggling: a request that the body of another one
// quotes must not run, whether a caller or an operator sends it.
BOOST_AUTO_TEST_CASE(a_request_hidden_in_a_body_never_runs) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  const FleetInstance& instance = fleet.instance(0);
  const std::string call = Hidden(Fleet::kRegistration, fleet.key());
  CheckRefused(AmbiguousFramings(call.size()), instance.address,
               Fleet::kRegistration, fleet.key(), call);
  BOOST_TEST(fleet.ExecutedRequests().empty());
  const std::string token = FleetOptions().admin_token;
  const std::string drain = Hidden("/admin/drain", token);
  auto examples = AmbiguousFramings(drain.size());
  // The admin server does not decode chunks.
  examples.push_back({"chunked", "HTTP/1.1", "Transfer-Encoding: chunked\r\n"});
  CheckRefused(examples, instance.admin_address, "/admin/drain", token, drain);
}

// Guards against an operator's client that takes bytes whose end is in doubt
// for a complete response.
BOOST_AUTO_TEST_CASE(an_admin_response_with_an_ambiguous_end_fails) {
  const std::string body = "[]";
  for (const FramingExample& framing : AmbiguousFramings(body.size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      RawServer server(framing.version + " 200 OK\r\n" + framing.fields +
                       "\r\n" + body);
      const AdminClient client(server.address(), FleetOptions().admin_token,
                               std::chrono::seconds(5));
      BOOST_TEST(!client.ConfigHistory().has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
