#ifndef POLICY_PLACEMENT_POWER_OF_TWO_H_
#define POLICY_PLACEMENT_POWER_OF_TWO_H_

#include <memory>
#include <random>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Chooses the less loaded of two random candidates. The load is the requests of
// the cell plus the reported external ones, divided by slots.
class PowerOfTwo : public PlacementStrategy {
 public:
  static std::unique_ptr<PlacementStrategy> Make(std::uint64_t seed);
  explicit PowerOfTwo(std::uint64_t seed) : random_(seed) {}

  BackendState* Choose(const SlotRequest& request,
                       const PlacementCandidates& candidates) override;

 private:
  std::mt19937_64 random_;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_POWER_OF_TWO_H_
