#include "gateway/duties/fleet_planner.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "instants.h"

namespace bamboomount {
namespace {

const ZoneId kZoneA("a");
const ZoneId kZoneB("b");
const ZoneId kZoneC("c");

Pool MakePool() {
  Pool pool;
  pool.id = PoolId("engines");
  pool.engine = EngineTraits{64, Tokens(100000), 6};
  ScalingRule rule;
  rule.minimum = 1;
  rule.maximum = 6;
  rule.reclaimable_price = 0.15;
  rule.zone_prices = {{kZoneA, 1.0}, {kZoneB, 0.8}, {kZoneC, 1.25}};
  pool.scaling = rule;
  return pool;
}

// Follows orders as a platform does that always has servers.
class SimulatedPool {
 public:
  SimulatedPool() {
    for (const ZoneId& zone : {kZoneA, kZoneB, kZoneC}) {
      demand_.firm[zone] = {2, 0};
      demand_.reclaimable[zone] = {0, 0};
    }
    demand_.slots_per_server = 64;
  }

  PoolDemand& demand() { return demand_; }

  // One step a second; orders take effect at once.
  void Run(FleetPlanner& planner, int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now_ += 1000;
      for (const BackendOrder& order : planner.Plan(pool_, demand_, At(now_))) {
        auto& zones = order.reclaimable ? demand_.reclaimable : demand_.firm;
        zones[order.zone].ready = order.count;
        ++orders_;
      }
    }
  }

  int Firm() const { return Count(demand_.firm); }
  int Reclaimable() const { return Count(demand_.reclaimable); }
  int orders() const { return orders_; }
  const Pool& pool() const { return pool_; }

 private:
  static int Count(const std::map<ZoneId, ZoneCount>& zones) {
    int sum = 0;
    for (const auto& [zone, count] : zones)
      sum += count.ready;
    return sum;
  }

  const Pool pool_ = MakePool();
  PoolDemand demand_;
  std::int64_t now_ = 0;
  int orders_ = 0;
};

BOOST_AUTO_TEST_SUITE(fleet_planner)

// Guards against firm servers that are paid for while cheap ones do the work.
BOOST_AUTO_TEST_CASE(reclaimable_servers_replace_firm_ones) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  BOOST_TEST(simulated.Firm() == 0);
  // Without any one zone the others still have the size of the old simulated.
  BOOST_TEST(simulated.Reclaimable() == 9);
}

// Guards against orders that go back and forth at a steady demand.
BOOST_AUTO_TEST_CASE(steady_demand_orders_nothing) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  const int before = simulated.orders();
  simulated.Run(planner, 30);
  BOOST_TEST(simulated.orders() == before);
}

// Guards against orders for a peak of one second (first run on the platform:
// firm servers were ordered up to the limit and cost half of the worth).
BOOST_AUTO_TEST_CASE(short_peak_orders_nothing) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  const int before = simulated.orders();
  simulated.demand().unread_tokens = 500000;
  simulated.Run(planner, 2);
  simulated.demand().unread_tokens = 1000;
  simulated.Run(planner, 10);
  BOOST_TEST(simulated.orders() == before);
}

// Guards against a demand that lasts and is not met.
BOOST_AUTO_TEST_CASE(sustained_demand_grows_the_pool) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  simulated.demand().unread_tokens = 50000;
  simulated.Run(planner, 5);
  BOOST_TEST(simulated.Reclaimable() > 9);
}

// Guards against a planner that takes the first servers that are listed for
// the whole pool (first run on the platform).
BOOST_AUTO_TEST_CASE(no_firm_order_while_servers_are_still_being_listed) {
  FleetPlanner planner;
  SimulatedPool simulated;
  std::int64_t now = 0;
  for (int servers = 1; servers <= 5; ++servers) {
    simulated.demand().firm = {{kZoneA, {servers, 0}}};
    now += 500;
    for (const BackendOrder& order :
         planner.Plan(simulated.pool(), simulated.demand(), At(now)))
      BOOST_TEST(order.reclaimable);
  }
}

// Pattern: loss of a zone. Guards against a simulated that stays at a third of
// its size while cheap servers are not to be had in two of three zones (seen on
// the platform: a third of the conversations was late).
BOOST_AUTO_TEST_CASE(firm_servers_replace_reclaimed_zones) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  std::map<ZoneId, int> firm;
  for (int second = 0; second < 8; ++second) {
    simulated.demand().reclaimable[kZoneA].ready = 0;
    simulated.demand().reclaimable[kZoneC].ready = 0;
    for (const BackendOrder& order :
         planner.Plan(simulated.pool(), simulated.demand(),
                      At(100000 + second * 1000))) {
      if (order.reclaimable)
        planner.RecordOrderOutcome(order, DutyOutcome::kUnavailable,
                                   At(100000 + second * 1000));
      else
        firm[order.zone] = order.count;
    }
  }
  int sum = 0;
  for (const auto& [zone, count] : firm)
    sum += count;
  // 3 reclaimable ones are left of a pool of 6.
  BOOST_TEST(sum >= 2);
}

// Guards against a demand that is not met because cheap servers are not to be
// had.
BOOST_AUTO_TEST_CASE(
    firm_servers_fill_the_gap_when_reclaimable_ones_are_unavailable) {
  FleetPlanner planner;
  SimulatedPool simulated;
  simulated.Run(planner, 10);
  simulated.demand().unread_tokens = 30000;
  std::int64_t now = 100000;
  int firm = 0;
  for (int i = 0; i < 8; ++i) {
    now += 1000;
    for (const ZoneId& zone : {kZoneA, kZoneB, kZoneC})
      simulated.demand().reclaimable[zone].ready = zone == kZoneA ? 3 : 0;
    for (const BackendOrder& order :
         planner.Plan(simulated.pool(), simulated.demand(), At(now))) {
      if (order.reclaimable)
        planner.RecordOrderOutcome(order, DutyOutcome::kUnavailable, At(now));
      else
        firm += order.count;
    }
  }
  BOOST_TEST(firm > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
