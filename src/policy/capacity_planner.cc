#include "policy/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboomount {
namespace {

// Demands are sums of estimates; a rounding error must not cost a whole backend
// server.
constexpr double kRoundingTolerance = 1e-6;

struct Totals {
  int firm = 0;
  int cheap = 0;
  int largest_cheap = 0;

  int surviving() const { return firm + cheap - largest_cheap; }
};

Totals Sum(const std::vector<ZoneFleet>& zones) {
  Totals totals;
  for (const ZoneFleet& zone : zones) {
    totals.firm += zone.firm;
    totals.cheap += zone.cheap;
    totals.largest_cheap = std::max(totals.largest_cheap, zone.cheap);
  }
  return totals;
}

int RoundUp(double demand) {
  return static_cast<int>(std::ceil(demand - kRoundingTolerance));
}

// Adds one to the zone with the fewest; of equal ones, to one that has more
// now, so that fewer change. Returns false if all are at their limit.
bool AddToSmallestZone(std::vector<int>& counts,
                       const std::vector<int>& limits,
                       const std::vector<int>& current) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] >= limits[i])
      continue;
    if (!best || counts[i] < counts[*best] ||
        (counts[i] == counts[*best] && current[i] > current[*best]))
      best = i;
  }
  if (!best)
    return false;
  ++counts[*best];
  return true;
}

}  // namespace

CapacityPlanner::CapacityPlanner(const CapacityPlannerOptions& options)
    : options_(options) {}

bool CapacityPlanner::MeetsDemand(const CapacityPlannerInput& input) {
  const Totals totals = Sum(input.zones);
  return totals.surviving() >= RoundUp(input.protected_demand) &&
         totals.firm + totals.cheap >= RoundUp(input.total_demand);
}

void CapacityPlanner::MarkCheapUnavailable(const ZoneId& zone, SteadyTime now) {
  unavailable_since_[zone] = now;
}

std::vector<FleetChange> CapacityPlanner::PlanChanges(
    const CapacityPlannerInput& input,
    SteadyTime now) {
  if (!MeetsDemand(input)) {
    surplus_since_.reset();
    if (!shortage_since_)
      shortage_since_ = now;
    const bool protected_short =
        Sum(input.zones).surviving() < RoundUp(input.protected_demand);
    if (!protected_short && now - *shortage_since_ < options_.shortage_delay)
      return {};
    return PlanOrders(input, PlanTargetFleet(input, 1, now));
  }
  shortage_since_.reset();
  const auto target = PlanTargetFleet(input, options_.surplus_factor, now);
  std::vector<FleetChange> surplus = PlanReleases(input, target);
  // Cheap ones that can be had again replace firm ones: more first, then fewer.
  if (surplus.empty() &&
      CostOf(target) < options_.replacement_cost_ratio * CostOf(input.zones))
    surplus = PlanOrders(input, target);
  if (surplus.empty()) {
    surplus_since_.reset();
    return {};
  }
  if (!surplus_since_)
    surplus_since_ = now;
  if (now - *surplus_since_ < options_.surplus_delay)
    return {};
  return surplus;
}

double CapacityPlanner::CostOf(const std::vector<ZoneFleet>& zones) const {
  const Totals totals = Sum(zones);
  return totals.firm * options_.firm_cost + totals.cheap * options_.cheap_cost;
}

int CapacityPlanner::CheapLimit(const ZoneFleet& zone, SteadyTime now) const {
  const auto found = unavailable_since_.find(zone.zone);
  const bool unavailable = found != unavailable_since_.end() &&
                           now - found->second < options_.unavailable_period;
  // Those that run there already stay useful.
  return std::max(zone.cheap, unavailable ? 0 : zone.cheap_limit);
}

