#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sstream>
#include <thread>

#include "entry_fixture/entry_fleet.h"
#include "gateway/control/table_names.h"
#include "gateway/forwarding/endpoint.h"
#include "gateway/replication/gossip_message.h"
#include "support/tcp_proxy.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::LinkMode;
using support::TcpProxy;
using support::WaitUntil;

int StatusOf(EntryInstance& instance,
             const std::string& target,
             const std::string& key = "key-mill") {
  return Call(instance, MakeRequest("GET", target, key)).status;
}

// Instances with gossip enabled. Some reach the store through a proxy that a
// test can disrupt.
class GossipFleet : public EntryFleet {
 public:
  GossipFleet() {
    backend_ = &AddBackend("e-1");
    Configure(1, DefaultCustomers());
  }

  BackendStandin& backend() { return *backend_; }
  // Starts an instance and waits until it is ready.
  EntryInstance& AddGossipInstance(const std::string& name,
                                   const json& settings = json::object()) {
    json all{{"peer_address", "127.0.0.1:0"}};
    all.update(settings);
    EntryInstance& instance = AddInstance(name, all);
    instance.WaitUntilReady();
    return instance;
  }
  // Starts an instance that reaches the store through `link`, and waits until
  // it is ready.
  EntryInstance& AddGossipInstanceVia(const std::string& name,
                                      const TcpProxy& link) {
    return AddGossipInstance(name, {{"store_address", link.address()}});
  }
  // Waits until `instance` offers `count` instances to callers. False if it
  // does not in time.
  bool WaitUntilListed(EntryInstance& instance, std::size_t count) {
    return WaitUntil([&] {
      const auto response = support::CallOnce(
          instance.directory_address(),
          {"GET", "/bamboomount/resolve?name=h&region=r&zone=z", {}, ""});
      return response.status == 200 &&
             json::parse(response.body).at("addresses").size() == count;
    });
  }

 private:
  BackendStandin* backend_ = nullptr;
};

// An instance of which only the gossip is simulated.
class GossipPeer {
 public:
  explicit GossipPeer(const std::string& name)
      : socket_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    socket_.non_blocking(true);
    member_.instance = InstanceId(name);
    member_.incarnation = Incarnation(name + "-1");
    std::ostringstream address;
    address << socket_.local_endpoint();
    member_.peer_address = address.str();
  }

  const Member& member() const { return member_; }

  void SendUsage(const std::string& address, const UsageUpdate& update) {
    GossipMessage message;
    message.instance = member_.instance;
    message.sequence = ++sequence_;
    message.usage_update = update;
    SendBytes(address, EncodeGossipMessage(message));
  }
  void SendBytes(const std::string& address,
                 const std::vector<std::uint8_t>& bytes) {
    const auto endpoint = ParseIpEndpoint(address).value();
    socket_.send_to(boost::asio::buffer(bytes),
                    {endpoint.address(), endpoint.port()});
  }

  // The first receipt among the messages that have arrived; empty if there is
  // none.
  std::optional<UsageReceipt> ReceiveReceipt() {
    while (const auto message = Receive()) {
      if (message->usage_receipt)
        return message->usage_receipt;
    }
    return std::nullopt;
  }

  // The next message that has arrived; empty if there is none.
  std::optional<GossipMessage> Receive() {
    std::array<std::uint8_t, 65536> buffer;
    boost::system::error_code error;
    const std::size_t size =
        socket_.receive(boost::asio::buffer(buffer), 0, error);
    if (error)
      return std::nullopt;
    return DecodeGossipMessage(buffer.data(), size).value();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::udp::socket socket_;
  Member member_;
  std::uint64_t sequence_ = 0;
};

std::size_t CountLogEvents(EntryInstance& instance, const std::string& event) {
  std::size_t count = 0;
  for (const json& line : instance.LogLines())
    count += line.value("name", "") == event ? 1 : 0;
  return count;
}

