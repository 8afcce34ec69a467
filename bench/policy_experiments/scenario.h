#ifndef POLICY_EXPERIMENTS_SCENARIO_H_
#define POLICY_EXPERIMENTS_SCENARIO_H_

#include <string>
#include <vector>

namespace bamboomount {

// Load and faults of one experiment. Times are in seconds since its start.
struct Scenario {
  std::string name;
  double seconds = 1200;
  // Multiplies the load of the deployment.
  double load_factor = 1;
  // Whether the load follows a daily curve over the experiment.
  bool diurnal = false;
  // The first class, of tier 0, gets ten times its load from start to end.
  double burst_start = 0;
  double burst_end = 0;
  // The cheap engines of one availability zone are down from start to end.
  double zone_loss_start = 0;
  double zone_loss_end = 0;
  // Whether output lengths follow a Pareto distribution.
  bool heavy_tailed = false;
  // Speed of the first engine relative to the others.
  double first_engine_speed = 1;
  // Delay of load reports in seconds.
  double report_delay = 0.5;
  // Whether each engine also runs a randomly changing number of requests that
  // the cell did not grant.
  bool external_load = false;
  // The last customer sends this many times its ordinary load.
  double flood_factor = 1;
};

std::vector<Scenario> Scenarios();

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_SCENARIO_H_
