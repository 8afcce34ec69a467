#ifndef GATEWAY_RELAY_RELAY_PEERS_H_
#define GATEWAY_RELAY_RELAY_PEERS_H_

#include <optional>
#include <vector>

#include "gateway/gateway_state.h"

namespace bamboomount {

// The address of another instance, for an attempt that sends it a request to
// relay to a backend server.
BackendServer RelayServer(const Member& peer);

// Chooses an instance to relay a request: one that reaches servers, is neither
// leaving nor silent, and is not in `tried`, which holds ids that RelayServer()
// gives. Prefers those of this instance's zone, then of its region; `random` in
// [0, 1) selects among these. Empty if there is none.
std::optional<BackendServer> ChooseRelay(const GatewayState& state,
                                         const std::vector<BackendId>& tried,
                                         double random,
                                         Instant now);

}  // namespace bamboomount

#endif  // GATEWAY_RELAY_RELAY_PEERS_H_
