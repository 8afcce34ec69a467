#ifndef POLICY_CELL_OPTIONS_H_
#define POLICY_CELL_OPTIONS_H_

#include <cstdint>
#include <string>

namespace bamboomount {

// Settings of a CellScheduler.
struct CellOptions {
  // Name of a placement strategy, see placement_registry.h.
  std::string placement = "predicted_first_token";
  // Name of a queue discipline, see queue_discipline.h.
  std::string discipline = "weighted_tiers";
  // One grant in every `starvation_stride` is the guaranteed grant: it goes to
  // the class that has waited longest without a grant, whatever its tier.
  // 0 disables it.
  int starvation_stride = 16;
  // Exempts one waiting request of each class from shedding in favour of higher
  // tiers, so that the class can receive its guaranteed grant. Without it, a
  // burst of a higher tier sheds every request of the lower tiers before their
  // guaranteed grant is due.
  bool protects_guaranteed_grant = true;
  // Seed of the placement strategy's random choices.
  std::uint64_t seed = 1;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_OPTIONS_H_
