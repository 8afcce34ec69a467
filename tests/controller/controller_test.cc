#include "controller/controller.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace bamboomount {
namespace {

class NoGuard : public LeaseGuard {
 public:
  void Arm(std::chrono::nanoseconds) override {}
  void Disarm() override {}
};

// Takes every order and report, or loses the answers to orders.
class FakePlatform : public BackendOrders, public UsageReports {
 public:
  explicit FakePlatform(bool loses_responses)
      : loses_responses_(loses_responses) {}

  Result<void> Submit(const BackendOrder&, Millis) override {
    if (!loses_responses_)
      return Success();
    return Error{ErrorCode::kStoreUnavailable, RunVerdict::kMayHaveRun, "lost",
                 std::nullopt};
  }
  Result<std::optional<BackendOrder>> Find(const std::string&,
                                           Millis) override {
    return std::optional<BackendOrder>();
  }
  Result<void> Submit(const UsageReport&, Millis) override { return Success(); }

 private:
  const bool loses_responses_;
};

class SingleOrderStrategy : public CapacityStrategy {
 public:
  std::vector<BackendOrder> Plan(const CapacityContext&) override {
    return {
        {{}, ZoneId("z"), PoolId("p"), BackendKind::kFirm, 1, FencingToken(0)}};
  }
};

struct Fixture {
  // Runs a controller until it has sent an order, and stops it.
  void RunUntilFirstOrder(bool loses_responses) {
    FakePlatform platform(loses_responses);
    ControllerSettings settings;
    settings.instance = InstanceId("a");
    Controller controller({store, platform, platform, strategy, guard},
                          settings);
    std::thread thread([&] { controller.Run(); });
    while (controller.status().orders_accepted == 0 &&
           controller.status().unresolved_orders == 0) {
      std::this_thread::yield();
    }
    BOOST_TEST(controller.status().holds_lease);
    controller.Stop();
    thread.join();
    BOOST_TEST(!controller.status().holds_lease);
  }

  // Whether another instance gets the lease without waiting.
  bool LeaseIsAvailable() {
    LeaseManager other(store, guard, InstanceId("b"), {});
    other.Step();
    return other.holds();
  }

  InMemoryTableStore store;
  NoGuard guard;
  SingleOrderStrategy strategy;
};

BOOST_FIXTURE_TEST_SUITE(controller, Fixture)

// Without a release every planned restart would leave the fleet without a
// controller for 7 s.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_releases_the_lease) {
  RunUntilFirstOrder(false);
  BOOST_TEST(LeaseIsAvailable());
}

// An order that is still on its way must not meet one of the next holder.
BOOST_AUTO_TEST_CASE(
    a_shutdown_with_an_unresolved_order_lets_the_lease_expire) {
  RunUntilFirstOrder(true);
  BOOST_TEST(!LeaseIsAvailable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
