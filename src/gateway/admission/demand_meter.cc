#include "gateway/admission/demand_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bamboomount {
namespace {

// Demand below this is dropped; it is less than one request in many minutes.
constexpr double kMinServers = 1e-6;

double AveragingTimes(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from) / DemandMeter::kAveragingTime;
}

bool IsLarger(const DemandEntry& a, const DemandEntry& b) {
  return a.servers > b.servers;
}

}  // namespace

void DemandMeter::Rate::DecayTo(Instant now) {
  weighted_sum *= std::exp(-AveragingTimes(updated_at, now));
  updated_at = now;
}

double DemandMeter::Rate::ServersAt(Instant now) const {
  constexpr double kAveragingSeconds =
      std::chrono::duration<double>(kAveragingTime).count();
  return weighted_sum * std::exp(-AveragingTimes(updated_at, now)) /
         kAveragingSeconds;
}

void DemandMeter::RecordOffered(const PoolId& pool,
                                Tier tier,
                                const CustomerId& customer,
                                double server_seconds,
                                Instant now) {
  Rate& rate =
      rates_.try_emplace({pool, tier, customer}, Rate{0, now}).first->second;
  rate.DecayTo(now);
  rate.weighted_sum += server_seconds;
}

std::vector<DemandEntry> DemandMeter::Report(
    const std::set<PoolId>& by_customer,
    Instant now) {
  std::erase_if(rates_, [now](const auto& item) {
    return item.second.ServersAt(now) < kMinServers;
  });
  std::map<std::pair<PoolId, Tier>, double> not_listed;
  std::vector<DemandEntry> listed;
  for (const auto& [key, rate] : rates_) {
    const auto& [pool, tier, customer] = key;
    const double servers = rate.ServersAt(now);
    if (by_customer.contains(pool) && !customer.empty())
      listed.push_back({pool, tier, customer, servers});
    else
      not_listed[{pool, tier}] += servers;
  }
  if (listed.size() > kMaxReportEntries) {
    std::sort(listed.begin(), listed.end(), IsLarger);
    for (std::size_t i = kMaxReportEntries; i < listed.size(); ++i)
      not_listed[{listed[i].pool, listed[i].tier}] += listed[i].servers;
    listed.resize(kMaxReportEntries);
  }
  for (const auto& [group, servers] : not_listed)
    listed.push_back({group.first, group.second, CustomerId(), servers});
  return listed;
}

PoolDemandTable DemandMeter::DemandOn(const PoolId& pool, Instant now) const {
  PoolDemandTable demand;
  for (auto item = rates_.lower_bound({pool, Tier(0), CustomerId()});
       item != rates_.end() && std::get<PoolId>(item->first) == pool; ++item) {
    const auto& [id, tier, customer] = item->first;
    demand[tier][customer] = item->second.ServersAt(now);
  }
  return demand;
}

}  // namespace bamboomount