std::vector<ZoneFleet> CapacityPlanner::PlanTargetFleet(
    const CapacityPlannerInput& input,
    double factor,
    SteadyTime now) const {
  const int wanted_protected = RoundUp(input.protected_demand * factor);
  const int wanted_total = RoundUp(input.total_demand * factor);
  const std::size_t zones = input.zones.size();
  std::vector<int> limits;
  std::vector<int> current_cheap;
  std::vector<int> current_firm;
  for (const ZoneFleet& zone : input.zones) {
    limits.push_back(CheapLimit(zone, now));
    current_cheap.push_back(zone.cheap);
    current_firm.push_back(zone.firm);
  }
  std::vector<int> cheap(zones, 0);
  std::vector<int> best_cheap = cheap;
  int best_firm = 0;
  double best_cost = std::numeric_limits<double>::max();
  const int max_cheap = wanted_protected + wanted_total;
  for (int count = 0; count <= max_cheap; ++count) {
    const int largest =
        cheap.empty() ? 0 : *std::max_element(cheap.begin(), cheap.end());
    const int firm = std::max(
        {0, wanted_protected - (count - largest), wanted_total - count});
    const double cost = firm * options_.firm_cost + count * options_.cheap_cost;
    if (cost < best_cost) {
      best_cost = cost;
      best_cheap = cheap;
      best_firm = firm;
    }
    if (!AddToSmallestZone(cheap, limits, current_cheap))
      break;
  }
  std::vector<int> firm(zones, 0);
  const std::vector<int> no_limit(zones, std::numeric_limits<int>::max());
  for (int i = 0; i < best_firm; ++i)
    AddToSmallestZone(firm, no_limit, current_firm);
  std::vector<ZoneFleet> target = input.zones;
  for (std::size_t i = 0; i < zones; ++i) {
    target[i].firm = firm[i];
    target[i].cheap = best_cheap[i];
  }
  return target;
}

std::vector<FleetChange> CapacityPlanner::PlanOrders(
    const CapacityPlannerInput& input,
    const std::vector<ZoneFleet>& target) const {
  std::vector<FleetChange> changes;
  int remaining_changes = options_.max_changes;
  // Firm ones first: they protect the tiers that must not suffer.
  for (const bool cheap : {false, true}) {
    const auto count = cheap ? &ZoneFleet::cheap : &ZoneFleet::firm;
    const auto total = [&](const std::vector<ZoneFleet>& zones) {
      int sum = 0;
      for (const ZoneFleet& zone : zones)
        sum += zone.*count;
      return sum;
    };
    // Where a zone has too many, others need fewer.
    int missing = cheap ? std::numeric_limits<int>::max()
                        : total(target) - total(input.zones);
    for (std::size_t i = 0; i < target.size(); ++i) {
      const int wanted = std::min({target[i].*count - input.zones[i].*count,
                                   remaining_changes, missing});
      if (wanted <= 0)
        continue;
      changes.push_back({target[i].zone, cheap, wanted});
      remaining_changes -= wanted;
      missing -= wanted;
    }
  }
  return changes;
}

std::vector<FleetChange> CapacityPlanner::PlanReleases(
    CapacityPlannerInput input,
    const std::vector<ZoneFleet>& target) const {
  std::vector<FleetChange> changes;
  input.protected_demand *= options_.surplus_factor;
  input.total_demand *= options_.surplus_factor;
  int remaining_changes = options_.max_changes;
  // Firm ones first: they cost more.
  for (const bool cheap : {false, true}) {
    const auto count = cheap ? &ZoneFleet::cheap : &ZoneFleet::firm;
    for (std::size_t i = 0; i < target.size(); ++i) {
      int released = 0;
      while (remaining_changes > 0 &&
             input.zones[i].*count > target[i].*count) {
        --(input.zones[i].*count);
        if (!MeetsDemand(input)) {
          ++(input.zones[i].*count);
          break;
        }
        ++released;
        --remaining_changes;
      }
      if (released > 0)
        changes.push_back({target[i].zone, cheap, -released});
    }
  }
  return changes;
}

}  // namespace bamboomount