BOOST_FIXTURE_TEST_SUITE(fleet_gossip, GossipFleet)

// Guards against an instance that loses its connection to the store and then
// refuses customers because its configuration is stale, although peers could
// confirm it by gossip; and against one that misses changes in the meantime.
BOOST_AUTO_TEST_CASE(an_instance_cut_off_from_the_store_learns_by_gossip) {
  TcpProxy link(store().address());
  AddGossipInstance("i-1");
  AddGossipInstance("i-2");
  EntryInstance& disconnected = AddGossipInstanceVia("i-3", link);
  BOOST_TEST(WaitUntilListed(disconnected, 3));
  for (const LinkMode mode :
       {LinkMode::kReset, LinkMode::kDropBothDirections}) {
    link.SetMode(mode);
    const int version = mode == LinkMode::kReset ? 2 : 3;
    const std::string key = "key-" + std::to_string(version);
    Configure(version, json::array({{{"name", "mill"}, {"api_keys", {key}}}}));
    BOOST_TEST(WaitUntil(
        [&] { return StatusOf(disconnected, "/lookup/x", key) == 200; }));
    BOOST_TEST(StatusOf(disconnected, "/lookup/x") == 401);
    // A draining server is learned by gossip as well.
    store().Put("servers", "e-1", backend().RowValue("pool", true));
    BOOST_TEST(WaitUntil(
        [&] { return StatusOf(disconnected, "/lookup/x", key) == 503; }));
    store().Put("servers", "e-1", backend().RowValue("pool", false));
    BOOST_TEST(WaitUntil(
        [&] { return StatusOf(disconnected, "/lookup/x", key) == 200; }));
  }
}

// Guards against an instance that relies on gossip while the instances that
// watch the store have lost it and cannot learn of changes. It must poll the
// store itself.
BOOST_AUTO_TEST_CASE(an_instance_polls_the_store_when_the_watchers_fail) {
  TcpProxy link(store().address());
  AddGossipInstanceVia("i-1", link);
  AddGossipInstanceVia("i-2", link);
  EntryInstance& other = AddGossipInstance("i-3");
  BOOST_TEST(WaitUntilListed(other, 3));
  link.SetMode(LinkMode::kDropBothDirections);
  Configure(2, json::array({{{"name", "mill"}, {"api_keys", {"key-2"}}}}));
  BOOST_TEST(
      WaitUntil([&] { return StatusOf(other, "/lookup/x", "key-2") == 200; }));
  BOOST_TEST(StatusOf(other, "/lookup/x") == 401);
}

// Guards against instances that confirm a stale configuration to each other
// while none of them reaches the store: a withdrawn key would keep working
// beyond the deadline.
BOOST_AUTO_TEST_CASE(gossip_alone_does_not_keep_the_configuration_fresh) {
  const json settings{{"key_withdrawal_deadline_ms", 2500}};
  EntryInstance& first = AddGossipInstance("i-1", settings);
  EntryInstance& second = AddGossipInstance("i-2", settings);
  BOOST_TEST(WaitUntilListed(second, 2));
  store().SetMode(StoreMode::kSilent);
  for (EntryInstance* instance : {&first, &second}) {
    BOOST_TEST(
        WaitUntil([&] { return StatusOf(*instance, "/lookup/x") == 503; }));
    BOOST_TEST(StatusOf(*instance, "/open/x", "") == 200);
  }
  store().SetMode(StoreMode::kUp);
  for (EntryInstance* instance : {&first, &second})
    BOOST_TEST(
        WaitUntil([&] { return StatusOf(*instance, "/lookup/x") == 200; }));
}

