#include "router/internal/backend_call.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "support/framing_examples.h"
#include "support/raw_server.h"

namespace bamboomount {
namespace {

using support::AmbiguousFramings;
using support::FramingExample;
using support::RawServer;

constexpr Millis kTimeout{5000};
constexpr std::size_t kMaxBytes = 1024;

// Whether a complete response arrives from the server at `address`.
asio::awaitable<void> CallServer(std::shared_ptr<RunningRequest> running,
                                 const std::string& address,
                                 bool& complete) {
  BackendCall call(*running);
  const auto connected = co_await call.Connect(address, kTimeout);
  BOOST_TEST(connected.has_value());
  BackendRequest request(http::verb::get, "/", 11);
  const auto sent = co_await call.Send(request, kTimeout);
  BOOST_TEST(sent.has_value());
  const auto head = co_await call.ReadHead(kTimeout);
  if (!head)
    co_return;
  const auto body = co_await call.ReadAll(kMaxBytes, kTimeout);
  complete = body.has_value();
}

BOOST_AUTO_TEST_SUITE(backend_call)

// Guards against a response whose body is not the one that the server sent: its
// end was in doubt, and the bytes up to the close were taken for its body.
BOOST_AUTO_TEST_CASE(a_response_with_an_ambiguous_end_fails) {
  const std::string body = "an answer";
  for (const FramingExample& framing : AmbiguousFramings(body.size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      RawServer server(framing.version + " 200 OK\r\n" + framing.fields +
                       "\r\n" + body);
      asio::io_context context;
      const auto running = std::make_shared<RunningRequest>(
          context.get_executor(), RequestId("r"), std::nullopt);
      bool complete = false;
      asio::co_spawn(context, CallServer(running, server.address(), complete),
                     asio::detached);
      context.run();
      BOOST_TEST(!complete);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
