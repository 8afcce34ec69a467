#ifndef POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_
#define POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_

#include <string>

#include "deployment.h"

namespace bamboomount {

struct CapacityReport {
  // Of the planned fleet over that of an offline planner that knows the demand
  // and changes the fleet at once.
  double cost_ratio = 0;
  // Part of the time in which running backend servers did not suffice.
  double short_percent = 0;
  // Part in which the protected tiers did not fit on what ran.
  double protected_short_percent = 0;
  double cheap_percent = 0;
  int changes = 0;
};

// Runs the spending planner through a day: the demand follows the hours with
// noise and a burst, orders take two minutes, and the cheap backend servers of
// one availability zone are lost for three hours.
CapacityReport SimulateCapacityDay(const Deployment& deployment,
                                   const CapacityPlannerOptions& options,
                                   double headroom,
                                   std::uint64_t seed);

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_
