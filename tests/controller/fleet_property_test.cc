#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "controller/simulated_fleet.h"

namespace bamboomount {
namespace {

// Number of choices in one test case; enough for several changes of the lease
// holder.
constexpr int kChoiceCount = 4000;

std::vector<std::uint8_t> ArbitraryChoices() {
  // RapidCheck limits arbitrary values at small sizes, so the nominal size is
  // used to get all byte values.
  return *rc::gen::resize(
      rc::kNominalSize, rc::gen::container<std::vector<std::uint8_t>>(
                            kChoiceCount, rc::gen::arbitrary<std::uint8_t>()));
}

BOOST_AUTO_TEST_SUITE(fleet_property)

// If pauses and lost messages let two holders order, backend servers are paid
// for twice.
BOOST_AUTO_TEST_CASE(orders_never_come_from_two_holders) {
  BOOST_TEST(rc::check("orders", [] {
    SimulatedFleet fleet(ArbitraryChoices(), 3, 0);
    fleet.Run();
    RC_ASSERT(fleet.violations() == std::set<std::string>());
    RC_ASSERT(fleet.order_count() > 0);
  }));
}

// A store that comes back from an older copy gives row versions out again. If
// that let two holders order, or use one fencing token, backend servers would
// be paid for twice.
BOOST_AUTO_TEST_CASE(orders_never_come_from_two_holders_after_restores) {
  BOOST_TEST(rc::check("restores", [] {
    SimulatedFleet fleet(ArbitraryChoices(), 3, 0, true);
    fleet.Run();
    RC_ASSERT(fleet.violations() == std::set<std::string>());
    RC_ASSERT(fleet.order_count() > 0);
  }));
}

// A window reported with two different totals, or usage that is lost or counted
// twice, bills a customer wrongly.
BOOST_AUTO_TEST_CASE(all_usage_is_reported_exactly_once) {
  BOOST_TEST(rc::check("usage", [] {
    SimulatedFleet fleet(ArbitraryChoices(), 2, 2);
    fleet.Run();
    RC_ASSERT(fleet.violations() == std::set<std::string>());
    RC_ASSERT(fleet.ReportedUsage() == fleet.recorded_usage());
  }));
}

// A store that comes back from an older copy has lost seals of reported
// windows. Totals summed up again would bill a customer wrongly.
BOOST_AUTO_TEST_CASE(no_window_is_reported_with_other_totals_after_restores) {
  BOOST_TEST(rc::check("usage and restores", [] {
    SimulatedFleet fleet(ArbitraryChoices(), 2, 2, true);
    fleet.Run();
    RC_ASSERT(fleet.violations() == std::set<std::string>());
    RC_ASSERT(fleet.ReportedUsage() != CustomerUsage());
  }));
}

// The random cases rarely pause between a check and the following send. This
// test tries every pause point: with one pause that is longer than the lease,
// and with two pauses that are so only together.
BOOST_AUTO_TEST_CASE(a_pause_at_any_point_never_lets_two_holders_order) {
  using std::chrono::seconds;
  constexpr int kMaxPointDistance = 12;
  const int points = SimulatedFleet({}, 2, 0).RunWithPauses({});
  BOOST_TEST(points > kMaxPointDistance);
  std::set<std::string> violations;
  const auto run = [&](const std::map<int, seconds>& plan) {
    SimulatedFleet fleet({}, 2, 0);
    fleet.RunWithPauses(plan);
    violations.insert(fleet.violations().begin(), fleet.violations().end());
  };
  for (int point = 1; point <= points; ++point) {
    run({{point, seconds(16)}});
    for (int next = point + 1; next <= point + kMaxPointDistance; ++next)
      run({{point, seconds(3)}, {next, seconds(5)}});
  }
  for (const std::string& violation : violations)
    BOOST_ERROR(violation);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
