#include "gateway/duties/fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace bamboomount {
namespace {

// Fraction of an engine's slots in use at the target load. More concurrent
// requests lengthen every generation step.
constexpr double kTargetSlotUtilization = 0.25;
// Pending prefill tokens of one engine at the target load, equivalent to about
// 50 ms of its time.
constexpr double kTargetPendingPrefillTokensPerServer = 5000;
// Time for which a peak of the demand is remembered, since bursts often recur.
constexpr Millis kPeakRetention{30000};
// Desired number of servers in relation to the number that the demand requires.
constexpr double kHeadroomFactor = 1.25;
// Fraction of the pool's baseline size that is maintained even if that takes
// firm servers.
constexpr double kRequiredPoolFraction = 0.7;
// Upper bound on the required servers, in relation to the pool's baseline size.
constexpr double kMaxPoolFactor = 1.35;
// Time after a server's boot time until it is certain to be listed.
constexpr Millis kStartupMargin{3000};
// Pause before servers that were not available are ordered again.
constexpr Millis kUnavailableBackoff{2500};
// Servers that start together are listed one after the other. The number of
// listed servers counts as the pool's size only once it has been constant for
// this time.
constexpr Millis kStabilizationTime{1000};
// Number of consecutive steps in which a demand must be seen before it counts.
// Shorter peaks pass before a server ordered for them has started.
constexpr std::size_t kSustainedSteps = 3;

int Sum(const std::map<ZoneId, ZoneCount>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto& zone) { return sum + zone.second.ready; });
}

int Sum(const std::map<ZoneId, int>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto& zone) { return sum + zone.second; });
}

int LargestZone(const std::map<ZoneId, ZoneCount>& counts) {
  int largest = 0;
  for (const auto& [zone, count] : counts)
    largest = std::max(largest, count.ready);
  return largest;
}

int ReadyIn(const std::map<ZoneId, ZoneCount>& counts, const ZoneId& zone) {
  const auto count = counts.find(zone);
  return count == counts.end() ? 0 : count->second.ready;
}

int DivideUp(int dividend, int divisor) {
  return (dividend + divisor - 1) / divisor;
}

std::vector<ZoneId> ZonesByPrice(const ScalingRule& rule,
                                 const std::set<ZoneId>& evacuated_zones) {
  std::vector<ZoneId> zones;
  for (const auto& [zone, price] : rule.zone_prices) {
    if (!evacuated_zones.contains(zone))
      zones.push_back(zone);
  }
  std::stable_sort(zones.begin(), zones.end(),
                   [&rule](const ZoneId& a, const ZoneId& b) {
                     return rule.zone_prices.at(a) < rule.zone_prices.at(b);
                   });
  return zones;
}

}  // namespace

PoolDemand MeasureDemand(const Pool& pool,
                         const std::vector<const BackendServer*>& listed,
                         const std::set<ZoneId>& evacuated_zones,
                         const BackendLoads& loads) {
  PoolDemand demand;
  demand.evacuated_zones = evacuated_zones;
  std::set<BackendId> ids;
  for (const BackendServer* server : listed) {
    ids.insert(server->id);
    if (evacuated_zones.contains(server->zone))
      continue;
    auto& zones = server->reclaimable ? demand.reclaimable : demand.firm;
    ZoneCount& count = zones[server->zone];
    ++(server->draining ? count.draining : count.ready);
  }
  demand.slots_per_server = pool.engine ? pool.engine->slots : 1;
  for (const BackendId& id : ids) {
    const BackendLoad load = loads.Total(id);
    demand.generating += load.generating;
    demand.pending_prefill_tokens += load.pending_prefill_tokens;
  }
  return demand;
}

int FleetPlanner::RequiredServers(const PoolDemand& demand) {
  const double by_slots =
      demand.generating / (kTargetSlotUtilization * demand.slots_per_server);
  const double by_pending_prefill_tokens =
      static_cast<double>(demand.pending_prefill_tokens) /
      kTargetPendingPrefillTokensPerServer;
  return static_cast<int>(
      std::ceil(std::max(by_slots, by_pending_prefill_tokens)));
}

