#ifndef POLICY_PLACEMENT_LEAST_IN_FLIGHT_H_
#define POLICY_PLACEMENT_LEAST_IN_FLIGHT_H_

#include <memory>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Chooses the backend server that runs the fewest requests of the cell. Scans
// all candidates.
class LeastInFlight : public PlacementStrategy {
 public:
  static std::unique_ptr<PlacementStrategy> Make(std::uint64_t seed);

  BackendState* Choose(const SlotRequest& request,
                       const PlacementCandidates& candidates) override;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_LEAST_IN_FLIGHT_H_
