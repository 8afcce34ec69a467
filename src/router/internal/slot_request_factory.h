#ifndef ROUTER_INTERNAL_SLOT_REQUEST_FACTORY_H_
#define ROUTER_INTERNAL_SLOT_REQUEST_FACTORY_H_

#include "config/config.h"
#include "policy/policy.h"
#include "router/internal/caller_request.h"

namespace bamboomount {

// Makes the slot request for attempt number `attempt` (from 0) at `request`.
// Each attempt has its own id, so that a late release of one attempt cannot
// free the slot of another.
SlotRequest MakeSlotRequest(const CallerRequest& request,
                            const ServiceConfig& config,
                            const ClassRule& class_rule,
                            const ZoneId& entry_zone,
                            int attempt);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_SLOT_REQUEST_FACTORY_H_
