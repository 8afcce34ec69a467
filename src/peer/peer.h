// Public header of the peer library: roster, cell ownership, slot allocation,
// and replication of changes between routers.
#ifndef PEER_PEER_H_
#define PEER_PEER_H_

#include "peer/cell_map.h"
#include "peer/cell_owners.h"
#include "peer/change_exchange.h"
#include "peer/distributed_slot_broker.h"
#include "peer/in_memory_network.h"
#include "peer/local_slot_broker.h"
#include "peer/message_codec.h"
#include "peer/messages.h"
#include "peer/nng_peer_transport.h"
#include "peer/peer_node.h"
#include "peer/peer_runner.h"
#include "peer/peer_transport.h"
#include "peer/roster.h"
#include "peer/slot_broker.h"

#endif  // PEER_PEER_H_
