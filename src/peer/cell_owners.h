#ifndef PEER_CELL_OWNERS_H_
#define PEER_CELL_OWNERS_H_

#include <optional>
#include <vector>

#include "peer/roster.h"

namespace bamboomount {

// A process that owns a cell. A restarted instance is another owner, since it
// knows nothing of the queue.
struct CellOwner {
  InstanceId instance;
  Incarnation incarnation;
  friend auto operator<=>(const CellOwner&, const CellOwner&) = default;
};

// The router with the highest rendezvous weight for `cell` among those that
// are not leaving; empty if all are.
std::optional<CellOwner> OwnerOf(const CellId& cell,
                                 const std::vector<RosterMember>& members);

}  // namespace bamboomount

#endif  // PEER_CELL_OWNERS_H_
