#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "support/chat_client.h"
#include "support/wait_until.h"
#include "system/admin_helpers.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

// At 50 tokens per second the stream would run for 40 s.
constexpr int kLongStreamTokens = 2000;
constexpr const char* kStoreOutageFault = R"({"outage":"unavailable"})";

Fleet& StartSlowFleet(std::optional<Fleet>& fleet, int instances) {
  FleetOptions options = TestFleetOptions(1, 1, instances);
  options.engine_arguments = {"--pace", "50"};
  fleet.emplace(options);
  return *fleet;
}

// A stream that runs in the background until the router ends it.
class BackgroundStream {
 public:
  BackgroundStream(const Fleet& fleet, const FleetInstance& instance) {
    ChatParameters question;
    question.key = fleet.key();
    question.prompt = "a long question";
    question.max_tokens = kLongStreamTokens;
    reply_ = std::async(
        std::launch::async, [this, address = instance.address, question] {
          return SendChatRequest(address, question,
                                 [this](int) { started_ = true; });
        });
  }
  bool WaitForFirstToken() {
    return WaitUntil([this] { return started_.load(); });
  }
  ChatReply WaitForReply() { return reply_.get(); }

 private:
  std::atomic<bool> started_ = false;
  std::future<ChatReply> reply_;
};

ClientResponse CallKeyedLookup(const Fleet& fleet,
                               const FleetInstance& instance) {
  return CallOnce(instance.address,
                  {"GET",
                   Fleet::kKeyedLookup,
                   {{"Authorization", "Bearer " + fleet.key()}},
                   ""});
}

bool IsRefusedWith(const Fleet& fleet,
                   const FleetInstance& instance,
                   const std::string& code) {
  const ClientResponse answer = CallKeyedLookup(fleet, instance);
  return ErrorMember(answer.body, "code") == code &&
         ErrorMember(answer.body, "ran") == "no";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(key_withdrawal)

// Guards against a stream that keeps running after its key was withdrawn at
// another instance.
BOOST_AUTO_TEST_CASE(a_withdrawal_ends_the_running_stream_on_another_instance) {
  std::optional<Fleet> fleet_storage;
  Fleet& fleet = StartSlowFleet(fleet_storage, 3);
  BackgroundStream stream(fleet, fleet.instance(2));
  BOOST_REQUIRE(stream.WaitForFirstToken());
  const auto withdrawn = MakeAdminClient(fleet.instance(0))
                             .WithdrawKey({"test", KeyId("first"), false});
  BOOST_REQUIRE(withdrawn.has_value());
  const ChatReply reply = stream.WaitForReply();
  BOOST_TEST(reply.error_code() == "withdrawn_key");
  BOOST_TEST(!reply.done);
  BOOST_TEST(!reply.complete);
  for (std::size_t i = 0; i < fleet.instance_count(); ++i)
    BOOST_TEST(WaitUntil([&] {
      return IsRefusedWith(fleet, fleet.instance(i), "withdrawn_key");
    }));
}

// Guards against a leaked key that stays valid during a store outage: an
// emergency withdrawal must reach all instances without the store.
BOOST_AUTO_TEST_CASE(a_withdrawal_in_a_store_outage_reaches_all_instances) {
  std::optional<Fleet> fleet_storage;
  Fleet& fleet = StartSlowFleet(fleet_storage, 3);
  BackgroundStream stream(fleet, fleet.instance(1));
  BOOST_REQUIRE(stream.WaitForFirstToken());
  BOOST_REQUIRE(WaitUntilAllListed(fleet));
  fleet.SetPlatformFaults(kStoreOutageFault);
  const auto withdrawn = MakeAdminClient(fleet.instance(0))
                             .WithdrawKey({"test", KeyId("first"), true});
  BOOST_REQUIRE(withdrawn.has_value());
  BOOST_TEST(withdrawn.value().confirmed());
  BOOST_TEST(stream.WaitForReply().error_code() == "withdrawn_key");
  for (std::size_t i = 0; i < fleet.instance_count(); ++i)
    BOOST_TEST(WaitUntil([&] {
      return IsRefusedWith(fleet, fleet.instance(i), "withdrawn_key");
    }));
}

// Guards against a withdrawn key that stays valid on an isolated instance. An
// instance that reaches neither the store nor its peers cannot learn of
// withdrawals, so it must end and refuse keyed requests; open routes stay
// available.
BOOST_AUTO_TEST_CASE(an_isolated_instance_refuses_keyed_requests) {
  std::optional<Fleet> fleet_storage;
  Fleet& fleet = StartSlowFleet(fleet_storage, 3);
  FleetInstance& isolated = fleet.instance(0);
  BackgroundStream stream(fleet, isolated);
  BOOST_REQUIRE(stream.WaitForFirstToken());
  BOOST_REQUIRE(WaitUntilAllListed(fleet));
  fleet.SetPlatformFaults(kStoreOutageFault);
  fleet.instance(1).router->Signal(SIGSTOP);
  fleet.instance(2).router->Signal(SIGSTOP);
  BOOST_TEST(stream.WaitForReply().error_code() == "stale_state");
  BOOST_TEST(
      WaitUntil([&] { return IsRefusedWith(fleet, isolated, "stale_state"); }));
  const ClientResponse open =
      CallOnce(isolated.address, {"GET", Fleet::kOpenLookup, {}, ""});
  BOOST_TEST(open.status == 200);
  fleet.instance(1).router->Signal(SIGCONT);
  fleet.instance(2).router->Signal(SIGCONT);
}

// Guards against refusing all keyed requests in a long store outage while the
// instances still reach each other.
BOOST_AUTO_TEST_CASE(a_store_outage_alone_does_not_stop_keyed_requests) {
  std::optional<Fleet> fleet_storage;
  Fleet& fleet = StartSlowFleet(fleet_storage, 3);
  BOOST_REQUIRE(WaitUntilAllListed(fleet));
  fleet.SetPlatformFaults(kStoreOutageFault);
  // The store stops confirming the state, and the majority of instances becomes
  // the basis of its freshness.
  BOOST_TEST(WaitUntil([&] {
    const auto position = MakeAdminClient(fleet.instance(0)).Position();
    return position && position.value().freshness == Freshness::kMajority;
  }));
  for (std::size_t i = 0; i < fleet.instance_count(); ++i)
    BOOST_TEST(WaitUntil([&] {
      return CallKeyedLookup(fleet, fleet.instance(i)).status == 200;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
