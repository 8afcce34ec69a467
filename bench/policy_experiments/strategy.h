#ifndef POLICY_EXPERIMENTS_STRATEGY_H_
#define POLICY_EXPERIMENTS_STRATEGY_H_

#include <string>
#include <vector>

#include "policy/policy.h"

namespace bamboomount {

// One of the compared configurations of a cell.
struct Strategy {
  std::string name;
  CellOptions options;
  // Whether requests wait in the cell for a slot. Otherwise they are sent at
  // once and wait at the engine.
  bool waits_in_cell = true;
};

inline std::vector<Strategy> Strategies() {
  return {
      {"round_robin", {"round_robin", "first_come"}, false},
      {"least_in_flight", {"least_in_flight", "first_come"}, false},
      {"power_of_two", {"power_of_two", "first_come"}, false},
      {"first_come", {"least_in_flight", "first_come"}, true},
      {"strict_priority", {"least_in_flight", "strict_priority"}, true},
      {"bamboomount", {}, true},
  };
}

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_STRATEGY_H_
