#ifndef POLICY_PLACEMENT_STRATEGY_H_
#define POLICY_PLACEMENT_STRATEGY_H_

#include "policy/placement_candidates.h"
#include "policy/slot_request.h"

namespace bamboomount {

// Chooses a backend server for a request. Not thread-safe.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  // Returns one of the available candidates, or nullptr if none is available or
  // the request excludes all of them.
  virtual BackendState* Choose(const SlotRequest& request,
                               const PlacementCandidates& candidates) = 0;
  // Called when `request` has been granted to `backend`, before the slot is
  // taken.
  virtual void ObserveGrant(const SlotRequest& /*request*/,
                            const BackendState& /*backend*/) {}
  // Called with the time from the grant of `request` to its first token; `load`
  // is the number of requests of the cell on the backend server at the grant.
  virtual void ObserveFirstToken(const SlotRequest& /*request*/,
                                 BackendState& /*backend*/,
                                 int /*load*/,
                                 Millis /*time*/) {}

 protected:
  // Whether `request` must not go to this backend server.
  static bool Excludes(const SlotRequest& request, const BackendState& state);
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_STRATEGY_H_
