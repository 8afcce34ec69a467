#include "policy/placement_registry.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "policy/placement/least_in_flight.h"
#include "policy/placement/power_of_two.h"
#include "policy/placement/predicted_first_token.h"
#include "policy/placement/round_robin.h"

namespace bamboomount {
namespace {

struct Entry {
  std::string_view name;
  std::unique_ptr<PlacementStrategy> (*make)(std::uint64_t seed);
};

constexpr std::array kStrategies = {
    Entry{"predicted_first_token", PredictedFirstToken::Make},
    Entry{"round_robin", RoundRobin::Make},
    Entry{"least_in_flight", LeastInFlight::Make},
    Entry{"power_of_two", PowerOfTwo::Make},
};

}  // namespace

std::unique_ptr<PlacementStrategy> MakePlacementStrategy(std::string_view name,
                                                         std::uint64_t seed) {
  for (const Entry& entry : kStrategies) {
    if (entry.name == name)
      return entry.make(seed);
  }
  throw std::invalid_argument("unknown placement strategy: " +
                              std::string(name));
}

std::vector<std::string> PlacementStrategyNames() {
  std::vector<std::string> names;
  names.reserve(kStrategies.size());
  for (const Entry& entry : kStrategies)
    names.emplace_back(entry.name);
  return names;
}

bool PlacementStrategy::Excludes(const SlotRequest& request,
                                 const BackendState& state) {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   state.backend.backend) != request.excluded.end();
}

}  // namespace bamboomount
