#include "gateway/admission/fleet_demand.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Whether the demand of a tier is reported as one sum, not by customer.
bool IsSummary(const CustomerDemand& customers) {
  return customers.size() == 1 && customers.begin()->first.empty();
}

// Adds demand that is reported by customer to `itemized`, and other demand to
// `summaries`.
void AddTo(PoolDemandTable& itemized,
           std::map<Tier, double>& summaries,
           const PoolDemandTable& demand) {
  for (const auto& [tier, customers] : demand) {
    if (IsSummary(customers)) {
      summaries[tier] += customers.begin()->second;
      continue;
    }
    for (const auto& [customer, servers] : customers)
      itemized[tier][customer] += servers;
  }
}

// Attributes a sum to the customers in proportion to their known demand.
void Attribute(CustomerDemand& customers, double sum) {
  const double known = TotalDemand(customers);
  if (known <= 0) {
    customers[CustomerId()] += sum;
    return;
  }
  for (auto& [customer, servers] : customers)
    servers *= 1 + sum / known;
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
  PoolDemandTable itemized;
  std::map<Tier, double> summaries;
  AddTo(itemized, summaries, own);
  int heard = 1;
  for (const auto& [peer, report] : reports_) {
    if (now - report.received_at >= kReportLifetime)
      continue;
    ++heard;
    if (const auto demand = report.demand.find(pool);
        demand != report.demand.end())
      AddTo(itemized, summaries, demand->second);
  }
  const double factor = static_cast<double>(std::max(instance_count, heard)) /
                        static_cast<double>(heard);
  for (const auto& [tier, sum] : summaries)
    Attribute(itemized[tier], sum);
  for (auto& [tier, customers] : itemized) {
    for (auto& [customer, servers] : customers)
      servers *= factor;
  }
  return itemized;
}

}  // namespace bamboomount
