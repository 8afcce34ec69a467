#ifndef POLICY_PLACEMENT_ROUND_ROBIN_H_
#define POLICY_PLACEMENT_ROUND_ROBIN_H_

#include <memory>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Chooses the backend server with the least recent grant. Scans all candidates.
class RoundRobin : public PlacementStrategy {
 public:
  static std::unique_ptr<PlacementStrategy> Make(std::uint64_t seed);

  BackendState* Choose(const SlotRequest& request,
                       const PlacementCandidates& candidates) override;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_ROUND_ROBIN_H_
