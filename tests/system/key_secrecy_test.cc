#include <boost/test/unit_test.hpp>

#include "support/chat_client.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

std::string PercentEncode(const std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string encoded;
  for (const unsigned char c : text) {
    encoded += '%';
    encoded += kDigits[c / 16];
    encoded += kDigits[c % 16];
  }
  return encoded;
}

std::string EscapeAsJson(const std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string escaped;
  for (const unsigned char c : text) {
    escaped += "\\u00";
    escaped += kDigits[c / 16];
    escaped += kDigits[c % 16];
  }
  return escaped;
}

// A request that contains the key in one particular place.
struct KeyPlacementCase {
  std::string name;
  ClientRequest request;
  // Whether the router must refuse it; otherwise it must be served and the key
  // must not be forwarded.
  bool refused = true;
};

std::vector<KeyPlacementCase> KeyPlacementCases(const std::string& key) {
  const HeaderList header = {{"Authorization", "Bearer " + key}};
  const auto with = [&header](const std::string& name,
                              const std::string& value) {
    HeaderList headers = header;
    headers.emplace_back(name, value);
    return headers;
  };
  const std::string lookup = Fleet::kKeyedLookup;
  const std::string open = Fleet::kOpenLookup;
  const std::string json_key = R"({"note":")" + key + R"("})";
  const std::string json_escaped = R"({"note":")" + EscapeAsJson(key) + R"("})";
  const std::string json_repeated =
      R"({"note":")" + EscapeAsJson(key) + R"(","note":"x"})";
  return {
      {"header", {"POST", lookup, header, "{}"}, false},
      {"query", {"POST", lookup + "?api_key=" + key, header, "{}"}},
      {"percent-encoded query",
       {"POST", lookup + "?k=" + PercentEncode(key), header, "{}"}},
      {"other header", {"POST", lookup, with("X-Api-Key", key), "{}"}},
      {"copied header", {"POST", lookup, with("Accept", "text/" + key), "{}"}},
      {"content type",
       {"POST", lookup, with("Content-Type", "text/" + key), "{}"}},
      {"cookie", {"POST", lookup, with("Cookie", "k=" + key), "{}"}},
      {"traceparent", {"POST", lookup, with("traceparent", key), "{}"}},
      {"body", {"POST", lookup, header, json_key}},
      {"escaped body", {"POST", lookup, header, json_escaped}},
      {"escaped body behind a repeated name",
       {"POST", lookup, header, json_repeated}},
      {"form body", {"POST", lookup, header, "k=" + PercentEncode(key)}},
      {"open route", {"POST", open, header, "{}"}, false},
      {"open route, query", {"POST", open + "?k=" + key, header, "{}"}},
      {"open route, body", {"POST", open, header, json_key}},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(key_secrecy)

// Guards against leaking a caller's key to a backend server, which could then
// act in the caller's name. A key outside the Authorization header must be
// refused, also if it is encoded.
BOOST_AUTO_TEST_CASE(no_backend_server_sees_a_callers_key) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  const std::string& key = fleet.key();
  for (const KeyPlacementCase& placement : KeyPlacementCases(key)) {
    const std::size_t before = fleet.service(0).ReceivedRequests().size();
    const ClientResponse answer =
        CallOnce(fleet.instance(0).address, placement.request);
    const std::size_t arrived =
        fleet.service(0).ReceivedRequests().size() - before;
    BOOST_TEST_CONTEXT(placement.name << ": " << answer.body) {
      BOOST_TEST(arrived == (placement.refused ? 0U : 1U));
      BOOST_TEST(answer.status == (placement.refused ? 400 : 200));
    }
  }
  ChatParameters question;
  question.key = key;
  question.prompt = "a question";
  BOOST_TEST(SendChatRequest(fleet.instance(0).address, question).done);
  question.prompt = "my key is " + key;
  BOOST_TEST(SendChatRequest(fleet.instance(0).address, question).status ==
             400);

  const std::string seen = fleet.service(0).Get("/seen").dump() +
                           fleet.engine(0).Get("/seen").dump();
  BOOST_TEST(seen.find(key) == std::string::npos);
  BOOST_TEST(seen.find("Authorization") == std::string::npos);
  BOOST_TEST(seen.find("credential-for-backend-servers") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
