#ifndef POLICY_INTERNAL_STRAGGLER_DETECTOR_H_
#define POLICY_INTERNAL_STRAGGLER_DETECTOR_H_

#include "policy/internal/backend_table.h"

namespace bamboomount {

// Finds backend servers whose requests progress far slower than those of the
// others, from the progress that entry routers observe.
class StragglerDetector {
 public:
  static void ObserveRate(BackendState& state, double tokens_per_second);
  // Marks stragglers unhealthy and recovered ones healthy. Does nothing if the
  // last pass is recent.
  void Update(BackendTable& backends, SteadyTime now);

 private:
  SteadyTime last_update_;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_STRAGGLER_DETECTOR_H_
