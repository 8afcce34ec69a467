#ifndef GATEWAY_FORWARDING_SERVER_SIGNALS_H_
#define GATEWAY_FORWARDING_SERVER_SIGNALS_H_

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/message_protocol.h"

namespace bamboomount {

// Applies what the head of a response says of the server itself, whatever
// became of the request: that it leaves, that it is brittle, or that it wants
// no requests for a time.
void ApplyServerSignals(Dispatcher& dispatcher,
                        const BackendServer& server,
                        const RequestId& request,
                        const ReplyHead& head);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_SERVER_SIGNALS_H_
