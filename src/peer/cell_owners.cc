#include "peer/cell_owners.h"

#include "base/rendezvous_hash.h"

namespace bamboomount {

std::optional<CellOwner> OwnerOf(const CellId& cell,
                                 const std::vector<RosterMember>& members) {
  const RosterMember* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const RosterMember& member : members) {
    if (member.leaving)
      continue;
    const auto weight = RendezvousWeight(cell.value(), member.instance.value());
    // Members are sorted by id, so a tie goes to the lower id.
    if (best != nullptr && weight <= best_weight)
      continue;
    best = &member;
    best_weight = weight;
  }
  if (best == nullptr)
    return {};
  return CellOwner{best->instance, best->incarnation};
}

}  // namespace bamboomount
