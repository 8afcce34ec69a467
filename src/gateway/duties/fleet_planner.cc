#include "gateway/duties/fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace bamboomount {
namespace {

// Part of an engine's slots that is used at the planned load: every running
// request lengthens the steps of all others.
constexpr double kSlotPart = 0.25;
// Prompt tokens waiting at one engine at the planned load, some 50 ms of its
// time.
constexpr double kUnreadTokensPerServer = 5000;
// How long a peak of the demand is remembered; bursts often come back.
constexpr Millis kPeakTime{30000};
// Servers beyond the demand.
constexpr double kHeadroom = 1.25;
// Part of the pool's size that is kept even if it takes firm servers.
constexpr double kLeastPart = 0.7;
// The most servers that are planned for, as a part of the pool's size.
constexpr double kMostPart = 1.35;
// Time from the end of a server's start until it is surely listed.
constexpr Millis kStartMargin{3000};
constexpr Millis kUnavailableTime{2500};
// Servers that start together are listed one after the other; until their
// number stays the same for this time, it says nothing about the pool's size.
constexpr Millis kSettleTime{1000};
// A demand counts once this many steps in a row showed it: single peaks pass
// before a server that is ordered for them has started.
constexpr std::size_t kSustainedSteps = 3;

int Sum(const std::map<ZoneId, ZoneCount>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto& zone) { return sum + zone.second.ready; });
}

