#include "gateway/admission/demand.h"

namespace bamboomount {

double TotalDemand(const CustomerDemand& demand) {
  double total = 0;
  for (const auto& [customer, servers] : demand)
    total += servers;
  return total;
}

double TotalDemand(const PoolDemandTable& demand) {
  double total = 0;
  for (const auto& [tier, customers] : demand)
    total += TotalDemand(customers);
  return total;
}

}  // namespace bamboomount
