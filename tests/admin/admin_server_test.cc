#include <boost/test/unit_test.hpp>

#include "admin/admin.h"
#include "admin/fake_fleet_operations.h"

namespace bamboomount {
namespace {

constexpr char kToken[] = "test-token";

struct ServerFixture {
  LogFixture stores;
  FakeFleetOperations operations{"one", stores};
  std::unique_ptr<AdminServer> server = ServeOnFreePort(operations, kToken);
  AdminClient client{operations.admin_address, kToken, kTestTimeout};

  void ApplyFirstConfig() {
    BOOST_REQUIRE(
        client.ApplyConfig({"ANNA", ConfigVersion(0), ConfigTextFor("ANNA")})
            .has_value());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admin_server, ServerFixture)

// Anybody who reaches the port could otherwise grant keys.
BOOST_AUTO_TEST_CASE(requests_with_a_wrong_token_are_rejected) {
  for (const char* token : {"", "test-tokem", "test-token2", "test-toke"}) {
    const AdminClient unauthorized_client(operations.admin_address, token,
                                          kTestTimeout);
    const auto result = unauthorized_client.ApplyConfig(
        {"ANNA", ConfigVersion(0), ConfigTextFor("ANNA")});
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().code == ErrorCode::kUnknownKey));
    BOOST_TEST(!unauthorized_client.Status().has_value());
  }
  BOOST_TEST(operations.holder.current()->sequence.value() == 0U);
}

// The second of two operators must hear of the first.
BOOST_AUTO_TEST_CASE(configs_are_applied_listed_and_rejected_on_a_stale_base) {
  ApplyFirstConfig();
  const auto stale =
      client.ApplyConfig({"BEAT", ConfigVersion(0), ConfigTextFor("BEAT")});
  BOOST_REQUIRE(!stale.has_value());
  BOOST_TEST((stale.error().code == ErrorCode::kStaleBase));
  BOOST_TEST(stale.error().message.find("ANNA was first") != std::string::npos);
  BOOST_REQUIRE(
      client.ApplyConfig({"BEAT", ConfigVersion(1), ConfigTextFor("BEAT")})
          .has_value());
  const auto now = client.Config(std::nullopt).value();
  BOOST_TEST(now.text == ConfigTextFor("BEAT"));
  BOOST_TEST(now.version.value() == 2U);
  BOOST_TEST(client.Config(ConfigVersion(1)).value().text ==
             ConfigTextFor("ANNA"));
  BOOST_TEST(
      (client.Config(ConfigVersion(9)).error().code == ErrorCode::kNotFound));
  const auto history = client.ConfigHistory().value();
  BOOST_REQUIRE(history.size() == 2U);
  BOOST_TEST(history[1].author == "BEAT");
  BOOST_TEST(operations.pushed_changes.size() == 2U);
  // A peer that lost a push asks the instance that made the change.
  const auto kept = operations.follower.ChangesAfter(ChangeSequence(1));
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(EncodeChange(kept[0]) ==
             EncodeChange(operations.pushed_changes[1]));
}

// The operator must see all faults in one answer.
BOOST_AUTO_TEST_CASE(invalid_requests_report_every_error) {
  const auto result =
      client.ApplyConfig({"ANNA", ConfigVersion(0), "{\"zones\": 1}"});
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST((result.error().code == ErrorCode::kInvalidConfig));
  BOOST_TEST(result.error().message.find("must be an array") !=
             std::string::npos);
  BOOST_TEST(result.error().message.find("\"pools\" is missing") !=
             std::string::npos);
  BOOST_TEST((
      client.GrantKey({"ANNA", KeyId("k"), KeyDigest("plain"), CustomerId("c")})
          .error()
          .code == ErrorCode::kBadRequest));
  BOOST_TEST((client.DrainInstance({"", InstanceId("one")}).error().code ==
              ErrorCode::kBadRequest));
}

// A body without bound would fill the instance's memory.
BOOST_AUTO_TEST_CASE(an_oversized_body_is_discarded_and_rejected) {
  const std::string text(9u << 20, ' ');
  for (const char* token : {kToken, "wrong"}) {
    const auto result =
        AdminClient(operations.admin_address, token, kTestTimeout)
            .ApplyConfig({"ANNA", ConfigVersion(0), text});
    BOOST_TEST(
        (result.error().code == (token == kToken ? ErrorCode::kBodyTooLarge
                                                 : ErrorCode::kUnknownKey)));
  }
  BOOST_TEST(client.Status().has_value());
}

// I5: a withdrawal must be in force here when the operator reads the reply.
BOOST_AUTO_TEST_CASE(keys_are_granted_and_withdrawn) {
  ApplyFirstConfig();
  const KeyDigest digest(Sha256Hex("secret"));
  BOOST_REQUIRE(client.GrantKey({"ANNA", KeyId("k"), digest, CustomerId("c")})
                    .has_value());
  BOOST_TEST(!client.Keys().value().keys.at(0).withdrawn);
  const auto reply = client.WithdrawKey({"ANNA", KeyId("k"), false}).value();
  BOOST_TEST(reply.sequence.value().value() == 3U);
  BOOST_TEST(client.Keys().value().keys.at(0).withdrawn);
  BOOST_TEST(operations.holder.current()->keys.at(digest).withdrawn);
  BOOST_REQUIRE(client.DrainInstance({"ANNA", InstanceId("one")}).has_value());
  BOOST_TEST(operations.holder.current()->drained.contains(InstanceId("one")));
}

// A store outage must not keep a stolen key alive, and the withdrawal must
// reach the log afterwards.
BOOST_AUTO_TEST_CASE(
    an_emergency_withdrawal_applies_at_once_and_is_logged_later) {
  ApplyFirstConfig();
  BOOST_REQUIRE(client
                    .GrantKey({"ANNA", KeyId("k"),
                               KeyDigest(Sha256Hex("secret")), CustomerId("c")})
                    .has_value());
  stores.table.unavailable = true;
  const auto alone = client.WithdrawKey({"ANNA", KeyId("k"), false}).value();
  BOOST_TEST(!alone.confirmed());
  operations.propagation.reached.emplace_back("two");
  const auto two = client.WithdrawKey({"ANNA", KeyId("k"), false}).value();
  BOOST_TEST(two.confirmed());
  BOOST_TEST(client.Keys().value().keys.at(0).withdrawn);
  BOOST_TEST(client.Status().value().emergency_withdrawals.size() == 1U);
  BOOST_TEST((client.WithdrawKey({"ANNA", KeyId("typo"), false}).error().code ==
              ErrorCode::kNotFound));
  stores.table.unavailable = false;
  BOOST_REQUIRE(
      operations.changes.LogEmergencyWithdrawals(kTestTimeout).has_value());
  BOOST_TEST(client.Status().value().emergency_withdrawals.empty());
  BOOST_TEST(
      stores.log.CatchUp(std::make_shared<const ControlState>(), kTestTimeout)
          .value()
          .state->keys.begin()
          ->second.withdrawn);
}

// A field that gets lost on the way misleads the operator.
BOOST_AUTO_TEST_CASE(status_trace_and_usage_survive_the_json_round_trip) {
  const FleetStatus status = client.Status().value();
  BOOST_TEST(status.self.instance == InstanceId("one"));
  BOOST_REQUIRE(status.backends.size() == 1U);
  BOOST_TEST((status.backends[0].condition == BackendCondition::kStraggler));
  BOOST_TEST((status.backends[0].kind == BackendKind::kCheap));
  BOOST_TEST(status.lease->token.value() == 7U);
  BOOST_TEST(!status.self.confirmation_age.has_value());
  const auto spans = client.Trace("a b&c").value();
  BOOST_REQUIRE(spans.size() == 1U);
  BOOST_TEST(spans[0].context.trace_id == "a b&c");
  BOOST_TEST(spans[0].duration.count() == 1500);
  const auto usage = client.Usage(4).value();
  BOOST_REQUIRE(usage.size() == 1U);
  BOOST_TEST(usage[0].window.value() == 4);
  BOOST_TEST((usage[0].state == UsageWindowState::kSealed));
  BOOST_TEST((client.Usage(0).error().code == ErrorCode::kBadRequest));
}

// An instance that hangs or is gone must not block the operator.
BOOST_AUTO_TEST_CASE(a_stopped_instance_is_reported_as_unreachable) {
  const std::string address = operations.admin_address;
  server.reset();
  const auto result = AdminClient(address, kToken, kTestTimeout).Status();
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST((result.error().code == ErrorCode::kNoBackend));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
