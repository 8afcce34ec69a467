#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "provider/provider.h"
#include "support/platform_process.h"

namespace bamboomount {
namespace {

namespace asio = boost::asio;

constexpr Millis kTimeout{5000};
// Long enough to connect over loopback on a busy machine. Used for calls that
// get no complete response.
constexpr Millis kTimeoutWithoutResponse{500};

const BackendOrder kOrder{"1-1",       ZoneId("zug-a"),
                          PoolId("p"), BackendKind::kFirm,
                          1,           FencingToken(1)};

// A listening socket on a port that the kernel chose.
struct Listener {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{context,
                                   {asio::ip::make_address("127.0.0.1"), 0}};

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
};

BOOST_AUTO_TEST_SUITE(run_verdict)

// The verdict "not run" for an order that the platform received would cause the
// order to be sent twice.
BOOST_AUTO_TEST_CASE(a_call_with_a_lost_response_may_have_run_and_did) {
  support::PlatformProcess platform;
  HttpBackendOrders orders(platform.address());
  platform.SetFaults(R"({"lost_answers":1})");
  const auto lost = orders.Submit(kOrder, kTimeout);
  BOOST_REQUIRE(lost.has_error());
  BOOST_TEST((lost.error().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(orders.Find("1-1", kTimeout).value().has_value());
}

// If the platform closes the connection without a response, the commit may have
// taken effect; the verdict "not run" could cause it to be applied twice.
BOOST_AUTO_TEST_CASE(a_call_on_a_closed_connection_may_have_run) {
  support::PlatformProcess platform;
  platform.SetFaults(R"({"outage":"closed"})");
  HttpTableStore table(platform.address());
  const auto lost = table.Commit(Transaction().Put("a", "1"), kTimeout);
  BOOST_REQUIRE(lost.has_error());
  BOOST_TEST((lost.error().code == ErrorCode::kStoreUnavailable));
  BOOST_TEST((lost.error().verdict == RunVerdict::kMayHaveRun));
}

// A stalled platform executes the call when it resumes, after the caller has
// timed out. The verdict "not run" could cause the call to be applied twice.
BOOST_AUTO_TEST_CASE(a_stalled_platform_may_run_the_call_after_the_timeout) {
  support::PlatformProcess platform;
  HttpTableStore table(platform.address());
  platform.SetFaults(R"({"freeze":true})");
  const auto late =
      table.Commit(Transaction().Put("a", "1"), kTimeoutWithoutResponse);
  BOOST_REQUIRE(late.has_error());
  BOOST_TEST((late.error().verdict == RunVerdict::kMayHaveRun));
  platform.SetFaults(R"({"freeze":false})");
  while (!table.Read("a", kTimeout).value().has_value())
    std::this_thread::yield();
}

// Refused work is retried elsewhere. With the verdict "may have run" it would
// be given up.
BOOST_AUTO_TEST_CASE(a_call_refused_by_the_platform_has_not_run) {
  support::PlatformProcess platform;
  platform.SetFaults(R"({"outage":"unavailable"})");
  HttpBackendOrders orders(platform.address());
  const auto refused = orders.Submit(kOrder, kTimeout);
  BOOST_REQUIRE(refused.has_error());
  BOOST_TEST((refused.error().verdict == RunVerdict::kNotRun));
  platform.SetFaults(R"({"outage":"none"})");
  BOOST_TEST(platform.Orders().empty());
}

// No byte was sent, so the call can safely be retried. The verdict "may have
// run" would leave the order unresolved.
BOOST_AUTO_TEST_CASE(a_call_with_a_refused_connection_has_not_run) {
  std::string address;
  {
    const Listener listener;
    address = listener.address();
  }
  const auto refused = HttpBackendOrders(address).Submit(kOrder, kTimeout);
  BOOST_REQUIRE(refused.has_error());
  BOOST_TEST((refused.error().code == ErrorCode::kStoreUnavailable));
  BOOST_TEST((refused.error().verdict == RunVerdict::kNotRun));
}

// A server that sends its response byte by byte would block the caller beyond
// its timeout if each read had a timeout of its own. The test ends only if the
// client gives up.
BOOST_AUTO_TEST_CASE(the_timeout_bounds_a_slowly_sent_response) {
  Listener listener;
  std::thread server([&] {
    auto socket = listener.acceptor.accept();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nx: ")),
                error);
    while (!error) {
      asio::write(socket, asio::buffer("y", 1), error);
      std::this_thread::sleep_for(kTimeoutWithoutResponse / 10);
    }
  });
  const auto result =
      HttpTableStore(listener.address()).Read("a", kTimeoutWithoutResponse);
  BOOST_TEST(result.has_error());
  server.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
