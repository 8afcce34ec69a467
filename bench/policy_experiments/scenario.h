#ifndef POLICY_EXPERIMENTS_SCENARIO_H_
#define POLICY_EXPERIMENTS_SCENARIO_H_

#include <string>
#include <vector>

namespace bamboomount {

// Load and faults of one experiment. Times are in seconds from its start.
struct Scenario {
  std::string name;
  double seconds = 1200;
  double load_factor = 1;
  bool diurnal = false;
  // The class of tier 0 gets ten times its load from start to end.
  double burst_start = 0;
  double burst_end = 0;
  // The cheap engines of one availability zone are gone from start to end.
  double zone_loss_start = 0;
  double zone_loss_end = 0;
  bool heavy_tailed = false;
  // The first engine runs at this speed.
  double first_engine_speed = 1;
  double report_delay = 0.5;
  // Requests on each engine that the cell did not grant change at random.
  bool external_load = false;
  // The last customer sends this many times its load.
  double flood_factor = 1;
};

std::vector<Scenario> Scenarios();

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_SCENARIO_H_
