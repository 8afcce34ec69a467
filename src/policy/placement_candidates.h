#ifndef POLICY_PLACEMENT_CANDIDATES_H_
#define POLICY_PLACEMENT_CANDIDATES_H_

#include <span>

#include "policy/backend_state.h"

namespace bamboomount {

// The backend servers of a cell that can take a request now.
class PlacementCandidates {
 public:
  virtual ~PlacementCandidates() = default;

  // In no particular order, without duplicates.
  virtual std::span<BackendState* const> available() const = 0;
  // nullptr if `backend` is not available.
  virtual BackendState* FindAvailable(const BackendId& backend) const = 0;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_CANDIDATES_H_