std::vector<BackendOrder> FleetPlanner::Plan(const Pool& pool,
                                             const PoolDemand& demand,
                                             Instant now) {
  std::vector<BackendOrder> orders;
  if (!pool.scaling || pool.scaling->zone_prices.empty())
    return orders;
  const ScalingRule& rule = *pool.scaling;
  const std::vector<ZoneId> zones = ZonesByPrice(rule, demand.evacuated_zones);
  if (zones.empty())
    return orders;
  // An evacuated zone counts like a lost one, for which there is a reserve.
  const int zone_count = static_cast<int>(rule.zone_prices.size());
  const bool stable = UpdatePoolSize(pool.id, demand, zone_count, now);
  const int size = sizes_[pool.id].servers;
  // Prompts that queue up during an overload show how far the pool has fallen
  // behind, not how many servers it needs.
  const int max_servers = static_cast<int>(std::ceil(size * kMaxPoolFactor));
  const int needed = SustainedDemand(
      pool.id, std::min(RequiredServers(demand), max_servers), now);
  Target target;
  target.desired =
      std::max(size, static_cast<int>(std::ceil(needed * kHeadroomFactor)));
  target.required = std::max(
      needed, static_cast<int>(std::ceil(size * kRequiredPoolFraction)));
  // If any one zone is lost, the reclaimable servers of the other zones still
  // provide the desired number.
  target.reclaimable_per_zone =
      DivideUp(target.desired, std::max(1, zone_count - 1));
  ExpectedCounts expected;
  for (const ZoneId& zone : zones) {
    expected.firm[zone] = ExpectedCount(pool, zone, false, demand.firm, now);
    expected.reclaimable[zone] =
        ExpectedCount(pool, zone, true, demand.reclaimable, now);
  }
  const auto firm = FirmTargets(rule, zones, demand, expected, target);
  for (const ZoneId& zone : zones) {
    if (rule.reclaimable_price) {
      const int room = rule.maximum - expected.firm.at(zone);
      const int desired = std::max(expected.reclaimable.at(zone),
                                   std::min(target.reclaimable_per_zone, room));
      AppendOrderIfDue(pool, zone, true, ReadyIn(demand.reclaimable, zone),
                       expected.reclaimable.at(zone), desired, now, orders);
    }
    // Servers that are still being listed must not be mistaken for a small
    // pool.
    if (stable)
      AppendOrderIfDue(pool, zone, false, ReadyIn(demand.firm, zone),
                       expected.firm.at(zone), firm.at(zone), now, orders);
  }
  return orders;
}

int FleetPlanner::ExpectedCount(const Pool& pool,
                                const ZoneId& zone,
                                bool reclaimable,
                                const std::map<ZoneId, ZoneCount>& counts,
                                Instant now) const {
  const int ready = ReadyIn(counts, zone);
  const auto last_order = last_orders_.find({pool.id, {zone, reclaimable}});
  if (last_order == last_orders_.end() ||
      now - last_order->second.at >= pool.scaling->boot_time + kStartupMargin)
    return ready;
  // An order to grow is void if servers have been reclaimed since.
  const bool grows = last_order->second.count >= last_order->second.ready;
  if (grows && ready < last_order->second.ready)
    return ready;
  return last_order->second.count;
}

bool FleetPlanner::UpdatePoolSize(const PoolId& pool,
                                  const PoolDemand& demand,
                                  int zone_count,
                                  Instant now) {
  PoolSize& size = sizes_[pool];
  const int firm = Sum(demand.firm);
  const int reclaimable = Sum(demand.reclaimable);
  // The surplus of reclaimable servers held for the loss of one zone does not
  // count toward the size.
  const int usable_reclaimable = reclaimable * (zone_count - 1) / zone_count;
  size.servers = std::max({size.servers, firm, usable_reclaimable});
  if (size.listed != firm + reclaimable) {
    size.listed = firm + reclaimable;
    size.changed_at = now;
  }
  size.stable |= size.listed > 0 && now - size.changed_at >= kStabilizationTime;
  return size.stable;
}

