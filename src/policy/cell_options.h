#ifndef POLICY_CELL_OPTIONS_H_
#define POLICY_CELL_OPTIONS_H_

#include <cstdint>
#include <string>

namespace bamboomount {

// Settings of a cell's scheduler; the names are looked up in the registries.
struct CellOptions {
  // See placement_registry.h.
  std::string placement = "predicted_first_token";
  // See queue_discipline.h.
  std::string discipline = "weighted_tiers";
  // One grant in this many goes to the class that waited longest; 0 disables.
  int starvation_stride = 16;
  // Keeps one waiting request of each class for its guaranteed grant when load
  // of a higher tier sheds lower tiers. Without it, a burst of a higher tier
  // refuses each request of the lower ones before its turn comes.
  bool protects_guaranteed_grant = true;
  // Seeds the samples of backend servers.
  std::uint64_t seed = 1;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_OPTIONS_H_
