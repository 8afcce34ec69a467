#include "scenario.h"

namespace bamboomount {

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios(6);
  // A day of 24 hours in two, with a burst of ten minutes.
  scenarios[0].name = "day_with_burst";
  scenarios[0].seconds = 7200;
  scenarios[0].diurnal = true;
  scenarios[0].burst_start = 4200;
  scenarios[0].burst_end = 4800;
  scenarios[1].name = "zone_loss";
  scenarios[1].zone_loss_start = 300;
  scenarios[1].zone_loss_end = 900;
  scenarios[1].load_factor = 1.1;
  scenarios[2].name = "heavy_tail";
  scenarios[2].heavy_tailed = true;
  scenarios[2].load_factor = 1.9;
  scenarios[3].name = "straggler";
  scenarios[3].first_engine_speed = 0.1;
  scenarios[4].name = "late_reports";
  scenarios[4].report_delay = 2;
  scenarios[4].external_load = true;
  scenarios[5].name = "flood";
  scenarios[5].flood_factor = 20;
  return scenarios;
}

}  // namespace bamboomount