std::map<ZoneId, int> FleetPlanner::FirmTargets(
    const ScalingRule& rule,
    const std::vector<ZoneId>& zones,
    const PoolDemand& demand,
    const ExpectedCounts& expected,
    const Target& target) {
  std::map<ZoneId, int> firm = expected.firm;
  const int firm_count = Sum(firm);
  // Ready reclaimable servers that remain after the loss of the zone that has
  // most of them.
  const int surviving =
      Sum(demand.reclaimable) - LargestZone(demand.reclaimable);
  const int firm_needed = rule.reclaimable_price
                              ? std::max(0, target.desired - surviving)
                              : target.desired;
  const int missing = target.required - firm_count - Sum(expected.reclaimable);
  if (missing > 0) {
    AddFirm(rule, zones, expected.reclaimable, missing, firm);
    return firm;
  }
  // Firm servers of the most expensive zones are released first.
  int surplus = firm_count - firm_needed;
  for (auto zone = zones.rbegin(); zone != zones.rend(); ++zone) {
    const int released = std::clamp(surplus, 0, firm[*zone]);
    firm[*zone] -= released;
    surplus -= released;
    // Firm servers must not use up the zone's limit that reclaimable ones need
    // in order to replace them.
    const int max_firm =
        std::max(0, rule.maximum - target.reclaimable_per_zone);
    if (rule.reclaimable_price && surviving >= target.required)
      firm[*zone] = std::min(firm[*zone], max_firm);
  }
  return firm;
}

void FleetPlanner::AddFirm(const ScalingRule& rule,
                           const std::vector<ZoneId>& zones,
                           const std::map<ZoneId, int>& reclaimable,
                           int missing,
                           std::map<ZoneId, int>& firm) {
  const int zone_count = static_cast<int>(zones.size());
  const int equal_share = DivideUp(missing + Sum(firm), zone_count);
  // Distributes the missing servers evenly over the zones, then fills up the
  // zones that have room.
  for (const int bound : {equal_share, rule.maximum}) {
    for (const ZoneId& zone : zones) {
      const int room =
          std::min(bound, rule.maximum - reclaimable.at(zone)) - firm[zone];
      const int added = std::clamp(missing, 0, std::max(0, room));
      firm[zone] += added;
      missing -= added;
    }
  }
}

void FleetPlanner::AppendOrderIfDue(const Pool& pool,
                                    const ZoneId& zone,
                                    bool reclaimable,
                                    int ready,
                                    int expected_count,
                                    int desired,
                                    Instant now,
                                    std::vector<BackendOrder>& orders) {
  const ServerGroup group{pool.id, {zone, reclaimable}};
  if (desired > expected_count && IsBackingOff(group, now))
    return;
  if (desired == expected_count)
    return;
  last_orders_[group] = {desired, ready, now};
  orders.push_back({pool.id, zone, desired, reclaimable});
}

void FleetPlanner::RecordOrderOutcome(const BackendOrder& order,
                                      DutyOutcome outcome,
                                      Instant now) {
  const ServerGroup group{order.pool, {order.zone, order.reclaimable}};
  if (outcome == DutyOutcome::kAccepted) {
    unavailable_since_.erase(group);
    return;
  }
  last_orders_.erase(group);
  if (outcome == DutyOutcome::kUnavailable)
    unavailable_since_[group] = now;
}

void FleetPlanner::Reset() {
  last_orders_.clear();
  unavailable_since_.clear();
  sizes_.clear();
  demand_history_.clear();
}

int FleetPlanner::SustainedDemand(const PoolId& pool, int needed, Instant now) {
  DemandHistory& history = demand_history_[pool];
  history.recent.push_back(needed);
  if (history.recent.size() > kSustainedSteps)
    history.recent.pop_front();
  const int sustained =
      *std::min_element(history.recent.begin(), history.recent.end());
  if (sustained >= history.peak || now - history.peak_at > kPeakRetention) {
    history.peak = sustained;
    history.peak_at = now;
  }
  return history.peak;
}

bool FleetPlanner::IsBackingOff(const ServerGroup& group, Instant now) const {
  const auto since = unavailable_since_.find(group);
  return since != unavailable_since_.end() &&
         now - since->second < kUnavailableBackoff;
}

}  // namespace bamboomount
