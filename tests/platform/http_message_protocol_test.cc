#include "platform/http_message_protocol.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

http::fields Fields(
    std::initializer_list<std::pair<const char*, const char*>> fields) {
  http::fields all;
  for (const auto& [name, value] : fields)
    all.insert(name, value);
  return all;
}

BOOST_AUTO_TEST_SUITE(http_message_protocol)

// Guards against request headers that are misread, in particular prompt parts:
// requests that share a prompt prefix would then not be recognized as such.
BOOST_AUTO_TEST_CASE(request_headers_are_decoded) {
  const HttpMessageProtocol protocol;
  const auto head = protocol.DecodeCallerHead(
      Fields({{"X-Bamboomount-Request-Id", "9c41"},
              {"X-Bamboomount-Deadline-Milliseconds", "4000"},
              {"X-Bamboomount-Token-Counts", "1460,80"},
              {"X-Bamboomount-Prompt-Prefix",
               "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
              {"X-Api-Key", "secret"}}));
  BOOST_TEST(head.value().id == RequestId("9c41"));
  BOOST_TEST(head.value().time_limit->count() == 4000);
  BOOST_TEST(head.value().key == "secret");
  const PromptShape& prompt = head.value().prompt;
  BOOST_TEST(prompt.input.value() == 1460);
  BOOST_TEST(prompt.output_limit.value() == 80);
  BOOST_TEST(prompt.parts.size() == 3U);
  BOOST_TEST(prompt.SharedPrefixId() == 0x91bd3f06U);
  BOOST_TEST(prompt.SharedTokens().value() == 1210);
}

// Guards against a request that two readers take for different ones, because a
// header is repeated with different values, and against a malformed deadline
// that is ignored.
BOOST_AUTO_TEST_CASE(conflicting_header_values_are_rejected) {
  const HttpMessageProtocol protocol;
  BOOST_TEST(!protocol.DecodeCallerHead(Fields(
      {{"X-Bamboomount-Request-Id", "a"}, {"X-Bamboomount-Request-Id", "b"}})));
  BOOST_TEST(!protocol.DecodeCallerHead(
      Fields({{"X-Api-Key", "a"}, {"X-Api-Key", "b"}})));
  BOOST_TEST(!protocol.DecodeCallerHead(
      Fields({{"X-Bamboomount-Deadline-Milliseconds", "soon"}})));
}

// Guards against a process that is ended by an exception when the prompt
// headers of a request are malformed. The items that can be parsed are still
// used.
BOOST_AUTO_TEST_CASE(malformed_prompt_fields_are_skipped) {
  const HttpMessageProtocol protocol;
  const auto head = protocol.DecodeCallerHead(
      Fields({{"X-Bamboomount-Token-Counts", ",,x"},
              {"X-Bamboomount-Prompt-Prefix", ":,zz:1,12:,,4:5"}}));
  BOOST_TEST(head.value().prompt.parts.size() == 1U);
}

// Guards against headers of a caller that reach a backend server although they
// are secret (the API key) or reserved for the router, for example a forged
// customer or urgency.
BOOST_AUTO_TEST_CASE(only_the_router_sets_reserved_fields) {
  const HttpMessageProtocol protocol;
  http::fields fields = Fields({{"X-Api-Key", "secret"},
                                {"X-Bamboomount-Tenant", "other"},
                                {"X-Bamboomount-Hold", "h"},
                                {"Kv-From", "1.2.3.4:5/h"},
                                {"X-Bamboomount-Kv-Backup", "1.2.3.4:5"},
                                {"Kv-Fetch", "1.2.3.4:5"},
                                {"X-Bamboomount-Request-Urgency", "0"},
                                {"X-Other", "kept"}});
  protocol.EncodeForwardingHead(
      {Millis(1500), BackendId("e-1"), CustomerId("mill"),
       Urgency{Tier(35), 36}, "10.0.0.9:8080", "7"},
      fields);
  BOOST_TEST(fields["X-Api-Key"].empty());
  BOOST_TEST(fields["X-Bamboomount-Hold"].empty());
  BOOST_TEST(fields["Kv-From"].empty());
  BOOST_TEST(fields["X-Bamboomount-Kv-Backup"].empty());
  BOOST_TEST(fields["X-Bamboomount-Tenant"] == "mill");
  BOOST_TEST(fields["X-Bamboomount-Expected-Instance"] == "e-1");
  BOOST_TEST(fields["X-Bamboomount-Deadline-Milliseconds"] == "1500");
  BOOST_TEST(fields["X-Bamboomount-Request-Urgency"] == "9");
  BOOST_TEST(fields["Kv-Fetch"] == "10.0.0.9:8080");
  BOOST_TEST(fields["Last-Event-Id"] == "7");
  BOOST_TEST(fields["X-Other"] == "kept");
}

// Guards against reply headers that are misread: a refusal would be taken for
// an executed request, or a retry would come at the wrong time.
BOOST_AUTO_TEST_CASE(reply_headers_are_decoded) {
  const HttpMessageProtocol protocol;
  http::response_header<> header;
  header.result(503);
  header.set("X-Bamboomount-Not-Executed", "1");
  header.set("Retry-After", "0.25");
  header.set("Keep-Alive", "max=3, timeout=7");
  header.set("Server-Brittle", "12");
  const ReplyHead head = protocol.DecodeReplyHead(header);
  BOOST_TEST(head.status == 503U);
  BOOST_TEST(head.not_executed);
  BOOST_TEST(!head.sealed);
  BOOST_TEST(head.retry_after->count() == 250);
  BOOST_TEST(head.idle_timeout->count() == 7000);
  BOOST_TEST(head.brittle_rejections.value() == 12);
  for (const char* odd : {"", "-1", "many", "99999999999999999999"}) {
    header.set("Server-Brittle", odd);
    BOOST_TEST(!protocol.DecodeReplyHead(header).brittle_rejections);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