// Guards against the row of a live instance that was lost in the store and is
// never written again, and against the row of a failed instance that is never
// removed.
BOOST_AUTO_TEST_CASE(instance_rows_follow_liveness) {
  const json duties{{"orders_address", store().address()},
                    {"duties", {"usage_reporting"}}};
  EntryInstance& first = AddGossipInstance("i-1", duties);
  EntryInstance& second = AddGossipInstance("i-2", duties);
  EntryInstance& third = AddGossipInstance("i-3", duties);
  BOOST_TEST(WaitUntilListed(first, 3));
  store().Remove("bamboomount-instances", "i-1");
  BOOST_TEST(WaitUntil(
      [&] { return !store().Get("bamboomount-instances", "i-1").empty(); }));
  third.process().Signal(SIGKILL);
  BOOST_TEST(WaitUntilListed(first, 2));
  BOOST_TEST(WaitUntilListed(second, 2));
  BOOST_TEST(WaitUntil(
      [&] { return store().Table("bamboomount-instances").size() == 2U; }));
}

// Guards against usage that is lost when the process that counted it is killed,
// or the lease holder that aggregates it, and against duties that no instance
// takes over.
BOOST_AUTO_TEST_CASE(the_next_lease_holder_reports_all_usage) {
  const json duties{{"orders_address", store().address()},
                    {"duties", {"usage_reporting"}},
                    {"usage_window_s", 3},
                    {"lease_ms", 1500}};
  EntryInstance& first = AddGossipInstance("i-1", duties);
  EntryInstance& second = AddGossipInstance("i-2", duties);
  BOOST_TEST(WaitUntil([&] {
    return CountLogEvents(first, "duty_lease_taken") +
               CountLogEvents(second, "duty_lease_taken") ==
           1U;
  }));
  const bool first_holds = CountLogEvents(first, "duty_lease_taken") == 1;
  EntryInstance& holder = first_holds ? first : second;
  EntryInstance& other = first_holds ? second : first;
  constexpr std::int64_t kCalls = 7;
  for (int i = 0; i < kCalls; ++i)
    BOOST_TEST(StatusOf(other, "/lookup/x") == 200);
  const auto reported = [&] {
    std::int64_t sum = 0;
    for (const auto& [window, counts] : store().LatestUsageCounts())
      sum += counts.value("mill", 0);
    return sum;
  };
  BOOST_TEST(WaitUntil([&] { return reported() == kCalls; }));
  // Usage that the holder counts itself before it is killed.
  for (int i = 0; i < kCalls; ++i)
    BOOST_TEST(StatusOf(holder, "/lookup/x") == 200);
  BOOST_TEST(WaitUntil([&] {
    for (const auto& [key, value] : store().Table("bamboomount-usage-parts")) {
      std::int64_t sum = 0;
      const json part = json::parse(value);
      for (const auto& [window, counts] : part.at("windows").items())
        sum += counts.value("mill", 0);
      if (part.at("instance") == (first_holds ? "i-1" : "i-2") && sum == kCalls)
        return true;
    }
    return false;
  }));
  holder.process().Signal(SIGKILL);
  BOOST_TEST(WaitUntil(
      [&] { return CountLogEvents(other, "duty_lease_taken") == 1; }));
  BOOST_TEST(WaitUntil([&] { return reported() == 2 * kCalls; }));
}

