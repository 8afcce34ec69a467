#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "support/answer.h"
#include "support/chat_client.h"
#include "support/wait_until.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

constexpr int kStreams = 16;
// At 100 tokens per second the streams last 7 s, which is longer than the 5 s
// in which an instance that shuts down still accepts connections.
constexpr int kTokensPerStream = 700;

}  // namespace

BOOST_AUTO_TEST_SUITE(graceful_shutdown)

// Guards against a graceful shutdown that interrupts requests, which would fail
// calls at every update of the program.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_interrupts_no_request) {
  FleetOptions options = TestFleetOptions(2, 1, 2);
  options.engine_arguments = {"--pace", "100"};
  Fleet fleet(options);
  FleetInstance& leaving = fleet.instance(0);
  std::atomic<int> started = 0;
  std::vector<std::future<ChatReply>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      ChatParameters question;
      question.key = fleet.key();
      question.prompt = "prompt " + std::to_string(i);
      question.max_tokens = kTokensPerStream;
      return SendChatRequest(leaving.address, question, [&started](int tokens) {
        started += tokens == 1 ? 1 : 0;
      });
    }));
  }
  BOOST_TEST(WaitUntil([&] { return started == kStreams; }));
  leaving.router->Signal(SIGTERM);

  // Until the listener closes, every call must get a response.
  const ClientRequest lookup{"GET",
                             Fleet::kKeyedLookup,
                             {{"Authorization", "Bearer " + fleet.key()}},
                             ""};
  int served = 0;
  int failed = 0;
  BOOST_TEST(WaitUntil([&] {
    try {
      HttpClient caller(leaving.address);
      caller.Send(lookup);
      (caller.ReadResponse().status == 200 ? served : failed) += 1;
      return false;
    } catch (const std::runtime_error&) {
      return true;
    }
  }));
  BOOST_TEST(served > 0);
  // A call that arrives while the listener closes may be reset before it is
  // accepted.
  BOOST_TEST(failed <= 1);
  for (int i = 0; i < kStreams; ++i) {
    const ChatReply reply = streams[i].get();
    const std::string prompt = "prompt " + std::to_string(i);
    const bool is_complete =
        reply.done && reply.complete &&
        reply.content == standin::ExpectedAnswer(prompt, kTokensPerStream);
    BOOST_TEST(is_complete, "stream " << i << " got " << reply.tokens
                                      << " tokens, error " << reply.error);
  }
  BOOST_TEST(leaving.router->Wait() == 0);

  // Callers that ask for addresses get only the other instance.
  const ClientResponse addresses =
      CallOnce(fleet.instance(1).address, {"GET", "/v1/instances", {}, ""});
  BOOST_TEST(addresses.body.find(leaving.address) == std::string::npos);
  BOOST_TEST(addresses.body.find(fleet.instance(1).address) !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
