#include <boost/test/unit_test.hpp>

#include "support/chat_client.h"
#include "support/wait_until.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

constexpr int kChatRequests = 40;

ChatReply AskQuestion(const Fleet& fleet,
                      const std::string& address,
                      int number) {
  ChatParameters question;
  question.key = fleet.key();
  question.prompt = "question " + std::to_string(number);
  question.max_tokens = 2;
  return SendChatRequest(address, question);
}

int CountChatRequests(BackendProcess& engine) {
  int count = 0;
  for (const auto& request : engine.ReceivedRequests()) {
    if (request.value("target", "") == "/v1/chat/completions")
      ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_backend)

// Guards against requests to an engine that is shutting down, which are lost
// when it stops. Only the engine itself reports that it is leaving, as when the
// platform's list is stale.
BOOST_AUTO_TEST_CASE(
    a_leaving_engine_gets_no_new_requests_despite_a_stale_list) {
  Fleet fleet(TestFleetOptions(2, 1, 2));
  fleet.engine(0).SetFaults(R"({"leaving":true})");
  // The routers know of it once a round of requests skips the engine although
  // it is idle; from then on it must get no request.
  BOOST_REQUIRE(WaitUntil([&] {
    const int before = CountChatRequests(fleet.engine(0));
    for (int i = 0; i < 4; ++i)
      AskQuestion(fleet, fleet.instance(i % 2).address, i);
    return CountChatRequests(fleet.engine(0)) == before;
  }));
  const int before = CountChatRequests(fleet.engine(0));
  for (int i = 0; i < kChatRequests; ++i)
    BOOST_TEST(AskQuestion(fleet, fleet.instance(i % 2).address, i).done);
  BOOST_TEST(CountChatRequests(fleet.engine(0)) == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
