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
  // On firm capacity, which is not reclaimed.
  int firm = 0;
  // On cheap (reclaimable) capacity, which may be lost in the whole zone at
  // once.
  int cheap = 0;
  // Upper limit of cheap ones in this availability zone; 0 if none can be
  // ordered.
  int cheap_limit = 0;
};

// Current fleet of a pool and its demand.
struct CapacityPlannerInput {
  std::vector<ZoneFleet> zones;
  // Backend servers needed by the protected tiers, whose service must survive
  // the loss of an availability zone.
  double protected_demand = 0;
  // Backend servers that all tiers need.
  double total_demand = 0;
};

// Backend servers to order (positive count) or to release (negative count).
struct FleetChange {
  ZoneId zone;
  bool cheap = false;
  int count = 0;
};

struct CapacityPlannerOptions {
  // Cost of one backend server; only the ratio of the two matters.
  double firm_cost = 1;
  double cheap_cost = 0.4;
  // Upper limit of backend servers ordered or released in one step.
  int max_changes = 2;
  // A shortage that does not affect the protected tiers is covered once it has
  // lasted this long, so that single peaks of a noisy demand order nothing.
  Millis shortage_delay{60000};
  // Backend servers are released once they have not been needed for
  // `surplus_delay`, even at a demand higher by `surplus_factor`.
  Millis surplus_delay = std::chrono::minutes(10);
  double surplus_factor = 1.05;
  // Firm backend servers are replaced by cheap ones if this lowers the cost of
  // the fleet below this fraction.
  double replacement_cost_ratio = 0.95;
  // How long an availability zone counts as having no cheap capacity after a
  // failed order.
  Millis unavailable_period = std::chrono::minutes(10);
};

// Plans the fleet of one pool at the least cost. The protected tiers must fit
// on the firm backend servers plus the cheap ones that remain after the loss of
// the cheap capacity of any one availability zone; all tiers must fit on the
// whole fleet. Not thread-safe.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacityPlannerOptions& options = {});

  // Returns the changes that are due at `now`. The counts in `input` must
  // include backend servers that have been ordered but do not run yet.
  std::vector<FleetChange> PlanChanges(const CapacityPlannerInput& input,
                                       SteadyTime now);
  // Records that an order of cheap backend servers in `zone` failed.
  void MarkCheapUnavailable(const ZoneId& zone, SteadyTime now);

  // Whether the fleet meets both demands.
  static bool MeetsDemand(const CapacityPlannerInput& input);

 private:
  // Returns the cheapest fleet for the demands multiplied by `factor`.
  std::vector<ZoneFleet> PlanTargetFleet(const CapacityPlannerInput& input,
                                         double factor,
                                         SteadyTime now) const;
  double CostOf(const std::vector<ZoneFleet>& zones) const;
  // Cheap backend servers that the target may have in this availability zone.
  int CheapLimit(const ZoneFleet& zone, SteadyTime now) const;
  // Orders the backend servers that `target` has and the fleet lacks.
  std::vector<FleetChange> PlanOrders(
      const CapacityPlannerInput& input,
      const std::vector<ZoneFleet>& target) const;
  // Releases the surplus over `target` as far as the demands, multiplied by
  // surplus_factor, are still met.
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
