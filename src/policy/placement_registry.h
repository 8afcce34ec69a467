#ifndef POLICY_PLACEMENT_REGISTRY_H_
#define POLICY_PLACEMENT_REGISTRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Creates a placement strategy by name: "predicted_first_token", and the
// baselines "round_robin", "least_in_flight" and "power_of_two". `seed`
// determines its random choices. Throws std::invalid_argument if the name is
// unknown.
std::unique_ptr<PlacementStrategy> MakePlacementStrategy(std::string_view name,
                                                         std::uint64_t seed);
std::vector<std::string> PlacementStrategyNames();

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_REGISTRY_H_
