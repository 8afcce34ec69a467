#ifndef POLICY_PLACEMENT_CANDIDATES_H_
#define POLICY_PLACEMENT_CANDIDATES_H_

#include <span>

#include "policy/backend_state.h"

namespace bamboomount {

// The backend servers of a cell that are in service, healthy and have a free
// slot.
class PlacementCandidates {
 public:
  virtual ~PlacementCandidates() = default;

  // In no particular order, without duplicates. Valid until the next change of
  // a backend server's state.
  virtual std::span<BackendState* const> available() const = 0;
  // Returns nullptr if `backend` is not available.
  virtual BackendState* FindAvailable(const BackendId& backend) const = 0;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_CANDIDATES_H_
