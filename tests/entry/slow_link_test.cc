#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <random>
#include <string>

#include "entry_fixture/server_thread.h"
#include "entry_fixture/store_standin.h"
#include "gateway/replication/peer_rows.h"
#include "platform/platform.h"
#include "support/tcp_proxy.h"

namespace bamboomount::entry_test {
namespace {

using support::TcpProxy;

// The proxy forwards 16 KiB with each delay, so that this one makes a link of
// about 10 Mbit/s.
constexpr std::chrono::milliseconds kSlowLinkDelay{13};
// A configuration of some thousand routes, before it is compressed.
constexpr std::size_t kLargeRowBytes = 1'200'000;

// Text that no compression makes much shorter.
std::string RandomText(std::size_t size) {
  constexpr int kSeed = 7;
  std::mt19937 random(kSeed);
  std::uniform_int_distribution<int> byte(0, 255);
  std::string text(size, '\0');
  for (char& c : text)
    c = static_cast<char>(byte(random));
  return text;
}

// Serves the same body for each request.
class BodyServer {
 public:
  explicit BodyServer(std::string body)
      : body_(std::move(body)), server_([this](standin::Exchange& exchange) {
          return Serve(exchange);
        }) {}

  std::string address() const { return server_.address(); }

 private:
  boost::asio::awaitable<void> Serve(standin::Exchange& exchange) {
    standin::HttpReply reply;
    reply.body = body_;
    co_await exchange.Reply(std::move(reply));
  }

  const std::string body_;
  ServerThread server_;
};

// Sends a byte of its response now and then until the caller closes.
class TricklingServer {
 public:
  std::string address() const { return server_.address(); }

 private:
  static boost::asio::awaitable<void> Serve(standin::Exchange& exchange) {
    constexpr std::int64_t kPauseMs = 20;
    const standin::HttpReply head;
    co_await exchange.StartStream(head);
    while (!exchange.is_disconnected()) {
      co_await exchange.WriteChunk("x");
      co_await exchange.Wait(kPauseMs);
    }
  }

  ServerThread server_{
      [](standin::Exchange& exchange) { return Serve(exchange); }};
};

PeerRows LargeRows() {
  PeerRows rows;
  rows.rows.push_back(
      {"op", "config", RandomText(kLargeRowBytes), RowVersion(13), false});
  rows.status.revision = RowVersion(13);
  rows.status.position = {StoreEra(0), RowVersion(13)};
  return rows;
}

BOOST_AUTO_TEST_SUITE(slow_link)

// Guards against a time limit for whole transfers: instances with slow links
// fetched a large configuration again and again, filled their links with it and
// never got it.
BOOST_AUTO_TEST_CASE(a_large_configuration_arrives_from_a_peer) {
  const PeerRowsQuery query{"op", {StoreEra(0), RowVersion(1)}};
  const BodyServer peer(PeerRowsEncoder().Encode(query, LargeRows()));
  TcpProxy link(peer.address());
  link.SetDelay(kSlowLinkDelay);
  boost::asio::io_context context;
  PeerRowsClient client(context);
  std::optional<PeerRows> received;
  client.Fetch(link.address(), query, [&](std::optional<PeerRows> rows) {
    received = std::move(rows);
  });
  context.run();
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(received->rows.front().value.size() == kLargeRowBytes);
}

// Guards against the same time limit for reads of the store, which kept the
// polls of stale instances from helping.
BOOST_AUTO_TEST_CASE(a_large_configuration_arrives_from_the_store) {
  StoreStandin store;
  store.Put("op", "config", RandomText(kLargeRowBytes));
  TcpProxy link(store.address());
  link.SetDelay(kSlowLinkDelay);
  boost::asio::io_context context;
  HttpTableStore client(context, link.address());
  std::size_t received = 0;
  client.ReadChanges("op", RowVersion(1), Millis(0),
                     [&](Result<RowsResponse> response) {
                       if (response)
                         received = response.value().rows.front().value.size();
                       context.stop();
                     });
  context.run();
  BOOST_TEST(received == kLargeRowBytes);
}

// Guards against a transfer that is never given up because a byte arrives now
// and then. Does not return if that happens.
BOOST_AUTO_TEST_CASE(a_response_that_trickles_is_given_up) {
  const TricklingServer peer;
  boost::asio::io_context context;
  PeerRowsClient client(context);
  bool failed = false;
  client.Fetch(peer.address(), {"op", {StoreEra(0), RowVersion(1)}},
               [&](const std::optional<PeerRows>& rows) { failed = !rows; });
  context.run();
  BOOST_TEST(failed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
