#include <boost/test/unit_test.hpp>

#include "support/chat_client.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

constexpr std::size_t kMaxBodyBytes = 1048576;
constexpr int kSlowSenders = 50;

std::string RawChatRequest(const std::string& key, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
         "Authorization: Bearer " +
         key + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string ManyHeaders(int count) {
  std::string text;
  for (int i = 0; i < count; ++i)
    text += "X-Header-" + std::to_string(i) + ": value\r\n";
  return text;
}

struct BadInput {
  std::string name;
  std::string bytes;
  int status;
  std::string code;
};

std::vector<BadInput> BadInputs(const std::string& key) {
  const std::string chat = "POST /v1/chat/completions HTTP/1.1\r\n";
  const std::string bearer = "Authorization: Bearer " + key + "\r\n";
  const std::string good =
      R"({"model":"stand-in","messages":[{"role":"user","content":"q"}]})";
  const std::string unknown_model =
      R"({"model":"none","messages":[{"role":"user","content":"q"}]})";
  const std::string bad_utf8 =
      "{\"model\":\"stand-in\",\"messages\":[{\"role\":\"user\","
      "\"content\":\"\xff\xfe\"}]}";
  const std::string huge =
      "{\"model\":\"" + std::string(kMaxBodyBytes, 'm') + "\",\"messages\":[]}";
  return {
      {"not HTTP", "hello\r\n\r\n", 400, "bad_request"},
      {"no JSON", RawChatRequest(key, "hello"), 400, "bad_request"},
      {"truncated JSON", RawChatRequest(key, good.substr(0, 40)), 400,
       "bad_request"},
      {"empty body", RawChatRequest(key, ""), 400, "bad_request"},
      {"deep JSON", RawChatRequest(key, std::string(100000, '[')), 400,
       "bad_request"},
      {"wrong types", RawChatRequest(key, R"({"model":1,"messages":2})"), 400,
       "bad_request"},
      {"huge max_tokens",
       RawChatRequest(
           key, R"({"model":"stand-in","max_tokens":1e300,"messages":[1]})"),
       400, "bad_request"},
      {"bad UTF-8", RawChatRequest(key, bad_utf8), 400, "bad_request"},
      {"unknown model", RawChatRequest(key, unknown_model), 404,
       "unknown_model"},
      {"oversized body", RawChatRequest(key, huge), 413, "body_too_large"},
      {"unknown path", "GET /nowhere HTTP/1.1\r\nHost: r\r\n\r\n", 404,
       "unknown_route"},
      {"missing key", chat + "Host: r\r\nContent-Length: 2\r\n\r\n{}", 401,
       "missing_key"},
      {"short key", RawChatRequest("short", good), 401, "unknown_key"},
      {"unknown key", RawChatRequest("0123456789abcdef0123", good), 401,
       "unknown_key"},
      {"other scheme",
       chat + "Host: r\r\nAuthorization: Basic " + key +
           "\r\nContent-Length: 2\r\n\r\n{}",
       401, "missing_key"},
      {"two keys",
       chat + "Host: r\r\n" + bearer + bearer + "Content-Length: 2\r\n\r\n{}",
       401, "missing_key"},
      {"many headers", chat + bearer + ManyHeaders(2000) + "\r\n", 431,
       "header_too_large"},
      {"huge header",
       chat + bearer + "X-Huge: " + std::string(100000, 'h') + "\r\n\r\n", 431,
       "header_too_large"},
      {"bad length", chat + bearer + "Content-Length: many\r\n\r\n", 400,
       "bad_request"},
      {"length and chunks",
       chat + bearer +
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400, "bad_request"},
      {"bad chunk", chat + bearer + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
       400, "bad_request"},
  };
}

void CheckRouterServesChat(Fleet& fleet) {
  ChatParameters question;
  question.key = fleet.key();
  question.prompt = "a question";
  const ChatReply reply = SendChatRequest(fleet.instance(0).address, question);
  BOOST_TEST(reply.done);
  BOOST_TEST(reply.complete);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bad_input)

// Guards against malformed input that stops the router for all other callers.
// The sender must get the error code of its mistake and "ran":"no".
BOOST_AUTO_TEST_CASE(bad_input_gets_a_specific_error) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  const std::string& address = fleet.instance(0).address;
  // The slow senders hold their connections while the other inputs are sent.
  std::vector<HttpClient> slow;
  for (int i = 0; i < kSlowSenders; ++i) {
    slow.emplace_back(address);
    BOOST_TEST(slow.back().SendRaw("POST /v1/chat/completions HT"));
  }
  for (const BadInput& input : BadInputs(fleet.key())) {
    HttpClient caller(address);
    caller.SendRaw(input.bytes);
    const ClientResponse answer = caller.ReadResponse();
    BOOST_TEST_CONTEXT(input.name << ": " << answer.body) {
      BOOST_TEST(answer.status == input.status);
      BOOST_TEST(ErrorMember(answer.body, "code") == input.code);
      BOOST_TEST(ErrorMember(answer.body, "ran") == "no");
    }
    CheckRouterServesChat(fleet);
  }
  for (HttpClient& sender : slow) {
    const ClientResponse answer = sender.ReadResponse();
    BOOST_TEST(answer.status == 408);
    BOOST_TEST(ErrorMember(answer.body, "code") == "request_timeout");
  }
  CheckRouterServesChat(fleet);
}

// Guards against slots and connections that stay in use after a caller
// disconnects in the middle of a request or a stream.
BOOST_AUTO_TEST_CASE(aborted_requests_do_not_block_other_callers) {
  FleetOptions options = TestFleetOptions(1, 1, 1);
  options.slots = 2;
  Fleet fleet(options);
  ChatParameters question;
  question.key = fleet.key();
  question.prompt = "long";
  question.max_tokens = 100000;
  const std::string whole =
      RawChatRequest(fleet.key(), ToRequest(question).body);
  for (std::size_t cut :
       {std::size_t{1}, std::size_t{40}, whole.size() / 2, whole.size() - 1}) {
    HttpClient caller(fleet.instance(0).address);
    caller.SendRaw(whole.substr(0, cut));
  }
  // More streams than slots; each caller disconnects after its first event.
  for (int i = 0; i < 6; ++i) {
    HttpClient caller(fleet.instance(0).address);
    caller.Send(ToRequest(question));
    BOOST_TEST(caller.ReadHead().status == 200);
    BOOST_TEST(caller.ReadEvent().has_value());
  }
  CheckRouterServesChat(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
