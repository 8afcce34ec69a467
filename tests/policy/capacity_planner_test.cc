#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include <algorithm>

#include "policy/policy.h"

namespace bamboomount {
namespace {

constexpr int kZones = 3;
constexpr int kMaxChanges = 2;
constexpr int kSteps = 60;
const CapacityPlannerOptions kOptions;

CapacityPlannerInput GenerateInput() {
  CapacityPlannerInput input;
  for (int i = 0; i < kZones; ++i) {
    input.zones.push_back(
        {ZoneId("z" + std::to_string(i)), 0, 0, *rc::gen::inRange(0, 5)});
  }
  input.protected_demand = *rc::gen::inRange(0, 80) / 10.0;
  input.total_demand = input.protected_demand + *rc::gen::inRange(0, 80) / 10.0;
  return input;
}

double CostOf(const CapacityPlannerInput& input) {
  double cost = 0;
  for (const ZoneFleet& zone : input.zones) {
    cost += zone.firm * kOptions.firm_cost + zone.cheap * kOptions.cheap_cost;
  }
  return cost;
}

// Runs one step and applies it at once. Returns the number of changes.
int ApplyChanges(CapacityPlanner& planner,
                 CapacityPlannerInput& input,
                 SteadyTime now) {
  int changed = 0;
  for (const FleetChange& change : planner.PlanChanges(input, now)) {
    const auto zone = std::find_if(
        input.zones.begin(), input.zones.end(),
        [&](const ZoneFleet& fleet) { return fleet.zone == change.zone; });
    changed += std::abs(change.count);
    (change.cheap ? zone->cheap : zone->firm) += change.count;
    RC_ASSERT(zone->firm >= 0);
    RC_ASSERT(zone->cheap >= 0);
    RC_ASSERT(!change.cheap || change.count < 0 ||
              zone->cheap <= zone->cheap_limit);
  }
  RC_ASSERT(changed <= kMaxChanges);
  return changed;
}

// Every number of cheap ones in each zone, with the firm ones they need.
double CheapestCost(const CapacityPlannerInput& input) {
  double best = 1e9;
  CapacityPlannerInput tried = input;
  for (int i = 0; i < 5 * 5 * 5; ++i) {
    const std::vector<int> cheap = {i % 5, i / 5 % 5, i / 25};
    bool allowed = true;
    for (int zone = 0; zone < kZones; ++zone) {
      allowed = allowed && cheap[zone] <= input.zones[zone].cheap_limit;
      tried.zones[zone].cheap = cheap[zone];
    }
    tried.zones[0].firm = 0;
    while (!CapacityPlanner::MeetsDemand(tried))
      ++tried.zones[0].firm;
    if (allowed)
      best = std::min(best, CostOf(tried));
  }
  return best;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(capacity_planner)

// Guards against protected tiers without room after the loss of a zone, and
// against a fleet that costs more than the cheapest one.
RC_BOOST_PROP(empty_fleet_converges_to_the_cheapest_sufficient_fleet, ()) {
  CapacityPlannerInput input = GenerateInput();
  CapacityPlanner planner;
  SteadyTime now{std::chrono::hours(1)};
  for (int step = 0; step < kSteps; ++step) {
    ApplyChanges(planner, input, now);
    now += std::chrono::seconds(30);
  }
  RC_ASSERT(CapacityPlanner::MeetsDemand(input));
  RC_ASSERT(CostOf(input) <= 1.1 * CheapestCost(input) + 1e-9);
}

// Guards against giving back what is needed, when demand and zones change.
RC_BOOST_PROP(releases_never_leave_demand_unmet, ()) {
  CapacityPlannerInput input = GenerateInput();
  CapacityPlanner planner;
  SteadyTime now{std::chrono::hours(1)};
  for (int step = 0; step < kSteps; ++step) {
    const bool sufficed = CapacityPlanner::MeetsDemand(input);
    ApplyChanges(planner, input, now);
    RC_ASSERT(!sufficed || CapacityPlanner::MeetsDemand(input));
    now += std::chrono::minutes(4);
    if (step % 10 != 9)
      continue;
    input.protected_demand = *rc::gen::inRange(0, 8);
    input.total_demand = input.protected_demand + *rc::gen::inRange(0, 8);
    input.zones[*rc::gen::inRange(0, kZones)].cheap = 0;
  }
}

// Guards against orders and returns that follow the noise of the demand.
RC_BOOST_PROP(demand_noise_causes_no_changes, ()) {
  CapacityPlannerInput input = GenerateInput();
  CapacityPlanner planner;
  SteadyTime now{std::chrono::hours(1)};
  for (int step = 0; step < kSteps; ++step) {
    ApplyChanges(planner, input, now);
    now += std::chrono::minutes(1);
  }
  const double wanted = input.protected_demand;
  const double total = input.total_demand;
  for (int step = 0; step < kSteps; ++step) {
    // Dips that last as long as the hold are no noise.
    const int dip = step % 9 == 0 ? 0 : *rc::gen::inRange(0, 20);
    const double noise = 1 - dip / 100.0;
    input.protected_demand = wanted * noise;
    input.total_demand = total * noise;
    RC_ASSERT(ApplyChanges(planner, input, now) == 0);
    now += std::chrono::minutes(1);
  }
}

// Guards against firm backend servers kept from a time without cheap ones.
BOOST_AUTO_TEST_CASE(cheap_backend_servers_replace_firm_ones_when_available) {
  CapacityPlanner planner;
  CapacityPlannerInput input;
  input.zones = {{ZoneId("a"), 3, 0, 4}, {ZoneId("b"), 3, 0, 4}};
  input.protected_demand = 2;
  input.total_demand = 5;
  SteadyTime now{std::chrono::hours(1)};
  for (int step = 0; step < kSteps; ++step) {
    ApplyChanges(planner, input, now);
    BOOST_TEST(CapacityPlanner::MeetsDemand(input));
    now += std::chrono::minutes(4);
  }
  BOOST_TEST(CostOf(input) == 6 * kOptions.cheap_cost,
             boost::test_tools::tolerance(1e-9));
}

// Guards against a fleet that keeps its size after the peak.
BOOST_AUTO_TEST_CASE(lasting_surplus_is_released) {
  CapacityPlanner planner;
  CapacityPlannerInput input;
  input.zones = {{ZoneId("z"), 6, 0, 0}};
  input.total_demand = input.protected_demand = 2;
  SteadyTime now{std::chrono::hours(1)};
  BOOST_TEST(planner.PlanChanges(input, now).empty());
  now += kOptions.surplus_delay;
  const auto changes = planner.PlanChanges(input, now);
  BOOST_TEST(changes.size() == 1U);
  BOOST_TEST(changes[0].count == -kMaxChanges);
}

// Guards against orders for single peaks, and against a wait while the
// protected tiers are short.
BOOST_AUTO_TEST_CASE(only_a_shortage_of_protected_tiers_is_met_immediately) {
  CapacityPlanner planner;
  CapacityPlannerInput input;
  input.zones = {{ZoneId("z"), 1, 0, 0}};
  input.protected_demand = 1;
  input.total_demand = 2;
  const SteadyTime now{std::chrono::hours(1)};
  BOOST_TEST(planner.PlanChanges(input, now).empty());
  input.protected_demand = 2;
  BOOST_TEST(planner.PlanChanges(input, now).size() == 1U);
}

// Guards against repeated orders where cheap ones cannot be had.
BOOST_AUTO_TEST_CASE(zone_without_cheap_capacity_is_skipped_temporarily) {
  CapacityPlanner planner;
  CapacityPlannerInput input;
  input.zones = {{ZoneId("a"), 0, 0, 4}, {ZoneId("b"), 0, 0, 4}};
  input.total_demand = 2;
  SteadyTime now{std::chrono::hours(1)};
  planner.MarkCheapUnavailable(ZoneId("a"), now);
  planner.PlanChanges(input, now);
  const auto changes =
      planner.PlanChanges(input, now + kOptions.shortage_delay);
  BOOST_TEST(changes.size() == 1U);
  for (const FleetChange& change : changes)
    BOOST_TEST((change.zone == ZoneId("b")));
  now += kOptions.unavailable_period;
  BOOST_TEST(planner.PlanChanges(input, now).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
