#include "policy/placement/power_of_two.h"

#include <algorithm>
#include <vector>

namespace bamboomount {
namespace {

double Load(const BackendState& state) {
  return (state.running + state.external_load) / state.backend.slots;
}

}  // namespace

std::unique_ptr<PlacementStrategy> PowerOfTwo::Make(std::uint64_t seed) {
  return std::make_unique<PowerOfTwo>(seed);
}

BackendState* PowerOfTwo::Choose(const SlotRequest& request,
                                 const PlacementCandidates& candidates) {
  std::span<BackendState* const> available = candidates.available();
  std::vector<BackendState*> allowed;
  if (!request.excluded.empty()) {
    std::copy_if(
        available.begin(), available.end(), std::back_inserter(allowed),
        [&](const BackendState* state) { return !Excludes(request, *state); });
    available = allowed;
  }
  if (available.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> pick(0, available.size() - 1);
  BackendState* first = available[pick(random_)];
  BackendState* second = available[pick(random_)];
  return Load(*second) < Load(*first) ? second : first;
}

}  // namespace bamboomount
