#include "gateway/admission/fleet_demand.h"

#include <algorithm>

namespace bamboomount {
namespace {

void AddTo(PoolDemandTable& sum, const PoolDemandTable& demand) {
  for (const auto& [tier, customers] : demand) {
    for (const auto& [customer, servers] : customers)
      sum[tier][customer] += servers;
  }
}

// Attributes the demand of unlisted customers to the listed ones, and scales
// all of it by `factor`.
void Scale(CustomerDemand& customers, double factor) {
  const auto unlisted = customers.find(CustomerId());
  if (unlisted != customers.end() && customers.size() > 1) {
    const double total = TotalDemand(customers);
    const double listed = total - unlisted->second;
    customers.erase(unlisted);
    if (listed > 0)
      factor *= total / listed;
  }
  for (auto& [customer, servers] : customers)
    servers *= factor;
}

}  // namespace

void FleetDemand::SetPeerDemand(const InstanceId& peer,
                                const std::vector<DemandEntry>& report,
                                Instant now) {
  Report& stored = reports_[peer];
  stored.demand.clear();
  stored.received_at = now;
  for (const DemandEntry& entry : report)
    stored.demand[entry.pool][entry.tier][entry.customer] += entry.servers;
}

void FleetDemand::RetainPeers(const std::vector<InstanceId>& live_peers) {
  std::erase_if(reports_, [&live_peers](const auto& item) {
    return std::find(live_peers.begin(), live_peers.end(), item.first) ==
           live_peers.end();
  });
}

PoolDemandTable FleetDemand::Estimate(const PoolId& pool,
                                      const PoolDemandTable& own,
                                      int instance_count,
                                      Instant now) const {
  PoolDemandTable sum = own;
  int heard = 1;
  for (const auto& [peer, report] : reports_) {
    if (now - report.received_at >= kReportLifetime)
      continue;
    ++heard;
    if (const auto demand = report.demand.find(pool);
        demand != report.demand.end())
      AddTo(sum, demand->second);
  }
  const double factor = static_cast<double>(std::max(instance_count, heard)) /
                        static_cast<double>(heard);
  for (auto& [tier, customers] : sum)
    Scale(customers, factor);
  return sum;
}

}  // namespace bamboomount
