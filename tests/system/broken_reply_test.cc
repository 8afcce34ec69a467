#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "support/chat_client.h"
#include "support/endless_server.h"
#include "support/reply_checks.h"
#include "support/wait_until.h"
#include "system/admin_helpers.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

constexpr char kBody[] = R"({"lot":"A-77"})";
constexpr char kFields[] =
    "Content-Type: application/json\r\nX-Request-Id: {id}\r\n";

// One router, and the backend servers of its configuration, which tests replace
// one by one.
class RouterFleet {
 public:
  RouterFleet() : fleet_(TestFleetOptions(1, 1, 1)) {}

  Fleet& fleet() { return fleet_; }
  const std::string& router_address() { return fleet_.instance(0).address; }

  // Applies a configuration in which `address` stands for `replaced`.
  void ReplaceBackend(const std::string& replaced, const std::string& address) {
    std::string text = fleet_.ConfigText(100);
    text.replace(text.find(replaced), replaced.size(), address);
    const ConfigVersion base(version_);
    const ConfigVersion applied(++version_);
    fleet_.Append(ConfigApplied{applied, base, text});
    const AdminClient admin = MakeAdminClient(fleet_.instance(0));
    BOOST_REQUIRE(WaitUntil([&] {
      const auto position = admin.Position();
      return position && position.value().config_version == applied;
    }));
  }

  ClientResponse Register() {
    const std::string key = "key-" + std::to_string(++registrations_);
    return CallOnce(router_address(),
                    {"POST",
                     Fleet::kRegistration,
                     {{"Authorization", "Bearer " + fleet_.key()},
                      {"Idempotency-Key", key}},
                     "{}"});
  }

 private:
  Fleet fleet_;
  std::uint64_t version_ = 1;
  int registrations_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(broken_reply, RouterFleet)

// Guards against a broken answer of a backend server that a caller gets as its
// answer: the status 000, a head with a blank in a field's name, or one that
// breaks off.
BOOST_AUTO_TEST_CASE(a_broken_reply_is_no_answer) {
  const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kFields;
  const std::string sound =
      std::string("HTTP/1.1 100 Continue\r\n\r\n") + head + "\r\n" + kBody;
  const ReplyExample examples[] = {
      {"status 000",
       std::string("HTTP/1.1 000 OK\r\n") + kFields + "\r\n" + kBody},
      {"blank before a name", head + " X-Odd: 1\r\n\r\n" + kBody},
      {"blank behind a name", head + "X-Odd : 1\r\n\r\n" + kBody},
      {"part of a head", head + "Content-Length: 0\r\n"},
  };
  RawServer server(sound);
  ReplaceBackend(fleet().service(0).address(), server.address());
  for (const ReplyExample& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      // After a failure, the server gets no requests for a while.
      server.SetReply(sound);
      BOOST_TEST(WaitUntil([&] { return Register().body == kBody; }));
      server.SetReply(example.bytes);
      const ClientResponse response = Register();
      BOOST_TEST(response.status >= 500);
      BOOST_TEST(ErrorMember(response.body, "ran") == "unknown");
    }
  }
}

// Guards against a router that keeps an event without an end until it runs out
// of memory, and ends with the requests of all its callers.
BOOST_AUTO_TEST_CASE(an_event_without_an_end_is_cut_off) {
  // What the router may read, and what socket buffers take besides.
  constexpr std::size_t kMaxBytes = 16U << 20U;
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Request-Id: {id}\r\n";
  const EndlessReply examples[] = {
      {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
       "a\r\ndata: xxxx\r\n"},
      {"until the close", head + "\r\n", "data: xxxx"},
  };
  for (const EndlessReply& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      EndlessServer server(example);
      ReplaceBackend(fleet().engine(0).address(), server.address());
      ChatParameters question;
      question.key = fleet().key();
      question.prompt = "a long answer";
      // Refused while the router avoids the engine of the example before.
      BOOST_TEST(WaitUntil([&] {
        SendChatRequest(router_address(), question);
        return server.closed();
      }));
      BOOST_TEST(server.bytes_written() < kMaxBytes);
    }
  }
  BOOST_TEST(fleet().instance(0).router->running());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::support
