#ifndef PEER_CELL_OWNERS_H_
#define PEER_CELL_OWNERS_H_

#include <optional>
#include <vector>

#include "peer/roster.h"

namespace bamboomount {

// The router process that owns a cell. A restarted instance counts as a
// different owner, because it has lost the queue of the cell.
struct CellOwner {
  InstanceId instance;
  Incarnation incarnation;
  friend auto operator<=>(const CellOwner&, const CellOwner&) = default;
};

// Returns the owner of `cell`: the router with the highest rendezvous weight
// among the members that are not leaving; empty if all of them are. `members`
// must be sorted by id, so that all routers resolve a tie alike.
std::optional<CellOwner> OwnerOf(const CellId& cell,
                                 const std::vector<RosterMember>& members);

}  // namespace bamboomount

#endif  // PEER_CELL_OWNERS_H_
