#ifndef POLICY_INTERNAL_STRAGGLER_DETECTOR_H_
#define POLICY_INTERNAL_STRAGGLER_DETECTOR_H_

#include "policy/internal/backend_table.h"

namespace bamboomount {

// Detects backend servers that generate tokens far slower than the others, from
// the progress that entry routers observe.
class StragglerDetector {
 public:
  // Adds one observed rate of a single request to the moving average.
  static void ObserveRate(BackendState& state, double tokens_per_second);
  // Marks stragglers unhealthy and recovered ones healthy. Does nothing within
  // 500 ms of the last update.
  void Update(BackendTable& backends, SteadyTime now);

 private:
  SteadyTime last_update_;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_STRAGGLER_DETECTOR_H_
