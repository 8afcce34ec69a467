#ifndef POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_
#define POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_

#include <string>

#include "deployment.h"

namespace bamboomount {

// Results of one simulated day.
struct CapacityReport {
  // Cost of the fleet divided by that of an offline planner that knows the
  // demand and changes its fleet without delay.
  double cost_ratio = 0;
  // Percentage of the time in which the running backend servers did not meet
  // the total demand.
  double short_percent = 0;
  // Percentage of the time in which they did not meet the protected demand.
  double protected_short_percent = 0;
  // Percentage of the backend servers' running time on cheap capacity.
  double cheap_percent = 0;
  // Backend servers ordered and released.
  int changes = 0;
};

// Simulates a day of the capacity planner. The demand follows a daily curve
// with an evening peak, the planner observes it with noise and multiplied by
// `headroom`, orders take two minutes, and the cheap backend servers of one
// availability zone are lost for three hours.
CapacityReport SimulateCapacityDay(const Deployment& deployment,
                                   const CapacityPlannerOptions& options,
                                   double headroom,
                                   std::uint64_t seed);

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_CAPACITY_EXPERIMENT_H_
