#ifndef POLICY_CAPACITY_PLANNER_H_
#define POLICY_CAPACITY_PLANNER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Backend servers of one pool in one availability zone.
struct ZoneFleet {
  ZoneId zone;
  int firm = 0;
  int cheap = 0;
  // The most cheap ones that may be ordered here; 0 if they cannot be had.
  int cheap_limit = 0;
};

struct CapacityPlannerInput {
  std::vector<ZoneFleet> zones;
  // Backend servers that the tiers which must not suffer need.
  double protected_demand = 0;
  // Backend servers that all tiers need.
  double total_demand = 0;
};

// Backend servers to order (positive) or to give back (negative).
struct FleetChange {
  ZoneId zone;
  bool cheap = false;
  int count = 0;
};

struct CapacityPlannerOptions {
  double firm_cost = 1;
  double cheap_cost = 0.4;
  // Backend servers ordered or given back in one step.
  int max_changes = 2;
  // A shortage that leaves the protected tiers whole is met after this time, so
  // that single peaks of a noisy demand order nothing.
  Millis shortage_delay{60000};
  // Backend servers are given back if they are still not needed after this
  // time at a demand that is higher by this factor.
  Millis surplus_delay = std::chrono::minutes(10);
  double surplus_factor = 1.05;
  // Firm ones are replaced by cheap ones if the cost falls below this part.
  double replacement_cost_ratio = 0.95;
  // How long a zone counts as without cheap ones after a failed order.
  Millis unavailable_period = std::chrono::minutes(10);
};

// Plans the fleet of one pool at the least cost: the tiers that must not suffer
// fit on the firm backend servers plus the cheap ones that survive the loss of
// any one availability zone, and all tiers fit on the whole fleet.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacityPlannerOptions& options = {});

  // Changes that are due at `now`. Counts in `input` include ordered ones.
  std::vector<FleetChange> PlanChanges(const CapacityPlannerInput& input,
                                       SteadyTime now);
  // Cheap backend servers could not be had in `zone`.
  void MarkCheapUnavailable(const ZoneId& zone, SteadyTime now);

  // Whether the fleet meets both demands.
  static bool MeetsDemand(const CapacityPlannerInput& input);

 private:
  // The cheapest fleet for the demands times `factor`.
  std::vector<ZoneFleet> PlanTargetFleet(const CapacityPlannerInput& input,
                                         double factor,
                                         SteadyTime now) const;
  double CostOf(const std::vector<ZoneFleet>& zones) const;
  int CheapLimit(const ZoneFleet& zone, SteadyTime now) const;
  std::vector<FleetChange> PlanOrders(
      const CapacityPlannerInput& input,
      const std::vector<ZoneFleet>& target) const;
  std::vector<FleetChange> PlanReleases(
      CapacityPlannerInput input,
      const std::vector<ZoneFleet>& target) const;

  const CapacityPlannerOptions options_;
  std::map<ZoneId, SteadyTime> unavailable_since_;
  std::optional<SteadyTime> shortage_since_;
  std::optional<SteadyTime> surplus_since_;
};

}  // namespace bamboomount

#endif  // POLICY_CAPACITY_PLANNER_H_