// Guards against usage that reaches the holder of the duty lease by gossip but
// is reported without it, and against instances that must write a row for every
// window because the holder confirms nothing.
BOOST_AUTO_TEST_CASE(gossiped_usage_is_confirmed_and_reported) {
  AddGossipInstance("i-1", {{"orders_address", store().address()},
                            {"duties", {"usage_reporting"}},
                            {"usage_window_s", 2},
                            {"lease_ms", 1500}});
  // The row is written once the instance is ready.
  BOOST_TEST(WaitUntil(
      [&] { return !store().Get(tables::kInstances, "i-1").empty(); }));
  const Member holder =
      DecodeMember(store().Get(tables::kInstances, "i-1")).value();
  GossipPeer peer("i-2");
  store().Put(tables::kInstances, "i-2", EncodeMember(peer.member()));
  constexpr std::int64_t kCount = 7;
  // Windows are numbered by the wall clock.
  const WindowNumber window =
      WindowAt(std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch()),
               std::chrono::seconds(2));
  UsageUpdate update{
      peer.member().incarnation,
      {InstanceId("i-2"), window, {{window, {{CustomerId("mill"), kCount}}}}},
      true};
  BOOST_TEST(WaitUntil([&] {
    peer.SendUsage(holder.peer_address, update);
    const auto receipt = peer.ReceiveReceipt();
    return receipt && receipt->incarnation == peer.member().incarnation &&
           receipt->complete_through == window;
  }));
  BOOST_TEST(WaitUntil([&] {
    const auto reported = store().LatestUsageCounts();
    const auto counts = reported.find(window.value());
    return counts != reported.end() &&
           counts->second.value("mill", 0) == kCount;
  }));
  BOOST_TEST(store().Table(tables::kIncarnationUsage).empty());
}

// Guards against a datagram that ends the process by its nesting, whoever sends
// it.
BOOST_AUTO_TEST_CASE(a_deeply_nested_datagram_is_dropped) {
  constexpr std::size_t kDatagramBytes = 32'768;
  constexpr std::uint8_t kArrayOfOne = 0x91;
  EntryInstance& instance = AddGossipInstance("i-1");
  BOOST_TEST(WaitUntil(
      [&] { return !store().Get(tables::kInstances, "i-1").empty(); }));
  const Member member =
      DecodeMember(store().Get(tables::kInstances, "i-1")).value();
  GossipPeer("i-2").SendBytes(
      member.peer_address,
      std::vector<std::uint8_t>(kDatagramBytes, kArrayOfOne));
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(Call(instance, MakeRequest("POST", "/book/x")).status == 200);
  BOOST_TEST(instance.process().running());
}

// Guards against a holder that orders backend servers by old loads because
// regular rounds of a large fleet rarely reach it.
BOOST_AUTO_TEST_CASE(usage_comes_with_the_loads) {
  EntryInstance& instance = AddGossipInstance(
      "i-1",
      {{"orders_address", store().address()}, {"duties", {"usage_reporting"}}});
  GossipPeer peer("i-2");
  store().Put(tables::kInstances, "i-2", EncodeMember(peer.member()));
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 200);
  std::optional<GossipMessage> with_usage;
  BOOST_TEST(WaitUntil([&] {
    const auto message = peer.Receive();
    if (message && message->usage_update)
      with_usage = message;
    return with_usage.has_value();
  }));
  BOOST_TEST(with_usage->loads.has_value());
}

// Guards against usage that omits requests which ran but whose response was
// lost. With a quarter of the responses lost, a usage report was off by 9 %.
BOOST_AUTO_TEST_CASE(a_request_with_a_lost_response_counts_as_usage) {
  EntryInstance& instance =
      AddGossipInstance("i-1", {{"orders_address", store().address()},
                                {"duties", {"usage_reporting"}},
                                {"usage_window_s", 2},
                                {"lease_ms", 1500}});
  backend().SetMode(BackendMode::kHold);
  std::thread caller([&instance] {
    Call(instance, MakeRequest("POST", "/book/x", "key-mill"));
  });
  BOOST_TEST(WaitUntil([&] { return backend().ArrivalCount() == 1; }));
  // Waits for longer than kStaleConnectionErrorTime of Exchange. An earlier
  // failure could come from a stale connection and would not count as usage.
  const auto arrived = std::chrono::steady_clock::now();
  BOOST_TEST(WaitUntil([&] {
    return std::chrono::steady_clock::now() - arrived >
           std::chrono::milliseconds(100);
  }));
  backend().SetMode(BackendMode::kLoseReply);
  caller.join();
  BOOST_TEST(WaitUntil([&] {
    std::int64_t sum = 0;
    for (const auto& [window, counts] : store().LatestUsageCounts())
      sum += counts.value("mill", 0);
    return sum == 1;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
