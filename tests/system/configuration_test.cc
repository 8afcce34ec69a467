#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "support/chat_client.h"
#include "system/admin_helpers.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

Result<ChangeReply> ApplyQueueLimit(Fleet& fleet,
                                    std::size_t instance,
                                    ConfigVersion base,
                                    int queue_limit) {
  return MakeAdminClient(fleet.instance(instance))
      .ApplyConfig({"test", base, fleet.ConfigText(queue_limit)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration)

// Of two operators that race, one would overwrite the other without knowing.
BOOST_AUTO_TEST_CASE(one_of_two_concurrent_config_changes_is_rejected) {
  Fleet fleet(TestFleetOptions(1, 1, 3));
  auto first = std::async(std::launch::async, [&] {
    return ApplyQueueLimit(fleet, 0, ConfigVersion(1), 200);
  });
  const auto second = ApplyQueueLimit(fleet, 1, ConfigVersion(1), 300);
  const auto first_result = first.get();
  BOOST_TEST(first_result.has_value() != second.has_value());
  const Error& refused =
      first_result.has_value() ? second.error() : first_result.error();
  BOOST_TEST((refused.code == ErrorCode::kStaleBase));
  const ChangeReply& winner =
      first_result.has_value() ? first_result.value() : second.value();
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    BOOST_TEST(WaitForSequence(fleet.instance(i), winner.sequence));
    const auto config = MakeAdminClient(fleet.instance(i)).Config(std::nullopt);
    BOOST_REQUIRE(config.has_value());
    BOOST_TEST(config.value().text ==
               fleet.ConfigText(first_result.has_value() ? 200 : 300));
  }
}

// A router that starts while the store is down would serve an old
// configuration, or none.
BOOST_AUTO_TEST_CASE(
    a_router_started_during_a_store_outage_gets_the_newest_state) {
  Fleet fleet(TestFleetOptions(1, 1, 3));
  BOOST_REQUIRE(WaitUntilAllListed(fleet));
  ConfigVersion version(1);
  // More changes than peers keep one by one.
  for (int i = 0; i < 40; ++i) {
    const auto applied = ApplyQueueLimit(fleet, 0, version, 200 + i);
    BOOST_REQUIRE(applied.has_value());
    version = applied.value().config_version;
  }
  const ChangeSequence newest = AppliedSequence(fleet.instance(0));
  for (std::size_t i = 0; i < fleet.instance_count(); ++i)
    BOOST_REQUIRE(WaitForSequence(fleet.instance(i), newest));
  fleet.instance(2).router->Signal(SIGKILL);
  fleet.instance(2).router->Wait();
  fleet.SetPlatformFaults(R"({"outage":"unavailable"})");
  fleet.StartRouter(fleet.instance(2));
  BOOST_TEST(WaitForSequence(fleet.instance(2), newest));
  fleet.WaitUntilServing(fleet.instance(2), fleet.key());
}

// A peer that was frozen comes back with an older configuration and must not
// put it in force elsewhere, nor keep it.
BOOST_AUTO_TEST_CASE(a_resumed_instance_catches_up_and_none_reverts) {
  Fleet fleet(TestFleetOptions(1, 1, 3));
  fleet.instance(2).router->Signal(SIGSTOP);
  const auto applied = ApplyQueueLimit(fleet, 0, ConfigVersion(1), 500);
  BOOST_REQUIRE(applied.has_value());
  BOOST_TEST(WaitForSequence(fleet.instance(1), applied.value().sequence));
  fleet.instance(2).router->Signal(SIGCONT);
  BOOST_TEST(WaitForSequence(fleet.instance(2), applied.value().sequence));
  for (std::size_t i = 0; i < fleet.instance_count(); ++i)
    BOOST_TEST(AppliedSequence(fleet.instance(i)) >= applied.value().sequence);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
