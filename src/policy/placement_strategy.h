#ifndef POLICY_PLACEMENT_STRATEGY_H_
#define POLICY_PLACEMENT_STRATEGY_H_

#include "policy/placement_candidates.h"
#include "policy/slot_request.h"

namespace bamboomount {

// Chooses a backend server for a request.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  // One of the available candidates, or nullptr if the request excludes all.
  virtual BackendState* Choose(const SlotRequest& request,
                               const PlacementCandidates& candidates) = 0;
  // The request went to `backend`.
  virtual void ObserveGrant(const SlotRequest& /*request*/,
                            const BackendState& /*backend*/) {}
  // The first token of `request` came after `time`; `load` is what the
  // backend server ran when the request was granted.
  virtual void ObserveFirstToken(const SlotRequest& /*request*/,
                                 BackendState& /*backend*/,
                                 int /*load*/,
                                 Millis /*time*/) {}

 protected:
  static bool Excludes(const SlotRequest& request, const BackendState& state);
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_STRATEGY_H_
