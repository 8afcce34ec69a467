#include "gateway/admission/fair_allocation.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace bamboomount {
namespace {

const CustomerId kLarge("large");
const CustomerId kSmall("small");
const CustomerId kTiny("tiny");

// What the customer gets of its demand in the tier.
double Granted(const AdmittedFractions& fractions,
               const PoolDemandTable& demand,
               Tier tier,
               const CustomerId& customer) {
  return fractions.For(tier, customer) * demand.at(tier).at(customer);
}

// One customer for each value, spread over three tiers.
PoolDemandTable TableOf(const std::vector<unsigned char>& demands) {
  PoolDemandTable table;
  int index = 0;
  for (const unsigned char demand : demands) {
    table[Tier(index % 3)][CustomerId(std::to_string(index))] = demand;
    ++index;
  }
  return table;
}

BOOST_AUTO_TEST_SUITE(fair_allocation)

// Load: a customer at nine times its traffic. Guards against a division in
// proportion to demand, which takes capacity from the other customers.
BOOST_AUTO_TEST_CASE(a_surge_of_one_customer_leaves_the_others_their_share) {
  const PoolDemandTable demand{
      {Tier(0), {{kLarge, 90}, {kSmall, 10}, {kTiny, 1}}}};
  const AdmittedFractions fractions = Allocate(40, demand, {});
  BOOST_TEST(fractions.limited());
  BOOST_TEST(fractions.For(Tier(0), kSmall) == 1);
  BOOST_TEST(fractions.For(Tier(0), kTiny) == 1);
  BOOST_TEST(Granted(fractions, demand, Tier(0), kLarge) == 29,
             boost::test_tools::tolerance(1e-9));
}

// Guards against capacity that is kept for customers without demand.
BOOST_AUTO_TEST_CASE(a_customer_that_is_alone_gets_everything) {
  const AdmittedFractions fractions =
      Allocate(40, {{Tier(0), {{kLarge, 80}}}}, {});
  BOOST_TEST(fractions.For(Tier(0), kLarge) == 0.5);
}

// Load: a burst beyond capacity. Guards against less urgent work that is
// admitted while more urgent requests are refused.
BOOST_AUTO_TEST_CASE(less_urgent_tiers_are_refused_first) {
  const PoolDemandTable demand{{Tier(0), {{kSmall, 30}}},
                               {Tier(1), {{kSmall, 20}}},
                               {Tier(2), {{kSmall, 1}}}};
  const AdmittedFractions fractions = Allocate(40, demand, {});
  BOOST_TEST(fractions.For(Tier(0), kSmall) == 1);
  BOOST_TEST(fractions.For(Tier(1), kSmall) == 0.5);
  BOOST_TEST(fractions.For(Tier(2), kSmall) == 0);
}

// Load: many customers that are too small to be listed. Guards against requests
// of theirs that are admitted beyond the capacity.
BOOST_AUTO_TEST_CASE(unlisted_customers_are_served_first_and_no_further) {
  const PoolDemandTable demand{{Tier(0), {{kLarge, 40}, {CustomerId(), 10}}}};
  const AdmittedFractions room = Allocate(20, demand, {});
  BOOST_TEST(room.For(Tier(0), kTiny) == 1);
  BOOST_TEST(room.For(Tier(0), kLarge) == 0.25);
  const AdmittedFractions scarce = Allocate(5, demand, {});
  BOOST_TEST(scarce.For(Tier(0), kTiny) == 0.5);
  BOOST_TEST(scarce.For(Tier(0), kLarge) == 0);
}

// Guards against weights of the configuration that have no effect.
BOOST_AUTO_TEST_CASE(weights_divide_what_is_scarce) {
  const PoolDemandTable demand{{Tier(0), {{kLarge, 100}, {kSmall, 100}}}};
  const AdmittedFractions fractions = Allocate(40, demand, {{kLarge, 3}});
  BOOST_TEST(fractions.For(Tier(0), kLarge) == 0.3);
  BOOST_TEST(fractions.For(Tier(0), kSmall) == 0.1);
}

// Guards against requests that are refused while there is capacity for all.
RC_BOOST_PROP(demand_below_capacity_is_admitted_whole,
              (const std::vector<unsigned char>& demands)) {
  const PoolDemandTable table = TableOf(demands);
  const AdmittedFractions fractions =
      Allocate(TotalDemand(table) + 1, table, {});
  RC_ASSERT(!fractions.limited());
}

// Guards against an allocation above the capacity, or below it with demand that
// is left.
RC_BOOST_PROP(scarce_capacity_is_used_up_exactly,
              (const std::vector<unsigned char>& demands)) {
  const PoolDemandTable table = TableOf(demands);
  const double total = TotalDemand(table);
  RC_PRE(total > 1);
  const double capacity = total / 2;
  const AdmittedFractions fractions = Allocate(capacity, table, {});
  double granted = 0;
  for (const auto& [tier, customers] : table) {
    for (const auto& [customer, servers] : customers)
      granted += fractions.For(tier, customer) * servers;
  }
  RC_ASSERT(granted > capacity - 1e-6);
  RC_ASSERT(granted < capacity + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
