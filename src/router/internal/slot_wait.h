#ifndef ROUTER_INTERNAL_SLOT_WAIT_H_
#define ROUTER_INTERNAL_SLOT_WAIT_H_

#include "peer/peer.h"
#include "router/internal/asio.h"
#include "router/internal/running_request.h"

namespace bamboomount {

// Waits until `broker` grants or refuses a slot or the request is cancelled. On
// cancellation no slot is held, and the cancel reason is returned.
asio::awaitable<Result<Slot>> WaitForSlot(SlotBroker& broker,
                                          const PoolId& pool,
                                          const SlotRequest& slot_request,
                                          RunningRequest& request);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_SLOT_WAIT_H_
