#include "gateway/admission/fleet_demand.h"

#include <boost/test/unit_test.hpp>

#include "gateway/admission/demand_meter.h"
#include "instants.h"

namespace bamboomount {
namespace {

const PoolId kPool("p");
const CustomerId kMill("mill");
const CustomerId kKennel("kennel");

PoolDemandTable Demand(double servers) {
  return {{Tier(0), {{kMill, servers}}}};
}

BOOST_AUTO_TEST_SUITE(fleet_demand)

// Load: 60 instances that each see a sixtieth of the traffic, of which few were
// heard. Guards against an estimate that counts only those.
BOOST_AUTO_TEST_CASE(instances_that_were_not_heard_count_with_the_mean) {
  FleetDemand fleet;
  fleet.SetPeerDemand(InstanceId("b"), {{kPool, Tier(0), kMill, 3}}, At(0));
  BOOST_TEST(TotalDemand(fleet.Estimate(kPool, Demand(1), 60, At(100))) == 120,
             boost::test_tools::tolerance(1e-9));
}

// Guards against demand that stays high because an instance that was cut off
// does not report that it has fallen.
BOOST_AUTO_TEST_CASE(old_reports_do_not_count) {
  FleetDemand fleet;
  fleet.SetPeerDemand(InstanceId("b"), {{kPool, Tier(0), kMill, 9}}, At(0));
  const Instant later = At(FleetDemand::kReportLifetime.count());
  BOOST_TEST(TotalDemand(fleet.Estimate(kPool, Demand(1), 2, later)) == 2);
}

// Guards against a fair division that overlooks the demand of instances that do
// not report it by customer.
BOOST_AUTO_TEST_CASE(a_sum_is_attributed_to_the_known_customers) {
  FleetDemand fleet;
  fleet.SetPeerDemand(InstanceId("b"), {{kPool, Tier(0), CustomerId(), 4}},
                      At(0));
  const PoolDemandTable own{{Tier(0), {{kMill, 3}, {kKennel, 1}}}};
  const PoolDemandTable all = fleet.Estimate(kPool, own, 2, At(0));
  BOOST_TEST(all.at(Tier(0)).at(kMill) == 6);
  BOOST_TEST(all.at(Tier(0)).at(kKennel) == 2);
  BOOST_TEST(all.at(Tier(0)).size() == 2U);
}

// Guards against customers that are charged with the demand of others, which
// are too many to be listed.
BOOST_AUTO_TEST_CASE(the_rest_of_an_itemized_report_is_kept_apart) {
  FleetDemand fleet;
  fleet.SetPeerDemand(
      InstanceId("b"),
      {{kPool, Tier(0), kMill, 1}, {kPool, Tier(0), CustomerId(), 4}}, At(0));
  const PoolDemandTable all = fleet.Estimate(kPool, Demand(1), 2, At(0));
  BOOST_TEST(all.at(Tier(0)).at(kMill) == 2);
  BOOST_TEST(all.at(Tier(0)).at(CustomerId()) == 4);
}

// Guards against gossip messages that grow with the number of customers, and
// against customers whose demand is lost when they are not listed.
BOOST_AUTO_TEST_CASE(a_report_of_a_thousand_customers_is_short_and_complete) {
  DemandMeter meter;
  for (int i = 0; i < 1000; ++i)
    meter.RecordOffered(kPool, Tier(i % 3), CustomerId(std::to_string(i)),
                        0.001 * (i + 1), At(0));
  const auto report = meter.Report({kPool}, At(0));
  BOOST_TEST(report.size() <= DemandMeter::kMaxReportEntries + 3);
  double total = 0;
  for (const DemandEntry& entry : report)
    total += entry.servers;
  BOOST_TEST(total == TotalDemand(meter.DemandOn(kPool, At(0))),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(total == 0.001 * 500500, boost::test_tools::tolerance(1e-9));
}

// Guards against demand that does not fall after a burst.
BOOST_AUTO_TEST_CASE(demand_fades_when_no_requests_come) {
  DemandMeter meter;
  meter.RecordOffered(kPool, Tier(0), kMill, 5, At(0));
  BOOST_TEST(TotalDemand(meter.DemandOn(kPool, At(3000))) < 0.3);
  BOOST_TEST(meter.Report({}, At(60'000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