int Sum(const std::map<ZoneId, int>& levels) {
  return std::accumulate(
      levels.begin(), levels.end(), 0,
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

std::vector<ZoneId> ZonesByPrice(const ScalingRule& rule) {
  std::vector<ZoneId> zones;
  for (const auto& [zone, price] : rule.zone_prices)
    zones.push_back(zone);
  std::stable_sort(zones.begin(), zones.end(),
                   [&rule](const ZoneId& a, const ZoneId& b) {
                     return rule.zone_prices.at(a) < rule.zone_prices.at(b);
                   });
  return zones;
}

}  // namespace

PoolDemand MeasureDemand(const Pool& pool,
                         const std::vector<const BackendServer*>& listed,
                         const BackendLoads& loads) {
  PoolDemand demand;
  std::set<BackendId> ids;
  for (const BackendServer* server : listed) {
    ids.insert(server->id);
    auto& zones = server->reclaimable ? demand.reclaimable : demand.firm;
    ZoneCount& count = zones[server->zone];
    ++(server->draining ? count.draining : count.ready);
  }
  demand.slots_per_server = pool.engine ? pool.engine->slots : 1;
  for (const BackendId& id : ids) {
    const BackendLoad load = loads.Total(id);
    demand.generating += load.generating;
    demand.unread_tokens += load.pending_prefill_tokens;
  }
  return demand;
}

int FleetPlanner::Needed(const PoolDemand& demand) {
  const double by_slots =
      demand.generating / (kSlotPart * demand.slots_per_server);
  const double by_reading =
      static_cast<double>(demand.unread_tokens) / kUnreadTokensPerServer;
  return static_cast<int>(std::ceil(std::max(by_slots, by_reading)));
}

std::vector<BackendOrder> FleetPlanner::Plan(const Pool& pool,
                                             const PoolDemand& demand,
                                             Instant now) {
  std::vector<BackendOrder> orders;
  if (!pool.scaling || pool.scaling->zone_prices.empty())
    return orders;
  const ScalingRule& rule = *pool.scaling;
  const std::vector<ZoneId> zones = ZonesByPrice(rule);
  const int zone_count = static_cast<int>(zones.size());
  const bool settled = NoteSize(pool.id, demand, zone_count, now);
  const int size = sizes_[pool.id].servers;
  // Prompts that wait in an overload say how far behind the pool is, not how
  // many servers it needs.
  const int most = static_cast<int>(std::ceil(size * kMostPart));
  const int needed =
      SustainedNeeded(pool.id, std::min(Needed(demand), most), now);
  Target target;
  target.wanted =
      std::max(size, static_cast<int>(std::ceil(needed * kHeadroom)));
  target.least =
      std::max(needed, static_cast<int>(std::ceil(size * kLeastPart)));
  // Without any one zone, the others carry all that is wanted.
  target.reclaimable_each =
      DivideUp(target.wanted, std::max(1, zone_count - 1));
  Levels levels;
  for (const ZoneId& zone : zones) {
    levels.firm[zone] = Level(pool, zone, false, demand.firm, now);
    levels.reclaimable[zone] = Level(pool, zone, true, demand.reclaimable, now);
  }
  const auto firm = FirmLevels(rule, zones, demand, levels, target);
  for (const ZoneId& zone : zones) {
    if (rule.reclaimable_price) {
      const int room = rule.maximum - levels.firm.at(zone);
      const int wanted = std::max(levels.reclaimable.at(zone),
                                  std::min(target.reclaimable_each, room));
      OrderLevel(pool, zone, true, ReadyIn(demand.reclaimable, zone),
                 levels.reclaimable.at(zone), wanted, now, orders);
    }
    // Servers that are still starting must not be taken for a small pool.
    if (settled)
      OrderLevel(pool, zone, false, ReadyIn(demand.firm, zone),
                 levels.firm.at(zone), firm.at(zone), now, orders);
  }
  return orders;
}

int FleetPlanner::Level(const Pool& pool,
                        const ZoneId& zone,
                        bool reclaimable,
                        const std::map<ZoneId, ZoneCount>& counts,
                        Instant now) const {
  const int ready = ReadyIn(counts, zone);
  const auto ordered = ordered_.find({pool.id, {zone, reclaimable}});
  if (ordered == ordered_.end() ||
      now - ordered->second.at >= pool.scaling->boot_time + kStartMargin)
    return ready;
  // Some were taken away since: the order is void.
  const bool grows = ordered->second.count >= ordered->second.ready;
  if (grows && ready < ordered->second.ready)
    return ready;
  return ordered->second.count;
}

bool FleetPlanner::NoteSize(const PoolId& pool,
                            const PoolDemand& demand,
                            int zone_count,
                            Instant now) {
  Size& size = sizes_[pool];
  const int firm = Sum(demand.firm);
  const int reclaimable = Sum(demand.reclaimable);
  // Reclaimable ones are kept in excess by one zone's part.
  const int carried = reclaimable * (zone_count - 1) / zone_count;
  size.servers = std::max({size.servers, firm, carried});
  if (size.listed != firm + reclaimable) {
    size.listed = firm + reclaimable;
    size.changed = now;
  }
  size.settled |= size.listed > 0 && now - size.changed >= kSettleTime;
  return size.settled;
}

std::map<ZoneId, int> FleetPlanner::FirmLevels(const ScalingRule& rule,
                                               const std::vector<ZoneId>& zones,
                                               const PoolDemand& demand,
                                               const Levels& levels,
                                               const Target& target) {
  std::map<ZoneId, int> firm = levels.firm;
  const int have = Sum(firm);
  // What reclaimable ones that are ready carry if any one zone is taken away.
  const int safe = Sum(demand.reclaimable) - LargestZone(demand.reclaimable);
  const int replaced = rule.reclaimable_price
                           ? std::max(0, target.wanted - safe)
                           : target.wanted;
  const int missing = target.least - have - Sum(levels.reclaimable);
  if (missing > 0) {
    AddFirm(rule, zones, levels.reclaimable, missing, firm);
    return firm;
  }
  // The most expensive ones go first.
  int surplus = have - replaced;
  for (auto zone = zones.rbegin(); zone != zones.rend(); ++zone) {
    const int given_back = std::clamp(surplus, 0, firm[*zone]);
    firm[*zone] -= given_back;
    surplus -= given_back;
    // Firm ones must not keep the room of reclaimable ones that could stand in
    // for them.
    const int kept = std::max(0, rule.maximum - target.reclaimable_each);
    if (rule.reclaimable_price && safe >= target.least)
      firm[*zone] = std::min(firm[*zone], kept);
  }
  return firm;
}

void FleetPlanner::AddFirm(const ScalingRule& rule,
                           const std::vector<ZoneId>& zones,
                           const std::map<ZoneId, int>& reclaimable,
                           int missing,
                           std::map<ZoneId, int>& firm) {
  const int zone_count = static_cast<int>(zones.size());
  const int most = DivideUp(missing + Sum(firm), zone_count);
  // First an equal part for each zone, then where there is room.
  for (const int bound : {most, rule.maximum}) {
    for (const ZoneId& zone : zones) {
      const int room =
          std::min(bound, rule.maximum - reclaimable.at(zone)) - firm[zone];
      const int added = std::clamp(missing, 0, std::max(0, room));
      firm[zone] += added;
      missing -= added;
    }
  }
}

void FleetPlanner::OrderLevel(const Pool& pool,
                              const ZoneId& zone,
                              bool reclaimable,
                              int ready,
                              int present,
                              int wanted,
                              Instant now,
                              std::vector<BackendOrder>& orders) {
  const Slot slot{pool.id, {zone, reclaimable}};
  if (wanted > present && WaitsForServers(slot, now))
    return;
  if (wanted == present)
    return;
  ordered_[slot] = {wanted, ready, now};
  orders.push_back({pool.id, zone, wanted, reclaimable});
}

void FleetPlanner::NoteOutcome(const BackendOrder& order,
                               DutyOutcome outcome,
                               Instant now) {
  const Slot slot{order.pool, {order.zone, order.reclaimable}};
  if (outcome == DutyOutcome::kAccepted) {
    unavailable_since_.erase(slot);
    return;
  }
  ordered_.erase(slot);
  if (outcome == DutyOutcome::kUnavailable)
    unavailable_since_[slot] = now;
}

void FleetPlanner::Reset() {
  ordered_.clear();
  unavailable_since_.clear();
  sizes_.clear();
  needs_.clear();
}

int FleetPlanner::SustainedNeeded(const PoolId& pool, int needed, Instant now) {
  NeedHistory& history = needs_[pool];
  history.recent.push_back(needed);
  if (history.recent.size() > kSustainedSteps)
    history.recent.pop_front();
  const int sustained =
      *std::min_element(history.recent.begin(), history.recent.end());
  if (sustained >= history.peak || now - history.peak_at > kPeakTime) {
    history.peak = sustained;
    history.peak_at = now;
  }
  return history.peak;
}

bool FleetPlanner::WaitsForServers(const Slot& slot, Instant now) const {
  const auto since = unavailable_since_.find(slot);
  return since != unavailable_since_.end() &&
         now - since->second < kUnavailableTime;
}

}  // namespace bamboomount
