#ifndef GATEWAY_ADMISSION_DEMAND_H_
#define GATEWAY_ADMISSION_DEMAND_H_

#include <map>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Demand on one pool by requests of one tier and customer. Demand is measured
// in servers: the number of backend servers that the requests would keep busy
// if all of them were served, that is, server-seconds for each second.
struct DemandEntry {
  PoolId pool;
  Tier tier;
  // Empty for the customers that are not listed, taken together.
  CustomerId customer;
  double servers = 0;
};

// Stands for all requests without a customer. Parentheses keep it apart from
// the names of customers.
inline const CustomerId kNoCustomer("(none)");

using CustomerDemand = std::map<CustomerId, double>;

// Demand on one pool, in servers, by tier and customer. The most urgent tier
// comes first.
using PoolDemandTable = std::map<Tier, CustomerDemand>;

// Sum over all customers.
double TotalDemand(const CustomerDemand& demand);
// Sum over all tiers.
double TotalDemand(const PoolDemandTable& demand);

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_DEMAND_H_
