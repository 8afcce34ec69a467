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
// A level that was ordered and not reached is ordered again after this time.
constexpr Millis kRepeatTime{6000};
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
    demand.unread_tokens += load.unread_tokens;
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
  if (!NoteSize(pool.id, demand, static_cast<int>(zones.size()), now))
    return orders;
  const int needed = SustainedNeeded(pool.id, Needed(demand), now);
  const int wanted = std::max(sizes_[pool.id].servers,
                              static_cast<int>(std::ceil(needed * kHeadroom)));
  // Reclaimable ones go first: without any one zone, the others carry all that
  // is wanted.
  std::map<ZoneId, int> reclaimable;
  // What is asked for where there were none, to learn when there are some.
  std::map<ZoneId, int> probes;
  const int each =
      DivideUp(wanted, std::max(1, static_cast<int>(zones.size()) - 1));
  for (const ZoneId& zone : zones) {
    const int here = ReadyIn(demand.reclaimable, zone);
    const int room = rule.maximum - ReadyIn(demand.firm, zone);
    const bool available =
        rule.reclaimable_price.has_value() &&
        !unavailable_since_.contains({pool.id, {zone, true}});
    reclaimable[zone] = available ? std::max(here, std::min(each, room)) : here;
    probes[zone] = std::max(here, std::min(each, room));
  }
  const int least =
      static_cast<int>(std::ceil(sizes_[pool.id].servers * kLeastPart));
  const Target target{wanted, std::max(needed, least), each};
  const auto firm = FirmLevels(rule, zones, demand, reclaimable, target);
  for (const ZoneId& zone : zones) {
    if (rule.reclaimable_price)
      OrderLevel(pool, zone, true, ReadyIn(demand.reclaimable, zone),
                 probes.at(zone), now, orders);
    OrderLevel(pool, zone, false, ReadyIn(demand.firm, zone), firm.at(zone),
               now, orders);
  }
  return orders;
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

std::map<ZoneId, int> FleetPlanner::FirmLevels(
    const ScalingRule& rule,
    const std::vector<ZoneId>& zones,
    const PoolDemand& demand,
    const std::map<ZoneId, int>& reclaimable,
    const Target& target) {
  const int ready = Sum(demand.firm);
  int left = target.wanted;
  bool replaceable = false;
  if (rule.reclaimable_price) {
    const int cheap = Sum(demand.reclaimable);
    // What reclaimable ones carry if any one zone is taken away.
    const int safe = cheap - LargestZone(demand.reclaimable);
    const int replaced = std::max(0, target.wanted - safe);
    const int short_of = std::max(0, target.least - cheap);
    left = ready > replaced ? replaced : std::max(ready, short_of);
    replaceable = safe >= target.least;
  }
  std::map<ZoneId, int> levels;
  // Those that are there stay where they are, the cheapest first, unless they
  // take the room of reclaimable ones that could stand in for them.
  for (const ZoneId& zone : zones) {
    const int kept = replaceable
                         ? std::max(0, rule.maximum - target.reclaimable_each)
                         : rule.maximum;
    levels[zone] = std::min({left, ReadyIn(demand.firm, zone), kept});
    left -= levels[zone];
  }
  if (replaceable)
    return levels;
  const int most = DivideUp(target.wanted, static_cast<int>(zones.size()));
  for (const ZoneId& zone : zones) {
    const int room =
        std::min(rule.maximum - reclaimable.at(zone), most) - levels[zone];
    const int added = std::clamp(left, 0, std::max(0, room));
    levels[zone] += added;
    left -= added;
  }
  return levels;
}

void FleetPlanner::OrderLevel(const Pool& pool,
                              const ZoneId& zone,
                              bool reclaimable,
                              int present,
                              int wanted,
                              Instant now,
                              std::vector<BackendOrder>& orders) {
  const Slot slot{pool.id, {zone, reclaimable}};
  if (wanted > present && WaitsForServers(slot, now))
    return;
  const auto ordered = ordered_.find(slot);
  const bool same =
      ordered != ordered_.end() && ordered->second.count == wanted;
  if (same && (present == wanted || now - ordered->second.at < kRepeatTime))
    return;
  if (ordered == ordered_.end() && present == wanted)
    return;
  ordered_[slot] = {wanted, now};
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
