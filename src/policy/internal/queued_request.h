#ifndef POLICY_INTERNAL_QUEUED_REQUEST_H_
#define POLICY_INTERNAL_QUEUED_REQUEST_H_

#include "policy/slot_request.h"

namespace bamboomount {

// A waiting request with its estimated cost.
struct QueuedRequest {
  SlotRequest request;
  SteadyTime arrival;
  // Prompt tokens plus estimated output tokens.
  double cost = 1;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_QUEUED_REQUEST_H_
